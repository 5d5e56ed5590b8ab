package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// While a home and the instance of a caller can reach each other, the home
// admits the caller's requests, and both measure how many. When they lose
// contact, the instance continues to use the rate that it has used so far, and
// the home reserves the same amount. Together they stay within the account's
// rate, although neither knows what the other does.

// usageHeadroom is the factor by which usage may grow after the loss of a home,
// so that random variation does not cause refusals.
const usageHeadroom = 1.2

// originTimeout is the time without a message after which the usage of an
// instance is reserved. It is shorter than peerTimeout, after which that
// instance uses it itself.
const originTimeout = 380 * time.Millisecond

// OriginHeartbeat reports a message from another instance.
type OriginHeartbeat struct {
	Instance core.InstanceID
}

func (OriginHeartbeat) sessionInput() {}

// reservedRate returns the rate of the account, in requests per second, that
// unresponsive instances may be using.
func (a *account) reservedRate() float64 {
	e := a.e
	_, unresponsive := e.origins.Rates(a.name, originTimeout, e.now)
	return unresponsive*usageHeadroom + a.reservedForUnknown()
}

// reservedForUnknown returns the reserve for instances from which a new home
// has received no message yet. Their usage at the previous home is not known,
// so it is estimated as their equal part of the account's typical usage.
func (a *account) reservedForUnknown() float64 {
	e := a.e
	if e.now.Sub(a.homeSince) > registrationExpiry {
		return 0
	}
	count := 0
	for id, since := range e.instances {
		if !e.origins.Known(id) && a.homeSince.Sub(since) > minRunTime {
			count++
		}
	}
	equalPart := e.shares[a.name].Rate * typicalUseFraction / float64(max(len(e.instances), 1))
	return float64(count) * equalPart
}

const (
	// registrationExpiry is the time after which an instance without any
	// message has lost its registration.
	registrationExpiry = 12 * time.Second
	// minRunTime is how long an instance must have been known before the change
	// of home for its usage at the previous home to matter.
	minRunTime = time.Second
	// typicalUseFraction is the part of its rate that an account uses on an
	// ordinary day.
	typicalUseFraction = 0.5
)

// becomeHome records that this instance becomes the account's home.
func (a *account) becomeHome() {
	e := a.e
	a.homeSince = e.now
	if a.handover.TakeHomeTokens(e.now, e.rateWindow) {
		share := e.shares[a.name]
		a.bucket.Tokens = max(a.bucket.Tokens, share.Rate*share.Advance)
	}
}

// updateInstances applies a new list of registered instances and drops the
// instances that are not in it. The reserve for an instance therefore lasts until
// its registration has ended.
func (e *Engine) updateInstances(registered map[core.InstanceID]bool) {
	e.origins.Retain(registered)
	for id := range e.instances {
		if !registered[id] {
			delete(e.instances, id)
		}
	}
	for id := range registered {
		if _, known := e.instances[id]; !known {
			e.instances[id] = e.now
		}
	}
}

// loseHome lets the account use locally what its callers used at the home.
func (a *account) loseHome() {
	e := a.e
	if a.homeLost {
		return
	}
	repeated := a.handover.IsRecent(e.now, e.rateWindow)
	a.handover.Begin(e.now, e.rateWindow)
	a.homeLost = true
	a.updateLostHomeRate(repeated)
	a.bucket.Refill(e.now, e.shareValidUntil)
	a.applyShare()
	if a.handover.Granted() {
		// Requests that waited for the home arrive here at once.
		a.bucket.Tokens = max(a.bucket.Tokens, a.lostHomeRate*e.shares[a.name].Advance)
	}
}

// updateLostHomeRate sets the rate that may be used without the home. It has headroom
// only if the account was not at its limit, and does not grow from one loss to the next
// within the rate window: what was used in between contains it.
func (a *account) updateLostHomeRate(repeated bool) {
	e := a.e
	rate := a.homeUsage.Rate(e.now)
	if a.limitedAt.IsZero() || e.now.Sub(a.limitedAt) > e.rateWindow {
		rate *= usageHeadroom
	}
	if repeated && a.lostHomeRate > 0 {
		rate = min(rate, a.lostHomeRate)
	}
	a.lostHomeRate, a.lostAccountRate = rate, e.shares[a.name].AccountRate
}

// presentLostHomeRate returns the rate that may be used without the home now. It falls with
// the account's rate: each instance uses its part of the rate at the time of the loss.
func (a *account) presentLostHomeRate() float64 {
	present := a.e.shares[a.name].AccountRate
	switch {
	case !a.homeLost:
		return 0
	case present <= 0:
		return a.lostHomeRate
	case present >= a.lostAccountRate:
		return min(a.lostHomeRate, present)
	}
	return a.lostHomeRate * present / a.lostAccountRate
}

// regainHome undoes loseHome.
func (a *account) regainHome() {
	if !a.homeLost {
		return
	}
	a.homeLost = false
	a.bucket.Refill(a.e.now, a.e.shareValidUntil)
	a.applyShare()
}

// lostHomeBurstSeconds is the time for which unused tokens are saved while the home is
// lost, in seconds.
const lostHomeBurstSeconds = 0.5

// applyShare sets the rates and bursts of the buckets from the current share.
func (a *account) applyShare() {
	share := a.e.shares[a.name]
	becomesHome := a.bucket.ValidUntil.IsZero() && !share.ValidUntil.IsZero()
	a.bucket.ValidUntil = share.ValidUntil
	lostRate := a.presentLostHomeRate()
	a.bucket.Limit(share.Rate+lostRate, share.Burst+lostRate*lostHomeBurstSeconds)
	a.prepareBucket.Limit(share.Rate, share.Burst)
	if becomesHome {
		a.becomeHome()
	}
}

// updateReserve lowers the home's rate by what unresponsive instances may be
// using. It runs before a token is taken, at most once per reserveInterval.
func (a *account) updateReserve() {
	e := a.e
	if !e.homes[a.name].Local || e.now.Sub(a.reserveUpdatedAt) < reserveInterval {
		return
	}
	a.reserveUpdatedAt = e.now
	a.bucket.Refill(e.now, e.shareValidUntil)
	a.bucket.Rate = max(e.shares[a.name].Rate-a.reservedRate(), 0)
	if responsive, unresponsive := a.usageByReachability(); isIsolated(responsive, unresponsive) {
		// The instances on the other side of the partition may have made
		// another instance the home.
		a.bucket.Rate = min(a.bucket.Rate, responsive*usageHeadroom+isolatedRate)
	}
}

const (
	// reserveInterval is the shortest time between two updates of the reserve.
	reserveInterval = 50 * time.Millisecond
	// isolatedRate is the rate that an isolated home may use of an account
	// without usage on its side, in requests per second.
	isolatedRate = 1
)

// usageByReachability returns the rates that the account's callers use through
// this instance and the responsive ones, and through unresponsive instances.
func (a *account) usageByReachability() (responsive, unresponsive float64) {
	e := a.e
	responsive, unresponsive = e.origins.Rates(a.name, isolationTimeout, e.now)
	return responsive + a.homeUsage.Rate(e.now), unresponsive
}

// isIsolated reports whether most of an account's usage comes from unresponsive
// instances.
func isIsolated(responsive, unresponsive float64) bool {
	return unresponsive > responsive && unresponsive > 1
}

// isolatedAccounts returns the accounts whose home is on this instance but
// should move to one that more of their callers can reach.
func (e *Engine) isolatedAccounts() []core.AccountName {
	var list []core.AccountName
	for name, home := range e.homes {
		if a := e.accounts[name]; home.Local && a != nil && isIsolated(a.usageByReachability()) {
			list = append(list, name)
		}
	}
	return list
}

// isolationTimeout is the time without a message after which an instance counts
// as unresponsive when the home decides whether it is isolated.
const isolationTimeout = 800 * time.Millisecond

// unresponsiveHomes returns the unresponsive homes among those in use, and the
// number of homes in use.
func (e *Engine) unresponsiveHomes() (unresponsive []PeerAddress, used int) {
	for _, p := range e.peers {
		if e.now.Sub(p.lastUsed) > peerUseWindow {
			continue
		}
		used++
		if p.lost && !p.refusedConnection {
			unresponsive = append(unresponsive, p.address)
		}
	}
	return unresponsive, used
}

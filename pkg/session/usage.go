package session

import (
	"math"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// While a home and the instance of a caller reach each other, the home admits
// the caller's requests, and both measure how many. When they lose each other,
// the instance goes on spending what it has used, and the home sets the same
// amount aside: together they stay within the account's rate, although neither
// knows what the other does.

// usageSpan is the time over which usage is averaged.
const usageWindow = 4 * time.Second

// usageRoom is how much more than before may be used after the loss of a home,
// so that chance does not refuse a part.
const usageHeadroom = 1.2

// usage is a decaying count of admitted requests.
type usage struct {
	count float64
	at    time.Time
	// since is the first request, before which nothing could be counted.
	firstAt time.Time
}

func (u *usage) add(now time.Time) {
	if u.count == 0 {
		u.firstAt = now
	}
	u.count = u.decayed(now) + 1
	u.at = now
}

func (u *usage) decayed(now time.Time) float64 {
	if u.count == 0 {
		return 0
	}
	return u.count * math.Exp(-now.Sub(u.at).Seconds()/usageWindow.Seconds())
}

// rate returns the average in requests per second over usageSpan, or over the
// time since the first request where that is shorter.
func (u *usage) rate(now time.Time) float64 {
	seen := max(now.Sub(u.firstAt), minUsageWindow).Seconds()
	weight := usageWindow.Seconds() * (1 - math.Exp(-seen/usageWindow.Seconds()))
	return u.decayed(now) / weight
}

// leastSpan is the shortest time over which usage is averaged.
const minUsageWindow = 500 * time.Millisecond

// origin is another instance whose callers' requests run here.
type origin struct {
	lastHeard time.Time
	// requested is its last request.
	lastRequest time.Time
	usage       map[core.AccountName]*usage
}

// originSilence is how long an instance may give no sign of life before what it
// used is set aside. It is shorter than peerSilence, after which the instance
// spends it.
const originTimeout = 380 * time.Millisecond

// OriginAlive reports a sign of life of another instance.
type OriginAlive struct {
	Instance core.InstanceID
}

func (OriginAlive) sessionInput() {}

func (e *Engine) originAlive(id core.InstanceID) *origin {
	o := e.origins[id]
	if o == nil {
		o = &origin{usage: map[core.AccountName]*usage{}}
		e.origins[id] = o
	}
	o.lastHeard = e.now
	return o
}

// countRemote measures what the remote caller's instance uses of its account.
func (e *Engine) countOriginUsage(c *caller) {
	o := e.originAlive(c.remote.id.Instance)
	u := o.usage[c.account.name]
	if u == nil {
		u = &usage{}
		o.usage[c.account.name] = u
	}
	u.add(e.now)
	o.lastRequest = e.now
}

// silentFor reports an instance that has given no sign of life for the time,
// other than one that has stopped probing because it has no requests.
func (o *origin) unresponsiveFor(bound time.Duration, now time.Time) bool {
	idle := o.lastHeard.Sub(o.lastRequest) >= peerUseWindow-2*peerProbeInterval
	return !idle && now.Sub(o.lastHeard) > bound
}

// setAside is the rate of the account that instances may be spending which give
// no sign of life.
func (a *account) reservedRate() float64 {
	e := a.e
	sum := 0.0
	for _, o := range e.origins {
		if u := o.usage[a.name]; u != nil && o.unresponsiveFor(originTimeout, e.now) {
			sum += u.rate(o.lastHeard) * usageHeadroom
		}
	}
	return sum + a.reservedForUnheard()
}

// setAsideUnheard is for instances that a new home has not heard of yet: what
// they used at the home before is not known here, and is taken for their even
// part of the account's usual use.
func (a *account) reservedForUnheard() float64 {
	e := a.e
	if e.now.Sub(a.homeSince) > registrationExpiry {
		return 0
	}
	unheard := 0
	for id, since := range e.instances {
		if e.origins[id] == nil && a.homeSince.Sub(since) > minRunTime {
			unheard++
		}
	}
	even := e.shares[a.name].Rate * typicalUseFraction / float64(max(len(e.instances), 1))
	return float64(unheard) * even
}

const (
	// unheardBound is when an instance that has not been heard has lost its
	// registration.
	registrationExpiry = 12 * time.Second
	// leastHistory is how long an instance must have run to have used anything
	// that counts.
	minRunTime = time.Second
	// usualUse is the part of its rate that an account uses on an ordinary day.
	typicalUseFraction = 0.5
)

// becomeHome notes that the account is at home here from now on.
func (a *account) becomeHome() {
	e := a.e
	a.homeSince = e.now
	// The home before it has not spent its burst to the end.
	a.bucket.Tokens = max(a.bucket.Tokens, e.shares[a.name].Rate*initialHomeTokenSeconds)
}

// firstTokens is the time for which a new home may admit at once, in seconds.
const initialHomeTokenSeconds = 0.4

// forgetOrigins drops instances that are not registered any more. What they used
// stays set aside until their registration has ended.
func (e *Engine) updateInstances(registered map[core.InstanceID]bool) {
	for id := range e.origins {
		if !registered[id] {
			delete(e.origins, id)
		}
	}
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

// loseHome lets the account spend here what its callers used at the home.
func (a *account) loseHome() {
	e := a.e
	if a.homeLost {
		return
	}
	a.homeLost = true
	a.lostHomeRate = a.homeUsage.rate(e.now) * usageHeadroom
	a.bucket.Refill(e.now, e.shareValidUntil)
	a.applyShare()
	// What waited for the home comes here at once.
	a.bucket.Tokens = max(a.bucket.Tokens, a.lostHomeRate*lostHomeBurstSeconds)
}

// regainHome ends what loseHome began.
func (a *account) regainHome() {
	if !a.homeLost {
		return
	}
	a.homeLost = false
	a.bucket.Refill(a.e.now, a.e.shareValidUntil)
	a.applyShare()
}

// lostBurst is how long the usage of a lost home may be spent ahead, in seconds.
const lostHomeBurstSeconds = 0.5

// applyShare limits the buckets by the share in force.
func (a *account) applyShare() {
	share := a.e.shares[a.name]
	begins := a.bucket.Until.IsZero() && !share.Until.IsZero()
	a.bucket.Until = share.Until
	lost := 0.0
	if a.homeLost {
		lost = a.lostHomeRate
	}
	a.bucket.Limit(share.Rate+lost, share.Burst+lost*lostHomeBurstSeconds)
	a.prepareBucket.Limit(share.Rate, share.Burst)
	if begins {
		a.becomeHome()
	}
}

// holdBack lowers the home's rate by what silent instances may be spending. It
// is looked at each time the bucket is used, at most once in holdBackEvery.
func (a *account) updateReserve() {
	e := a.e
	if !e.homes[a.name].Here || e.now.Sub(a.reserveUpdatedAt) < reserveInterval {
		return
	}
	a.reserveUpdatedAt = e.now
	a.bucket.Refill(e.now, e.shareValidUntil)
	a.bucket.Rate = max(e.shares[a.name].Rate-a.reservedRate(), 0)
	if heard, silent := a.usageByReachability(); isIsolated(heard, silent) {
		// The other side may have made another instance the home.
		a.bucket.Rate = min(a.bucket.Rate, heard*usageHeadroom+isolatedRate)
	}
}

const (
	reserveInterval = 50 * time.Millisecond
	// isolatedRate is what an isolated home may spend of an account that was not
	// used on its side, in requests per second.
	isolatedRate = 1
)

// usageBySide returns the rates that the account's callers use through this
// instance and those it hears, and through instances that give no sign of life.
func (a *account) usageByReachability() (heard, silent float64) {
	e := a.e
	heard = a.homeUsage.rate(e.now)
	for _, o := range e.origins {
		u := o.usage[a.name]
		switch {
		case u == nil:
		case o.unresponsiveFor(isolationTimeout, e.now):
			silent += u.rate(o.lastHeard)
		default:
			heard += u.rate(o.lastHeard)
		}
	}
	return heard, silent
}

// isIsolated reports a home of an account most of whose usage comes from
// instances that give no sign of life.
func isIsolated(heard, silent float64) bool {
	return silent > heard && silent > 1
}

// isolated reports the accounts here that had better find a home which more of
// their callers reach.
func (e *Engine) isolatedAccounts() []core.AccountName {
	var list []core.AccountName
	for name, home := range e.homes {
		if a := e.accounts[name]; home.Here && a != nil && isIsolated(a.usageByReachability()) {
			list = append(list, name)
		}
	}
	return list
}

// isolationBound is how long instances have to be silent before their home
// gives way.
const isolationTimeout = 800 * time.Millisecond

// silentHomes returns the silent ones of the homes in use, and counts these.
func (e *Engine) unresponsiveHomes() (silent []PeerAddress, used int) {
	for _, p := range e.peers {
		if e.now.Sub(p.lastUsed) > peerUseWindow {
			continue
		}
		used++
		if p.lost && !p.refusedConnection {
			silent = append(silent, p.address)
		}
	}
	return silent, used
}

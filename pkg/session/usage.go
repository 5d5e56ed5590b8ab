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
const usageSpan = 4 * time.Second

// usageRoom is how much more than before may be used after the loss of a home,
// so that chance does not refuse a part.
const usageRoom = 1.2

// usage is a decaying count of admitted requests.
type usage struct {
	count float64
	at    time.Time
	// since is the first request, before which nothing could be counted.
	since time.Time
}

func (u *usage) add(now time.Time) {
	if u.count == 0 {
		u.since = now
	}
	u.count = u.decayed(now) + 1
	u.at = now
}

func (u *usage) decayed(now time.Time) float64 {
	if u.count == 0 {
		return 0
	}
	return u.count * math.Exp(-now.Sub(u.at).Seconds()/usageSpan.Seconds())
}

// rate returns the average in requests per second over usageSpan, or over the
// time since the first request where that is shorter.
func (u *usage) rate(now time.Time) float64 {
	seen := max(now.Sub(u.since), leastSpan).Seconds()
	weight := usageSpan.Seconds() * (1 - math.Exp(-seen/usageSpan.Seconds()))
	return u.decayed(now) / weight
}

// leastSpan is the shortest time over which usage is averaged.
const leastSpan = 500 * time.Millisecond

// origin is another instance whose callers' requests run here.
type origin struct {
	heard time.Time
	// requested is its last request.
	requested time.Time
	used      map[core.AccountName]*usage
}

// originSilence is how long an instance may give no sign of life before what it
// used is set aside. It is shorter than peerSilence, after which the instance
// spends it.
const originSilence = 380 * time.Millisecond

// OriginAlive reports a sign of life of another instance.
type OriginAlive struct {
	Instance core.InstanceID
}

func (OriginAlive) sessionInput() {}

func (e *Engine) originAlive(id core.InstanceID) *origin {
	o := e.origins[id]
	if o == nil {
		o = &origin{used: map[core.AccountName]*usage{}}
		e.origins[id] = o
	}
	o.heard = e.now
	return o
}

// countRemote measures what the remote caller's instance uses of its account.
func (e *Engine) countRemote(c *caller) {
	o := e.originAlive(c.remote.id.Instance)
	u := o.used[c.account.name]
	if u == nil {
		u = &usage{}
		o.used[c.account.name] = u
	}
	u.add(e.now)
	o.requested = e.now
}

// silentFor reports an instance that has given no sign of life for the time,
// other than one that has stopped probing because it has no requests.
func (o *origin) silentFor(bound time.Duration, now time.Time) bool {
	idle := o.heard.Sub(o.requested) >= peerUse-2*peerProbeEvery
	return !idle && now.Sub(o.heard) > bound
}

// setAside is the rate of the account that instances may be spending which give
// no sign of life.
func (a *account) setAside() float64 {
	e := a.e
	sum := 0.0
	for _, o := range e.origins {
		if u := o.used[a.name]; u != nil && o.silentFor(originSilence, e.now) {
			sum += u.rate(o.heard) * usageRoom
		}
	}
	return sum + a.setAsideUnheard()
}

// setAsideUnheard is for instances that a new home has not heard of yet: what
// they used at the home before is not known here, and is taken for their even
// part of the account's usual use.
func (a *account) setAsideUnheard() float64 {
	e := a.e
	if e.now.Sub(a.homeSince) > unheardBound {
		return 0
	}
	unheard := 0
	for id, since := range e.instances {
		if e.origins[id] == nil && a.homeSince.Sub(since) > leastHistory {
			unheard++
		}
	}
	even := e.shares[a.name].Rate * usualUse / float64(max(len(e.instances), 1))
	return float64(unheard) * even
}

const (
	// unheardBound is when an instance that has not been heard has lost its
	// registration.
	unheardBound = 12 * time.Second
	// leastHistory is how long an instance must have run to have used anything
	// that counts.
	leastHistory = time.Second
	// usualUse is the part of its rate that an account uses on an ordinary day.
	usualUse = 0.5
)

// becomeHome notes that the account is at home here from now on.
func (a *account) becomeHome() {
	e := a.e
	a.homeSince = e.now
	// The home before it has not spent its burst to the end.
	a.bucket.Tokens = max(a.bucket.Tokens, e.shares[a.name].Rate*firstTokens)
}

// firstTokens is the time for which a new home may admit at once, in seconds.
const firstTokens = 0.4

// forgetOrigins drops instances that are not registered any more. What they used
// stays set aside until their registration has ended.
func (e *Engine) forgetOrigins(registered map[core.InstanceID]bool) {
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
	a.lostUsage = a.used.rate(e.now) * usageRoom
	a.bucket.Refill(e.now, e.shareUntil)
	a.applyShare()
	// What waited for the home comes here at once.
	a.bucket.Tokens = max(a.bucket.Tokens, a.lostUsage*lostBurst)
}

// regainHome ends what loseHome began.
func (a *account) regainHome() {
	if !a.homeLost {
		return
	}
	a.homeLost = false
	a.bucket.Refill(a.e.now, a.e.shareUntil)
	a.applyShare()
}

// lostBurst is how long the usage of a lost home may be spent ahead, in seconds.
const lostBurst = 0.5

// applyShare limits the buckets by the share in force.
func (a *account) applyShare() {
	share := a.e.shares[a.name]
	begins := a.bucket.Until.IsZero() && !share.Until.IsZero()
	a.bucket.Until = share.Until
	lost := 0.0
	if a.homeLost {
		lost = a.lostUsage
	}
	a.bucket.Limit(share.Rate+lost, share.Burst+lost*lostBurst)
	a.preparations.Limit(share.Rate, share.Burst)
	if begins {
		a.becomeHome()
	}
}

// holdBack lowers the home's rate by what silent instances may be spending. It
// is looked at each time the bucket is used, at most once in holdBackEvery.
func (a *account) holdBack() {
	e := a.e
	if !e.homes[a.name].Here || e.now.Sub(a.heldBackAt) < holdBackEvery {
		return
	}
	a.heldBackAt = e.now
	a.bucket.Refill(e.now, e.shareUntil)
	a.bucket.Rate = max(e.shares[a.name].Rate-a.setAside(), 0)
	if heard, silent := a.usageBySide(); isIsolated(heard, silent) {
		// The other side may have made another instance the home.
		a.bucket.Rate = min(a.bucket.Rate, heard*usageRoom+isolatedRate)
	}
}

const (
	holdBackEvery = 50 * time.Millisecond
	// isolatedRate is what an isolated home may spend of an account that was not
	// used on its side, in requests per second.
	isolatedRate = 1
)

// usageBySide returns the rates that the account's callers use through this
// instance and those it hears, and through instances that give no sign of life.
func (a *account) usageBySide() (heard, silent float64) {
	e := a.e
	heard = a.used.rate(e.now)
	for _, o := range e.origins {
		u := o.used[a.name]
		switch {
		case u == nil:
		case o.silentFor(isolationBound, e.now):
			silent += u.rate(o.heard)
		default:
			heard += u.rate(o.heard)
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
func (e *Engine) isolated() []core.AccountName {
	var list []core.AccountName
	for name, home := range e.homes {
		if a := e.accounts[name]; home.Here && a != nil && isIsolated(a.usageBySide()) {
			list = append(list, name)
		}
	}
	return list
}

// isolationBound is how long instances have to be silent before their home
// gives way.
const isolationBound = 800 * time.Millisecond

// silentHomes returns the silent ones of the homes in use, and counts these.
func (e *Engine) silentHomes() (silent []PeerAddress, used int) {
	for _, p := range e.peers {
		if e.now.Sub(p.used) > peerUse {
			continue
		}
		used++
		if p.lost && !p.refused {
			silent = append(silent, p.address)
		}
	}
	return silent, used
}

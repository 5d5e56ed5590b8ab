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

// usage is a decaying count of admitted requests.
type usage struct {
	count float64
	at    time.Time
}

func (u *usage) add(now time.Time) {
	u.count = u.decayed(now) + 1
	u.at = now
}

func (u *usage) decayed(now time.Time) float64 {
	if u.count == 0 {
		return 0
	}
	return u.count * math.Exp(-now.Sub(u.at).Seconds()/usageSpan.Seconds())
}

// rate returns the average in requests per second.
func (u *usage) rate(now time.Time) float64 {
	return u.decayed(now) / usageSpan.Seconds()
}

// front is another instance whose callers' requests run here.
type front struct {
	heard time.Time
	used  map[core.AccountName]*usage
}

// frontSilence is how long an instance may give no sign of life before what it
// used is set aside. It is shorter than peerSilence, after which the instance
// spends it.
const frontSilence = 300 * time.Millisecond

// FrontAlive reports a sign of life of another instance.
type FrontAlive struct {
	Instance core.InstanceID
}

func (FrontAlive) sessionInput() {}

func (e *Engine) frontAlive(id core.InstanceID) *front {
	f := e.fronts[id]
	if f == nil {
		f = &front{used: map[core.AccountName]*usage{}}
		e.fronts[id] = f
	}
	f.heard = e.now
	return f
}

// countVisit measures what the visitor's instance uses of its account.
func (e *Engine) countVisit(c *caller) {
	f := e.frontAlive(c.visit.id.Instance)
	u := f.used[c.account.name]
	if u == nil {
		u = &usage{}
		f.used[c.account.name] = u
	}
	u.add(e.now)
}

// setAside is the rate of the account that instances may be spending which give
// no sign of life.
func (a *account) setAside() float64 {
	e := a.e
	sum := 0.0
	for _, f := range e.fronts {
		if u := f.used[a.name]; u != nil && e.now.Sub(f.heard) > frontSilence {
			sum += u.rate(f.heard)
		}
	}
	return sum
}

// forgetFronts drops instances that are not registered any more. What they used
// stays set aside until their registration has ended.
func (e *Engine) forgetFronts(registered map[core.InstanceID]bool) {
	for id := range e.fronts {
		if !registered[id] {
			delete(e.fronts, id)
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
	a.lostUsage = a.used.rate(e.now)
	a.bucket.refill(e.now, e.shareUntil)
	a.applyShare()
}

// regainHome ends what loseHome began.
func (a *account) regainHome() {
	if !a.homeLost {
		return
	}
	a.homeLost = false
	a.bucket.refill(a.e.now, a.e.shareUntil)
	a.applyShare()
}

// lostBurst is how long the usage of a lost home may be spent ahead, in seconds.
const lostBurst = 0.5

// applyShare sets the bucket's rate from the share in force.
func (a *account) applyShare() {
	share := a.e.shares[a.name]
	a.bucket.rate, a.bucket.burst, a.bucket.until = share.Rate, share.Burst, share.Until
	if a.homeLost {
		a.bucket.rate += a.lostUsage
		a.bucket.burst += a.lostUsage * lostBurst
	}
	a.bucket.tokens = min(a.bucket.tokens, a.bucket.burst)
}

// holdBack lowers the home's rate by what silent instances may be spending. It
// is looked at each time the bucket is used, at most once in holdBackEvery.
func (a *account) holdBack() {
	e := a.e
	if !e.homes[a.name].Here || e.now.Sub(a.heldBackAt) < holdBackEvery {
		return
	}
	a.heldBackAt = e.now
	a.bucket.refill(e.now, e.shareUntil)
	a.bucket.rate = max(e.shares[a.name].Rate-a.setAside(), 0)
}

const holdBackEvery = 50 * time.Millisecond

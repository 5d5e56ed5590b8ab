package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session/usage"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/tokens"
)

// account is the state that this instance holds of a client account.
type account struct {
	e *Engine
	// unlimited is set for the account of anonymous callers: those without a
	// key on open entries that belong to no account.
	unlimited bool
	name      core.AccountName
	weight    int
	keys      map[core.KeyID]bool
	// bucket holds the tokens of requests that execute statements.
	bucket tokens.Bucket
	// prepareBucket is a bucket with the same share for requests that execute
	// nothing. A driver prepares a refused statement again before it retries
	// it; in a common bucket these requests would take nearly every token.
	prepareBucket tokens.Bucket
	waiters       []tokenWaiter
	timerItem     timerq.Item[timed]
	// homeUsage measures what callers of this instance use at the account's
	// home. While homeLost is set, lostHomeRate of it, in requests per second,
	// may be used locally. It was measured when the account's rate was
	// lostAccountRate, zero if that is not known.
	homeUsage       usage.Counter
	homeLost        bool
	lostHomeRate    float64
	lostAccountRate float64
	// handover limits what changes of the home add to the account's rate.
	handover usage.Handover
	// limitedAt is when a request of this instance's callers was last refused
	// because the account's rate was used up.
	limitedAt time.Time
	// homeSince is when this instance became the account's home.
	homeSince time.Time
	// reserveUpdatedAt is when the home last computed the reserve for
	// unresponsive instances.
	reserveUpdatedAt time.Time
	// moving is set while the account's home moves from this instance to another; held
	// are the statements that wait for that. forwards is set once the home has moved:
	// requests that other instances still send here are then passed on to it.
	moving   bool
	held     []heldStatement
	forwards bool
	// demandCount counts the statements since the last demand report.
	demandCount int
	metrics     *AccountMetrics
}

// tokenWaiter is a statement of an open transaction that waits for a token. It
// is stale when the statement has been answered or replaced by another.
type tokenWaiter struct {
	statement *statement
	sequence  uint64
}

// isCurrent reports whether the statement still waits for this token.
func (w *tokenWaiter) isCurrent() bool {
	return w.statement.waitsForToken && w.statement.sequence == w.sequence
}

// hasKey reports whether the key is one of the account's live keys.
func (a *account) hasKey(key core.KeyID) bool {
	return a.keys[key]
}

// tryAdmit counts a new request of the caller against its account's rate and
// reports whether it is admitted. A request does not overtake those that
// already wait for a token.
func (e *Engine) tryAdmit(c *caller) bool {
	c.account.dropStaleWaiters()
	return len(c.account.waiters) == 0 && e.revocationsFresh(c) && e.takeToken(&c.stmt)
}

// takeToken takes a token for the statement and reports whether there was one.
func (e *Engine) takeToken(s *statement) bool {
	if s.c.account.unlimited {
		return true
	}
	if s.c.account.moving {
		return false
	}
	s.c.account.updateReserve()
	b := s.bucket()
	if !b.Take(e.now, e.shareValidUntil) {
		return false
	}
	if s.c.remote == nil && b == &s.c.account.bucket {
		s.c.account.homeUsage.Add(e.now)
	}
	return true
}

// bucket returns the bucket from which the statement takes its token.
func (s *statement) bucket() *tokens.Bucket {
	if s.request.PreparesOnly {
		return &s.c.account.prepareBucket
	}
	return &s.c.account.bucket
}

// exemptFromRate reports whether the request is part of an operation that was
// counted when it began, or ends an operation that is over.
func (c *caller) exemptFromRate(r *Request) bool {
	if !c.e.cfg.RatePerOperation {
		return false
	}
	return c.inTransaction() || r.Classification != nil && r.Classification.Kind == KindEnd && c.stmt.deferredBegin == nil
}

// countDemand counts a new request for the demand report.
func (a *account) countDemand(r *Request) {
	if !r.PreparesOnly {
		a.demandCount++
	}
}

// revocationsFresh reports whether the caller's key may be honoured: the entry
// needs none, or the revocations known to this instance are recent enough.
func (e *Engine) revocationsFresh(c *caller) bool {
	return c.entry.definition.Open || e.keysValidUntil.IsZero() || !e.now.After(e.keysValidUntil)
}

// dropStaleWaiters removes the leading waiters that are stale.
func (a *account) dropStaleWaiters() {
	for len(a.waiters) > 0 && !a.waiters[0].isCurrent() {
		a.waiters = a.waiters[1:]
	}
}

// armTokenTimer sets the timer for the token that the first waiter waits for.
func (e *Engine) armTokenTimer(a *account) {
	a.dropStaleWaiters()
	if len(a.waiters) == 0 || a.moving {
		// While the home moves no token is taken; ReleaseAccount arms the timer again.
		e.timers.Disarm(&a.timerItem)
		return
	}
	b := a.waiters[0].statement.bucket()
	b.Refill(e.now, e.shareValidUntil)
	after, ok := b.Wait()
	if !ok || e.now.After(e.shareValidUntil) {
		e.timers.Disarm(&a.timerItem)
		return
	}
	e.timers.Arm(&a.timerItem, e.now.Add(after))
}

// timeOut implements timed. It gives new tokens to the waiting statements.
func (a *account) timeOut() {
	e := a.e
	for {
		a.dropStaleWaiters()
		if len(a.waiters) == 0 {
			return
		}
		s := a.waiters[0].statement
		if !e.revocationsFresh(s.c) || !e.takeToken(s) {
			e.armTokenTimer(a)
			return
		}
		a.waiters = a.waiters[1:]
		s.fire(e.charts.onStatement.admitted)
	}
}

// shareUpdate replaces the shares of this instance. A new grant empties the
// buckets, because their tokens belong to an earlier claim of the slot.
func (e *Engine) shareUpdate(in ShareUpdate) {
	regranted := in.Grant != e.grant
	for _, a := range e.accounts {
		a.bucket.PrepareShareChange(regranted, e.now, e.shareValidUntil)
		a.prepareBucket.PrepareShareChange(regranted, e.now, e.shareValidUntil)
	}
	e.grant = in.Grant
	e.shareValidUntil = in.ValidUntil
	e.rateWindow = in.RateWindow
	e.shares = in.Accounts
	for _, a := range e.accounts {
		a.applyShare()
		e.armTokenTimer(a)
	}
	e.updateInstances(in.Instances)
	for name, db := range e.databases {
		db.setIdleTimeout(in.IdleTimeouts[name])
		db.setBound(in.Connections[name])
	}
	e.connections, e.idleTimeouts = in.Connections, in.IdleTimeouts
	e.shareRevision = in.Revision
	e.reportShare()
}

// reportShare reports to control that the current share governs admission. It
// is sent with every share update, so a report that finds a full ring is made
// up for by the next one.
func (e *Engine) reportShare() {
	open := make(map[core.DatabaseName]int, len(e.databases))
	for _, t := range e.targets {
		open[t.member.db.name]++
	}
	e.outbox.out.Control(ShareApplied{Revision: e.shareRevision, Open: open})
}

// startDemandReports begins the interval of the first demand report.
func (e *Engine) startDemandReports() {
	e.demandSince = e.now
	e.timers.Arm(&e.demandTimer.item, e.now.Add(e.cfg.Bounds.DemandInterval))
}

// reportDemand reports the demand since the last report to control. A report
// that finds a full ring is dropped; its requests count in the next one.
func (e *Engine) reportDemand() {
	seconds := e.now.Sub(e.demandSince).Seconds()
	demand := Demand{
		Accounts:    make(map[core.AccountName]float64, len(e.accounts)),
		Connections: make(map[core.DatabaseName]int, len(e.databases)),
	}
	e.closeSubstituteConnections()
	demand.Isolated = e.isolatedAccounts()
	demand.UnresponsiveHomes, demand.HomesUsed = e.unresponsiveHomes()
	for name, a := range e.accounts {
		demand.Accounts[name] = float64(a.demandCount) / seconds
	}
	for name, db := range e.databases {
		demand.Connections[name] = db.connectionDemand()
	}
	if e.outbox.out.Control(demand) {
		for _, a := range e.accounts {
			a.demandCount = 0
		}
		e.demandSince = e.now
	}
	e.timers.Arm(&e.demandTimer.item, e.now.Add(e.cfg.Bounds.DemandInterval))
}

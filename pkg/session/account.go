package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/tokens"
)

// account is a client account as this instance sees it.
type account struct {
	e *Engine
	// unlimited is set for callers without a key on open entries that belong to
	// no account.
	unlimited bool
	name      core.AccountName
	weight    int
	keys      map[core.KeyID]bool
	// bucket holds the tokens of requests that execute statements.
	bucket tokens.Bucket
	// preparations is a bucket of the same share for requests that execute
	// nothing. A driver prepares a refused statement again before it repeats it;
	// in a common bucket the preparations take nearly every token.
	prepareBucket tokens.Bucket
	waiters       []tokenWaiter
	timerItem     timerq.Item[timed]
	// used is what callers of this instance use at the account's home; while
	// homeLost, lostUsage of it may be spent here.
	homeUsage    usage
	homeLost     bool
	lostHomeRate float64
	// homeSince is when this instance became the account's home.
	homeSince time.Time
	// heldBackAt is when the home last looked at silent instances.
	reserveUpdatedAt time.Time
	// asked counts statements since the last demand report.
	demandCount int
	metrics     *AccountMetrics
}

// tokenWaiter is a statement of an open transaction that waits for a token. It
// is out of date when the statement is answered or another has taken its place.
type tokenWaiter struct {
	statement *statement
	sequence  uint64
}

func (w *tokenWaiter) isCurrent() bool {
	return w.statement.waitsForToken && w.statement.sequence == w.sequence
}

// holds reports whether the key is one of the account's live keys.
func (a *account) holds(key core.KeyID) bool {
	return a.keys[key]
}

// admits counts a new request of the caller against its account's rate. A
// request does not overtake those that already wait for a token.
func (e *Engine) tryAdmit(c *caller) bool {
	c.account.dropStaleWaiters()
	return len(c.account.waiters) == 0 && e.revocationsFresh(c) && e.takeToken(&c.stmt)
}

func (e *Engine) takeToken(s *statement) bool {
	if s.c.account.unlimited {
		return true
	}
	s.c.account.updateReserve()
	b := s.bucket()
	if !b.Take(e.now, e.shareValidUntil) {
		return false
	}
	if s.c.remote == nil && b == &s.c.account.bucket {
		s.c.account.homeUsage.add(e.now)
	}
	return true
}

// bucket returns the bucket that the statement's token comes from.
func (s *statement) bucket() *tokens.Bucket {
	if s.request.PreparesOnly {
		return &s.c.account.prepareBucket
	}
	return &s.c.account.bucket
}

// countsNothing reports a request that is part of an operation which was
// counted when it began, or ends one that is over.
func (c *caller) exemptFromRate(r *Request) bool {
	if !c.e.cfg.RatePerOperation {
		return false
	}
	return c.inTransaction() || r.Verdict != nil && r.Verdict.Kind == KindEnd && c.stmt.deferredBegin == nil
}

// countDemand counts a new request for the demand report.
func (a *account) countDemand(r *Request) {
	if !r.PreparesOnly {
		a.demandCount++
	}
}

// keyTrusted reports whether a key may be honoured: the revocations known here
// are recent enough.
func (e *Engine) revocationsFresh(c *caller) bool {
	return c.entry.definition.Open || e.keysValidUntil.IsZero() || !e.now.After(e.keysValidUntil)
}

func (a *account) dropStaleWaiters() {
	for len(a.waiters) > 0 && !a.waiters[0].isCurrent() {
		a.waiters = a.waiters[1:]
	}
}

// armAccount sets the time of the token for which the first waiter waits.
func (e *Engine) armTokenTimer(a *account) {
	a.dropStaleWaiters()
	if len(a.waiters) == 0 {
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

// timeOut hands new tokens to the statements that wait for them.
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

// shareInForce replaces the shares of this instance. Another grant empties the
// buckets: the tokens belonged to another holding of the slot.
func (e *Engine) shareInForce(in ShareInForce) {
	regranted := in.Grant != e.grant
	for _, a := range e.accounts {
		a.bucket.Settle(regranted, e.now, e.shareValidUntil)
		a.prepareBucket.Settle(regranted, e.now, e.shareValidUntil)
	}
	e.grant = in.Grant
	e.shareValidUntil = in.Until
	e.shares = in.Accounts
	for _, a := range e.accounts {
		a.applyShare()
		e.armTokenTimer(a)
	}
	e.updateInstances(in.Instances)
	for name, db := range e.databases {
		db.setIdleTimeout(in.Rest[name])
		db.setBound(in.Connections[name])
	}
	e.connections, e.idleTimeouts = in.Connections, in.Rest
	e.shareRevision = in.Revision
	e.reportShare()
}

// reportShare tells control that the share in force governs admission. It is
// repeated with each share, so a report that found no room is made up for.
func (e *Engine) reportShare() {
	open := make(map[core.DatabaseName]int, len(e.databases))
	for _, t := range e.targets {
		open[t.member.db.name]++
	}
	e.outbox.out.Control(ShareApplied{Revision: e.shareRevision, Open: open})
}

// retryBudget lets a fraction of the requests be retries.
type retryBudget struct {
	fraction float64
	limit    float64
	balance  float64
}

func (b *retryBudget) deposit() {
	b.balance = min(b.balance+b.fraction, b.limit)
}

func (b *retryBudget) available() bool {
	return b.balance >= 1
}

func (b *retryBudget) withdraw() {
	b.balance--
}

// startReports begins the interval of the first demand report.
func (e *Engine) startDemandReports() {
	e.demandSince = e.now
	e.timers.Arm(&e.demandTimer.item, e.now.Add(e.cfg.Bounds.DemandEvery))
}

// report tells control what was asked for. A report that finds no room is left
// out; its requests count in the next one.
func (e *Engine) reportDemand() {
	seconds := e.now.Sub(e.demandSince).Seconds()
	demand := Demand{
		Accounts:    make(map[core.AccountName]float64, len(e.accounts)),
		Connections: make(map[core.DatabaseName]int, len(e.databases)),
	}
	demand.Isolated = e.isolatedAccounts()
	demand.SilentHomes, demand.HomesUsed = e.unresponsiveHomes()
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
	e.timers.Arm(&e.demandTimer.item, e.now.Add(e.cfg.Bounds.DemandEvery))
}

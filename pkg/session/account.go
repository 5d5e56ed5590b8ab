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
	preparations tokens.Bucket
	waiters      []tokenWaiter
	item         timerq.Item[timed]
	// used is what callers of this instance use at the account's home; while
	// homeLost, lostUsage of it may be spent here.
	used      usage
	homeLost  bool
	lostUsage float64
	// homeSince is when this instance became the account's home.
	homeSince time.Time
	// heldBackAt is when the home last looked at silent instances.
	heldBackAt time.Time
	// asked counts statements since the last demand report.
	asked   int
	metrics *AccountMetrics
}

// tokenWaiter is a statement of an open transaction that waits for a token. It
// is out of date when the statement is answered or another has taken its place.
type tokenWaiter struct {
	s        *statement
	sequence uint64
}

func (w *tokenWaiter) waits() bool {
	return w.s.tokenWait && w.s.sequence == w.sequence
}

// holds reports whether the key is one of the account's live keys.
func (a *account) holds(key core.KeyID) bool {
	return a.keys[key]
}

// admits counts a new request of the caller against its account's rate. A
// request does not overtake those that already wait for a token.
func (e *Engine) admits(c *caller) bool {
	c.account.dropIdleWaiters()
	return len(c.account.waiters) == 0 && e.keyTrusted(c) && e.takeToken(&c.stmt)
}

func (e *Engine) takeToken(s *statement) bool {
	if s.c.account.unlimited {
		return true
	}
	s.c.account.holdBack()
	b := s.bucket()
	if !b.Take(e.now, e.shareUntil) {
		return false
	}
	if s.c.remote == nil && b == &s.c.account.bucket {
		s.c.account.used.add(e.now)
	}
	return true
}

// bucket returns the bucket that the statement's token comes from.
func (s *statement) bucket() *tokens.Bucket {
	if s.request.PreparesOnly {
		return &s.c.account.preparations
	}
	return &s.c.account.bucket
}

// countsNothing reports a request that is part of an operation which was
// counted when it began, or ends one that is over.
func (c *caller) countsNothing(r *Request) bool {
	if !c.e.cfg.RatePerOperation {
		return false
	}
	return c.inTransaction() || r.Verdict != nil && r.Verdict.Kind == KindEnd && c.stmt.opens == nil
}

// countDemand counts a new request for the demand report.
func (a *account) countDemand(r *Request) {
	if !r.PreparesOnly {
		a.asked++
	}
}

// keyTrusted reports whether a key may be honoured: the revocations known here
// are recent enough.
func (e *Engine) keyTrusted(c *caller) bool {
	return c.entry.definition.Open || e.keysUntil.IsZero() || !e.now.After(e.keysUntil)
}

func (a *account) dropIdleWaiters() {
	for len(a.waiters) > 0 && !a.waiters[0].waits() {
		a.waiters = a.waiters[1:]
	}
}

// armAccount sets the time of the token for which the first waiter waits.
func (e *Engine) armAccount(a *account) {
	a.dropIdleWaiters()
	if len(a.waiters) == 0 {
		e.timers.Disarm(&a.item)
		return
	}
	b := a.waiters[0].s.bucket()
	b.Refill(e.now, e.shareUntil)
	after, ok := b.Wait()
	if !ok || e.now.After(e.shareUntil) {
		e.timers.Disarm(&a.item)
		return
	}
	e.timers.Arm(&a.item, e.now.Add(after))
}

// timeOut hands new tokens to the statements that wait for them.
func (a *account) timeOut() {
	e := a.e
	for {
		a.dropIdleWaiters()
		if len(a.waiters) == 0 {
			return
		}
		s := a.waiters[0].s
		if !e.keyTrusted(s.c) || !e.takeToken(s) {
			e.armAccount(a)
			return
		}
		a.waiters = a.waiters[1:]
		s.fire(e.charts.stmt.admitted)
	}
}

// shareInForce replaces the shares of this instance. Another grant empties the
// buckets: the tokens belonged to another holding of the slot.
func (e *Engine) shareInForce(in ShareInForce) {
	regranted := in.Grant != e.grant
	for _, a := range e.accounts {
		a.bucket.Settle(regranted, e.now, e.shareUntil)
		a.preparations.Settle(regranted, e.now, e.shareUntil)
	}
	e.grant = in.Grant
	e.shareUntil = in.Until
	e.shares = in.Accounts
	for _, a := range e.accounts {
		a.applyShare()
		e.armAccount(a)
	}
	e.forgetOrigins(in.Instances)
	for name, db := range e.databases {
		db.setRest(in.Rest[name])
		db.setBound(in.Connections[name])
	}
	e.connections, e.rests = in.Connections, in.Rest
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
	e.box.out.Control(ShareApplied{Revision: e.shareRevision, Open: open})
}

// retryBudget lets a fraction of the requests be retries.
type retryBudget struct {
	fraction float64
	limit    float64
	saved    float64
}

func (b *retryBudget) earn() {
	b.saved = min(b.saved+b.fraction, b.limit)
}

func (b *retryBudget) hasRoom() bool {
	return b.saved >= 1
}

func (b *retryBudget) spend() {
	b.saved--
}

// startReports begins the interval of the first demand report.
func (e *Engine) startReports() {
	e.demandFrom = e.now
	e.timers.Arm(&e.reporter.item, e.now.Add(e.cfg.Bounds.DemandEvery))
}

// report tells control what was asked for. A report that finds no room is left
// out; its requests count in the next one.
func (e *Engine) report() {
	seconds := e.now.Sub(e.demandFrom).Seconds()
	demand := Demand{
		Accounts:    make(map[core.AccountName]float64, len(e.accounts)),
		Connections: make(map[core.DatabaseName]int, len(e.databases)),
	}
	demand.Isolated = e.isolated()
	demand.SilentHomes, demand.HomesUsed = e.silentHomes()
	for name, a := range e.accounts {
		demand.Accounts[name] = float64(a.asked) / seconds
	}
	for name, db := range e.databases {
		demand.Connections[name] = db.demand()
	}
	if e.box.out.Control(demand) {
		for _, a := range e.accounts {
			a.asked = 0
		}
		e.demandFrom = e.now
	}
	e.timers.Arm(&e.reporter.item, e.now.Add(e.cfg.Bounds.DemandEvery))
}

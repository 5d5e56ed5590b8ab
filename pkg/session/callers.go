package session

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// callerOpened admits or refuses a new caller, at once or as soon as the homes
// of the accounts are known.
func (e *Engine) callerOpened(in CallerOpened) {
	if !e.deferAdmission(in) {
		e.admitCaller(in)
	}
}

// admitCaller opens the caller's session, or closes its connection with the
// reason for the refusal.
func (e *Engine) admitCaller(in CallerOpened) {
	c := &caller{
		e: e, id: in.Caller, key: in.Key, traceParent: in.TraceParent,
		state: e.charts.caller.Initial(), maxAge: -1, txStatus: txIdle,
		floor: in.InitialPosition, floorKnown: !in.InitialPosition.IsZero(), remote: e.admittingRemote,
	}
	refusal := e.resolveEntry(c, in)
	if refusal != nil {
		c.close(refusal)
		return
	}
	c.requiredRound = c.db.requestedRound + 1
	c.timerItem.Value = c
	c.stmt.init(c)
	e.callers[c.id] = c
	c.arm()
	e.toCaller(c.id, CallerAdmitted{Caller: c.id})
}

// resolveEntry sets the caller's entry, account and database, or returns why
// the caller is refused.
func (e *Engine) resolveEntry(c *caller, in CallerOpened) *core.Refusal {
	if e.stopping {
		return core.NotRun(core.ReasonStopping, "this instance is stopping, please reconnect")
	}
	if e.catalogue == nil {
		return notConfigured()
	}
	c.entry = e.entries[in.Entry]
	if c.entry == nil && in.Account == "" {
		return core.NotRun(core.ReasonNoEntry, "no entry has this name")
	}
	if c.entry == nil {
		return core.NotRun(core.ReasonWrongKey, "no such entry for this account")
	}
	c.account = c.entry.account
	c.db = c.entry.db
	if c.account == nil {
		return e.resolveAccount(c)
	}
	if !c.entry.definition.Open {
		return e.checkKey(c, in.Account)
	}
	return nil
}

// resolveAccount determines, by the key, the account of a caller on an entry
// that belongs to no account.
func (e *Engine) resolveAccount(c *caller) *core.Refusal {
	c.account = e.accountWith(c.key)
	if c.account != nil {
		return nil
	}
	if !c.entry.definition.Open {
		return core.NotRun(core.ReasonWrongKey, "the key is not known")
	}
	c.key = ""
	c.account = e.anonymous
	return nil
}

// accountWith returns the account that holds the key, or nil.
func (e *Engine) accountWith(key core.KeyID) *account {
	if key == "" {
		return nil
	}
	for _, a := range e.accounts {
		if a.hasKey(key) {
			return a
		}
	}
	return nil
}

// checkKey returns why the caller's key may not use an entry that belongs to an
// account, or nil.
func (e *Engine) checkKey(c *caller, claimed core.AccountName) *core.Refusal {
	if claimed != c.account.name || c.key == "" {
		return core.NotRun(core.ReasonWrongKey, "no such entry for this account")
	}
	if !c.account.hasKey(c.key) {
		return core.NotRun(core.ReasonKeyRevoked, "the key is revoked")
	}
	return nil
}

// callerRequest passes a request to the caller's chart.
func (e *Engine) callerRequest(in CallerRequest) {
	c, ok := e.callers[in.Caller]
	if !ok {
		return
	}
	c.nextRequest = in.Request
	c.fire(e.charts.onCaller.request)
}

// callerClosed ends the session of a caller whose connection was closed.
func (e *Engine) callerClosed(in CallerClosed) {
	e.dropPendingAdmission(in.Caller)
	if c, ok := e.callers[in.Caller]; ok {
		c.fire(e.charts.onCaller.closed)
	}
}

// callerCancel cancels the caller's statement, if one is running.
func (e *Engine) callerCancel(in CallerCancel) {
	if c, ok := e.callers[in.Caller]; ok {
		c.stmt.fire(e.charts.onStatement.cancelled)
	}
}

// callerBlocked pauses or resumes reading from the connection whose result goes
// to the caller.
func (e *Engine) callerBlocked(id CallerID, blocked bool) {
	c, ok := e.callers[id]
	if !ok || c.blocked == blocked {
		return
	}
	c.blocked = blocked
	if c.target != nil {
		c.target.setPaused(blocked)
	}
}

// applyClassification passes the result to the statement, unless a newer one
// has replaced it.
func (e *Engine) applyClassification(in ClassifyResult) {
	c, ok := e.callers[in.Caller]
	if !ok || c.stmt.sequence != in.Sequence {
		return
	}
	c.stmt.classification = in.Classification
	c.stmt.fire(e.charts.onStatement.classified)
}

// failRequest answers the caller's request with an error.
func (e *Engine) failRequest(c *caller, refusal *core.Refusal) {
	e.metrics.Refusals[refusal.Reason]++
	if e.cfg.AsyncReplication && c.inTransaction() {
		// A refusal says that nothing was kept, so the transaction has to end
		// with it.
		c.abandonTarget()
	}
	e.toCaller(c.id, CallerError{Caller: c.id, Refusal: refusal, TxStatus: c.txStatus})
}

// releaseIdle ends the sessions that are outside a transaction and have no
// request. It does not stop the admission of new callers.
func (e *Engine) releaseIdle() {
	for _, c := range e.callers {
		c.fire(e.charts.onCaller.drain)
	}
}

// endNow closes the session at once, in whatever state it is.
func (c *caller) endNow(reason *core.Refusal) {
	c.endReason = reason
	c.fire(c.e.charts.onCaller.ended)
}

// endWhenIdle closes the session as soon as it is outside a transaction and has
// no request. A transaction is open on a target connection, at the home, or by a
// deferred BEGIN; one whose connection was lost is over. A deferred BEGIN may stay
// idle for as long as other transactions.
func (c *caller) endWhenIdle(reason *core.Refusal) {
	first := c.endReason == nil
	c.endReason = reason
	switch {
	case c.target != nil || c.relayedTo != nil || c.stmt.active:
	case c.deferredBegin == nil:
		c.fire(c.e.charts.onCaller.ended)
	case first:
		c.e.timers.Arm(&c.timerItem, c.e.now.Add(c.e.transactionIdle))
	}
}

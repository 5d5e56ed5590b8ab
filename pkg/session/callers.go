package session

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// callerOpened admits or turns away a new caller, now or when the homes are
// known.
func (e *Engine) callerOpened(in CallerOpened) {
	if !e.deferAdmission(in) {
		e.admitCaller(in)
	}
}

// admitCaller opens the caller's session or tells why not.
func (e *Engine) admitCaller(in CallerOpened) {
	c := &caller{
		e: e, id: in.Caller, key: in.Key, trace: in.Trace,
		state: e.charts.caller.Initial(), maxAge: -1, txStatus: txIdle,
		floor: in.Carried, floorKnown: !in.Carried.IsZero(), remote: e.admittingRemote,
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

// refuseOpening resolves the caller's route, or returns why there is none.
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

// resolveAccount finds the account of a caller on an entry that belongs to no
// account by its key.
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

// accountWith returns the account that holds the key, nil if none does.
func (e *Engine) accountWith(key core.KeyID) *account {
	if key == "" {
		return nil
	}
	for _, a := range e.accounts {
		if a.holds(key) {
			return a
		}
	}
	return nil
}

func (e *Engine) checkKey(c *caller, claimed core.AccountName) *core.Refusal {
	if claimed != c.account.name || c.key == "" {
		return core.NotRun(core.ReasonWrongKey, "no such entry for this account")
	}
	if !c.account.holds(c.key) {
		return core.NotRun(core.ReasonKeyRevoked, "the key is revoked")
	}
	return nil
}

func (e *Engine) callerRequest(in CallerRequest) {
	c, ok := e.callers[in.Caller]
	if !ok {
		return
	}
	c.nextRequest = in.Request
	c.fire(e.charts.onCaller.request)
}

func (e *Engine) callerClosed(in CallerClosed) {
	e.dropPendingAdmission(in.Caller)
	if c, ok := e.callers[in.Caller]; ok {
		c.fire(e.charts.onCaller.closed)
	}
}

func (e *Engine) callerCancel(in CallerCancel) {
	if c, ok := e.callers[in.Caller]; ok {
		c.stmt.fire(e.charts.onStatement.cancelled)
	}
}

// callerBlocked holds back or releases the connection that feeds the caller.
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

func (e *Engine) applyClassification(in ClassifyResult) {
	c, ok := e.callers[in.Caller]
	if !ok || c.stmt.sequence != in.Sequence {
		return
	}
	c.stmt.classification = in.Verdict
	c.stmt.fire(e.charts.onStatement.classified)
}

// fail answers the caller's request with an error.
func (e *Engine) failRequest(c *caller, refusal *core.Refusal) {
	e.metrics.Refusals[refusal.Reason]++
	if e.cfg.AsyncReplication && c.inTransaction() {
		// A refusal says that nothing is kept, so the transaction ends with it.
		c.abandonTarget()
	}
	e.toCaller(c.id, CallerFail{Caller: c.id, Refusal: refusal, TxStatus: c.txStatus})
}

// drain starts the graceful stop.
func (e *Engine) startStop() {
	if e.stopping {
		return
	}
	e.stopping = true
	e.endAdmissionWait()
	e.timers.Arm(&e.drainTimer.item, e.now.Add(e.cfg.Bounds.Drain))
	e.releaseIdle()
}

// releaseIdle ends the sessions that are outside a transaction and have no
// request. Callers that come later are admitted.
func (e *Engine) releaseIdle() {
	for _, c := range e.callers {
		c.fire(e.charts.onCaller.drain)
	}
}

// cutOff ends the callers that are left when the bound of the stop has passed.
func (e *Engine) endAllCallers() {
	for _, c := range e.callers {
		c.endNow(core.NotRun(core.ReasonStopping, "this instance is stopping, please reconnect"))
	}
}

// end closes the session now, whatever it is doing.
func (c *caller) endNow(reason *core.Refusal) {
	c.endReason = reason
	c.fire(c.e.charts.onCaller.ended)
}

// endAtBoundary closes the session as soon as it is outside a transaction and
// has no request.
func (c *caller) endWhenIdle(reason *core.Refusal) {
	c.endReason = reason
	if c.target == nil && !c.stmt.active {
		c.fire(c.e.charts.onCaller.ended)
	}
}

func (e *Engine) finishStop() {
	if !e.stopping || e.drained || len(e.callers) > 0 {
		return
	}
	e.drained = e.outbox.out.Control(Drained{})
	if !e.drained {
		e.timers.Arm(&e.drainTimer.item, e.now.Add(e.cfg.Bounds.OutputRetry))
		return
	}
	e.timers.Disarm(&e.drainTimer.item)
	for _, t := range e.targets {
		t.fire(e.charts.onTarget.retire)
	}
}

package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session/replay"
)

// TxIdle is the transaction status outside a transaction.
const TxIdle = 'I'

// Transaction statuses as callers and targets report them.
const (
	txIdle = TxIdle
	txOpen = 'T'
)

// caller is one caller session. It embeds its only statement, because a caller
// has at most one unanswered request.
type caller struct {
	e           *Engine
	id          CallerID
	key         core.KeyID
	traceParent string
	entry       *entry
	account     *account
	db          *database
	state       chart.State
	timerItem   timerq.Item[timed]

	// floor is the log position that reads of the session must see.
	floor      core.Position
	floorKnown bool
	// requiredRound is the first floor round that began after the session.
	requiredRound uint64

	// maxAge is the session's own staleness bound, negative when not set.
	maxAge   time.Duration
	settings replay.Settings
	// txSettings collects the settings of the open transaction.
	txSettings replay.Settings

	// target is the connection that runs the statement or is pinned by the open
	// transaction.
	target   *target
	txStatus byte
	blocked  bool
	// deferredBegin is set for an open transaction that no member has begun
	// yet.
	deferredBegin *deferredBegin
	// relayedTo is the home that runs the statement or the open transaction;
	// nil if they run on this instance.
	relayedTo *homePeer
	// relayTxSequence is the sequence number of the statement that began the
	// transaction at the home.
	relayTxSequence uint64
	// remote is set for a caller of another instance, whose requests arrive
	// relayed.
	remote *remoteCaller
	// endReason is set when the session has to end at the next clean boundary;
	// the caller receives it.
	endReason *core.Refusal
	// nextRequest is the request that the event "request" carries.
	nextRequest *Request
	// lastExplanation explains the last statement that was not about a
	// parameter of the proxy.
	lastExplanation explanation
	stmt            statement
}

// callerRegistry binds the guards, actions and timeouts of the chart "caller".
func callerRegistry(b *Bounds) chart.Registry[*caller] {
	return chart.Registry[*caller]{
		Guards: map[string]func(*caller) bool{
			"stopping":            func(c *caller) bool { return c.e.stopping },
			"in_transaction":      (*caller).inTransaction,
			"transaction_lost":    func(c *caller) bool { return c.inTransaction() && c.target == nil && c.relayedTo == nil },
			"transaction_expired": (*caller).transactionExpired,
			// The member was withdrawn while the answered statement ran on it.
			"transaction_withdrawn": (*caller).transactionWithdrawn,
			"begin_deferred":        func(c *caller) bool { return c.deferredBegin != nil },
			"access_withdrawn":      (*caller).accessWithdrawn,
			"end_pending":           func(c *caller) bool { return c.endReason != nil },
			"ended_by_stop":         (*caller).endedByStop,
			// The caller's instance is told with the next request that the transaction
			// is gone, whether or not this instance still knows the session.
			"remote_ended_by_stop": func(c *caller) bool { return c.remote != nil && c.endedByStop() },
		},
		Actions: map[string]func(*caller){
			"start_statement":           (*caller).startStatement,
			"abort_statement":           (*caller).abortStatement,
			"abandon_target":            (*caller).abandonTarget,
			"mark_uncertain_if_running": (*caller).markUncertainIfRunning,
			"answer_lost_transaction":   (*caller).answerLostTransaction,
			"close_stopping":            (*caller).closeStopping,
			"close_with_reason":         (*caller).closeWithReason,
			"close_idle":                (*caller).closeIdle,
			"set_violation_reason":      (*caller).setViolationReason,
		},
		Timeouts: b.callerTimeouts(),
	}
}

// fire applies an event and arms the timer of the new state.
func (c *caller) fire(ev event) {
	table := c.e.charts.caller
	before := c.state
	table.Fire(c, &c.state, ev)
	if c.state != before {
		c.arm()
	}
}

// arm sets the timer of the current state, or removes a caller whose session is
// closed.
func (c *caller) arm() {
	table := c.e.charts.caller
	if table.Final(c.state) {
		c.e.timers.Disarm(&c.timerItem)
		delete(c.e.callers, c.id)
		return
	}
	after := table.Timeout(c.state)
	if after == dynamicTransactionIdle {
		after = c.e.transactionIdle
		if c.remote != nil {
			after += remoteIdleMargin
		}
	}
	c.e.timers.Arm(&c.timerItem, c.e.now.Add(after))
}

// timeOut implements timed.
func (c *caller) timeOut() {
	before := c.state
	c.fire(c.e.charts.onCaller.timedOut)
	if c.state == before {
		c.arm()
	}
}

// inTransaction reports whether a transaction is open, or failed and not yet
// ended.
func (c *caller) inTransaction() bool {
	return c.txStatus != txIdle
}

// transactionExpired reports whether the database has been leaving for longer
// than Bounds.Leaving, so that its open transactions have to end. With AsyncReplication
// the limit for idle transactions bounds them alone.
func (c *caller) transactionExpired() bool {
	return !c.e.cfg.AsyncReplication && c.db.leaving && c.e.now.After(c.db.leavingSince.Add(c.e.cfg.Bounds.Leaving))
}

// accessWithdrawn reports whether the caller may not use its entry any more, so that its
// session ends after the running statement, even in a transaction.
func (c *caller) accessWithdrawn() bool {
	return c.endReason != nil && (c.endReason.Reason == core.ReasonKeyRevoked || c.endReason.Reason == core.ReasonWrongKey)
}

// pinTo assigns the connection to the caller.
func (c *caller) pinTo(t *target) {
	c.target = t
	t.caller = c
}

// unpin releases the caller's connection. The transaction status stays, which
// marks an open transaction as lost.
func (c *caller) unpin() {
	if c.target == nil {
		return
	}
	c.target.caller = nil
	c.target = nil
}

// abandonTarget closes the connection of a request or transaction for which no
// caller waits any more, so that a late answer cannot reach another caller.
func (c *caller) abandonTarget() {
	c.endRelay()
	t := c.target
	c.unpin()
	c.endTransaction()
	if t != nil {
		t.fire(c.e.charts.onTarget.abandon)
	}
}

// endTransaction discards the open transaction and its settings.
func (c *caller) endTransaction() {
	c.txStatus = txIdle
	c.deferredBegin = nil
	c.txSettings = replay.Settings{}
}

// abortStatement ends the running statement without an answer and closes its
// connection.
func (c *caller) abortStatement() {
	c.stmt.fire(c.e.charts.onStatement.aborted)
	c.abandonTarget()
}

// markUncertainIfRunning replaces the reason for the end of the session while a
// statement is running, because its outcome is then not known.
func (c *caller) markUncertainIfRunning() {
	if !c.stmt.sent && !c.stmt.mayHaveRun && !c.stmt.runsAtHome() {
		return
	}
	refusal := core.Uncertain(c.endReason.Message + " while a statement was running")
	refusal.Fatal = true
	c.endReason = refusal
}

// runsAtHome reports whether the statement may run at the home of its account.
func (s *statement) runsAtHome() bool {
	home := s.c.relayedTo
	return home != nil && home.relayed[s.c.id] == s
}

// answerLostTransaction answers the first request after the pinned connection
// broke: the transaction was rolled back.
func (c *caller) answerLostTransaction() {
	c.endTransaction()
	c.e.failRequest(c, rolledBack("the connection to the target was lost between two statements"))
}

// closeStopping closes the session because the instance is stopping or
// isolated.
func (c *caller) closeStopping() {
	reason := "this instance is stopping, please reconnect"
	if !c.e.stopping {
		reason = "this instance is cut off, please reconnect"
	}
	c.close(core.NotRun(core.ReasonStopping, reason))
}

// closeWithReason closes the session with its endReason.
func (c *caller) closeWithReason() {
	c.close(c.endReason)
}

func (c *caller) closeIdle() {
	c.close(core.NotRun(core.ReasonStopping, "the session was idle for too long"))
}

// setViolationReason sets the reason for closing a caller that sent a request
// before the previous one was answered.
func (c *caller) setViolationReason() {
	c.endReason = core.NotRun(core.ReasonProtocolViolation, "a request arrived before the last one was answered")
}

// close counts the refusal and closes the caller's connection with it.
func (c *caller) close(refusal *core.Refusal) {
	refusal.Fatal = true
	c.e.metrics.Refusals[refusal.Reason]++
	c.e.toCaller(c.id, CallerClose{Caller: c.id, Refusal: refusal})
}

// rolledBack returns the refusal for a transaction that did not commit.
func rolledBack(message string) *core.Refusal {
	return core.NotRun(core.ReasonTransactionAborted, "transaction rolled back: "+message)
}

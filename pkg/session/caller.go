package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// TxIdle is the transaction status outside a transaction.
const TxIdle = 'I'

// Transaction statuses as callers and targets report them.
const (
	txIdle = TxIdle
	txOpen = 'T'
)

// caller is one session. Its only statement is part of it, because a caller
// has at most one unanswered request.
type caller struct {
	e         *Engine
	id        CallerID
	key       core.KeyID
	trace     string
	entry     *entry
	account   *account
	db        *database
	state     chart.State
	timerItem timerq.Item[timed]

	// floor is the position that reads of the session must see.
	floor      core.Position
	floorKnown bool
	// needRound is the first floor round that began after the session.
	requiredRound uint64

	// maxAge is the session's own staleness bound, negative when not set.
	maxAge   time.Duration
	settings settings
	// txSettings collects the settings of the open transaction.
	txSettings settings

	// target runs the statement or is pinned by the open transaction.
	target   *target
	txStatus byte
	blocked  bool
	// begun is the transaction that no member has yet.
	deferredBegin *deferredBegin
	// relayedTo is the home that runs the statement or the open transaction; nil if
	// this instance does.
	relayedTo *homePeer
	// relayBegan is the sequence of the statement that began the transaction there.
	relayTxSequence uint64
	// remote is set for a caller of another instance.
	remote *remoteCaller
	// keyLost is set when the session ends with its running statement.
	keyRevoked bool
	// ending is why the caller is told to go at the next clean boundary.
	endReason *core.Refusal
	// incoming is the request that the event "request" carries.
	nextRequest *Request
	// last explains the last statement that was not about the proxy itself.
	lastExplanation explanation
	stmt            statement
}

func callerRegistry(b *Bounds) chart.Registry[*caller] {
	return chart.Registry[*caller]{
		Guards: map[string]func(*caller) bool{
			"stopping":            func(c *caller) bool { return c.e.stopping },
			"in_transaction":      (*caller).inTransaction,
			"transaction_lost":    func(c *caller) bool { return c.inTransaction() && c.target == nil && c.relayedTo == nil },
			"transaction_expired": (*caller).transactionExpired,
			"begin_deferred":      func(c *caller) bool { return c.deferredBegin != nil },
			"key_revoked":         func(c *caller) bool { return c.keyRevoked },
			"end_pending":         func(c *caller) bool { return c.endReason != nil },
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

// fire applies an event and keeps the deadline of the resulting state.
func (c *caller) fire(ev event) {
	table := c.e.charts.caller
	before := c.state
	table.Fire(c, &c.state, ev)
	if c.state != before {
		c.arm()
	}
}

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
	}
	c.e.timers.Arm(&c.timerItem, c.e.now.Add(after))
}

func (c *caller) timeOut() {
	before := c.state
	c.fire(c.e.charts.onCaller.timedOut)
	if c.state == before {
		c.arm()
	}
}

func (c *caller) inTransaction() bool {
	return c.txStatus != txIdle
}

func (c *caller) transactionExpired() bool {
	return c.db.leaving && c.e.now.After(c.db.leavingSince.Add(c.e.cfg.Bounds.Leaving))
}

// pinTo binds the caller and the connection to each other.
func (c *caller) pinTo(t *target) {
	c.target = t
	t.caller = c
}

// unpin ends the bond and any transaction that depended on it.
func (c *caller) unpin() {
	if c.target == nil {
		return
	}
	c.target.caller = nil
	c.target = nil
}

// abandonTarget closes the connection of a request or transaction that nobody
// waits for any more, so that a late answer reaches no other caller.
func (c *caller) abandonTarget() {
	c.endRelay()
	t := c.target
	c.unpin()
	c.endTransaction()
	if t != nil {
		t.fire(c.e.charts.onTarget.abandon)
	}
}

// endTransaction forgets the open transaction without its settings.
func (c *caller) endTransaction() {
	c.txStatus = txIdle
	c.deferredBegin = nil
	c.txSettings = settings{}
}

func (c *caller) abortStatement() {
	c.stmt.fire(c.e.charts.onStatement.aborted)
	c.abandonTarget()
}

// noteRunning replaces the reason for the end of the session when a statement
// is under way, whose outcome is then not known.
func (c *caller) markUncertainIfRunning() {
	if !c.stmt.sent && !c.stmt.mayHaveRun {
		return
	}
	refusal := core.Uncertain(c.endReason.Message + " while a statement was running")
	refusal.Fatal = true
	c.endReason = refusal
}

func (c *caller) answerLostTransaction() {
	c.endTransaction()
	c.e.failRequest(c, rolledBack("the connection to the target was lost between two statements"))
}

func (c *caller) closeStopping() {
	reason := "this instance is stopping, please reconnect"
	if !c.e.stopping {
		reason = "this instance is cut off, please reconnect"
	}
	c.close(core.NotRun(core.ReasonStopping, reason))
}

func (c *caller) closeWithReason() {
	c.close(c.endReason)
}

func (c *caller) closeIdle() {
	c.close(core.NotRun(core.ReasonStopping, "the session was idle for too long"))
}

func (c *caller) setViolationReason() {
	c.endReason = core.NotRun(core.ReasonProtocolViolation, "a request arrived before the last one was answered")
}

func (c *caller) close(refusal *core.Refusal) {
	refusal.Fatal = true
	c.e.metrics.Refusals[refusal.Reason]++
	c.e.toCaller(c.id, CallerClose{Caller: c.id, Refusal: refusal})
}

func rolledBack(message string) *core.Refusal {
	return core.NotRun(core.ReasonTransactionAborted, "transaction rolled back: "+message)
}

package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fairqueue"
)

// statement is one request of a caller, from its arrival to its answer.
type statement struct {
	c         *caller
	state     chart.State
	timerItem timerq.Item[timed]
	queueItem fairqueue.Item[*statement]

	request        *Request
	classification Classification
	sequence       uint64
	deadline       time.Time
	// active is set until the statement is answered or aborted.
	active bool

	// member is the member chosen for the statement; meetsDeadline reports
	// whether the member can serve it before its deadline, and reason why this
	// member, or none, was chosen.
	member        *member
	meetsDeadline bool
	reason        string
	// replicaWaitOver is set once the wait for a replica has ended.
	replicaWaitOver  bool
	appliedRequested bool
	// waitIndex is the index in database.waiting; notWaiting if the statement
	// is not listed there.
	waitIndex int
	// startedInTx is set when the statement began inside a transaction; the
	// member may end that transaction with its answer.
	startedInTx bool
	// rejection is why the member did not run the last attempt.
	rejection Rejection
	// waitsForSlot is set while a statement of a transaction waits for a slot
	// of its member, waitsForToken while it waits for a token of its account.
	waitsForSlot  bool
	waitsForToken bool

	// sent is set from the hand-over to a target connection until the answer.
	sent bool
	// mayHaveRun is set once a connection broke after a part of the request was
	// sent. No later refusal may then say "not run".
	mayHaveRun bool
	sentAt     time.Time
	// unsent is set when no byte of the request reached the target or the home.
	unsent  bool
	retries int
	// chunk holds the newest frames of the result, heldFrames those that are
	// kept back until the commit is confirmed.
	chunk      []byte
	heldFrames []byte
	// lastForwarded is when frames were last sent to the caller.
	lastForwarded time.Time
	// position is the log position reported with the answer.
	position  core.Position
	errorCode string
	// memberReadOnly is set when the member refused the statement because it
	// accepts no writes.
	memberReadOnly bool
	txStatus       byte
	// confirming is set while the statement waits for a majority to confirm its
	// commit.
	confirming bool
	readyAt    time.Time
	readyTerm  core.Term
	outcome    string
	// deferredBegin is set for the first statement of a transaction whose BEGIN
	// was deferred; the member receives both together.
	deferredBegin *deferredBegin
	// relayResponse is the home's response.
	relayResponse RelayResponse
	// refusal is the proxy's own answer, nil if there was none.
	refusal *core.Refusal
	// stateSince is when the statement entered its current state.
	stateSince time.Time
}

// notWaiting is the waitIndex of a statement that is in no wait list.
const notWaiting = -1

// init prepares the statement of a new caller; start begins its first request.
func (s *statement) init(c *caller) {
	s.c = c
	s.state = c.e.charts.statement.StateID("done")
	s.timerItem.Value = s
	s.queueItem.Value = s
	s.waitIndex = notWaiting
}

// start resets the statement for a new request. The previous statement has left
// all queues and lists by then.
func (s *statement) start(r *Request) {
	e := s.c.e
	e.sequence++
	s.request = r
	s.classification = Classification{}
	s.sequence = e.sequence
	s.stateSince = e.now
	s.deadline = e.stopDeadline(s.requestDeadline())
	s.active = true
	s.member, s.meetsDeadline, s.reason = nil, false, ""
	s.replicaWaitOver, s.appliedRequested = false, false
	s.sent, s.unsent, s.retries, s.mayHaveRun = false, false, 0, false
	s.chunk, s.heldFrames = nil, nil
	s.rejection = RejectionNone
	s.deferredBegin = nil
	s.startedInTx = s.c.inTransaction()
	s.position, s.errorCode, s.memberReadOnly, s.txStatus = core.Position{}, "", false, txIdle
	s.outcome = ""
	s.refusal = nil
	s.relayResponse = RelayResponse{}
	s.state = e.charts.statement.Initial()
	s.arm()
}

// requestDeadline returns the deadline that the request and its entry set.
func (s *statement) requestDeadline() time.Time {
	deadline := s.request.Arrived.Add(s.c.entry.deadline)
	if own := s.request.Deadline; !own.IsZero() {
		return clock.Earlier(own, deadline)
	}
	return deadline
}

// fire applies an event and arms the timer of the new state. When the state is
// final, it completes the statement.
func (s *statement) fire(ev event) {
	e := s.c.e
	before, since := s.state, s.stateSince
	s.stateSince = e.now
	e.charts.statement.Fire(s, &s.state, ev)
	if s.state == before {
		s.stateSince = since
		return
	}
	s.traceState(before, since)
	if e.charts.statement.Final(s.state) {
		s.complete()
		return
	}
	s.arm()
}

// arm sets the timer of the current state.
func (s *statement) arm() {
	e := s.c.e
	after := e.charts.statement.Timeout(s.state)
	if after == statementDeadline {
		e.timers.Arm(&s.timerItem, s.deadline)
		return
	}
	e.timers.Arm(&s.timerItem, e.now.Add(after))
}

// timeOut implements timed. It fires the chart's timeout and arms the timer
// again if the state stays.
func (s *statement) timeOut() {
	before := s.state
	s.fire(s.c.e.charts.onStatement.timedOut)
	if s.active && s.state == before {
		s.arm()
	}
}

// complete removes the finished statement from every queue and list and reports
// to the caller's chart that its request was answered.
func (s *statement) complete() {
	if !s.active {
		return
	}
	e := s.c.e
	s.active = false
	s.logDecision()
	s.sent = false
	e.timers.Disarm(&s.timerItem)
	s.leaveQueues()
	if !s.isProxyParameter() {
		s.c.lastExplanation = s.explanation()
	}
	s.recordAnswer()
	s.request, s.chunk, s.heldFrames = nil, nil, nil
	s.relayResponse = RelayResponse{}
	s.c.fire(e.charts.onCaller.answered)
}

// leaveQueues removes the statement from every queue and list.
func (s *statement) leaveQueues() {
	s.c.db.removeWaiting(s)
	s.c.db.removeConfirming(s)
	s.dequeue()
	s.waitsForToken = false
}

// recordAnswer records the latency in the account's metrics and emits the span
// of the whole statement.
func (s *statement) recordAnswer() {
	e := s.c.e
	now := e.now
	s.c.account.metrics.answered(now.Sub(s.request.Arrived))
	if parent := s.traceParent(); parent != "" {
		s.trace(parent, "statement", s.request.Arrived, map[string]string{"explain": s.explanation().String()})
	}
}

// statementRegistry binds the guards, actions and timeouts of the chart
// "statement".
func statementRegistry(b *Bounds) chart.Registry[*statement] {
	return chart.Registry[*statement]{
		Guards: map[string]func(*statement) bool{
			"in_transaction":           func(s *statement) bool { return s.c.inTransaction() },
			"unsupported":              func(s *statement) bool { return s.classification.Kind == KindUnsupported },
			"proxy_parameter":          (*statement).isProxyParameter,
			"write_on_read_only_entry": (*statement).isWriteOnReadOnlyEntry,
			"needs_no_target":          (*statement).needsNoTarget,
			"database_leaving":         func(s *statement) bool { return s.c.db.leaving },
			"settings_too_large":       (*statement).settingsTooLarge,
			"needs_floor":              (*statement).needsFloor,
			"placeable":                (*statement).placeable,
			"cannot_finish_in_time":    (*statement).cannotFinishInTime,
			"lacks_primary_access":     (*statement).lacksPrimaryAccess,
			"all_withdrawn":            func(s *statement) bool { return s.c.db.allWithdrawn() },
			"may_use_replica":          (*statement).mayUseReplica,
			"falls_back_to_primary":    (*statement).fallsBackToPrimary,
			"from_replaced_primary":    (*statement).fromReplacedPrimary,
			"refused_by_fenced_member": (*statement).refusedByFencedMember,
			"unconfirmed":              (*statement).unconfirmed,
			"held_result_too_large":    (*statement).heldResultTooLarge,
			"must_hold_result":         (*statement).mustHoldResult,
			"progressing":              (*statement).progressing,
			"transaction_rolled_back":  (*statement).transactionRolledBack,
			"retry_placeable":          func(s *statement) bool { return s.retryable() && s.placeable() },
			"retry_on_replica":         func(s *statement) bool { return s.retryable() && s.mayUseReplica() },
			"retryable":                (*statement).retryable,
			"rejected_placeable":       func(s *statement) bool { return s.rejectedByMember() && s.placeable() },
			"rejected_without_time":    func(s *statement) bool { return s.rejectedByMember() && s.cannotFinishInTime() },
			"rejected_retryable":       (*statement).rejectedByMember,
			// Waiting for a primary would not help.
			"rejected_primary_withheld": func(s *statement) bool { return s.rejectedByMember() && s.primaryWithheld() },
			"retry_primary_withheld":    func(s *statement) bool { return s.retryable() && s.primaryWithheld() },
			"may_run_locally":           (*statement).mayRunLocally,
			"unsent":                    func(s *statement) bool { return s.unsent },
		},
		Actions:  statementActions(),
		Timeouts: b.statementTimeouts(),
	}
}

// statementActions returns the actions of the chart "statement".
func statementActions() map[string]func(*statement) {
	return map[string]func(*statement){
		"send_relay":                 (*statement).sendRelay,
		"finish_relay":               (*statement).finishRelay,
		"refuse_relay":               (*statement).refuseRelay,
		"end_relay":                  func(s *statement) { s.c.endRelay() },
		"admit_locally":              (*statement).admitLocally,
		"wait_for_token":             (*statement).waitForToken,
		"request_classification":     (*statement).requestClassification,
		"request_floor":              func(s *statement) { s.c.db.requireRound(s.c.requiredRound) },
		"request_applied":            (*statement).requestApplied,
		"request_confirmation":       (*statement).requestConfirmation,
		"wait_for_view":              func(s *statement) { s.c.db.addWaiting(s) },
		"enqueue":                    (*statement).enqueue,
		"enqueue_pinned":             (*statement).enqueuePinned,
		"dequeue":                    (*statement).dequeue,
		"send":                       (*statement).send,
		"hold_result":                (*statement).holdResult,
		"hold_last_frames":           (*statement).holdResult,
		"forward":                    (*statement).forward,
		"forward_cancel":             (*statement).forwardCancel,
		"finish":                     (*statement).finish,
		"abandon_target":             func(s *statement) { s.c.abandonTarget() },
		"count_retry":                (*statement).countRetry,
		"reset_attempt":              (*statement).resetAttempt,
		"answer_proxy_parameter":     (*statement).answerProxyParameter,
		"answer_transaction_control": (*statement).answerTransactionControl,
		"answer_locally":             (*statement).answerLocally,
		"answer_rolled_back":         (*statement).answerRolledBack,
		"answer_uncertain":           (*statement).answerUncertain,
		"refuse_rate":                (*statement).refuseRate,
		"refuse_unsupported":         (*statement).refuseUnsupported,
		"refuse_settings_too_large":  (*statement).refuseSettingsTooLarge,
		"refuse_read_only":           (*statement).refuseReadOnly,
		"refuse_database_leaving":    (*statement).refuseDatabaseLeaving,
		"refuse_overloaded":          (*statement).refuseOverloaded,
		"refuse_deadline":            (*statement).refuseDeadline,
		"refuse_no_member":           (*statement).refuseNoMember,
		"refuse_no_primary":          (*statement).refuseNoPrimary,
		"refuse_evacuated":           (*statement).refuseEvacuated,
		"refuse_cancelled":           (*statement).refuseCancelled,
	}
}

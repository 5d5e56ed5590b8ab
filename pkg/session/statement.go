package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fairqueue"
)

// statement is one request of a caller, from its arrival to its answer.
type statement struct {
	c     *caller
	state chart.State
	item  timerq.Item[timed]
	queue fairqueue.Item[*statement]

	request  *Request
	verdict  Verdict
	sequence uint64
	deadline time.Time
	// active is set until the statement is answered or aborted.
	active bool

	// member is where the statement goes; fits tells whether it can be served
	// there before its deadline, and reason why it was chosen.
	member *member
	fits   bool
	reason string
	// primaryNow is set once the wait for a replica is over.
	primaryNow   bool
	askedApplied bool
	// waitIndex is the place among the statements that wait for a view.
	waitIndex int
	// inside is set when the statement began inside a transaction; the member may
	// end that with its answer.
	inside bool
	// denial is why the member did not run the last attempt.
	denial Denial
	// parked is set while the statement waits for a connection of its account.
	parked bool
	// pinnedWait is set while a statement of a transaction waits for a slot,
	// tokenWait while it waits for its account's rate.
	pinnedWait bool
	tokenWait  bool

	// sent is set from the hand-over to a target until the answer.
	sent bool
	// mayHaveRun is set once a connection broke after a part was sent, so that
	// no later refusal may say "not run".
	mayHaveRun bool
	sentAt     time.Time
	unsent     bool
	repeats    int
	chunk      []byte
	held       []byte
	progress   time.Time
	// position is the log position reported with the answer.
	position   core.Position
	errorState string
	// memberReadOnly is set when the member answered that it takes no writes.
	memberReadOnly bool
	txStatus       byte
	// confirming is set while the statement waits for a majority.
	confirming bool
	readyAt    time.Time
	readyTerm  core.Term
	outcome    string
	// opens is set for the first statement of a transaction, with which the member
	// gets the beginning of it.
	opens *opening
	// relayAnswer is the home's answer.
	relayAnswer RelayAnswer
	// refusal is the proxy's own answer, nil if there was none.
	refusal *core.Refusal
	// hopSince is when the statement entered its state.
	hopSince time.Time
}

// notWaiting is the index of a statement that is in no list.
const notWaiting = -1

func (s *statement) init(c *caller) {
	s.c = c
	s.state = c.e.charts.statement.StateID("done")
	s.item.Value = s
	s.queue.Value = s
	s.waitIndex = notWaiting
}

// start makes the statement of a new request; the lists it was in are left.
func (s *statement) start(r *Request) {
	e := s.c.e
	e.sequence++
	s.request = r
	s.verdict = Verdict{}
	s.sequence = e.sequence
	s.hopSince = e.now
	s.deadline = r.Arrived.Add(s.c.entry.deadline)
	s.active = true
	s.member, s.fits, s.reason = nil, false, ""
	s.primaryNow, s.askedApplied = false, false
	s.sent, s.unsent, s.repeats, s.mayHaveRun = false, false, 0, false
	s.chunk, s.held = nil, nil
	s.denial = DenialNone
	s.opens = nil
	s.inside = s.c.inTransaction()
	s.position, s.errorState, s.memberReadOnly, s.txStatus = core.Position{}, "", false, txIdle
	s.outcome = ""
	s.refusal = nil
	s.relayAnswer = RelayAnswer{}
	s.state = e.charts.statement.Initial()
	s.arm()
}

// fire applies an event, keeps the deadline of the resulting state, and tells
// the caller's life cycle when the statement is over.
func (s *statement) fire(ev event) {
	e := s.c.e
	before, since := s.state, s.hopSince
	s.hopSince = e.now
	e.charts.statement.Fire(s, &s.state, ev)
	if s.state == before {
		s.hopSince = since
		return
	}
	s.traceHop(before, since)
	if e.charts.statement.Final(s.state) {
		s.conclude()
		return
	}
	s.arm()
}

func (s *statement) arm() {
	e := s.c.e
	after := e.charts.statement.Timeout(s.state)
	if after == ownDeadline {
		e.timers.Arm(&s.item, s.deadline)
		return
	}
	e.timers.Arm(&s.item, e.now.Add(after))
}

func (s *statement) timeOut() {
	before := s.state
	s.fire(s.c.e.charts.stmt.timedOut)
	if s.active && s.state == before {
		s.arm()
	}
}

// conclude leaves every list and lets the caller go on.
func (s *statement) conclude() {
	if !s.active {
		return
	}
	e := s.c.e
	s.active = false
	s.note()
	s.sent = false
	e.timers.Disarm(&s.item)
	s.unlist()
	if !s.isOwnParameter() {
		s.c.last = s.explanation()
	}
	s.record()
	s.request, s.chunk, s.held = nil, nil, nil
	s.relayAnswer = RelayAnswer{}
	s.c.fire(e.charts.on.answered)
}

func (s *statement) unlist() {
	s.c.db.stopWaiting(s)
	s.c.db.stopConfirming(s)
	s.dequeue()
	s.tokenWait = false
}

func (s *statement) record() {
	e := s.c.e
	now := e.now
	s.c.account.metrics.answered(now.Sub(s.request.Arrived))
	if parent := s.traceParent(); parent != "" {
		s.trace(parent, "statement", s.request.Arrived, map[string]string{"explain": s.explanation().String()})
	}
}

// statementRegistry binds the chart "statement".
func statementRegistry(b *Bounds) chart.Registry[*statement] {
	return chart.Registry[*statement]{
		Guards: map[string]func(*statement) bool{
			"in_transaction":           func(s *statement) bool { return s.c.inTransaction() },
			"unsupported":              func(s *statement) bool { return s.verdict.Kind == KindRefused },
			"own_parameter":            (*statement).isOwnParameter,
			"forbidden_write":          (*statement).isForbiddenWrite,
			"answered_here":            (*statement).isAnsweredHere,
			"database_leaving":         func(s *statement) bool { return s.c.db.leaving },
			"too_many_settings":        (*statement).tooManySettings,
			"needs_floor":              (*statement).needsFloor,
			"placeable":                (*statement).placeable,
			"cannot_finish_in_time":    (*statement).cannotFinishInTime,
			"may_use_replica":          (*statement).mayUseReplica,
			"primary_serves":           (*statement).primaryServes,
			"from_replaced_primary":    (*statement).fromReplacedPrimary,
			"refused_by_fenced_member": (*statement).refusedByFencedMember,
			"unconfirmed":              (*statement).unconfirmed,
			"hold_overflows":           (*statement).holdOverflows,
			"holds_result":             (*statement).holdsResult,
			"progressing":              (*statement).progressing,
			"transaction_rolled_back":  (*statement).transactionRolledBack,
			"repeat_placeable":         func(s *statement) bool { return s.repeatable() && s.placeable() },
			"repeat_read":              func(s *statement) bool { return s.repeatable() && s.mayUseReplica() },
			"repeat_any":               (*statement).repeatable,
			"denied_placeable":         func(s *statement) bool { return s.denied() && s.placeable() },
			"denied_repeatable":        (*statement).denied,
			"may_run_here":             (*statement).mayRunHere,
			"unsent":                   func(s *statement) bool { return s.unsent },
		},
		Actions:  statementActions(),
		Timeouts: b.statementTimeouts(),
	}
}

func statementActions() map[string]func(*statement) {
	return map[string]func(*statement){
		"send_relay":         (*statement).sendRelay,
		"finish_relay":       (*statement).finishRelay,
		"refuse_relay":       (*statement).refuseRelay,
		"end_relay":          func(s *statement) { s.c.endRelay() },
		"admit_here":         (*statement).admitHere,
		"await_token":        (*statement).awaitToken,
		"ask_verdict":        (*statement).askVerdict,
		"ask_floor":          func(s *statement) { s.c.db.needRound(s.c.needRound) },
		"ask_applied":        (*statement).askApplied,
		"ask_confirm":        (*statement).askConfirm,
		"await_view":         func(s *statement) { s.c.db.wait(s) },
		"enqueue":            (*statement).enqueue,
		"enqueue_pinned":     (*statement).enqueuePinned,
		"dequeue":            (*statement).dequeue,
		"send":               (*statement).send,
		"hold":               (*statement).hold,
		"hold_last":          (*statement).hold,
		"forward":            (*statement).forward,
		"forward_cancel":     (*statement).forwardCancel,
		"finish":             (*statement).finish,
		"abandon_target":     func(s *statement) { s.c.abandonTarget() },
		"count_repeat":       (*statement).countRepeat,
		"forget_attempt":     (*statement).forgetAttempt,
		"answer_own":         (*statement).answerOwn,
		"answer_at_once":     (*statement).answerHereNow,
		"answer_here":        (*statement).answerHere,
		"answer_rolled_back": (*statement).answerRolledBack,
		"answer_uncertain":   (*statement).answerUncertain,
		"refuse_rate":        (*statement).refuseRate,
		"refuse_unsupported": (*statement).refuseUnsupported,
		"refuse_settings":    (*statement).refuseSettings,
		"refuse_read_only":   (*statement).refuseReadOnly,
		"refuse_leaving":     (*statement).refuseLeaving,
		"refuse_overloaded":  (*statement).refuseOverloaded,
		"refuse_deadline":    (*statement).refuseDeadline,
		"refuse_no_member":   (*statement).refuseNoMember,
		"refuse_no_primary":  (*statement).refuseNoPrimary,
		"refuse_cancelled":   (*statement).refuseCancelled,
	}
}

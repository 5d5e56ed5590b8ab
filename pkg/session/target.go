package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/pace"
)

// target is one target connection. One caller uses it at a time: for one
// request, or for as long as a transaction is open.
type target struct {
	id        TargetID
	member    *member
	state     chart.State
	timerItem timerq.Item[timed]
	caller    *caller
	// account is the account that the connection belongs to; empty if it serves
	// all.
	account core.AccountName
	// refusedAtLimit is set when the member refused the connection because of
	// its connection limit.
	refusedAtLimit bool
	// appliedSettings is the SQL of the session settings that the connection
	// has.
	appliedSettings string
	retiring        bool
	// sentAt is when the current request was sent; answered is set once it was
	// answered.
	sentAt   time.Time
	answered bool
	// paused is set while reading from the connection is paused.
	paused      bool
	openedAt    time.Time
	requestedAt time.Time
	// idleIndex is the index in the member's list of idle connections.
	idleIndex int
	idleSince time.Time
	// lastUsed is when the last request ended, or when the connection was
	// opened; a probe does not count as use.
	lastUsed time.Time
}

// targetRegistry binds the guards, actions and timeouts of the chart "target".
func targetRegistry(b *Bounds) chart.Registry[*target] {
	return chart.Registry[*target]{
		Guards: map[string]func(*target) bool{
			"retiring": func(t *target) bool { return t.retiring },
		},
		Actions: map[string]func(*target){
			"send_close":         (*target).sendClose,
			"send_probe":         (*target).sendProbe,
			"mark_retiring":      func(t *target) { t.retiring = true },
			"record_opened":      (*target).recordOpened,
			"record_open_failed": (*target).recordOpenFailed,
			"notify_lost":        (*target).notifyLost,
			"release":            (*target).release,
		},
		Timeouts: b.targetTimeouts(),
	}
}

func (t *target) engine() *Engine {
	return t.member.db.e
}

// fire applies an event, updates the member's counts and arms the timer of the
// new state.
func (t *target) fire(ev event) {
	e := t.engine()
	before := t.state
	e.charts.target.Fire(t, &t.state, ev)
	if t.state == before {
		return
	}
	t.member.connectionChanged(t, before)
	t.arm()
}

// arm sets the timer of the current state.
func (t *target) arm() {
	e := t.engine()
	if e.charts.target.Final(t.state) {
		e.timers.Disarm(&t.timerItem)
		return
	}
	e.timers.Arm(&t.timerItem, t.stateDeadline())
}

// stateDeadline returns when the current state times out.
func (t *target) stateDeadline() time.Time {
	e := t.engine()
	ends := e.now.Add(e.charts.target.Timeout(t.state))
	if idleTimeout := t.member.db.idleTimeout; idleTimeout > 0 && t.isIdle() {
		return clock.Earlier(ends, t.lastUsed.Add(idleTimeout))
	}
	return ends
}

// timeOut implements timed.
func (t *target) timeOut() {
	before := t.state
	t.fire(t.engine().charts.onTarget.timedOut)
	if t.state == before {
		t.arm()
	}
}

func (t *target) sendClose() {
	t.engine().outbox.toTarget(TargetClose{Target: t.id})
}

// recordOpened records the time that it took to open the connection.
func (t *target) recordOpened() {
	e := t.engine()
	t.openedAt, t.lastUsed = e.now, e.now
	t.member.failures, t.member.limitRefusals = 0, 0
	t.member.db.openTime = smooth(t.member.db.openTime, e.now.Sub(t.requestedAt))
	e.scheduleDispatch(t.member)
}

// recordOpenFailed starts a backoff for the member whose connection could not
// be opened.
func (t *target) recordOpenFailed() {
	if t.refusedAtLimit {
		t.member.recordLimitRefusal()
		return
	}
	t.member.suspect()
}

// notifyLost reports the loss of the connection to the statement or transaction
// that used it.
func (t *target) notifyLost() {
	c := t.caller
	if c == nil {
		return
	}
	e := t.engine()
	e.outbox.out.Control(MemberSuspected{Database: t.member.db.name, Member: t.member.id})
	t.member.paceAnswer(pace.Answer{Kind: pace.Lost})
	c.unpin()
	c.stmt.fire(e.charts.onStatement.lost)
	c.fire(e.charts.onCaller.targetLost)
}

// release removes the closed connection, which frees its unit of the connection
// limit.
func (t *target) release() {
	e := t.engine()
	delete(e.targets, t.id)
	delete(t.member.db.targets, t.id)
	t.member.db.scheduleDispatch()
}

// setPaused pauses or resumes reading the result, depending on the caller's
// output buffer.
func (t *target) setPaused(paused bool) {
	if t.paused == paused {
		return
	}
	t.paused = paused
	outbox := &t.engine().outbox
	if paused {
		outbox.toTarget(TargetPause{Target: t.id})
		return
	}
	outbox.toTarget(TargetResume{Target: t.id})
}

// smooth returns the exponential moving average with a weight of 1/8 for the
// new sample.
func smooth(old, sample time.Duration) time.Duration {
	if old <= 0 {
		return sample
	}
	return old + (sample-old)/8
}

func (e *Engine) targetOpened(in TargetOpened) {
	if t, ok := e.targets[in.Target]; ok {
		t.member.responseReceived()
		t.fire(e.charts.onTarget.opened)
		t.member.db.learnTermFrom(t)
	}
}

// targetData passes result frames to the statement that runs on the connection.
func (e *Engine) targetData(in TargetData) {
	t, ok := e.targets[in.Target]
	if !ok || t.caller == nil {
		return
	}
	s := &t.caller.stmt
	s.chunk = in.Frames
	s.fire(e.charts.onStatement.data)
}

// targetReady ends the request that ran on the connection.
func (e *Engine) targetReady(in TargetReady) {
	t, ok := e.targets[in.Target]
	if !ok {
		return
	}
	t.member.responseReceived()
	if t.state == e.targetStates.probing {
		t.probeAnswered(&in)
		return
	}
	c := t.caller
	if c == nil || !c.stmt.sent {
		t.notifyLost()
		t.fire(e.charts.onTarget.abandon)
		return
	}
	s := &c.stmt
	s.chunk = in.Frames
	s.position = in.Position
	s.errorCode = in.ErrorCode
	s.memberReadOnly = in.ReadOnly
	s.rejection = in.Rejection
	sentAt := s.sentAt
	t.answered = true
	t.member.paceReady(s, &in)
	t.member.recordRejection(in.Rejection)
	t.member.recordServiceTime(e.now.Sub(sentAt))
	c.applyTxStatus(s, in.TxStatus)
	t.releaseOrPin(c)
	s.fire(e.charts.onStatement.ready)
	// A newer term ends the statements on the replaced primary, so the answer
	// itself has to be handled first.
	t.member.observeLogEnd(sentAt, &in)
	e.scheduleDispatch(t.member)
}

// applyTxStatus applies the transaction status that the target reported, and
// the settings that were committed or rolled back with it.
func (c *caller) applyTxStatus(s *statement, status byte) {
	previous := c.txStatus
	t := c.target
	if status != txIdle && previous == txIdle {
		c.txSettings = c.settings
	}
	if status == txIdle && previous == txOpen && s.classification.Commit && s.errorCode == "" {
		c.settings = c.txSettings
	}
	c.txStatus = status
	if s.classification.ChangesSessionState {
		t.retiring = true
	}
	if s.classification.Kind == KindSessionSet && s.errorCode == "" {
		c.recordSetting(s)
	}
	if status == txIdle {
		t.appliedSettings = c.settings.SQL()
		c.endTransaction()
	}
}

// releaseOrPin returns the connection to the pool at a transaction boundary, or
// keeps it pinned for the open transaction.
func (t *target) releaseOrPin(c *caller) {
	events := &t.engine().charts.onTarget
	if c.inTransaction() {
		t.fire(events.readyOpen)
		return
	}
	t.setPaused(false)
	t.lastUsed = t.engine().now
	c.unpin()
	t.fire(events.readyIdle)
}

// targetClosed handles the end of a connection, whichever side closed it.
func (e *Engine) targetClosed(in TargetClosed) {
	t, ok := e.targets[in.Target]
	if !ok {
		return
	}
	t.refusedAtLimit = in.ConnectionLimit
	if in.ConnectionLimit {
		t.member.responseReceived()
	}
	if t.caller != nil {
		t.caller.stmt.unsent = in.Unsent
	}
	t.fire(e.charts.onTarget.lost)
}

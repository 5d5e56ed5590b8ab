package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// target is one target connection. It is used by one caller at a time: for one
// request, or for as long as a transaction is open.
type target struct {
	id        TargetID
	member    *member
	state     chart.State
	timerItem timerq.Item[timed]
	caller    *caller
	// account is whom the connection belongs to; empty if it serves all.
	account core.AccountName
	// full is set when the member refused it because of its bound.
	refusedAtLimit bool
	// applied is the replay text of the settings on the connection.
	appliedSettings string
	retiring        bool
	paused          bool
	openedAt        time.Time
	requestedAt     time.Time
	// idleIndex is the place among the member's idle connections.
	idleIndex int
	idleSince time.Time
	// usedAt is when a request last ended on it, or when it was opened; a probe is
	// no use.
	lastUsed time.Time
}

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

// fire applies an event and keeps the deadline and the member's counts of the
// resulting state.
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

func (t *target) arm() {
	e := t.engine()
	if e.charts.target.Final(t.state) {
		e.timers.Disarm(&t.timerItem)
		return
	}
	e.timers.Arm(&t.timerItem, t.stateDeadline())
}

// stateEnds returns when the present state times out.
func (t *target) stateDeadline() time.Time {
	e := t.engine()
	ends := e.now.Add(e.charts.target.Timeout(t.state))
	if rest := t.member.db.idleTimeout; rest > 0 && t.isIdle() {
		return clock.Earlier(ends, t.lastUsed.Add(rest))
	}
	return ends
}

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

// noteOpened learns how long it takes to open a connection.
func (t *target) recordOpened() {
	e := t.engine()
	t.openedAt, t.lastUsed = e.now, e.now
	t.member.failures, t.member.limitRefusals = 0, 0
	t.member.db.openTime = smooth(t.member.db.openTime, e.now.Sub(t.requestedAt))
	e.scheduleDispatch(t.member)
}

func (t *target) recordOpenFailed() {
	if t.refusedAtLimit {
		t.member.recordLimitRefusal()
		return
	}
	t.member.suspect()
}

// noteLost tells the statement or the transaction that ran on the connection.
func (t *target) notifyLost() {
	c := t.caller
	if c == nil {
		return
	}
	e := t.engine()
	e.outbox.out.Control(SuspectMember{Database: t.member.db.name, Member: t.member.id})
	c.unpin()
	c.stmt.fire(e.charts.onStatement.lost)
	c.fire(e.charts.onCaller.targetLost)
}

// release gives the connection's unit of the bound back.
func (t *target) release() {
	e := t.engine()
	delete(e.targets, t.id)
	delete(t.member.db.targets, t.id)
	t.member.db.scheduleDispatch()
}

// follow pauses or resumes reading, as the caller's buffer demands.
func (t *target) setPaused(blocked bool) {
	if t.paused == blocked {
		return
	}
	t.paused = blocked
	box := &t.engine().outbox
	if blocked {
		box.toTarget(TargetPause{Target: t.id})
		return
	}
	box.toTarget(TargetResume{Target: t.id})
}

// smooth returns the exponentially smoothed duration, with 1/8 for the newest.
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
	}
}

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
	s.errorCode = in.ErrorState
	s.memberReadOnly = in.ReadOnly
	s.rejection = in.Denial
	asked := s.sentAt
	t.member.recordRejection(in.Denial)
	t.member.recordServiceTime(e.now.Sub(asked))
	c.applyTxStatus(s, in.TxStatus)
	t.releaseOrPin(c)
	s.fire(e.charts.onStatement.ready)
	// A newer term ends what runs on the replaced primary, so the answer itself
	// has to be dealt with first.
	t.member.observeLogEnd(asked, &in)
	e.scheduleDispatch(t.member)
}

// settle applies the transaction status that the target reported, and the
// settings that became effective or were rolled back with it.
func (c *caller) applyTxStatus(s *statement, status byte) {
	was := c.txStatus
	t := c.target
	if status != txIdle && was == txIdle {
		c.txSettings = c.settings
	}
	if status == txIdle && was == txOpen && s.classification.Commit && s.errorCode == "" {
		c.settings = c.txSettings
	}
	c.txStatus = status
	if s.classification.LeavesState {
		t.retiring = true
	}
	if s.classification.Kind == KindSessionSet && s.errorCode == "" {
		c.recordSetting(s)
	}
	if status == txIdle {
		t.appliedSettings = c.settings.replaySQL
		c.endTransaction()
	}
}

// settle returns the connection at a clean boundary, or keeps it for the open
// transaction.
func (t *target) releaseOrPin(c *caller) {
	conn := &t.engine().charts.onTarget
	if c.inTransaction() {
		t.fire(conn.readyOpen)
		return
	}
	t.setPaused(false)
	t.lastUsed = t.engine().now
	c.unpin()
	t.fire(conn.readyIdle)
}

func (e *Engine) targetClosed(in TargetClosed) {
	t, ok := e.targets[in.Target]
	if !ok {
		return
	}
	t.refusedAtLimit = in.Full
	if in.Full {
		t.member.responseReceived()
	}
	if t.caller != nil {
		t.caller.stmt.unsent = in.Unsent
	}
	t.fire(e.charts.onTarget.lost)
}

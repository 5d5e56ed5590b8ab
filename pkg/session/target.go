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
	id     TargetID
	member *member
	state  chart.State
	item   timerq.Item[timed]
	caller *caller
	// account is whom the connection belongs to; empty if it serves all.
	account core.AccountName
	// full is set when the member refused it because of its bound.
	full bool
	// applied is the replay text of the settings on the connection.
	applied  string
	retiring bool
	paused   bool
	opened   time.Time
	asked    time.Time
	// idleIndex is the place among the member's idle connections.
	idleIndex int
	idleSince time.Time
	// usedAt is when a request last ended on it, or when it was opened; a probe is
	// no use.
	usedAt time.Time
}

func targetRegistry(b *Bounds) chart.Registry[*target] {
	return chart.Registry[*target]{
		Guards: map[string]func(*target) bool{
			"retiring": func(t *target) bool { return t.retiring },
		},
		Actions: map[string]func(*target){
			"send_close":       (*target).sendClose,
			"send_probe":       (*target).sendProbe,
			"mark_retiring":    func(t *target) { t.retiring = true },
			"note_opened":      (*target).noteOpened,
			"note_open_failed": (*target).noteOpenFailed,
			"note_lost":        (*target).noteLost,
			"release":          (*target).release,
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
	t.member.moved(t, before)
	t.arm()
}

func (t *target) arm() {
	e := t.engine()
	if e.charts.target.Final(t.state) {
		e.timers.Disarm(&t.item)
		return
	}
	e.timers.Arm(&t.item, t.stateEnds())
}

// stateEnds returns when the present state times out.
func (t *target) stateEnds() time.Time {
	e := t.engine()
	ends := e.now.Add(e.charts.target.Timeout(t.state))
	if rest := t.member.db.rest; rest > 0 && t.isIdle() {
		return clock.Earlier(ends, t.usedAt.Add(rest))
	}
	return ends
}

func (t *target) timeOut() {
	before := t.state
	t.fire(t.engine().charts.conn.timedOut)
	if t.state == before {
		t.arm()
	}
}

func (t *target) sendClose() {
	t.engine().box.target(TargetClose{Target: t.id})
}

// noteOpened learns how long it takes to open a connection.
func (t *target) noteOpened() {
	e := t.engine()
	t.opened, t.usedAt = e.now, e.now
	t.member.failures, t.member.refusals = 0, 0
	t.member.db.openTime = smooth(t.member.db.openTime, e.now.Sub(t.asked))
	e.wantDispatch(t.member)
}

func (t *target) noteOpenFailed() {
	if t.full {
		t.member.noteFull()
		return
	}
	t.member.suspect()
}

// noteLost tells the statement or the transaction that ran on the connection.
func (t *target) noteLost() {
	c := t.caller
	if c == nil {
		return
	}
	e := t.engine()
	e.box.out.Control(SuspectMember{Database: t.member.db.name, Member: t.member.id})
	c.unpin()
	c.stmt.fire(e.charts.stmt.lost)
	c.fire(e.charts.on.targetLost)
}

// release gives the connection's unit of the bound back.
func (t *target) release() {
	e := t.engine()
	delete(e.targets, t.id)
	delete(t.member.db.targets, t.id)
	t.member.db.wantDispatch()
}

// follow pauses or resumes reading, as the caller's buffer demands.
func (t *target) follow(blocked bool) {
	if t.paused == blocked {
		return
	}
	t.paused = blocked
	box := &t.engine().box
	if blocked {
		box.target(TargetPause{Target: t.id})
		return
	}
	box.target(TargetResume{Target: t.id})
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
		t.member.hear()
		t.fire(e.charts.conn.opened)
	}
}

func (e *Engine) targetData(in TargetData) {
	t, ok := e.targets[in.Target]
	if !ok || t.caller == nil {
		return
	}
	s := &t.caller.stmt
	s.chunk = in.Frames
	s.fire(e.charts.stmt.data)
}

// targetReady ends the request that ran on the connection.
func (e *Engine) targetReady(in TargetReady) {
	t, ok := e.targets[in.Target]
	if !ok {
		return
	}
	t.member.hear()
	if t.state == e.states.probing {
		t.probeAnswered(&in)
		return
	}
	c := t.caller
	if c == nil || !c.stmt.sent {
		t.noteLost()
		t.fire(e.charts.conn.abandon)
		return
	}
	s := &c.stmt
	s.chunk = in.Frames
	s.position = in.Position
	s.errorState = in.ErrorState
	s.memberReadOnly = in.ReadOnly
	s.denial = in.Denial
	asked := s.sentAt
	t.member.noteDenial(in.Denial)
	t.member.served(e.now.Sub(asked))
	c.settle(s, in.TxStatus)
	t.settle(c)
	s.fire(e.charts.stmt.ready)
	// A newer term ends what runs on the replaced primary, so the answer itself
	// has to be dealt with first.
	t.member.observe(asked, &in)
	e.wantDispatch(t.member)
}

// settle applies the transaction status that the target reported, and the
// settings that became effective or were rolled back with it.
func (c *caller) settle(s *statement, status byte) {
	was := c.txStatus
	t := c.target
	if status != txIdle && was == txIdle {
		c.txSettings = c.settings
	}
	if status == txIdle && was == txOpen && s.verdict.Commit && s.errorState == "" {
		c.settings = c.txSettings
	}
	c.txStatus = status
	if s.verdict.LeavesState {
		t.retiring = true
	}
	if s.verdict.Kind == KindSessionSet && s.errorState == "" {
		c.applySettings(s)
	}
	if status == txIdle {
		t.applied = c.settings.replay
		c.endTransaction()
	}
}

// settle returns the connection at a clean boundary, or keeps it for the open
// transaction.
func (t *target) settle(c *caller) {
	conn := &t.engine().charts.conn
	if c.inTransaction() {
		t.fire(conn.readyOpen)
		return
	}
	t.follow(false)
	t.usedAt = t.engine().now
	c.unpin()
	t.fire(conn.readyIdle)
}

func (e *Engine) targetClosed(in TargetClosed) {
	t, ok := e.targets[in.Target]
	if !ok {
		return
	}
	t.full = in.Full
	if in.Full {
		t.member.hear()
	}
	if t.caller != nil {
		t.caller.stmt.unsent = in.Unsent
	}
	t.fire(e.charts.conn.lost)
}

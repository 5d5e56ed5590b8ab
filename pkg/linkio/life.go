package linkio

import (
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

// life is the life cycle of one connection with the deadline of its state.
type life[S any] struct {
	subject S
	table   *chart.Table[S]
	timers  *timerq.Queue[func()]
	state   chart.State
	timer   timerq.Item[func()]
	// gone is set once the socket is closed, stalled while it is not read because
	// the session ring is full.
	gone    bool
	stalled bool
}

// enter begins the life in its initial state; timedOut is called at the deadline
// of a state.
func (l *life[S]) enter(subject S, table *chart.Table[S], timers *timerq.Queue[func()], timedOut func()) {
	l.subject, l.table, l.timers = subject, table, timers
	l.state = table.Initial()
	l.timer.Value = timedOut
}

// fire applies an event and keeps the deadline of the resulting state.
func (l *life[S]) fire(event chart.Event) {
	before := l.state
	l.table.Fire(l.subject, &l.state, event)
	if l.state != before && !l.gone {
		l.arm()
	}
}

func (l *life[S]) arm() {
	if l.table.Final(l.state) {
		l.timers.Disarm(&l.timer)
		return
	}
	l.timers.Arm(&l.timer, clock.Now().Add(l.table.Timeout(l.state)))
}

// expire fires the timeout of the present state and reports whether the state
// stayed, with a new deadline.
func (l *life[S]) expire(event chart.Event) bool {
	before := l.state
	l.fire(event)
	stays := l.state == before && !l.gone
	if stays {
		l.arm()
	}
	return stays
}

// end forgets the deadline of a closed connection.
func (l *life[S]) end() {
	l.timers.Disarm(&l.timer)
}

// stall stops reading the connection until wait, which takes what to do when the
// session ring has room, calls back; process then goes on.
func (l *life[S]) stall(conn *netloop.Conn, wait func(again func()), process func()) {
	if l.stalled {
		return
	}
	l.stalled = true
	conn.PauseRead()
	wait(func() {
		l.stalled = false
		if l.gone {
			return
		}
		conn.ResumeRead()
		process()
	})
}

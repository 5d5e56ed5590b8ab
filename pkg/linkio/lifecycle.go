package linkio

import (
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

// lifecycle is the chart state of one connection and the timer of that state. S is the
// type that the chart's actions are called on.
type lifecycle[S any] struct {
	subject S
	table   *chart.Table[S]
	timers  *timerq.Queue[func()]
	state   chart.State
	timer   timerq.Item[func()]
	// closed is set once the socket is closed, pausedByRing while it is not read
	// because the session ring is full.
	closed       bool
	pausedByRing bool
}

// start enters the chart's initial state. timedOut is called when the timeout of a
// state has passed; the caller arms the first timer.
func (l *lifecycle[S]) start(subject S, table *chart.Table[S], timers *timerq.Queue[func()], timedOut func()) {
	l.subject, l.table, l.timers = subject, table, timers
	l.state = table.Initial()
	l.timer.Value = timedOut
}

// fire applies an event and sets the timer of the new state if the state changed.
func (l *lifecycle[S]) fire(event chart.Event) {
	before := l.state
	l.table.Fire(l.subject, &l.state, event)
	if l.state != before && !l.closed {
		l.armTimer()
	}
}

// armTimer sets the timer of the current state; a final state has none.
func (l *lifecycle[S]) armTimer() {
	if l.table.Final(l.state) {
		l.timers.Disarm(&l.timer)
		return
	}
	l.timers.Arm(&l.timer, clock.Now().Add(l.table.Timeout(l.state)))
}

// fireTimeout applies the timeout event. It reports whether the state stayed the same,
// and then sets its timer again.
func (l *lifecycle[S]) fireTimeout(event chart.Event) bool {
	before := l.state
	l.fire(event)
	stays := l.state == before && !l.closed
	if stays {
		l.armTimer()
	}
	return stays
}

// stopTimer removes the timer of a closed connection.
func (l *lifecycle[S]) stopTimer() {
	l.timers.Disarm(&l.timer)
}

// pauseForRing pauses reading the connection while the session ring is full. It
// passes a callback to wait, which calls it once the ring has free space; the callback
// resumes reading and calls processInput.
func (l *lifecycle[S]) pauseForRing(socket *netloop.Conn, wait func(resume func()), processInput func()) {
	if l.pausedByRing {
		return
	}
	l.pausedByRing = true
	socket.PauseRead()
	wait(func() {
		l.pausedByRing = false
		if l.closed {
			return
		}
		socket.ResumeRead()
		processInput()
	})
}

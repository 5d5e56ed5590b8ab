package rpc

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

const (
	// steadyTimeout is the timeout of the chart state that only events end.
	steadyTimeout = 10 * time.Minute
	// answerTimeout bounds the wait for the replies to accepted requests at a stop. The
	// consumers answer requests at once when they stop.
	answerTimeout = 250 * time.Millisecond
)

// link is the life cycle of a connection, incoming or outgoing; its chart is
// "peer_link".
type link struct {
	duty    *Duty
	conn    *netloop.Conn
	handler linkHandler
	state   chart.State
	timer   timerq.Item[func()]
	// outputEnded is set when the output is shut down.
	outputEnded bool
}

// linkHandler is what differs between incoming and outgoing connections.
type linkHandler interface {
	// awaitsReplies reports whether accepted requests have no reply.
	awaitsReplies() bool
	// announceClose tells the peer which requests were accepted.
	announceClose()
	// acceptRequest delivers the request that the event carries, rejectRequest answers
	// that it is not run.
	acceptRequest()
	rejectRequest()
	// discardInput drops input that is not needed once the output is shut down.
	discardInput()
}

// linkEvents are the compiled events of the chart.
type linkEvents struct {
	request, answered, drain, flushed, lost, timedOut chart.Event
}

// loadLinkChart compiles the chart. It returns the errors of charts.Load and
// chart.Compile.
func loadLinkChart(flushTimeout time.Duration) (*chart.Table[*link], error) {
	definition, err := charts.Load("peer_link")
	if err != nil {
		return nil, err
	}
	return chart.Compile(definition, chart.Registry[*link]{
		Guards: map[string]func(*link) bool{
			"awaits_replies": func(l *link) bool { return l.handler.awaitsReplies() },
		},
		Actions: map[string]func(*link){
			"accept_request":   func(l *link) { l.handler.acceptRequest() },
			"reject_request":   func(l *link) { l.handler.rejectRequest() },
			"announce_close":   func(l *link) { l.handler.announceClose() },
			"flush":            (*link).flush,
			"shut_down_output": (*link).shutDownOutput,
			"close":            func(l *link) { l.conn.Close() },
		},
		Timeouts: map[string]time.Duration{
			"steady": steadyTimeout, "answer": answerTimeout, "flush": flushTimeout, "linger": flushTimeout,
		},
	})
}

// resolveLinkEvents looks the events up by name.
func resolveLinkEvents(t *chart.Table[*link]) linkEvents {
	e := t.Event
	return linkEvents{
		request: e("request"), answered: e("answered"), drain: e("drain"), flushed: e("flushed"), lost: e("lost"),
		timedOut: e(chart.TimeoutEvent),
	}
}

// start enters the chart's initial state.
func (l *link) start(d *Duty, conn *netloop.Conn, handler linkHandler) {
	l.duty, l.conn, l.handler = d, conn, handler
	l.state = d.linkChart.Initial()
	l.timer.Value = l.timeOut
	l.arm()
}

// fire applies an event and sets the timer of the new state.
func (l *link) fire(event chart.Event) {
	before := l.state
	l.duty.linkChart.Fire(l, &l.state, event)
	if l.state != before {
		l.arm()
	}
}

// arm sets the timer of the current state; the final state has none.
func (l *link) arm() {
	if l.duty.linkChart.Final(l.state) {
		l.duty.timers.Disarm(&l.timer)
		return
	}
	l.duty.timers.Arm(&l.timer, time.Now().Add(l.duty.linkChart.Timeout(l.state)))
}

// timeOut fires the timeout of the state, and sets its timer again if the state stays.
func (l *link) timeOut() {
	before := l.state
	l.fire(l.duty.linkEvents.timedOut)
	if l.state == before {
		l.arm()
	}
}

// flush reports at once that the output is sent if there is none.
func (l *link) flush() {
	if l.conn.Pending() == 0 {
		l.fire(l.duty.linkEvents.flushed)
	}
}

// shutDownOutput ends the output and goes on reading, so that the peer's close is seen.
func (l *link) shutDownOutput() {
	l.outputEnded = true
	l.conn.ShutdownWrite()
	l.handler.discardInput()
}

func (l *link) socket() *netloop.Conn {
	return l.conn
}

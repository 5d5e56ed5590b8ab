package control

import "github.com/sassafrasshunt/sassafrasshunt/lib/chart"

// stateMachine runs one subject through its chart and arms the timeout of each
// state.
type stateMachine[S any] struct {
	engine  *Engine
	chart   *chart.Table[S]
	subject S
	state   chart.State
	timer   *timer
}

func newStateMachine[S any](e *Engine, table *chart.Table[S], subject S) stateMachine[S] {
	return stateMachine[S]{engine: e, chart: table, subject: subject, state: table.Initial(), timer: &timer{}}
}

// start arms the timeout of the initial state.
func (m *stateMachine[S]) start() {
	m.timer.Value = func() { m.fire(chart.TimeoutEvent) }
	m.engine.timers.arm(m.timer, m.engine.now.Add(m.chart.Timeout(m.state)))
}

// fire applies an event. It restarts the timeout only if the state has changed or
// the timeout has passed: a frequent event that is ignored must not keep the
// timeout from passing.
func (m *stateMachine[S]) fire(event string) {
	before := m.state
	m.chart.Fire(m.subject, &m.state, m.chart.Event(event))
	if m.chart.Final(m.state) {
		m.engine.timers.disarm(m.timer)
		return
	}
	if m.state != before || event == chart.TimeoutEvent {
		m.engine.timers.arm(m.timer, m.engine.now.Add(m.chart.Timeout(m.state)))
	}
}

func (m *stateMachine[S]) stateName() string {
	return m.chart.StateName(m.state)
}

package control

import "github.com/sassafrasshunt/sassafrasshunt/lib/chart"

// machine runs one subject through its chart and keeps the timeout of its state.
type machine[S any] struct {
	engine  *Engine
	chart   *chart.Table[S]
	subject S
	state   chart.State
	timer   *timer
}

func newMachine[S any](e *Engine, table *chart.Table[S], subject S) machine[S] {
	return machine[S]{engine: e, chart: table, subject: subject, state: table.Initial(), timer: &timer{}}
}

// start arms the timeout of the initial state.
func (m *machine[S]) start() {
	m.timer.Value = func() { m.fire(chart.TimeoutEvent) }
	m.engine.timers.arm(m.timer, m.engine.now.Add(m.chart.Timeout(m.state)))
}

// fire applies an event. The timeout starts anew only when the state was
// entered: an ignored event that comes often must not keep it from passing.
func (m *machine[S]) fire(event string) {
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

func (m *machine[S]) stateName() string {
	return m.chart.StateName(m.state)
}

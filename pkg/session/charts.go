package session

import (
	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/pace"
)

// chartTables holds the compiled charts and their events.
type chartTables struct {
	caller      *chart.Table[*caller]
	statement   *chart.Table[*statement]
	target      *chart.Table[*target]
	pace        *pace.Table
	onCaller    callerEvents
	onStatement statementEvents
	onTarget    targetEvents
}

// callerEvents holds the events of the chart "caller".
type callerEvents struct {
	request, answered, targetLost, closed, ended, drain, transactionsEnded, timedOut event
}

// statementEvents holds the events of the chart "statement".
type statementEvents struct {
	admitted, denied, classified, floorKnown, viewChanged, rerouted, dispatched event
	data, ready, lost, confirmed, superseded, deposed                           event
	cancelled, leaving, aborted, timedOut                                       event
	relay, answeredHere, relayAnswered, relayRefused, relayLost                 event
}

// targetEvents holds the events of the chart "target".
type targetEvents struct {
	opened, sent, probed, readyIdle, readyOpen, retire, abandon, lost, timedOut event
}

// targetStates holds the states of target connections that are counted.
type targetStates struct {
	opening, idle, probing, busy, pinned, closing, closed chart.State
}

func (t *chartTables) targetStates() targetStates {
	id := t.target.StateID
	return targetStates{
		opening: id("opening"), idle: id("idle"), probing: id("probing"), busy: id("busy"), pinned: id("pinned"),
		closing: id("closing"), closed: id("closed"),
	}
}

// loadTables compiles the charts. It returns the errors of charts.Load
// and chart.Compile.
func loadTables(b *Bounds) (*chartTables, error) {
	t := &chartTables{}
	var err error
	if t.caller, err = compile("caller", callerRegistry(b)); err != nil {
		return nil, err
	}
	if t.statement, err = compile("statement", statementRegistry(b)); err != nil {
		return nil, err
	}
	if t.target, err = compile("target", targetRegistry(b)); err != nil {
		return nil, err
	}
	if t.pace, err = loadPaceTable(); err != nil {
		return nil, err
	}
	t.resolveEvents()
	return t, nil
}

// loadPaceTable compiles the chart of the pacers.
func loadPaceTable() (*pace.Table, error) {
	definition, err := charts.Load("member_pace")
	if err != nil {
		return nil, err
	}
	return pace.NewTable(definition)
}

// compile loads the named chart and binds it to the registry.
func compile[S any](name string, r chart.Registry[S]) (*chart.Table[S], error) {
	definition, err := charts.Load(name)
	if err != nil {
		return nil, err
	}
	return chart.Compile(definition, r)
}

// resolveEvents looks the events up by name.
func (t *chartTables) resolveEvents() {
	c, s, n := t.caller.Event, t.statement.Event, t.target.Event
	t.onCaller = callerEvents{
		request: c("request"), answered: c("answered"), targetLost: c("target_lost"),
		closed: c("closed"), ended: c("ended"), drain: c("drain"), transactionsEnded: c("transactions_ended"), timedOut: c(chart.TimeoutEvent),
	}
	t.onStatement = statementEvents{
		admitted: s("admitted"), denied: s("denied"), classified: s("classified"),
		floorKnown: s("floor_known"), viewChanged: s("view_changed"), rerouted: s("rerouted"),
		dispatched: s("dispatched"), data: s("data"), ready: s("ready"), lost: s("lost"),
		confirmed: s("confirmed"), superseded: s("superseded"), deposed: s("deposed"), cancelled: s("cancelled"),
		relay: s("relay"), answeredHere: s("answered_here"), relayAnswered: s("relay_answered"), relayRefused: s("relay_refused"), relayLost: s("relay_lost"),
		leaving: s("leaving"), aborted: s("aborted"), timedOut: s(chart.TimeoutEvent),
	}
	t.onTarget = targetEvents{
		opened: n("opened"), sent: n("sent"), probed: n("probed"), readyIdle: n("ready_idle"), readyOpen: n("ready_open"),
		retire: n("retire"), abandon: n("abandon"), lost: n("lost"), timedOut: n(chart.TimeoutEvent),
	}
}

// TransitionCounts returns how often each transition of the named chart was
// taken; nil for an unknown name.
func (e *Engine) TransitionCounts(name string) map[string]uint64 {
	switch name {
	case "caller":
		return e.charts.caller.TransitionCounts()
	case "statement":
		return e.charts.statement.TransitionCounts()
	case "target":
		return e.charts.target.TransitionCounts()
	case "member_pace":
		return e.charts.pace.TransitionCounts()
	}
	return nil
}

package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// lifecycleEvents are the compiled events of the chart "hosted_instance", which is
// the life cycle of an instance.
type lifecycleEvents struct {
	configured, stop, drained, cutOff, reconnected, timedOut chart.Event
}

// steadyTimeout is the timeout of chart states that only events end. When it
// passes, the chart re-enters the same state.
const steadyTimeout = time.Minute

// answersDivisor is the fraction of the time after the end of the statements that the
// session duty has for its last answers; the rest is for sending them.
const answersDivisor = 4

// lifecycleRegistry returns the actions and timeouts of the chart
// "hosted_instance".
func (e *Engine) lifecycleRegistry() chart.Registry[*Engine] {
	plan := e.config.Bounds.Stop
	return chart.Registry[*Engine]{
		Actions: map[string]func(*Engine){
			"set_ready":            func(e *Engine) { e.setReady(true) },
			"set_not_ready":        func(e *Engine) { e.setReady(false) },
			"deregister":           func(e *Engine) { e.handovers.deregister() },
			"hand_over_homes":      func(e *Engine) { e.handovers.start() },
			"release_idle_callers": func(e *Engine) { e.out.Session(session.ReleaseIdle{}) },
			"drain_sessions":       (*Engine).drainSessions,
			"end_transactions":     func(e *Engine) { e.out.Session(session.EndTransactions{}) },
			"end_statements":       func(e *Engine) { e.out.Session(session.EndStatements{}) },
			"report_not_drained":   (*Engine).reportNotDrained,
			"finish":               func(e *Engine) { e.out.Finish() },
		},
		Timeouts: map[string]time.Duration{
			"steady":          steadyTimeout,
			"balancer_notice": e.config.Bounds.BalancerNotice,
			"sessions":        plan.Sessions,
			"transactions":    plan.Transactions - plan.Sessions,
			"statements":      plan.Answers - plan.Transactions,
			"answers":         (plan.Grace - plan.Answers) / answersDivisor,
		},
	}
}

// fireLifecycle applies an event and arms the timeout of the new state. An event
// other than a timeout that leaves the state unchanged does not restart the
// timeout.
func (e *Engine) fireLifecycle(event chart.Event) {
	previous := e.state
	e.lifecycle.Fire(e, &e.state, event)
	if e.state == previous && event != e.events.timedOut {
		return
	}
	if e.state != previous {
		e.logLifecycle(previous, event)
		e.sourceSelector.reselect()
	}
	if e.lifecycle.Final(e.state) {
		e.timers.Disarm(&e.lifecycleTimer)
		return
	}
	e.timers.Arm(&e.lifecycleTimer, e.now.Add(e.lifecycle.Timeout(e.state)))
}

// drainSessions starts the drain. Statements have deadlines that the plan of the stop
// allows. The handover of homes has ended by then, also where the time before the drain is
// short.
func (e *Engine) drainSessions() {
	e.handovers.finish()
	plan := e.config.Bounds.Stop
	e.out.Session(session.Drain{StatementsEnd: e.now.Add(plan.Statements - plan.Sessions)})
}

// reportLongTimeLimits logs the longest time limit of an entry if a planned stop may answer
// a statement before it has passed.
func (e *Engine) reportLongTimeLimits(c *Configuration) {
	longest := time.Duration(0)
	for i := range c.Entries {
		longest = max(longest, c.Entries[i].Deadline())
	}
	kept := e.config.Bounds.Stop.LongestTimeLimit()
	if longest <= kept {
		return
	}
	e.out.Log(LogEvent{Event: "long_time_limit", Message: "a planned stop may answer statements before their time limit", Fields: map[string]any{
		"longest_ms": longest.Milliseconds(), "kept_ms": kept.Milliseconds(),
	}})
}

// reportNotDrained logs that the stop ends although sessions are left.
func (e *Engine) reportNotDrained() {
	e.out.Log(LogEvent{Warning: true, Event: "not_drained", Message: "the planned stop ends although sessions are left"})
}

// setReady sets the answer to the balancer's readiness probe.
func (e *Engine) setReady(ready bool) {
	e.out.SetReady(ready)
	e.out.Log(LogEvent{Event: "readiness", Message: "readiness changed", Fields: map[string]any{"ready": ready}})
}

// logLifecycle logs a change of the life cycle's state and the event that caused it.
func (e *Engine) logLifecycle(previous chart.State, event chart.Event) {
	cause := "event"
	if event == e.events.timedOut {
		cause = "timeout"
	}
	e.out.Log(LogEvent{Event: "lifecycle", Message: "the life cycle of the instance changed its state", Fields: map[string]any{
		"from": e.lifecycle.StateName(previous), "to": e.lifecycle.StateName(e.state), "cause": cause,
	}})
}

// logStopProgress logs what the session duty still serves during a planned stop.
func (e *Engine) logStopProgress(p session.StopProgress) {
	e.out.Log(LogEvent{Event: "stop_progress", Message: "sessions that are open during the planned stop", Fields: p.Fields()})
}

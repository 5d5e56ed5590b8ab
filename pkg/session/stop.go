package session

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// The graceful stop: Drain ends the sessions at clean boundaries, and Drained reports
// that none is left.

// startStop starts the graceful stop.
func (e *Engine) startStop() {
	if e.stopping {
		return
	}
	e.stopping = true
	e.endAdmissionWait()
	e.timers.Arm(&e.drainTimer.item, e.now.Add(e.cfg.Bounds.Drain))
	e.releaseIdle()
	e.reportStopProgress("drain")
}

// endAllCallers ends the remaining sessions when the bound of the graceful stop
// has passed.
func (e *Engine) endAllCallers() {
	for _, c := range e.callers {
		c.endNow(core.NotRun(core.ReasonStopping, "this instance is stopping, please reconnect"))
	}
}

// finishStop reports Drained once no caller is left, and closes the target
// connections. A report that finds a full ring is repeated.
func (e *Engine) finishStop() {
	if !e.stopping || e.drained || len(e.callers) > 0 {
		return
	}
	e.drained = e.outbox.out.Control(Drained{})
	if !e.drained {
		e.timers.Arm(&e.drainTimer.item, e.now.Add(e.cfg.Bounds.OutputRetry))
		return
	}
	e.timers.Disarm(&e.drainTimer.item)
	for _, t := range e.targets {
		t.fire(e.charts.onTarget.retire)
	}
}

// StopProgress reports what a stopping instance still serves, for the log. It is not
// repeated when control's ring is full.
type StopProgress struct {
	// Event is the step of the stop after which the counts were taken.
	Event string
	// Callers counts the sessions, Remote those of them whose callers are connected
	// to other instances.
	Callers int
	Remote  int
	// Transactions counts the open transactions, Running the unanswered statements,
	// and Relayed those of them that another instance runs.
	Transactions int
	Running      int
	Relayed      int
}

func (StopProgress) controlReport() {}

// Fields returns the report as fields of a log line.
func (p StopProgress) Fields() map[string]any {
	return map[string]any{
		"step": p.Event, "callers": p.Callers, "remote": p.Remote, "transactions": p.Transactions,
		"running": p.Running, "relayed": p.Relayed,
	}
}

// reportStopProgress reports what is open after a step of the stop.
func (e *Engine) reportStopProgress(event string) {
	p := StopProgress{Event: event, Callers: len(e.callers)}
	for _, c := range e.callers {
		c.countIn(&p)
	}
	e.outbox.out.Control(p)
}

// countIn adds the session to the counts.
func (c *caller) countIn(p *StopProgress) {
	if c.remote != nil {
		p.Remote++
	}
	if c.inTransaction() || c.deferredBegin != nil {
		p.Transactions++
	}
	if !c.stmt.active {
		return
	}
	p.Running++
	if c.relayedTo != nil {
		p.Relayed++
	}
}

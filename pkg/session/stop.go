package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// The graceful stop: Drain ends the sessions at clean boundaries, EndTransactions the open
// transactions, EndStatements all that is left, and Drained reports that no session is
// left. The life cycle of the instance decides when each step happens.

// stopState is the state of the graceful stop.
type stopState struct {
	// statementsEnd is the latest deadline of a statement, zero for none.
	statementsEnd time.Time
	// transactionsEnded is set once open transactions end after their running statement.
	transactionsEnded bool
	// drained is set once Drained was reported; retry offers it again after a full ring.
	drained bool
	retry   timer
}

// startStop starts the graceful stop.
func (e *Engine) startStop(in Drain) {
	if e.stopping {
		return
	}
	e.stopping = true
	e.stop.statementsEnd = in.StatementsEnd
	e.endAdmissionWait()
	for _, c := range e.callers {
		c.stmt.limitDeadline()
	}
	e.releaseIdle()
	e.reportStopProgress("drain")
}

// stopDeadline returns the earlier of a statement's deadline and the end of statements of
// a graceful stop.
func (e *Engine) stopDeadline(deadline time.Time) time.Time {
	end := e.stop.statementsEnd
	if end.IsZero() || deadline.Before(end) {
		return deadline
	}
	return end
}

// limitDeadline brings the deadline of a running statement forward to the end of
// statements of a graceful stop. A statement at the home keeps the margin for the home's
// answer.
func (s *statement) limitDeadline() {
	if !s.active {
		return
	}
	margin := time.Duration(0)
	if s.runsAtHome() {
		margin = relayMargin
	}
	s.deadline = s.c.e.stopDeadline(s.deadline.Add(-margin)).Add(margin)
	if s.c.e.charts.statement.Timeout(s.state) == statementDeadline {
		s.arm()
	}
}

// endTransactions ends the open transactions of a graceful stop; one with a running
// statement ends after its answer.
func (e *Engine) endTransactions() {
	e.stop.transactionsEnded = true
	for _, c := range e.callers {
		c.fire(e.charts.onCaller.transactionsEnded)
	}
	e.reportStopProgress("end_transactions")
}

// endedByStop reports whether the caller's open transaction ends because of a graceful
// stop.
func (c *caller) endedByStop() bool {
	return c.e.stop.transactionsEnded && (c.inTransaction() || c.deferredBegin != nil)
}

// endStatements answers the statements that still run as at their deadlines, and ends all
// sessions.
func (e *Engine) endStatements() {
	e.reportStopProgress("end_statements")
	for _, c := range e.callers {
		if c.stmt.active {
			c.stmt.fire(e.charts.onStatement.timedOut)
		}
	}
	for _, c := range e.callers {
		c.endNow(core.NotRun(core.ReasonStopping, "this instance is stopping, please reconnect"))
	}
}

// finishStop reports Drained once no caller is left, and closes the target
// connections. A report that finds a full ring is repeated.
func (e *Engine) finishStop() {
	if !e.stopping || e.stop.drained || len(e.callers) > 0 {
		return
	}
	e.stop.drained = e.outbox.out.Control(Drained{})
	if !e.stop.drained {
		e.timers.Arm(&e.stop.retry.item, e.now.Add(e.cfg.Bounds.OutputRetry))
		return
	}
	e.timers.Disarm(&e.stop.retry.item)
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

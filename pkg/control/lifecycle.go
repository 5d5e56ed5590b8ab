package control

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

const (
	// notReadyLogPeriod is the period of log lines while the instance is not
	// ready.
	notReadyLogPeriod = 5 * time.Second
	// drainDelay is the time between the end of readiness and the request to the
	// callers to reconnect, so that the load balancer no longer sends new callers
	// here.
	drainDelay = time.Second
	// withdrawalTimeout bounds the wait until the session duty has confirmed the
	// empty share and has closed its connections. The empty share is published
	// once a second, and a confirmation with open connections does not count.
	withdrawalTimeout = 5 * time.Second
	// releaseTimeoutCalls is the timeout of the release in call timeouts. It
	// covers the two calls of a release, each of which may take four call timeouts
	// in the lease chart.
	releaseTimeoutCalls = 10
	// servingPeriod is the timeout of the state "serving". Every state needs one;
	// this one has no effect.
	servingPeriod = time.Hour
)

// lifecycle manages the start and stop of this instance according to the chart
// "instance".
type lifecycle struct {
	stateMachine[*lifecycle]
}

// newLifecycle compiles the chart "instance".
func newLifecycle(e *Engine, d *chart.Definition) (*lifecycle, error) {
	l := &lifecycle{}
	plan := e.config.Stop
	table, err := chart.Compile(d, chart.Registry[*lifecycle]{
		Actions: map[string]func(*lifecycle){
			"become_ready":         (*lifecycle).becomeReady,
			"become_not_ready":     func(l *lifecycle) { l.engine.out.SetReady(false) },
			"report_not_ready":     (*lifecycle).reportNotReady,
			"announce_leaving":     func(l *lifecycle) { l.engine.peers.announce(true) },
			"drain_callers":        (*lifecycle).drainCallers,
			"end_transactions":     func(l *lifecycle) { l.engine.configuration.publish(session.EndTransactions{}) },
			"end_statements":       func(l *lifecycle) { l.engine.configuration.publish(session.EndStatements{}) },
			"report_drain_bound":   (*lifecycle).reportDrainBound,
			"withdraw_share":       func(l *lifecycle) { l.engine.shares.withdraw(l.engine) },
			"report_not_withdrawn": (*lifecycle).reportNotWithdrawn,
			"release_slot":         func(l *lifecycle) { l.engine.lease.fire("stop_requested") },
			"report_not_released":  (*lifecycle).reportNotReleased,
			"report_stopped":       func(l *lifecycle) { l.engine.out.Stopped() },
		},
		Timeouts: map[string]time.Duration{
			"start":          notReadyLogPeriod,
			"serving_period": servingPeriod,
			"drain_delay":    drainDelay,
			"transactions":   plan.Transactions - plan.Sessions,
			"statements":     plan.Answers - plan.Transactions,
			"answers":        plan.Grace - plan.Answers,
			"withdrawal":     withdrawalTimeout,
			"release":        releaseTimeoutCalls * e.config.CallTimeout,
		},
	})
	if err != nil {
		return nil, err
	}
	l.stateMachine = newStateMachine(e, table, l)
	return l, nil
}

func (l *lifecycle) becomeReady() {
	l.engine.log("instance_ready", "the instance has a catalogue and a share", nil)
	l.engine.out.SetReady(true)
}

func (l *lifecycle) reportNotReady() {
	l.engine.warn("instance_not_ready", "waiting for a catalogue and a share", map[string]any{
		"catalogue": l.engine.configuration.manager.Current().Version,
		"slot":      l.engine.lease.slot,
	})
}

// drainCallers stops accepting callers and asks the session duty to drain the
// connected ones.
func (l *lifecycle) drainCallers() {
	l.engine.out.StopAccepting()
	plan := l.engine.config.Stop
	l.engine.configuration.publish(session.Drain{StatementsEnd: l.engine.now.Add(plan.Statements - plan.Sessions)})
}

// reportDrainBound logs that the drain timed out. The stop continues.
func (l *lifecycle) reportDrainBound() {
	l.engine.warn("drain_bound_passed", "callers were still connected when the drain bound passed", nil)
}

// reportNotWithdrawn logs that the slot stays claimed. Its share is reclaimed
// later like that of a lost holder.
func (l *lifecycle) reportNotWithdrawn() {
	l.engine.warn("share_not_withdrawn", "the session duty did not confirm in time that it no longer uses its share; the slot is not released", nil)
}

func (l *lifecycle) reportNotReleased() {
	l.engine.warn("slot_not_released", "the platform did not confirm the release of the slot in time", nil)
}

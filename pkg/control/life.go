package control

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

const (
	// startReport is the period of log lines while the instance is not ready.
	startReport = 5 * time.Second
	// readinessLead is how long readiness is down before callers are asked to
	// reconnect, so that the balancer sends no new ones here.
	readinessLead = time.Second
	// withdrawalBound bounds the wait until session has confirmed that it spends
	// nothing and has closed its connections. The empty share is published once
	// a second, and a confirmation that finds connections open does not count.
	withdrawalBound = 5 * time.Second
	// releaseCalls is how many platform calls the bound of the release covers:
	// the two of a release, each with the margin that the lease chart gives it.
	releaseCalls = 10
	// watchdogPeriod is only a bound of the state "serving"; nothing happens.
	watchdogPeriod = time.Hour
)

// life is the life cycle of this run, the chart "instance".
type life struct {
	machine[*life]
}

func newLife(e *Engine, d *chart.Definition) (*life, error) {
	l := &life{}
	table, err := chart.Compile(d, chart.Registry[*life]{
		Actions: map[string]func(*life){
			"become_ready":         (*life).becomeReady,
			"become_not_ready":     func(l *life) { l.engine.out.Ready(false) },
			"report_not_ready":     (*life).reportNotReady,
			"announce_leaving":     func(l *life) { l.engine.peers.announce(true) },
			"drain_callers":        (*life).drainCallers,
			"report_drain_bound":   (*life).reportDrainBound,
			"withdraw_share":       func(l *life) { l.engine.shares.withdraw(l.engine) },
			"report_not_withdrawn": (*life).reportNotWithdrawn,
			"release_slot":         func(l *life) { l.engine.lease.fire("stop_requested") },
			"report_not_released":  (*life).reportNotReleased,
			"finish":               func(l *life) { l.engine.out.Stopped() },
		},
		Timeouts: map[string]time.Duration{
			"start":          startReport,
			"watchdog":       watchdogPeriod,
			"readiness_lead": readinessLead,
			"drain":          e.config.DrainBound,
			"withdrawal":     withdrawalBound,
			"release":        releaseCalls * e.config.CallTimeout,
		},
	})
	if err != nil {
		return nil, err
	}
	l.machine = newMachine(e, table, l)
	return l, nil
}

func (l *life) becomeReady() {
	l.engine.log("instance_ready", "catalogue and share are in force", nil)
	l.engine.out.Ready(true)
}

func (l *life) reportNotReady() {
	l.engine.warn("instance_not_ready", "waiting for a catalogue and a share", map[string]any{
		"catalogue": l.engine.settings.keeper.InForce().Version,
		"slot":      l.engine.lease.slot,
	})
}

func (l *life) drainCallers() {
	l.engine.out.StopAccepting()
	l.engine.settings.publish(session.Drain{})
}

func (l *life) reportDrainBound() {
	l.engine.warn("drain_bound_passed", "callers were still connected when the drain bound passed", nil)
}

func (l *life) reportNotWithdrawn() {
	l.engine.warn("share_not_withdrawn", "session did not confirm in time that it spends nothing; the slot is not released", nil)
}

func (l *life) reportNotReleased() {
	l.engine.warn("slot_not_released", "the platform did not confirm the release of the slot in time", nil)
}

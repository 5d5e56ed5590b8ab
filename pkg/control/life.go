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
	// watchdogPeriod is only a bound of the state "serving"; nothing happens.
	watchdogPeriod = time.Hour
)

// life is the life cycle of this run, the chart "instance".
type life struct {
	engine *Engine
	chart  *chart.Table[*life]
	state  chart.State
	timer  timer
}

func newLife(e *Engine, d *chart.Definition) (*life, error) {
	l := &life{engine: e}
	var err error
	l.chart, err = chart.Compile(d, chart.Registry[*life]{
		Actions: map[string]func(*life){
			"become_ready":       (*life).becomeReady,
			"become_not_ready":   func(l *life) { l.engine.out.Ready(false) },
			"report_not_ready":   (*life).reportNotReady,
			"announce_leaving":   func(l *life) { l.engine.out.Store(Announce{Leaving: true}) },
			"drain_callers":      (*life).drainCallers,
			"report_drain_bound": (*life).reportDrainBound,
			"release":            func(l *life) { l.engine.lease.fire("stop_requested") },
			"finish":             func(l *life) { l.engine.out.Stopped() },
		},
		Timeouts: map[string]time.Duration{
			"start":          startReport,
			"watchdog":       watchdogPeriod,
			"readiness_lead": readinessLead,
			"drain":          e.config.DrainBound,
		},
	})
	if err != nil {
		return nil, err
	}
	l.timer.Value = func() { l.fire(chart.TimeoutEvent) }
	return l, nil
}

func (l *life) start() {
	l.state = l.chart.Initial()
	l.engine.timers.arm(&l.timer, l.engine.now.Add(l.chart.Timeout(l.state)))
}

func (l *life) fire(event string) {
	l.chart.Fire(l, &l.state, l.chart.Event(event))
	if l.chart.Final(l.state) {
		l.engine.timers.disarm(&l.timer)
		return
	}
	l.engine.timers.arm(&l.timer, l.engine.now.Add(l.chart.Timeout(l.state)))
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
	l.engine.out.Session(session.Drain{})
}

func (l *life) reportDrainBound() {
	l.engine.warn("drain_bound_passed", "callers were still connected when the drain bound passed", nil)
}

package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// The life cycle of an instance is the chart hosted_instance.

type lifeEvents struct {
	configured, stop, drained, cutOff, reconnected, timedOut chart.Event
}

// idleLife is how often the life cycle's timer is set anew in a steady state.
const idleLife = time.Minute

func (e *Engine) registry() chart.Registry[*Engine] {
	return chart.Registry[*Engine]{
		Actions: map[string]func(*Engine){
			"become_ready":    func(e *Engine) { e.setReady(true) },
			"become_unready":  func(e *Engine) { e.setReady(false) },
			"leave":           func(e *Engine) { e.out.Leave() },
			"release_callers": func(e *Engine) { e.out.Session(session.ReleaseIdle{}) },
			"drain_sessions":  func(e *Engine) { e.out.Session(session.Drain{}) },
			"finish":          func(e *Engine) { e.out.Finish() },
		},
		Timeouts: map[string]time.Duration{
			"starting":        idleLife,
			"balancer_notice": e.config.Bounds.BalancerNotice,
			"drain":           e.config.Bounds.Drain,
		},
	}
}

func (e *Engine) fire(event chart.Event) {
	before := e.state
	e.life.Fire(e, &e.state, event)
	if e.state == before && event != e.on.timedOut {
		return
	}
	if e.state != before {
		e.news.review()
	}
	if e.life.Final(e.state) {
		e.timers.Disarm(&e.lifeTimer)
		return
	}
	e.timers.Arm(&e.lifeTimer, e.now.Add(e.life.Timeout(e.state)))
}

func (e *Engine) setReady(ready bool) {
	e.out.Ready(ready)
	e.out.Log(LogEvent{Event: "readiness", Message: "readiness changed", Fields: map[string]any{"ready": ready}})
}

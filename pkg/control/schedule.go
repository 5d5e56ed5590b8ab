package control

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

// schedule runs functions at deadlines.
type schedule struct {
	queue timerq.Queue[func()]
}

type timer = timerq.Item[func()]

func (s *schedule) arm(t *timer, at time.Time) {
	s.queue.Arm(t, at)
}

func (s *schedule) disarm(t *timer) {
	s.queue.Disarm(t)
}

func (s *schedule) next() (time.Time, bool) {
	return s.queue.Next()
}

func (s *schedule) run(now time.Time) {
	for {
		t, due := s.queue.PopDue(now)
		if !due {
			return
		}
		t.Value()
	}
}

// every arms t now and again after each run.
func (e *Engine) every(period time.Duration, work func()) {
	t := &timer{}
	t.Value = func() {
		e.timers.arm(t, e.now.Add(period))
		work()
	}
	e.timers.arm(t, e.now.Add(period))
}

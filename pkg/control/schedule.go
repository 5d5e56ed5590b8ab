package control

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

// schedule runs functions at their deadlines.
type schedule struct {
	queue timerq.Queue[func()]
}

// timer is a function with its place in a schedule.
type timer = timerq.Item[func()]

// arm sets the deadline of t.
func (s *schedule) arm(t *timer, at time.Time) {
	s.queue.Arm(t, at)
}

func (s *schedule) disarm(t *timer) {
	s.queue.Disarm(t)
}

func (s *schedule) next() (time.Time, bool) {
	return s.queue.Next()
}

// run calls the functions whose deadline has passed.
func (s *schedule) run(now time.Time) {
	for {
		t, due := s.queue.PopDue(now)
		if !due {
			return
		}
		t.Value()
	}
}

// every runs work after each period. The next deadline is set before the work
// runs.
func (e *Engine) every(period time.Duration, work func()) {
	t := &timer{}
	t.Value = func() {
		e.timers.arm(t, e.now.Add(period))
		work()
	}
	e.timers.arm(t, e.now.Add(period))
}

package instance

import (
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
)

// runner holds the running duties of an instance. The log has a group of its own,
// because it ends after all others.
type runner struct {
	duties     duty.Group
	logging    duty.Group
	telemetry  *telemetry.Duty
	stopped    chan struct{}
	finishOnce sync.Once
}

// logEnd bounds the writing of the last lines of the log.
const logEnd = 300 * time.Millisecond

func (r *runner) startLog() {
	r.logging.Start("telemetry", r.telemetry.Run)
}

func (r *runner) log(level logrus.Level, event, message string, fields telemetry.Fields) {
	r.telemetry.Log(level, event, message, fields)
}

// serve starts a duty that can fail. The instance cannot work without it, so
// a failure ends the run and the platform replaces the instance.
func (r *runner) serve(name string, run func() error) {
	r.duties.Start(name, func() {
		if err := run(); err != nil {
			r.log(logrus.ErrorLevel, "duty_failed", err.Error(), telemetry.Fields{"duty": name})
			r.finish()
		}
	})
}

// finish lets awaitStop return.
func (r *runner) finish() {
	r.finishOnce.Do(func() { close(r.stopped) })
}

// awaitStop begins the planned stop at each value from stop, and returns once
// the run is finished.
func (r *runner) awaitStop(stop <-chan os.Signal, begin func()) {
	for {
		select {
		case <-stop:
			begin()
		case <-r.stopped:
			return
		}
	}
}

// end waits up to the bound for the duties, which were told to stop, and then
// ends the log.
func (r *runner) end(bound time.Duration) {
	if running := r.duties.WaitFor(bound); len(running) > 0 {
		r.log(logrus.WarnLevel, "duties_cut_off", "duties did not end in time", telemetry.Fields{"duties": running})
	}
	r.telemetry.Stop()
	// What a blocked output has not taken is lost.
	r.logging.WaitFor(logEnd)
}

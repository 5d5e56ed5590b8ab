package instance

import (
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
)

// runner starts and stops the duties of an instance. The log duty has a group of
// its own, because it ends after all others.
type runner struct {
	duties     duty.Group
	logDuties  duty.Group
	telemetry  *telemetry.Duty
	stopped    chan struct{}
	finishOnce sync.Once
}

// logFlushTimeout bounds writing the last log lines at a stop.
const logFlushTimeout = 300 * time.Millisecond

// startLog starts the telemetry duty, which must run before any other duty logs.
func (r *runner) startLog() {
	r.logDuties.Start("telemetry", r.telemetry.Run)
}

func (r *runner) log(level logrus.Level, event, message string, fields telemetry.Fields) {
	r.telemetry.Log(level, event, message, fields)
}

// startCritical starts a duty that can fail and that the instance cannot work
// without. A failure ends the run; the platform then replaces the instance.
func (r *runner) startCritical(name string, run func() error) {
	r.duties.Start(name, func() {
		if err := run(); err != nil {
			r.log(logrus.ErrorLevel, "duty_failed", err.Error(), telemetry.Fields{"duty": name})
			r.finish()
		}
	})
}

// finish marks the run as finished, which makes awaitStop return. It may be called
// more than once.
func (r *runner) finish() {
	r.finishOnce.Do(func() { close(r.stopped) })
}

// awaitStop calls begin, which starts the planned stop, for each value from stop.
// It returns after finish was called.
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

// shutDown waits at most dutiesTimeout for the duties, whose stop was requested before, and
// then at most logTimeout for the end of the log.
func (r *runner) shutDown(dutiesTimeout, logTimeout time.Duration) {
	if running := r.duties.WaitFor(dutiesTimeout); len(running) > 0 {
		r.log(logrus.WarnLevel, "duties_cut_off", "duties did not end in time", telemetry.Fields{"duties": running})
	}
	r.telemetry.Stop()
	// Lines that a blocked output has not accepted by then are lost.
	r.logDuties.WaitFor(logTimeout)
}

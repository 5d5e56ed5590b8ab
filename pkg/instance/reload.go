package instance

import (
	"errors"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
	"github.com/sassafrasshunt/sassafrasshunt/platform"
)

// reloadEvery is how often the settings file is looked at, since it may change
// without a signal; a configuration has to be in force within 3 s.
const reloadEvery = 2 * time.Second

// reloader takes over changes of the settings file. It owns the settings in
// force.
type reloader struct {
	path    string
	inForce *settings.Hosted
	load    func(path string) (*settings.Hosted, error)
	apply   func(*settings.Hosted)
	log     func(level logrus.Level, event, message string, fields telemetry.Fields)
	// seen is the state of the file that was read last.
	seen    os.FileInfo
	stopped chan struct{}
}

// newReloader returns a reloader for the instance's settings, which were read
// from path.
func newReloader(path string, h *Hosted) *reloader {
	r := &reloader{
		path: path, inForce: h.settings, load: platform.LoadBoot, apply: h.apply, log: h.log, stopped: make(chan struct{}),
	}
	r.changed()
	return r
}

// run looks at the file at each value from reload and each reloadEvery.
func (r *reloader) run(reload <-chan os.Signal) {
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-reload:
			r.changed()
			r.read()
		case <-ticker.C:
			if r.changed() {
				r.read()
			}
		case <-r.stopped:
			return
		}
	}
}

func (r *reloader) stop() {
	close(r.stopped)
}

// changed reports whether the file is another than the one read last.
func (r *reloader) changed() bool {
	info, err := os.Stat(r.path)
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) {
			r.log(logrus.WarnLevel, "settings_not_read", err.Error(), nil)
		}
		return false
	}
	before := r.seen
	r.seen = info
	return before == nil || !info.ModTime().Equal(before.ModTime()) || info.Size() != before.Size()
}

// read puts the file in force. A file that cannot be used changes nothing.
func (r *reloader) read() {
	newer, err := r.load(r.path)
	if err != nil {
		r.log(logrus.WarnLevel, "settings_rejected", err.Error(), nil)
		return
	}
	changes := r.inForce.Changes(newer)
	r.log(logrus.InfoLevel, "settings_reloaded", "settings read again", telemetry.Fields{
		"in_force": changes.InForce, "needs_restart": changes.AtStart,
	})
	r.inForce = newer
	if len(changes.InForce) > 0 {
		r.apply(newer)
	}
}

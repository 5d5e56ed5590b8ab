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

// reloadInterval is the interval at which the settings file is checked for
// changes, because it may change without a signal. A changed configuration must be
// applied within 3 s.
const reloadInterval = 2 * time.Second

// reloader applies changes of the settings file while the instance runs. It owns
// the current settings.
type reloader struct {
	path    string
	current *settings.Hosted
	load    func(path string) (*settings.Hosted, error)
	apply   func(*settings.Hosted)
	log     func(level logrus.Level, event, message string, fields telemetry.Fields)
	// lastInfo describes the file as of the last check.
	lastInfo os.FileInfo
	// rejected is why the last read of the file failed, empty if it did not.
	rejected string
	stopped  chan struct{}
}

// newReloader returns a reloader for settings that were read from path.
func newReloader(path string, h *Hosted) *reloader {
	r := &reloader{
		path: path, current: h.settings, load: platform.LoadBoot, apply: h.apply, log: h.log, stopped: make(chan struct{}),
	}
	r.fileChanged()
	return r
}

// run reads the file at each value from reload, and every reloadInterval when it has
// changed or could not be used. It returns after stop.
func (r *reloader) run(reload <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-reload:
			r.fileChanged()
			r.rejected = ""
			r.applyFile()
		case <-ticker.C:
			r.checkFile()
		case <-r.stopped:
			return
		}
	}
}

// checkFile reads the file if it has changed, or if the last read failed: whether it can be
// read may change without it.
func (r *reloader) checkFile() {
	changed := r.fileChanged()
	if !changed && r.rejected == "" {
		return
	}
	if changed {
		r.rejected = ""
	}
	r.applyFile()
}

// stop ends run. It must be called once.
func (r *reloader) stop() {
	close(r.stopped)
}

// fileChanged reports whether the file is another one than at the last check, or differs
// in its modification time or size. It reports false for a missing file, which is
// probably being replaced.
func (r *reloader) fileChanged() bool {
	info, err := os.Stat(r.path)
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) {
			r.log(logrus.WarnLevel, "settings_not_read", err.Error(), nil)
		}
		return false
	}
	before := r.lastInfo
	r.lastInfo = info
	return before == nil || !os.SameFile(before, info) || !info.ModTime().Equal(before.ModTime()) || info.Size() != before.Size()
}

// applyFile reads the file and applies the changed settings. An invalid file changes
// nothing; it is logged once for each cause.
func (r *reloader) applyFile() {
	loaded, err := r.load(r.path)
	if err != nil {
		if err.Error() != r.rejected {
			r.log(logrus.WarnLevel, "settings_rejected", err.Error(), nil)
		}
		r.rejected = err.Error()
		return
	}
	r.rejected = ""
	changes := r.current.Changes(loaded)
	r.log(logrus.InfoLevel, "settings_reloaded", "settings file read again", telemetry.Fields{
		"in_force": changes.Reloadable, "needs_restart": changes.RestartOnly,
	})
	r.current = loaded
	if len(changes.Reloadable) > 0 {
		r.apply(loaded)
	}
}

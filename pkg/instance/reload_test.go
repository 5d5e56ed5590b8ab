package instance

import (
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
)

// newTestReloader returns a reloader of files that hold only the value of RateSlack.
// write replaces the file; events and applied record what the reloader logged and
// applied.
func newTestReloader(t *testing.T) (r *reloader, write func(text string), events *[]string, applied *[]*settings.Hosted) {
	path := filepath.Join(t.TempDir(), "settings")
	modified := time.Unix(1_000_000, 0)
	write = func(text string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		modified = modified.Add(time.Second)
		require.NoError(t, os.Chtimes(path, modified, modified))
	}
	events, applied = &[]string{}, &[]*settings.Hosted{}
	write("20")
	r = &reloader{
		path: path, current: &settings.Hosted{Name: "i1", RateSlack: 20}, stopped: make(chan struct{}),
		load: func(path string) (*settings.Hosted, error) {
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			slack, err := strconv.ParseFloat(string(text), 64)
			return &settings.Hosted{Name: "i1", RateSlack: slack}, eris.Wrap(err, "test")
		},
		apply: func(s *settings.Hosted) { *applied = append(*applied, s) },
		log: func(_ logrus.Level, event, _ string, _ telemetry.Fields) {
			*events = append(*events, event)
		},
	}
	r.fileChanged()
	return r, write, events, applied
}

// Guards against a changed settings file that is not noticed without a signal, and
// against an invalid file that replaces the current settings.
func TestReloadTakesChangesOver(t *testing.T) {
	r, write, events, applied := newTestReloader(t)
	require.False(t, r.fileChanged())
	write("30")
	require.True(t, r.fileChanged())
	r.applyFile()
	require.Len(t, *applied, 1)
	require.InDelta(t, 30, (*applied)[0].RateSlack, 0)
	require.False(t, r.fileChanged(), "the file was read since its last change")
	write("not a number")
	require.True(t, r.fileChanged())
	r.applyFile()
	require.Equal(t, []string{"settings_reloaded", "settings_rejected"}, *events)
	require.InDelta(t, 30, r.current.RateSlack, 0, "the previous settings stay current")
	require.NoError(t, os.Remove(r.path))
	require.False(t, r.fileChanged(), "a missing file is not a change: it is being replaced")
}

// Guards against a reload signal that does not make the instance read the file.
func TestReloadAtASignal(t *testing.T) {
	r, write, _, applied := newTestReloader(t)
	write("40")
	reload := make(chan os.Signal, 1)
	reload <- syscall.SIGHUP
	ended := make(chan struct{})
	go func() {
		r.run(reload)
		close(ended)
	}()
	require.Eventually(t, func() bool { return len(reload) == 0 }, time.Second, time.Millisecond)
	r.stop()
	<-ended
	require.Len(t, *applied, 1)
}

// Guards against settings that stay out of force after the file could not be read for a
// while, although it can be read again: neither its modification time nor its size change
// with its permissions, or with what it refers to. The cause is logged once.
func TestReloadReadsAFailedFileAgain(t *testing.T) {
	r, write, events, applied := newTestReloader(t)
	write("30")
	load, failure := r.load, eris.New("permission denied")
	r.load = func(string) (*settings.Hosted, error) { return nil, failure }
	for range 3 {
		r.checkFile()
	}
	require.Equal(t, []string{"settings_rejected"}, *events)
	failure = eris.New("another cause")
	r.checkFile()
	require.Equal(t, []string{"settings_rejected", "settings_rejected"}, *events)
	r.load = load
	r.checkFile()
	require.Len(t, *applied, 1)
	require.InDelta(t, 30, (*applied)[0].RateSlack, 0)
	r.checkFile()
	require.Len(t, *applied, 1, "read since its last change")
}

// Guards against a file that is replaced by another of the same size and modification time,
// as tools do that keep the time of the source.
func TestReloadNoticesAReplacedFile(t *testing.T) {
	r, _, _, applied := newTestReloader(t)
	before, err := os.Stat(r.path)
	require.NoError(t, err)
	next := r.path + ".next"
	require.NoError(t, os.WriteFile(next, []byte("30"), 0o600))
	require.NoError(t, os.Chtimes(next, before.ModTime(), before.ModTime()))
	require.NoError(t, os.Rename(next, r.path))
	r.checkFile()
	require.Len(t, *applied, 1)
}

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

// newTestReloader reads files that hold the slack of the rates and nothing else.
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
		path: path, inForce: &settings.Hosted{Name: "i1", RateSlack: 20}, stopped: make(chan struct{}),
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
	r.changed()
	return r, write, events, applied
}

// Guards against a change of the settings that is not noticed without a signal,
// and against a file that cannot be used and replaces one that can.
func TestReloadTakesChangesOver(t *testing.T) {
	r, write, events, applied := newTestReloader(t)
	require.False(t, r.changed())
	write("30")
	require.True(t, r.changed())
	r.read()
	require.Len(t, *applied, 1)
	require.InDelta(t, 30, (*applied)[0].RateSlack, 0)
	require.False(t, r.changed(), "it was read")
	write("not a number")
	require.True(t, r.changed())
	r.read()
	require.Equal(t, []string{"settings_reloaded", "settings_rejected"}, *events)
	require.InDelta(t, 30, r.inForce.RateSlack, 0, "the settings before stay in force")
	require.NoError(t, os.Remove(r.path))
	require.False(t, r.changed(), "a file that is being replaced")
}

// Guards against a signal that is not answered by reading the file again.
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

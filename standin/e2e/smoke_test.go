package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startFleet starts a fleet and stops it at the end of the test.
func startFleet(t *testing.T, o options) *fleet {
	t.Helper()
	f, err := newFleet(outputDir(t.TempDir(), t.Name()), o)
	require.NoError(t, err)
	t.Cleanup(f.close)
	return f
}

// Guards against a harness whose processes cannot connect to each other through the
// fault proxy.
func TestFleetStarts(t *testing.T) {
	runParallel(t)
	o := defaultOptions()
	o.proxied = true
	f := startFleet(t, o)
	s, err := f.status(2)
	require.NoError(t, err)
	require.Len(t, s.Groups, 1)
}

// Guards against a load or checker that reports violations when no fault was
// injected.
func TestHistoryWithoutFaults(t *testing.T) {
	runParallel(t)
	f := startFleet(t, defaultOptions())
	h := f.startLoad(6, 1)
	time.Sleep(2 * time.Second)
	h.stop()
	t.Log(h.summary())
	require.NoError(t, h.check())
	require.Greater(t, h.resultCount("write"), 100)
	require.Zero(t, h.resultCount("write 40003"))
}

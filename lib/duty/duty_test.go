package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stop that hangs because one duty is blocked in a call.
func TestWaitForNamesWhatStillRuns(t *testing.T) {
	unblock := make(chan struct{})
	var g Group
	g.Start("quick", func() {})
	g.Start("stuck", func() { <-unblock })
	require.Equal(t, []string{"stuck"}, g.WaitFor(50*time.Millisecond))
	close(unblock)
	require.Empty(t, g.WaitFor(5*time.Second))
	g.Wait()
}

// Guards against a stop that waits for duties that it did not ask for, or that does not
// wait for those that it did.
func TestWaitForSelectedDuties(t *testing.T) {
	unblock := make(chan struct{})
	var g Group
	g.Start("stuck", func() { <-unblock })
	g.Start("quick", func() {})
	require.Empty(t, g.WaitFor(5*time.Second, "quick"))
	require.Equal(t, []string{"stuck"}, g.WaitFor(50*time.Millisecond, "quick", "stuck"))
	close(unblock)
	require.Empty(t, g.WaitFor(5*time.Second, "stuck"))
}

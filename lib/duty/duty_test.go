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

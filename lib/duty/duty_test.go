package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stop that waits for a duty which is stuck in a call.
func TestWaitForNamesWhatStillRuns(t *testing.T) {
	release := make(chan struct{})
	var g Group
	g.Start("quick", func() {})
	g.Start("stuck", func() { <-release })
	require.Equal(t, []string{"stuck"}, g.WaitFor(50*time.Millisecond))
	close(release)
	require.Empty(t, g.WaitFor(5*time.Second))
	g.Wait()
}

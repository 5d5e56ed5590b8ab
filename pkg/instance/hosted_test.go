package instance

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
)

// blockingWriter blocks every write until release is closed.
type blockingWriter struct{ release chan struct{} }

func (o *blockingWriter) Write(p []byte) (int, error) {
	<-o.release
	return len(p), nil
}

// newTestHosted returns an instance on loopback addresses whose store refuses
// connections.
func newTestHosted(t *testing.T, output *blockingWriter) *Hosted {
	const nothingListens = "127.0.0.1:1"
	h, err := NewHosted(&settings.Hosted{
		Name: "i1", Domain: "d1", IP: "127.0.0.1", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0",
		StoreAddress: nothingListens, PromotionAddress: nothingListens, MemoryBytes: 256 << 20, Descriptors: 2048,
		TargetDrain: 7 * time.Second, StopGrace: 6 * time.Second, RateWindow: 5 * time.Second,
	}, output)
	require.NoError(t, err)
	return h
}

// Guards against a log output that blocks, because its reader has stopped, and
// thereby delays decisions or keeps a planned stop from completing.
func TestBlockedLogHoldsNothingUp(t *testing.T) {
	output := &blockingWriter{release: make(chan struct{})}
	defer close(output.release)
	h := newTestHosted(t, output)
	stop := make(chan os.Signal, 1)
	ended := make(chan struct{})
	go func() {
		h.Run(stop, nil)
		close(ended)
	}()
	started := time.Now()
	for range 10 * hostedRingCapacity {
		h.log(logrus.InfoLevel, "request", "answered", nil)
	}
	require.Less(t, time.Since(started), time.Second, "logging must not wait for a full ring")
	require.NotZero(t, h.telemetry.Stats().Refusals, "dropped lines are counted")
	_, inspected := inspectSession(h.sessionDuty.input, "")
	require.True(t, inspected, "the session duty must keep working")
	stop <- syscall.SIGTERM
	select {
	case <-ended:
	case <-time.After(h.settings.StopGrace):
		require.Fail(t, "the instance did not stop within its grace time")
	}
}

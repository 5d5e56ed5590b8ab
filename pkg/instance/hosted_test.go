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

// blockedOutput takes nothing until it is released.
type blockedOutput struct{ release chan struct{} }

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	return len(p), nil
}

// newTestHosted gives an instance on loopback whose store does not answer.
func newTestHosted(t *testing.T, output *blockedOutput) *Hosted {
	const nothingListens = "127.0.0.1:1"
	h, err := NewHosted(&settings.Hosted{
		Name: "i1", Domain: "d1", IP: "127.0.0.1", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0",
		StoreAddress: nothingListens, PromotionAddress: nothingListens, MemoryBytes: 256 << 20, Descriptors: 2048,
		TargetDrain: 7 * time.Second, StopGrace: 6 * time.Second, RateWindow: 5 * time.Second,
	}, output)
	require.NoError(t, err)
	return h
}

// Guards against decisions that wait for a log whose reader has stopped, and
// against a planned stop that such a log keeps from ending.
func TestBlockedLogHoldsNothingUp(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	defer close(output.release)
	h := newTestHosted(t, output)
	stop := make(chan os.Signal, 1)
	ended := make(chan struct{})
	go func() {
		h.Run(stop, nil)
		close(ended)
	}()
	started := time.Now()
	for range 10 * hostedRing {
		h.log(logrus.InfoLevel, "request", "answered", nil)
	}
	require.Less(t, time.Since(started), time.Second, "a line in a full ring is dropped")
	require.NotZero(t, h.telemetry.Stats().Refusals, "dropped lines are counted")
	_, inspected := inspectSession(h.sessions.input, "")
	require.True(t, inspected, "the session decides on")
	stop <- syscall.SIGTERM
	select {
	case <-ended:
	case <-time.After(h.settings.StopGrace):
		require.Fail(t, "the process would be killed")
	}
}

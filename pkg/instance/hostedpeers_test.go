package instance

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/relay"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// newPeerTestHosted returns an instance that is not run and whose session ring is full.
func newPeerTestHosted(t *testing.T) *Hosted {
	output := &blockingWriter{release: make(chan struct{})}
	close(output.release)
	h := newTestHosted(t, output)
	t.Cleanup(func() {
		h.callers.Loop.Close()
		h.targets.Loop.Close()
		require.NoError(t, h.readyListener.Close())
		require.NoError(t, h.metricsListener.Close())
	})
	for h.sessionDuty.input.TryPush(session.ReleaseIdle{}) {
		continue
	}
	return h
}

// peerRequestOf returns a request of another instance.
func peerRequestOf(t *testing.T, method string, params any, receivedAt time.Time) rpc.Request {
	encoded, err := json.Marshal(params)
	require.NoError(t, err)
	return rpc.Request{Method: method, Params: encoded, ReceivedAt: receivedAt}
}

// lastInput empties the session ring and returns its newest input.
func (h *Hosted) lastInput() session.Input {
	var last session.Input
	for {
		in, ok := h.sessionDuty.input.Pop()
		if !ok {
			return last
		}
		last = in
	}
}

// Guards against a request that is acknowledged twice, or before session has accepted
// it, while session's ring is full: the rpc duty then counts fewer open requests than
// there are and does not wait for their replies at a stop.
func TestPeerRequestIsAcknowledgedOnce(t *testing.T) {
	requests := []rpc.Request{
		peerRequestOf(t, relay.MethodPing, relay.Ping{Instance: "run"}, clock.Now()),
		peerRequestOf(t, relay.MethodEndSession, relay.EndSession{Instance: "run", Caller: 7}, clock.Now()),
		peerRequestOf(t, relay.MethodReleaseConnection, relay.ReleaseConnection{Member: "m"}, clock.Now()),
	}
	for _, r := range requests {
		h := newPeerTestHosted(t)
		require.False(t, h.deliverPeer(r), r.Method)
		require.Zero(t, h.rpc.Commands().Len(), r.Method)
		h.lastInput()
		require.True(t, h.deliverPeer(r), r.Method)
		require.Equal(t, 1, h.rpc.Commands().Len(), r.Method)
		require.NotNil(t, h.lastInput(), r.Method)
	}
}

// Guards against a relayed request whose time limit begins again when session's ring has
// free space: the caller's instance gives it up while the home still runs it.
func TestTimeLimitOfARelayedRequestCountsFromItsReceipt(t *testing.T) {
	h := newPeerTestHosted(t)
	receivedAt := clock.Now().Add(-time.Second)
	r := peerRequestOf(t, relay.MethodRelay, relay.Request{ElapsedMicros: 5000}, receivedAt)
	require.False(t, h.deliverPeer(r))
	h.lastInput()
	require.True(t, h.deliverPeer(r))
	require.Equal(t, receivedAt.Add(-5*time.Millisecond), h.lastInput().(session.RemoteRequest).Request.Arrived)
}

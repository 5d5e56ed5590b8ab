package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against a request without a response: its call stays open until it times out,
// which replaces the connection between the two instances, and a stop of the home waits
// for its response.
func TestAbandonedRemoteRequestGetsAResponse(t *testing.T) {
	h := newHomeHarness(t)
	h.sendRemote(1, 0, true, "write", write)
	target := h.lastSent().Target
	h.do(RemoteClosed{Caller: RemoteID{Instance: "origin-1", Caller: 7}})
	response := h.lastRelayResponse()
	require.EqualValues(t, 1, response.ReplyTo)
	require.Equal(t, core.OutcomeUncertain, response.Refusal.Outcome)
	require.Contains(t, h.targets, TargetClose{Target: target})
	peers := len(h.peers)
	h.do(RemoteClosed{Caller: RemoteID{Instance: "origin-1", Caller: 7}})
	require.Len(t, h.peers, peers, "one response only")
}

// Guards against a response to an abandoned request that reaches the caller's next one.
func TestResponseToAnAbandonedRequestIsDropped(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "write", write)
	v := h.lastRelayed()
	h.wait(peerProbeInterval)
	h.do(RelayLost{ID: v.ID, Address: v.Address})
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
	h.sendClassified(1, "read", read)
	next := h.lastRelayed()
	answers := len(h.callers)
	h.homeResponds(v, RelayResponse{Refusal: core.Uncertain("abandoned"), TxStatus: TxIdle})
	require.Len(t, h.callers, answers)
	h.homeResponds(next, RelayResponse{Frames: []byte("rows"), TxStatus: TxIdle})
	require.Len(t, h.callers, answers+1)
}

package session

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a home that ends a running request, and sends no response to it, because
// the end of an earlier request or transaction of the same caller arrives after it: the two
// may come over different connections.
func TestLateEndOfAnEarlierRequestIsIgnored(t *testing.T) {
	h := newHomeHarness(t)
	h.sendRemote(5, 0, true, "write", write)
	sent := h.lastSent()
	h.do(RemoteClosed{Caller: RemoteID{Instance: "origin-1", Caller: 7}, Sequence: 4})
	h.primaryAnswers(sent.Target, TxIdle, position(1, 101))
	require.Nil(t, h.lastRelayResponse().Refusal)
	require.Equal(t, []byte("ready"), h.lastRelayResponse().Frames)

	h.sendRemote(6, 0, true, "write", write)
	sent = h.lastSent()
	h.do(RemoteClosed{Caller: RemoteID{Instance: "origin-1", Caller: 7}, Sequence: 6})
	require.Contains(t, h.targets, TargetClose{Target: sent.Target}, "its own end ends the request")
	require.Empty(t, h.e.callers)
}

// relayEnds returns the ends that were sent to homes.
func (h *harness) relayEnds() []RelayEnd {
	var ends []RelayEnd
	for _, c := range h.peers {
		if v, ok := c.(RelayEnd); ok {
			ends = append(ends, v)
		}
	}
	return ends
}

// Guards against an end that names no request, or that of a later one: the home then cannot
// tell which of the caller's requests it ends.
func TestEndNamesTheLastRequest(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "write", write)
	first := h.lastRelayed()
	h.homeResponds(first, RelayResponse{TxStatus: 'T'})
	h.do(CallerClosed{Caller: 1})
	require.Equal(t, []RelayEnd{{Address: homeAddress, Caller: 1, Sequence: first.ID.Sequence}}, h.relayEnds())

	h = newOriginHarness(t)
	h.sendClassified(1, "read", read)
	running := h.lastRelayed()
	h.e.peer(homeAddress).endRelayed()
	require.Equal(t, []RelayEnd{{Address: homeAddress, Caller: 1, Sequence: running.ID.Sequence}}, h.relayEnds())
}

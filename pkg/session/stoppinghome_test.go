package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// relayFromTwoCallers relays a write of caller 1, which the home accepts, and one of
// caller 2, for which the home refuses the connection. It returns the first.
func relayFromTwoCallers(h *harness) RelayRequest {
	h.open(2, core.Position{})
	h.sendClassified(1, "accepted", write)
	accepted := h.lastRelayed()
	h.sendClassified(2, "refused", write)
	refused := h.lastRelayed()
	h.do(RelayLost{ID: refused.ID, Address: refused.Address, Unsent: true, Refused: true})
	return accepted
}

// Guards against an uncertain answer to a write that a stopping home has accepted: the
// home refuses new connections while its answer is on the way.
func TestAcceptedRequestOutlivesARefusedConnection(t *testing.T) {
	h := newOriginHarness(t)
	accepted := relayFromTwoCallers(h)
	h.homeResponds(accepted, RelayResponse{Frames: []byte("done"), TxStatus: TxIdle})
	require.Equal(t, CallerWrite{Caller: 1, Frames: []byte("done"), Done: true, TxStatus: TxIdle}, h.lastCallerCommand())
	require.True(t, h.e.peer(homeAddress).lost, "an earlier connection's answer does not show that the home accepts another")
	h.do(PeerProbeReply{Address: homeAddress})
	require.False(t, h.e.peer(homeAddress).lost)
}

// Guards against a request that waits until its deadline for a home that has refused
// another connection and does not respond any more.
func TestAcceptedRequestOfAnEndedHomeIsGivenUp(t *testing.T) {
	h := newOriginHarness(t)
	relayFromTwoCallers(h)
	for waited := time.Duration(0); waited < peerTimeout+peerProbeInterval; waited += peerProbeInterval {
		h.wait(peerProbeInterval)
	}
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
}

// Guards against a request that a member runs after its caller's time limit: the margin
// of a relayed request is for the home's answer, not for another attempt.
func TestRequestIsNotRunLocallyAfterItsDeadline(t *testing.T) {
	for _, late := range []bool{false, true} {
		h := newOriginHarness(t)
		h.e.entries["entry"].deadline = peerProbeInterval
		h.sendClassified(1, "write", write)
		v := h.lastRelayed()
		h.wait(peerProbeInterval - time.Millisecond)
		h.do(PeerProbeReply{Address: homeAddress})
		if late {
			h.wait(2 * time.Millisecond)
		}
		h.do(RelayLost{ID: v.ID, Address: v.Address, Unsent: true})
		h.connect()
		require.Equal(t, late, h.countSent() == 0)
		if !late {
			require.Equal(t, v.Request.Arrived.Add(peerProbeInterval), h.lastSent().NotAfter)
		}
	}
}

// Guards against a transaction that stays open at a member of the home after its caller
// has left, and against a home that is not told.
func TestEndOfTheCallerEndsItsTransactionAtTheHome(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "read", read)
	h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: 'T'})
	h.do(CallerClosed{Caller: 1})
	require.Equal(t, []RelayEnd{{Address: homeAddress, Caller: 1, Sequence: h.lastRelayed().ID.Sequence}}, h.relayEnds())

	h = newHomeHarness(t)
	h.firstInTransaction = true
	h.sendRemote(1, 0, true, "write", write)
	target := h.lastSent().Target
	h.primaryAnswers(target, 'T', position(1, 100))
	h.do(RemoteClosed{Caller: RemoteID{Instance: "origin-1", Caller: 7}})
	require.Contains(t, h.targets, TargetClose{Target: target})
	require.Empty(t, h.e.callers)
}

// Guards against an uncertain answer to a request that certainly did not reach the home and
// that has no time left to run here.
func TestUnsentRequestAfterItsDeadlineIsNotRun(t *testing.T) {
	h := newOriginHarness(t)
	h.e.entries["entry"].deadline = peerProbeInterval
	h.sendClassified(1, "write", write)
	v := h.lastRelayed()
	h.wait(peerProbeInterval + time.Millisecond)
	h.do(RelayLost{ID: v.ID, Address: v.Address, Unsent: true})
	h.requireRefused(core.ReasonDeadline, core.OutcomeNotRun)
}

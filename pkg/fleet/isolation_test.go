package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// newTwoDomainHarness returns a serving instance of the failure domain "one", with
// an instance "a" in the same domain and "b" in another.
func newTwoDomainHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.e.config.Self.Domain = "one"
	h.handle(StoreChanges{Changes: []Change{
		{Instance: &Instance{Node: "a", ID: "a-1", Domain: "one", Peer: "10.0.0.2:1"}},
		{Instance: &Instance{Node: "b", ID: "b-1", Domain: "two", Peer: "10.0.0.3:1"}},
		{Instance: &Instance{Node: "self", ID: "self-1", Domain: "one", Peer: "10.0.0.1:1"}},
	}, Since: h.now})
	require.True(t, h.ready)
	return h
}

// Guards against an instance of an isolated failure domain that keeps callers which
// other domains could serve, and against one that disconnects callers although it
// can serve them.
func TestCutOffInstanceIsNotReady(t *testing.T) {
	h := newTwoDomainHarness(t)
	h.handle(StoreUnavailable{Reason: "test"})
	require.Equal(t, []string{"10.0.0.3:1"}, h.probed, "instances of other domains are probed")
	h.advance(pollTimeout)
	require.True(t, h.ready, "one round may coincide with a pause of the process")
	h.advance(time.Second)
	require.False(t, h.ready)
	require.NotContains(t, h.sessionInputs, session.ReleaseIdle{}, "the balancer would still send the callers back here")
	h.advance(h.e.config.Bounds.BalancerNotice)
	require.Contains(t, h.sessionInputs, session.ReleaseIdle{})
	h.handle(ProbeResponse{})
	h.advance(probeRoundInterval + pollTimeout)
	require.True(t, h.ready, "the other domain responds again")

	h = newTwoDomainHarness(t)
	h.handle(StoreUnavailable{Reason: "test"})
	h.advance(time.Second)
	require.False(t, h.ready)
	h.handle(StoreSnapshot{Snapshot: &Snapshot{Instances: []Instance{{Node: "b", ID: "b-1", Domain: "two", Peer: "10.0.0.3:1"}}}})
	require.True(t, h.ready, "the store responds again")
}

// Guards against an isolated instance that refuses callers for as long as it waits
// for an unresponsive store: an unresponsive home starts the probes and a read of
// the store at once.
func TestCutIsNoticedBySilentHomes(t *testing.T) {
	h := newTwoDomainHarness(t)
	h.handle(SessionReport{Report: session.HomeUnresponsive{}})
	require.Equal(t, []string{"10.0.0.3:1"}, h.probed)
	h.advance(pollTimeout)
	require.Equal(t, 1, h.storeChecks, "the store is read at once")
	h.advance(probeRoundInterval + pollTimeout)
	require.True(t, h.ready, "the store has not failed yet")
	h.handle(StoreUnavailable{Reason: "test"})
	require.False(t, h.ready)
}

// Guards against a failure domain that becomes not ready because all instances of
// other domains have died, and against a store outage that makes every instance not
// ready.
func TestReadyWhileStoreOrOthersAnswer(t *testing.T) {
	h := newTwoDomainHarness(t)
	h.handle(SessionReport{Report: session.Demand{HomesUsed: 2, UnresponsiveHomes: []session.PeerAddress{"10.0.0.3:1"}}})
	for range 10 {
		h.advance(500 * time.Millisecond)
		h.handle(StoreSnapshot{Snapshot: &Snapshot{Instances: []Instance{{Node: "b", ID: "b-1", Domain: "two", Peer: "10.0.0.3:1"}}}})
	}
	require.True(t, h.ready, "the store can be read")
	require.Equal(t, 1, h.storeChecks, "the store is read once, not in each round")

	h = newTwoDomainHarness(t)
	h.handle(StoreUnavailable{Reason: "test"})
	for range 20 {
		h.handle(ProbeResponse{})
		h.advance(probeRoundInterval + pollTimeout)
		require.True(t, h.ready, "another domain responds")
	}
}

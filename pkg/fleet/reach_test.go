package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// cutOffHarness gives a serving instance of the failure domain "one" with an
// instance "a" of its own and "b" of another domain.
func cutOffHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.e.config.Self.Domain = "one"
	h.do(StoreChanged{Changes: []Change{
		{Instance: &Instance{Node: "a", ID: "a-1", Domain: "one", Peer: "10.0.0.2:1"}},
		{Instance: &Instance{Node: "b", ID: "b-1", Domain: "two", Peer: "10.0.0.3:1"}},
		{Instance: &Instance{Node: "self", ID: "self-1", Domain: "one", Peer: "10.0.0.1:1"}},
	}, Since: h.now})
	require.True(t, h.ready)
	return h
}

// Guards against an instance of a cut failure domain that keeps callers which
// the other domains could serve, and against one that turns them away although
// it can serve them.
func TestCutOffInstanceIsNotReady(t *testing.T) {
	h := cutOffHarness(t)
	h.do(StoreLost{Reason: "test"})
	require.Equal(t, []string{"10.0.0.3:1"}, h.probed, "instances of other domains are probed")
	h.wait(opinionWait)
	require.True(t, h.ready, "one round may fall into a pause")
	h.wait(time.Second)
	require.False(t, h.ready)
	require.NotContains(t, h.sessions, session.ReleaseIdle{}, "the balancer would send the callers back")
	h.wait(h.e.config.Bounds.BalancerNotice)
	require.Contains(t, h.sessions, session.ReleaseIdle{})
	h.do(InstanceHeard{})
	h.wait(reachPause + opinionWait)
	require.True(t, h.ready, "the other domain answers again")

	h = cutOffHarness(t)
	h.do(StoreLost{Reason: "test"})
	h.wait(time.Second)
	require.False(t, h.ready)
	h.do(StoreSeen{Snapshot: &Snapshot{Instances: []Instance{{Node: "b", ID: "b-1", Domain: "two", Peer: "10.0.0.3:1"}}}})
	require.True(t, h.ready, "the store answers again")
}

// Guards against callers that are refused while a silent store is waited for.
func TestCutIsNoticedBySilentHomes(t *testing.T) {
	h := cutOffHarness(t)
	h.do(FromSession{Report: session.HomeSilent{}})
	require.Equal(t, []string{"10.0.0.3:1"}, h.probed)
	h.wait(opinionWait)
	require.Equal(t, 1, h.checks, "the store is read at once")
	h.wait(reachPause + opinionWait)
	require.True(t, h.ready, "the store has not failed yet")
	h.do(StoreLost{Reason: "test"})
	require.False(t, h.ready)
}

// Guards against a domain that goes out of service because the instances of the
// others have died, and against an outage of the store that empties the balancer.
func TestReadyWhileStoreOrOthersAnswer(t *testing.T) {
	h := cutOffHarness(t)
	h.do(FromSession{Report: session.Demand{HomesUsed: 2, SilentHomes: []session.PeerAddress{"10.0.0.3:1"}}})
	for range 10 {
		h.wait(500 * time.Millisecond)
		h.do(StoreSeen{Snapshot: &Snapshot{Instances: []Instance{{Node: "b", ID: "b-1", Domain: "two", Peer: "10.0.0.3:1"}}}})
	}
	require.True(t, h.ready, "the store can be read")
	require.Equal(t, 1, h.checks, "the store is read once, not in each round")

	h = cutOffHarness(t)
	h.do(StoreLost{Reason: "test"})
	for range 20 {
		h.do(InstanceHeard{})
		h.wait(reachPause + opinionWait)
		require.True(t, h.ready, "another domain answers")
	}
}

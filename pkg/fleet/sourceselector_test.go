package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// growDomain registers instances until the failure domain has the given number.
func (h *harness) growDomain(count int) {
	for i := len(h.e.currentTopology().localNodes); i < count; i++ {
		h.handle(StoreChanges{Changes: []Change{registration(fmt.Sprintf("n%03d", i))}})
	}
}

func (h *harness) currentSource() ChangeSource {
	if len(h.sources) == 0 {
		return ChangeSource{}
	}
	return h.sources[len(h.sources)-1]
}

// Guards against a store that has to send each change to each instance of a large
// fleet: with 300 instances a configuration of 1 MB took 4.3 s. In a small failure
// domain every instance reads the store.
func TestLargeDomainFollowsFeeders(t *testing.T) {
	h := newHarness(t)
	h.growDomain(maxDirectInstances)
	require.Zero(t, h.currentSource(), "in a small domain instances read the store")
	const instances = 100
	h.growDomain(instances)
	feeders := h.e.currentTopology().feeders
	require.Len(t, feeders, 8, "one per about twelve followers")
	source := h.currentSource()
	if source.Feeding {
		require.Contains(t, feeders, "self")
		return
	}
	require.Contains(t, feeders, h.nodeAtPeer(string(source.Feeder)))
}

func (h *harness) nodeAtPeer(peer string) string {
	for node, i := range h.e.instances {
		if i.Peer == peer {
			return node
		}
	}
	return ""
}

// Guards against an instance that keeps an unresponsive feeder or returns to one
// that has ended: it reads the store for a while and then follows another.
func TestFailedFeederIsLeft(t *testing.T) {
	h := newHarness(t)
	h.growDomain(30)
	if h.currentSource().Feeding {
		t.Fatal("the node names must be chosen so that another instance is the feeder")
	}
	first := h.currentSource().Feeder
	require.NotEmpty(t, first)
	h.handle(FeederFailed{Feeder: "10.9.9.9:1", Reason: "late report about an earlier feeder"})
	require.Equal(t, first, h.currentSource().Feeder)
	h.handle(FeederFailed{Feeder: first, Reason: "silent"})
	require.Zero(t, h.currentSource(), "it reads the store itself")
	h.handle(StoreChanges{Changes: []Change{{RemovedInstance: h.nodeAtPeer(string(first))}}})
	h.advance(feederRetryDelay)
	h.advance(h.e.config.Bounds.ReregistrationGrace)
	require.NotEmpty(t, h.currentSource().Feeder)
	h.handle(StoreChanges{Changes: []Change{registration("another")}})
	require.NotEqual(t, first, h.currentSource().Feeder)
}

// Guards against a stopping instance that still has followers.
func TestStoppingInstanceFeedsNobody(t *testing.T) {
	h := newHarness(t)
	h.growDomain(30)
	h.handle(StopRequested{})
	require.Zero(t, h.currentSource())
	require.False(t, h.e.feed.serving)
}

// Guards against removing running members whose announcements expired during an
// outage that only the feeder noticed. Running members announce themselves again
// within two seconds.
func TestLapsedEntryAfterAFeederFailed(t *testing.T) {
	h := newHarness(t)
	h.growDomain(30)
	h.advance(h.e.config.Bounds.ReregistrationGrace * 2)
	h.handle(FeederFailed{Feeder: h.currentSource().Feeder, Reason: "the feeder has not got the changes"})
	h.handle(StoreChanges{Changes: []Change{{RemovedMember: "r1"}}})
	require.Contains(t, h.e.members, core.MemberID("r1"))
	h.advance(h.e.config.Bounds.ReregistrationGrace)
	require.NotContains(t, h.e.members, core.MemberID("r1"))
}

// sourceWithRank registers the instance under a name with which it has the given rank
// among the feeders, and returns the source that it then selects.
func (h *harness) sourceWithRank(rank int) ChangeSource {
	for i := range 4000 {
		delete(h.e.instances, h.e.config.Self.Node)
		h.e.config.Self.Node = fmt.Sprintf("%c%d", 'c'+i%23, 100+i)
		h.e.topology.invalidate()
		self := h.e.config.Self
		h.handle(StoreChanges{Changes: []Change{{Instance: &self}}})
		feeders := h.e.currentTopology().feeders
		if slices.Index(feeders, self.Node) == rank {
			return h.currentSource()
		}
	}
	require.Fail(h.t, "no node name has the rank")
	return ChangeSource{}
}

// Guards against several instances of a failure domain that watch the store, and against
// feeders that follow each other: only the first one reads the store, and each other one
// follows those before it.
func TestOnlyTheFirstFeederReadsTheStore(t *testing.T) {
	h := newHarness(t)
	h.growDomain(45)
	require.Equal(t, ChangeSource{Feeding: true}, h.sourceWithRank(0))
	require.True(t, h.e.feed.serving)
	for rank := 1; rank < 4; rank++ {
		source := h.sourceWithRank(rank)
		feeders := h.e.currentTopology().feeders
		require.True(t, source.Feeding)
		require.True(t, h.e.feed.serving)
		require.Equal(t, feeders[0], h.nodeAtPeer(string(source.Feeder)))
		if rank == 1 {
			require.Empty(t, source.Standby, "no other feeder is before it")
			continue
		}
		require.Equal(t, feeders[1], h.nodeAtPeer(string(source.Standby)))
	}
}

// Guards against a feeder that rejects its followers when the first feeder is lost, and
// against one that goes on reading the store when that is back.
func TestFeederBridgesTheLossOfTheFirst(t *testing.T) {
	h := newHarness(t)
	h.growDomain(45)
	source := h.sourceWithRank(2)
	h.handle(FeederFailed{Feeder: source.Feeder, Reason: "silent"})
	require.Equal(t, ChangeSource{Feeding: true}, h.currentSource())
	require.True(t, h.e.feed.serving)
	h.advance(feederRetryDelay)
	require.Equal(t, source, h.currentSource())
	require.True(t, h.e.feed.serving)
}

// Guards against a follower without a second feeder, or with the same one twice.
func TestFollowerHasAStandby(t *testing.T) {
	h := newHarness(t)
	h.growDomain(45)
	source := h.currentSource()
	require.False(t, source.Feeding)
	require.NotEqual(t, source.Feeder, source.Standby)
	require.Contains(t, h.e.currentTopology().feeders, h.nodeAtPeer(string(source.Standby)))
}

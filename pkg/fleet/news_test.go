package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// grow registers instances until the failure domain has the given number.
func (h *harness) grow(count int) {
	for i := len(h.e.names().domain); i < count; i++ {
		h.do(StoreChanged{Changes: []Change{instanceOf(fmt.Sprintf("n%03d", i))}})
	}
}

func (h *harness) newsFrom() NewsFrom {
	if len(h.news) == 0 {
		return NewsFrom{}
	}
	return h.news[len(h.news)-1]
}

// Guards against a store that sends each change to each instance of a large
// fleet: 300 instances took 4.3 s for a configuration of 1 MB. A small domain
// reads the store as before.
func TestLargeDomainFollowsFeeders(t *testing.T) {
	h := newHarness(t)
	h.grow(fewInstances)
	require.Zero(t, h.newsFrom(), "few instances read the store")
	const instances = 100
	h.grow(instances)
	feeders := h.e.names().feeders
	require.Len(t, feeders, 8, "each serves about twelve")
	from := h.newsFrom()
	if from.Feeding {
		require.Contains(t, feeders, "self")
		return
	}
	require.Contains(t, feeders, h.nodeAtPeer(string(from.Feeder)))
}

func (h *harness) nodeAtPeer(peer string) string {
	for node, i := range h.e.instances {
		if i.Peer == peer {
			return node
		}
	}
	return ""
}

// Guards against an instance that goes on with a silent feeder, or that goes back
// to one which has left: it reads the store for a while and follows another.
func TestFailedFeederIsLeft(t *testing.T) {
	h := newHarness(t)
	h.grow(30)
	if h.newsFrom().Feeding {
		t.Fatal("the names have to be chosen so that another instance feeds")
	}
	first := h.newsFrom().Feeder
	require.NotEmpty(t, first)
	h.do(FeedFailed{Feeder: "10.9.9.9:1", Reason: "late report of an earlier feeder"})
	require.Equal(t, first, h.newsFrom().Feeder)
	h.do(FeedFailed{Feeder: first, Reason: "silent"})
	require.Zero(t, h.newsFrom(), "the store itself")
	h.do(StoreChanged{Changes: []Change{{GoneInstance: h.nodeAtPeer(string(first))}}})
	h.wait(newsDetour)
	h.wait(h.e.config.Bounds.ReturnWait)
	require.NotEmpty(t, h.newsFrom().Feeder)
	h.do(StoreChanged{Changes: []Change{instanceOf("another")}})
	require.NotEqual(t, first, h.newsFrom().Feeder)
}

// Guards against followers of an instance that stops.
func TestStoppingInstanceFeedsNobody(t *testing.T) {
	h := newHarness(t)
	h.grow(30)
	h.do(StopRequested{})
	require.Zero(t, h.newsFrom())
	require.False(t, h.e.feed.serving)
}

// Guards against members that count as gone because their entries lapsed in an
// outage that only the feeder noticed: living ones are back within two seconds.
func TestLapsedEntryAfterAFeederFailed(t *testing.T) {
	h := newHarness(t)
	h.grow(30)
	h.wait(h.e.config.Bounds.ReturnWait * 2)
	h.do(FeedFailed{Feeder: h.newsFrom().Feeder, Reason: "the feeder has not got the changes"})
	h.do(StoreChanged{Changes: []Change{{GoneMember: "r1"}}})
	require.Contains(t, h.e.members, core.MemberID("r1"))
	h.wait(h.e.config.Bounds.ReturnWait)
	require.NotContains(t, h.e.members, core.MemberID("r1"))
}

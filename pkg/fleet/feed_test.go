package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (h *harness) storeChanges(next Revision, changes ...Change) {
	for i := range changes {
		changes[i].Revision = next - Revision(len(changes)-1-i)
	}
	h.handle(StoreChanges{Changes: changes, Next: next, AsOf: h.now})
}

// newFeedingHarness returns a feeder that has read the store up to revision 200.
func newFeedingHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.storeChanges(200)
	h.e.feed.serving = true
	return h
}

func registration(node string) Change {
	return Change{Instance: &Instance{Node: node, ID: "run", Peer: node + ":1"}}
}

// Guards against a follower that misses a change or gets one twice: each response
// has the changes after the requested revision.
func TestFollowerGetsEachChangeOnce(t *testing.T) {
	h := newFeedingHarness(t)
	h.handle(FeedRequest{ReplyTo: "waits", After: 200, Wait: time.Second})
	require.Empty(t, h.feedResponses, "there are no changes yet")
	h.storeChanges(202, registration("n1"), registration("n2"))
	a := h.feedResponses["waits"]
	require.Equal(t, []Revision{201, 202}, []Revision{a.Changes[0].Revision, a.Changes[1].Revision})
	require.EqualValues(t, 202, a.Next)
	h.storeChanges(210, registration("n3"))
	h.advance(300 * time.Millisecond)
	h.handle(FeedRequest{ReplyTo: "late", After: 201, Wait: time.Second})
	a = h.feedResponses["late"]
	require.Equal(t, []Revision{202, 210}, []Revision{a.Changes[0].Revision, a.Changes[1].Revision}, "at once")
	require.Equal(t, 300*time.Millisecond, a.Age)
	h.handle(FeedRequest{ReplyTo: "quiet", After: 210, Wait: time.Second})
	h.advance(1100 * time.Millisecond)
	require.Empty(t, h.feedResponses["quiet"].Changes)
	require.EqualValues(t, 210, h.feedResponses["quiet"].Next, "a response without changes after the wait")
}

// Guards against followers that wait for a feeder which cannot serve them: a feeder
// that cannot read the store, does not have the requested history, or is about to
// stop says so at once.
func TestUnfitFeederSaysSo(t *testing.T) {
	h := newFeedingHarness(t)
	h.handle(FeedRequest{ReplyTo: "old", After: 150, Wait: time.Second})
	require.True(t, h.feedResponses["old"].Unavailable, "the changes after 150 are not known")
	h.handle(FeedRequest{ReplyTo: "waits", After: 200, Wait: time.Second})
	h.handle(StoreUnavailable{Reason: "silent"})
	require.True(t, h.feedResponses["waits"].Unavailable)
	h.handle(FeedRequest{ReplyTo: "lost", After: 200, Wait: time.Second})
	require.True(t, h.feedResponses["lost"].Unavailable)
	h = newFeedingHarness(t)
	h.e.feed.serving = false
	h.handle(FeedRequest{ReplyTo: "follower", After: 200, Wait: time.Second})
	require.True(t, h.feedResponses["follower"].Unavailable, "two followers could feed each other")
}

// Guards against memory that grows with the number of changes, and against a gap
// after the oldest were dropped.
func TestFeedKeepsABoundedHistory(t *testing.T) {
	h := newFeedingHarness(t)
	for i := range maxFeedHistory + 10 {
		h.storeChanges(Revision(201+i), Change{RemovedHome: "acct"})
	}
	require.Len(t, h.e.feed.changes, maxFeedHistory)
	h.handle(FeedRequest{ReplyTo: "dropped", After: 209, Wait: time.Second})
	require.True(t, h.feedResponses["dropped"].Unavailable)
	h.handle(FeedRequest{ReplyTo: "kept", After: 210, Wait: time.Second})
	require.Len(t, h.feedResponses["kept"].Changes, maxFeedHistory)
}

package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (h *harness) changed(next Revision, changes ...Change) {
	for i := range changes {
		changes[i].Revision = next - Revision(len(changes)-1-i)
	}
	h.do(StoreChanged{Changes: changes, Next: next, Current: h.now})
}

// newFeeding gives an instance that feeds others and knows the store up to 200.
func newFeeding(t *testing.T) *harness {
	h := newHarness(t)
	h.changed(200)
	h.e.feed.serving = true
	return h
}

func instanceOf(node string) Change {
	return Change{Instance: &Instance{Node: node, ID: "run", Peer: node + ":1"}}
}

// Guards against a follower that misses a change or gets one twice: each answer
// holds what comes after the revision asked for.
func TestFollowerGetsEachChangeOnce(t *testing.T) {
	h := newFeeding(t)
	h.do(FeedAsked{Reply: "waits", After: 200, Wait: time.Second})
	require.Empty(t, h.fed, "there is nothing yet")
	h.changed(202, instanceOf("n1"), instanceOf("n2"))
	a := h.fed["waits"]
	require.Equal(t, []Revision{201, 202}, []Revision{a.Changes[0].Revision, a.Changes[1].Revision})
	require.EqualValues(t, 202, a.Next)
	h.changed(210, instanceOf("n3"))
	h.wait(300 * time.Millisecond)
	h.do(FeedAsked{Reply: "late", After: 201, Wait: time.Second})
	a = h.fed["late"]
	require.Equal(t, []Revision{202, 210}, []Revision{a.Changes[0].Revision, a.Changes[1].Revision}, "at once")
	require.Equal(t, 300*time.Millisecond, a.Age)
	h.do(FeedAsked{Reply: "quiet", After: 210, Wait: time.Second})
	h.wait(1100 * time.Millisecond)
	require.Empty(t, h.fed["quiet"].Changes)
	require.EqualValues(t, 210, h.fed["quiet"].Next, "an answer without changes after the wait")
}

// Guards against followers that take an instance's silence for the store's: one
// that cannot read the store, began later or is about to stop says so at once.
func TestUnfitFeederSaysSo(t *testing.T) {
	h := newFeeding(t)
	h.do(FeedAsked{Reply: "old", After: 150, Wait: time.Second})
	require.True(t, h.fed["old"].Unfit, "the changes after 150 are not known")
	h.do(FeedAsked{Reply: "waits", After: 200, Wait: time.Second})
	h.do(StoreLost{Reason: "silent"})
	require.True(t, h.fed["waits"].Unfit)
	h.do(FeedAsked{Reply: "lost", After: 200, Wait: time.Second})
	require.True(t, h.fed["lost"].Unfit)
	h = newFeeding(t)
	h.e.feed.serving = false
	h.do(FeedAsked{Reply: "follower", After: 200, Wait: time.Second})
	require.True(t, h.fed["follower"].Unfit, "two followers could feed each other")
}

// Guards against memory that grows with the changes, and against a gap when the
// oldest are dropped.
func TestFeedKeepsABoundedHistory(t *testing.T) {
	h := newFeeding(t)
	for i := range feedKept + 10 {
		h.changed(Revision(201+i), Change{GoneHome: "acct"})
	}
	require.Len(t, h.e.feed.changes, feedKept)
	h.do(FeedAsked{Reply: "dropped", After: 209, Wait: time.Second})
	require.True(t, h.fed["dropped"].Unfit)
	h.do(FeedAsked{Reply: "kept", After: 210, Wait: time.Second})
	require.Len(t, h.fed["kept"].Changes, feedKept)
}

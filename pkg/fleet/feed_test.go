package fleet

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
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

// Guards against feeders whose followers read everything from the store: a request for
// everything gets the records as of the feeder's revision, without those that the store
// lacks.
func TestFeederSendsEverything(t *testing.T) {
	h := newFeedingHarness(t)
	h.advance(h.e.config.Bounds.ReregistrationGrace / 2)
	h.storeChanges(203, registration("n1"), Change{RemovedInstance: "a"}, Change{RemovedMember: "r1"})
	h.handle(FeedRequest{ReplyTo: "all"})
	a := h.feedResponses["all"]
	require.EqualValues(t, 203, a.Next)
	require.EqualValues(t, 203, a.Snapshot.Revision)
	var nodes []string
	for _, i := range a.Snapshot.Instances {
		nodes = append(nodes, i.Node)
	}
	require.ElementsMatch(t, []string{"self", "b", "n1"}, nodes)
	require.Contains(t, h.e.instances, "a", "kept for the grace period, but the store lacks it")
	require.Len(t, a.Snapshot.Members, 2)
	h.handle(StoreUnavailable{Reason: "silent"})
	h.handle(FeedRequest{ReplyTo: "lost"})
	require.True(t, h.feedResponses["lost"].Unavailable)
	require.True(t, h.feedResponses["lost"].StoreLost)
	h.e.feed.serving = false
	h.handle(FeedRequest{ReplyTo: "no feeder"})
	require.Equal(t, FeedResponse{Unavailable: true}, h.feedResponses["no feeder"])
}

// Guards against records that a snapshot from a feeder lacks, for instance of a kind that
// was added later: an engine that applies the feeder's snapshot, after it was sent as
// JSON, knows as much as the feeder.
func TestSnapshotOfAFeederIsComplete(t *testing.T) {
	h := newFeedingHarness(t)
	want := &Snapshot{
		Configuration: configuration(7),
		Members:       []Announcement{{Member: "p", Group: "g", Address: "p:1", Domain: "d", Slots: 2, Role: core.RolePrimary, Started: startTime, Revision: 300}},
		Instances:     []Instance{{Node: "n9", ID: "n9-1", Domain: "d", Peer: "n9:1"}},
		Homes:         []Home{{Account: "acct", Node: "n9", Instance: "n9-1", Revision: 301}},
		Successions:   []Succession{{Group: "g", Revoked: "r1", Promoted: "p", Revision: 302}},
		Terms:         []GroupTerm{{Group: "g", Term: 4, Revision: 303}},
		Evacuations:   []core.Domain{"d"},
		Revision:      310,
	}
	fields := reflect.ValueOf(*want)
	for i := range fields.NumField() {
		require.False(t, fields.Field(i).IsZero(), "the test must set field %s", fields.Type().Field(i).Name)
	}
	h.handle(StoreSnapshot{Snapshot: want, AsOf: h.now})
	h.handle(FeedRequest{ReplyTo: "all"})
	text, err := json.Marshal(h.feedResponses["all"])
	require.NoError(t, err)
	var got FeedResponse
	require.NoError(t, json.Unmarshal(text, &got))
	got.Snapshot.Members[0].Started = got.Snapshot.Members[0].Started.Local()
	require.Equal(t, want, got.Snapshot)
}

// Guards against feeders that follow another one and pass on older records than that one has: a
// waiting request is answered when the store was read again, also without changes.
func TestFollowerLearnsThatThereAreNoChanges(t *testing.T) {
	h := newFeedingHarness(t)
	h.advance(800 * time.Millisecond)
	h.handle(FeedRequest{ReplyTo: "waits", After: 200, Wait: 5 * time.Second})
	h.advance(300 * time.Millisecond)
	h.storeChanges(200)
	require.Equal(t, FeedResponse{Next: 200, Held: 300 * time.Millisecond}, h.feedResponses["waits"])
}

// Guards against a new feeder that answers as if the store had no changes since it last
// learned of some: it does not serve before the next read.
func TestNewFeederServesAfterARead(t *testing.T) {
	h := newHarness(t)
	h.storeChanges(200)
	h.advance(10 * time.Second)
	h.e.feed.start()
	h.handle(FeedRequest{ReplyTo: "early", After: 200, Wait: time.Second})
	require.Equal(t, FeedResponse{Unavailable: true}, h.feedResponses["early"])
	h.storeChanges(200)
	h.e.feed.start()
	h.handle(FeedRequest{ReplyTo: "next", After: 200})
	require.Equal(t, FeedResponse{Next: 200}, h.feedResponses["next"])
}

// Guards against a history of large configurations that fills the memory of a feeder and the link
// of a follower that is behind: only the newest one counts.
func TestFollowerGetsTheNewestConfigurationOnly(t *testing.T) {
	h := newFeedingHarness(t)
	h.storeChanges(203, Change{Configuration: configuration(3)}, registration("n1"), Change{Configuration: configuration(4)})
	h.storeChanges(205, Change{Configuration: configuration(5)}, registration("n2"))
	h.handle(FeedRequest{ReplyTo: "behind", After: 200, Wait: time.Second})
	changes := h.feedResponses["behind"].Changes
	require.Len(t, changes, 3)
	require.Equal(t, []Revision{202, 204, 205}, []Revision{changes[0].Revision, changes[1].Revision, changes[2].Revision})
	require.EqualValues(t, 5, changes[1].Configuration.Version)
	require.Len(t, h.e.feed.changes, 3, "superseded configurations are not kept")
}

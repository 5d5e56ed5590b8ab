package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against work for a draining member beyond its deadline after changed settings have
// shortened it: the deadline was computed with the previous settings.
func TestShortenedDrainTimeIsInForce(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * h.e.config.Bounds.ReregistrationGrace)
	r := h.announce("r1", core.RoleReplica)
	r.Draining = true
	h.announceMember(r)
	limits := h.e.config.Limits
	limits.TargetDrain = 3 * time.Second
	h.handle(limits)
	require.True(t, h.usable("r1"))
	h.advance(3100 * time.Millisecond)
	require.False(t, h.usable("r1"))
}

// Guards against a warm-up that starts again whenever the same announcement is read, and
// against one that a follower does not learn from its feeder.
func TestWarmupEndsOnce(t *testing.T) {
	h := newHarness(t)
	r := h.announce("r1", core.RoleReplica)
	r.Started = time.UnixMilli(5_000)
	r.StartedAgo, r.WarmupLeft = time.Second, 2*time.Second
	h.announceMember(r)
	end := h.now.Add(2 * time.Second)
	m := h.e.members["r1"]
	require.Equal(t, end, m.coldUntil)
	h.advance(time.Second)
	h.handle(StoreChanges{Changes: []Change{{Revision: m.Revision, Member: &m.Announcement}}})
	require.Equal(t, end, h.e.members["r1"].coldUntil)
	members := h.e.recordsSnapshot(1).Members
	i := slices.IndexFunc(members, func(a Announcement) bool { return a.Member == "r1" })
	require.Equal(t, time.Second, members[i].WarmupLeft)
	require.Equal(t, 2*time.Second, members[i].StartedAgo)
	require.True(t, h.e.hasJustStarted(m))
	h.advance(recentStart)
	require.False(t, h.e.hasJustStarted(m))
}

// Guards against a follower that uses the members of an evacuated failure domain because
// it took everything from a feeder.
func TestSnapshotOfAFeederHasTheEvacuations(t *testing.T) {
	h := newHarness(t)
	h.handle(StoreChanges{Changes: []Change{{Revision: 90, EvacuatedDomain: "b"}}})
	require.Equal(t, []core.Domain{"b"}, h.e.recordsSnapshot(90).Evacuations)
}

package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// The record of a member can lapse while the member runs on, because its heartbeats do not
// reach the store, and return later. What must not begin anew then is kept here for a while.

// departedRetention is how long a member is remembered after its record has ended. Members
// that drain end within a fraction of that.
const departedRetention = 10 * time.Minute

// lapsedReplicaWindow is how long a change of primary asks a replica whose record has ended.
const lapsedReplicaWindow = 30 * time.Second

// departedMember is what is remembered of a member whose record has ended.
type departedMember struct {
	target Target
	// started identifies the run of the member's process.
	started time.Time
	// drainingSince is the time at which the member may have begun to drain, zero if it
	// was not draining.
	drainingSince time.Time
	// departedAt is when the member was removed.
	departedAt time.Time
}

// departedMembers holds the members whose records have ended lately.
type departedMembers map[core.MemberID]departedMember

// remember keeps a member that is being removed, and forgets those that left long ago.
func (d departedMembers) remember(m *member, now time.Time) {
	for id, other := range d {
		if now.Sub(other.departedAt) > departedRetention {
			delete(d, id)
		}
	}
	d[m.Member] = departedMember{target: m.target(), started: m.Started, drainingSince: m.drainingSince, departedAt: now}
}

// restore returns what is known of a member that appears with the announcement, and whether
// the same process was known before.
func (d departedMembers) restore(a *Announcement) (departedMember, bool) {
	known, found := d[a.Member]
	delete(d, a.Member)
	return known, found && known.started.Equal(a.Started)
}

// lapsedReplicas returns the members of the group, except one, whose records have ended a
// short while ago. One that runs on receives, and counts as a synchronous replica.
func (e *Engine) lapsedReplicas(group core.DatabaseName, except core.MemberID) []Target {
	var targets []Target
	for id, d := range e.departed {
		if d.target.Group == group && id != except && e.now.Sub(d.departedAt) < lapsedReplicaWindow {
			targets = append(targets, d.target)
		}
	}
	return targets
}

package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// member holds the known state of one member.
type member struct {
	Announcement
	// drainingSince is the earliest time at which the member may have begun to
	// drain, zero if it is not draining.
	drainingSince time.Time
	// missing is set when the store lacks the announcement after an outage.
	missing bool
	// dead is set when the member was declared dead, until it announces itself
	// again.
	dead bool
	// statusPending is set while a check of the suspected member is in progress.
	statusPending bool
	// liveness is the state of that check, and the evidence of the last one.
	liveness livenessCheck
	// startedAt is when the member's process started, zero if it is not known. coldUntil is
	// the time until which it warms up, zero if it does not.
	startedAt time.Time
	coldUntil time.Time
}

// updateMember applies an announcement. One older than the known announcement is
// ignored.
func (e *Engine) updateMember(a *Announcement) {
	m := e.members[a.Member]
	if m == nil {
		m = e.newMember(a)
		e.members[a.Member] = m
	}
	if a.Revision < m.Revision {
		return
	}
	if m.Role != a.Role || m.Draining != a.Draining || m.missing {
		e.out.Log(LogEvent{Event: "member", Message: "member announced itself", Fields: map[string]any{
			"member": a.Member, "group": a.Group, "role": a.Role, "draining": a.Draining, "revision": a.Revision,
		}})
	}
	m.dead = m.dead && a.Revision == m.Revision
	e.recordStart(m, a)
	moved := m.Group != a.Group
	if moved {
		e.leaveGroup(m)
	}
	m.Announcement = *a
	if moved {
		e.joinGroup(m)
	}
	m.missing = false
	if e.effectiveRole(m) == core.RolePrimary {
		e.lastPrimaries[a.Group] = m.target()
	}
	if !a.Draining {
		m.drainingSince = time.Time{}
		return
	}
	if m.drainingSince.IsZero() {
		// The member may have begun to drain any time after the previous read of
		// the store. Without a previous read, the drain time counts as over.
		m.drainingSince = e.changesSince
		if e.changesSince.IsZero() {
			m.drainingSince = e.now.Add(-e.config.Limits.TargetDrain)
		}
	}
}

// newMember returns the state of a member that appears with the announcement. One that
// drains and whose record had lapsed goes on draining. When one began that was never seen
// before is not known, so its drain time counts as over.
func (e *Engine) newMember(a *Announcement) *member {
	m := &member{}
	known, returned := e.departed.restore(a)
	switch {
	case !a.Draining:
	case returned && !known.drainingSince.IsZero():
		m.drainingSince = known.drainingSince
	case !returned:
		m.drainingSince = e.now.Add(-e.config.Limits.TargetDrain)
	}
	return m
}

// recentStart is the age up to which a member has just started. It covers the few seconds
// by which the clocks of members and instances differ.
const recentStart = 10 * time.Second

// recordStart records when the member started and until when it warms up. An announcement
// that is read again does not move these times forward.
func (e *Engine) recordStart(m *member, a *Announcement) {
	if !m.Started.Equal(a.Started) {
		m.startedAt, m.coldUntil = time.Time{}, time.Time{}
		if a.StartedAgo > 0 {
			m.startedAt = e.now.Add(-a.StartedAgo)
		}
		if warmup := e.warmupOf(a.Group); warmup > 0 && !m.startedAt.IsZero() {
			m.coldUntil = m.startedAt.Add(warmup)
		}
	}
	if a.WarmupLeft > 0 && (m.coldUntil.IsZero() || a.Revision > m.Revision) {
		m.coldUntil = e.now.Add(a.WarmupLeft)
	}
}

// hasJustStarted reports whether the member's process started a few seconds ago.
func (e *Engine) hasJustStarted(m *member) bool {
	return !m.startedAt.IsZero() && e.now.Sub(m.startedAt) < recentStart
}

// warmupOf returns how long the group's members warm up after their start.
func (e *Engine) warmupOf(group core.DatabaseName) time.Duration {
	if e.configuration == nil {
		return 0
	}
	for i := range e.configuration.Groups {
		if g := &e.configuration.Groups[i]; g.Name == group {
			return g.Warmup
		}
	}
	return 0
}

// announcementOf returns the member's announcement as a follower should apply it now.
func (e *Engine) announcementOf(m *member) Announcement {
	a := m.Announcement
	a.StartedAgo, a.WarmupLeft = 0, 0
	if !m.startedAt.IsZero() {
		a.StartedAgo = e.now.Sub(m.startedAt)
	}
	if m.coldUntil.After(e.now) {
		a.WarmupLeft = m.coldUntil.Sub(e.now)
	}
	return a
}

// removeMember removes a member whose announcement was deleted. During the grace
// period after a store outage the lease of a running member may have ended, so it
// is only marked missing and can announce itself again.
func (e *Engine) removeMember(id core.MemberID) {
	m := e.members[id]
	if m == nil {
		return
	}
	if e.now.Before(e.reannounceDeadline()) {
		m.missing = true
		e.armSweep()
		return
	}
	e.dropMember(m)
}

// reannounceDeadline returns the end of the grace period after the last store
// outage, within which records that the store lacks may be registered again.
func (e *Engine) reannounceDeadline() time.Time {
	return e.storeRestoredAt.Add(e.config.Bounds.ReregistrationGrace)
}

// joinGroup adds the member to the group that it announces, keeping the group
// sorted.
func (e *Engine) joinGroup(m *member) {
	list := append(e.groups[m.Group], m)
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.Member, b.Member) })
	e.groups[m.Group] = list
}

func (e *Engine) leaveGroup(m *member) {
	e.groups[m.Group] = slices.DeleteFunc(e.groups[m.Group], func(other *member) bool { return other == m })
}

func (e *Engine) dropMember(m *member) {
	delete(e.members, m.Member)
	e.leaveGroup(m)
	e.departed.remember(m, e.now)
	e.out.Log(LogEvent{Event: "member_gone", Message: "member removed", Fields: map[string]any{
		"member": m.Member, "group": m.Group,
	}})
}

// armSweep arms the sweep timer for the next time at which a member stops being
// usable, or at which the grace period for missing records ends.
func (e *Engine) armSweep() {
	next := earliestFuture(time.Time{}, e.reannounceDeadline(), e.now)
	for _, m := range e.members {
		next = earliestFuture(next, e.workEnd(m), e.now)
		next = earliestFuture(next, e.sendUntil(m), e.now)
	}
	if !next.IsZero() {
		e.timers.Arm(&e.sweepTimer, next)
	}
}

// earliestFuture returns the earlier of next and at. It ignores at unless it is
// after now, and next if it is zero.
func earliestFuture(next, at, now time.Time) time.Time {
	if !at.After(now) || !next.IsZero() && next.Before(at) {
		return next
	}
	return at
}

// workEnd returns when a member that drains or whose failure domain is evacuated stops
// getting new work, the zero time for other members. If both apply, the earlier time
// counts.
func (e *Engine) workEnd(m *member) time.Time {
	end := e.evacuationWorkEnd(m)
	if !m.Draining {
		return end
	}
	drained := m.drainingSince.Add(e.config.Limits.TargetDrain)
	if end.IsZero() {
		return drained
	}
	return clock.Earlier(end, drained)
}

// sweep drops the missing members and instances whose grace period is over, and
// publishes the members that are still usable.
func (e *Engine) sweep() {
	for _, m := range e.members {
		if m.missing && !e.storeLost && !e.now.Before(e.reannounceDeadline()) {
			e.dropMember(m)
		}
	}
	e.dropMissingInstances()
	e.publish()
	e.armSweep()
}

// usable reports whether the member may get new work. A draining member stays
// usable until its deadline: a group of three has no spare capacity.
func (e *Engine) usable(m *member) bool {
	end := e.workEnd(m)
	return !m.dead && (end.IsZero() || e.now.Before(end))
}

// effectiveRole returns the announced role, or replica for a primary that is dead or that
// the group's succession excludes.
func (e *Engine) effectiveRole(m *member) core.Role {
	succession := e.successions[m.Group]
	if m.dead || succession.excludes(m.Member) {
		return core.RoleReplica
	}
	return m.Role
}

package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// member is what is known of a member of any group.
type member struct {
	Announcement
	// drainingSince is when the member was first seen draining.
	drainingSince time.Time
	// missing is set when the store lacks the entry after an outage.
	missing bool
	// dead is set when the member's host refused a connection, until the member
	// announces itself again.
	dead bool
	// examining is set while the worker asks the member.
	examining bool
}

func (e *Engine) memberSeen(a *Announcement) {
	m := e.members[a.Member]
	if m == nil {
		m = &member{}
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
	moved := m.Group != a.Group
	if moved {
		e.leaveGroup(m)
	}
	m.Announcement = *a
	if moved {
		e.joinGroup(m)
	}
	m.missing = false
	if !a.Draining {
		m.drainingSince = time.Time{}
		return
	}
	if m.drainingSince.IsZero() {
		// The announcement may be as old as the last news before it; at the start,
		// when there was none, it may be of any age.
		m.drainingSince = e.since
		if e.since.IsZero() {
			m.drainingSince = e.now.Add(-e.config.Limits.TargetDrain)
		}
		e.armSweep()
	}
}

// memberGone removes a member. While the store has just come back, its entry
// may have ended without the member, which then announces itself again.
func (e *Engine) memberGone(id core.MemberID) {
	m := e.members[id]
	if m == nil {
		return
	}
	if e.now.Before(e.returnEnds()) {
		m.missing = true
		e.armSweep()
		return
	}
	e.forget(m)
}

// returnEnds is until when entries that the store lacks may come back after its
// last return.
func (e *Engine) returnEnds() time.Time {
	return e.storeBack.Add(e.config.Bounds.ReturnWait)
}

// joinGroup adds the member to the group that it announces.
func (e *Engine) joinGroup(m *member) {
	list := append(e.groups[m.Group], m)
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.Member, b.Member) })
	e.groups[m.Group] = list
}

func (e *Engine) leaveGroup(m *member) {
	e.groups[m.Group] = slices.DeleteFunc(e.groups[m.Group], func(other *member) bool { return other == m })
}

func (e *Engine) forget(m *member) {
	delete(e.members, m.Member)
	e.leaveGroup(m)
	e.out.Log(LogEvent{Event: "member_gone", Message: "member is gone", Fields: map[string]any{
		"member": m.Member, "group": m.Group,
	}})
}

// armSweep sets the time at which the next member stops being used.
func (e *Engine) armSweep() {
	var next time.Time
	for _, m := range e.members {
		next = sooner(next, e.unusableAt(m), e.now)
	}
	for _, i := range e.instances {
		if i.missing {
			next = sooner(next, e.returnEnds(), e.now)
		}
	}
	if !next.IsZero() {
		e.timers.Arm(&e.sweep, next)
	}
}

// sooner returns the earlier of two times, where times that have passed and the
// zero time do not count.
func sooner(next, at, now time.Time) time.Time {
	if !at.After(now) || !next.IsZero() && next.Before(at) {
		return next
	}
	return at
}

// unusableAt returns when a draining or missing member stops being used, zero
// for others.
func (e *Engine) unusableAt(m *member) time.Time {
	if m.missing {
		return e.returnEnds()
	}
	if m.Draining {
		return m.drainingSince.Add(e.config.Limits.TargetDrain)
	}
	return time.Time{}
}

func (e *Engine) sweepMembers() {
	for _, m := range e.members {
		if m.missing && !e.storeLost && !e.now.Before(e.unusableAt(m)) {
			e.forget(m)
		}
	}
	e.forgetInstances()
	e.publish()
	e.armSweep()
}

// usable reports whether new work may go to the member. A draining one is used
// until its bound: a group of three has no more capacity than its members.
func (e *Engine) usable(m *member) bool {
	if m.dead {
		return false
	}
	if !m.Draining {
		return true
	}
	return e.now.Before(e.unusableAt(m))
}

// leadRole is the announced role, but for a dead primary, which leads nobody.
func (m *member) leadRole() core.Role {
	if m.dead {
		return core.RoleReplica
	}
	return m.Role
}

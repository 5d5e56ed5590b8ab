package fleet

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// reviewGroups checks every group after a change of members.
func (e *Engine) reviewGroups() {
	for _, g := range e.configuration.Groups {
		e.reviewGroup(&g)
	}
}

// reviewGroup checks whether the group needs a new primary and informs its
// primaryChange.
func (e *Engine) reviewGroup(g *Group) {
	p := e.primaryChangeOf(g.Name)
	primary, replicas := e.primaryAndReplicas(g.Name)
	switch {
	case primary != nil && !primary.Draining:
		p.fire(e.primaryChangeEvents.settled)
		return
	case e.storeLost || replicas == 0 || e.mayLackPrimary(g.Name):
		return
	case primary != nil:
		p.needPrimary("the primary is draining", primary.Member, true)
	default:
		p.needPrimary("no primary is announced", e.deadMember(g.Name), false)
	}
}

// mayLackPrimary reports whether the group may have a primary whose record is missing
// only because it ended during a store outage. An instance that has known a primary keeps
// it over the outage; one that has just started has to wait for the records to return.
func (e *Engine) mayLackPrimary(group core.DatabaseName) bool {
	return e.lastPrimaries[group].Member == "" && e.now.Before(e.reannounceDeadline())
}

// primaryAndReplicas returns the group's announced primary, nil if there is none
// that is not known to be dead, and the number of replicas that are not dead. A
// primary that is not draining takes precedence over a draining one.
func (e *Engine) primaryAndReplicas(group core.DatabaseName) (primary *member, replicas int) {
	for _, m := range e.groups[group] {
		if m.dead {
			continue
		}
		if e.effectiveRole(m) != core.RolePrimary {
			replicas++
			continue
		}
		if primary == nil || primary.Draining && !m.Draining {
			primary = m
		}
	}
	return primary, replicas
}

// deadMember returns the newest primary of the group if it was declared dead, or "".
func (e *Engine) deadMember(group core.DatabaseName) core.MemberID {
	m := e.members[e.lastPrimaries[group].Member]
	if m == nil || !m.dead {
		return ""
	}
	return m.Member
}

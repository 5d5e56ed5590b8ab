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
	p.pauseJoined()
	primary, candidates := e.primaryAndCandidates(g.Name)
	switch {
	case primary != nil && !e.mustBeReplaced(primary):
		if !p.replaces(primary) {
			p.fire(e.primaryChangeEvents.settled)
		}
	case e.storeLost || e.mayLackPrimary(g.Name):
	case candidates == 0:
		// Without this, a change that an evacuation has left without candidates would
		// claim and survey again and again.
		if primary != nil && e.evacuated(primary) && !p.underWay() {
			p.fire(e.primaryChangeEvents.settled)
		}
	case primary != nil:
		if p.hasPromoted(primary) {
			// The new primary has to be replaced as well.
			p.fire(e.primaryChangeEvents.settled)
		}
		p.needPrimary(e.replacementReason(primary), primary.Member, true)
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

// primaryAndCandidates returns the group's announced primary, nil if there is none
// that is not known to be dead, and the number of replicas that may be promoted. A
// primary that need not be replaced takes precedence over one that must be.
func (e *Engine) primaryAndCandidates(group core.DatabaseName) (primary *member, candidates int) {
	for _, m := range e.groups[group] {
		if m.dead {
			continue
		}
		if e.effectiveRole(m) != core.RolePrimary {
			if !e.evacuated(m) {
				candidates++
			}
			continue
		}
		if primary == nil || e.mustBeReplaced(primary) && !e.mustBeReplaced(m) {
			primary = m
		}
	}
	return primary, candidates
}

// deadMember returns the newest primary of the group if it was declared dead, or "".
func (e *Engine) deadMember(group core.DatabaseName) core.MemberID {
	m := e.members[e.lastPrimaries[group].Member]
	if m == nil || !m.dead {
		return ""
	}
	return m.Member
}

// mustBeReplaced reports whether another member has to become the primary in its place,
// although it can be used for some time.
func (e *Engine) mustBeReplaced(primary *member) bool {
	return primary.Draining || e.evacuated(primary)
}

// replacementReason returns why the primary has to be replaced.
func (e *Engine) replacementReason(primary *member) string {
	if primary.Draining {
		return "the primary is draining"
	}
	return "the primary's failure domain is evacuated"
}

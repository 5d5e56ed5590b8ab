package fleet

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// What the engine knows of members, instances, homes and the configuration comes from the
// store, as complete reads and as changes, or from another instance.

// applySnapshot replaces the known records by a complete read. Members and
// instances that the snapshot lacks are marked missing and removed after the grace
// period.
func (e *Engine) applySnapshot(s *Snapshot) {
	if e.storeLost {
		e.out.Log(LogEvent{Event: "store_back", Message: "the store is readable again"})
	}
	e.storeLost = false
	e.storeRestoredAt = e.now
	e.isolation.confirmReachable()
	// The successions say which of the members may be primaries.
	for i := range s.Successions {
		e.applySuccession(&s.Successions[i])
	}
	for i := range s.Terms {
		e.termRecorded(&s.Terms[i])
	}
	seen := map[core.MemberID]bool{}
	for i := range s.Members {
		seen[s.Members[i].Member] = true
		e.updateMember(&s.Members[i])
	}
	for id, m := range e.members {
		m.missing = m.missing || !seen[id]
	}
	e.updateInstances(s.Instances)
	e.homes.replaceAll(s.Homes)
	e.adoptConfiguration(s.Configuration)
	e.replaceEvacuations(s.Evacuations)
	e.logEvacuations()
	e.armSweep()
	e.publish()
}

// applyChanges applies incremental changes. Members and groups are published again
// only if one of the changes affects them.
func (e *Engine) applyChanges(changes []Change) {
	for i := range changes {
		e.applyChange(&changes[i])
	}
	switch {
	case anyAffectsMembers(changes):
		e.logEvacuations()
		e.armSweep()
		e.publish()
	case len(changes) > 0 && e.configuration != nil:
		e.publishHomes()
		e.homes.claimVacant()
	}
}

// isUrgent reports whether requests may be waiting for the change; other changes
// are batched.
func (c *Change) isUrgent() bool {
	if c.Member != nil {
		return c.Member.Draining || c.Member.Role == core.RolePrimary
	}
	return c.Configuration != nil || c.RemovedMember != "" || c.Succession != nil || c.concernsEvacuation()
}

// affectsMembers reports whether the change concerns the configuration or a member.
func (c *Change) affectsMembers() bool {
	return c.Configuration != nil || c.Member != nil || c.RemovedMember != "" || c.Succession != nil || c.concernsEvacuation()
}

// concernsEvacuation reports whether the change requests or withdraws an evacuation.
func (c *Change) concernsEvacuation() bool {
	return c.EvacuatedDomain != "" || c.RestoredDomain != ""
}

func (e *Engine) applyChange(c *Change) {
	switch {
	case c.Configuration != nil:
		e.adoptConfiguration(c.Configuration)
	case c.Member != nil:
		e.updateMember(c.Member)
	case c.RemovedMember != "":
		e.removeMember(c.RemovedMember)
	case c.Instance != nil:
		e.updateInstance(*c.Instance)
	case c.RemovedInstance != "":
		e.removeInstance(c.RemovedInstance)
	case c.Home != nil:
		e.homes.set(c.Home.Account, c.Home)
	case c.RemovedHome != "":
		e.homes.set(c.RemovedHome, nil)
	case c.Succession != nil:
		e.applySuccession(c.Succession)
	case c.Term != nil:
		e.termRecorded(c.Term)
	case c.EvacuatedDomain != "":
		e.requestEvacuation(c.EvacuatedDomain)
	case c.RestoredDomain != "":
		e.withdrawEvacuation(c.RestoredDomain)
	}
}

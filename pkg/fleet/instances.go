package fleet

import "time"

// instance is a registered instance.
type instance struct {
	Instance
	// missing is set when the store lacks the registration after an outage, in
	// which the lease of a running instance may have ended.
	missing bool
}

// updateInstances applies a complete list and marks the instances that it lacks as
// missing.
func (e *Engine) updateInstances(list []Instance) {
	seen := map[string]bool{}
	for _, i := range list {
		seen[i.Node] = true
		e.updateInstance(i)
	}
	for node, i := range e.instances {
		i.missing = i.missing || !seen[node]
	}
}

// updateInstance applies the registration of one instance.
func (e *Engine) updateInstance(i Instance) {
	if e.instances[i.Node] == nil {
		e.homes.lastInstanceAddedAt = e.now
	}
	e.instances[i.Node] = &instance{Instance: i}
	e.topology.invalidate()
}

// leaseUpdated applies the end of this instance's lease. A lease means that the instance is
// registered: it need not wait until its own registration is read back to claim homes.
func (e *Engine) leaseUpdated(in LeaseUpdated) {
	if in.Lease != e.handovers.lease {
		e.registeredAt = e.now
	}
	e.homes.leaseUntil, e.handovers.lease = in.Until, in.Lease
	self := e.config.Self
	known := e.instances[self.Node]
	registered := in.Lease != 0 && (known == nil || known.ID != self.ID)
	if registered {
		e.updateInstance(self)
	}
	if e.configuration == nil {
		return
	}
	e.publishHomes()
	if registered {
		e.sourceSelector.reselect()
		e.homes.claimVacant()
	}
}

// ownRegistrationDelay is the time within which a registration that was written can be read
// from the store.
const ownRegistrationDelay = time.Second

// checkOwnRegistration registers this instance again if the store holds no registration of its
// node although its lease lasts, or that of another run: a call of that run may have been
// executed late. The records are those of the time asOf.
func (e *Engine) checkOwnRegistration(asOf time.Time) {
	self := e.config.Self
	known := e.instances[self.Node]
	held := e.handovers.lease != 0 && e.now.Before(e.homes.leaseUntil) && !e.handovers.deregistered
	if !held || e.storeLost || known != nil && known.ID == self.ID && !known.missing {
		return
	}
	if asOf.Before(e.registeredAt.Add(ownRegistrationDelay)) {
		return
	}
	e.registeredAt = e.now
	fields := map[string]any{}
	if known != nil {
		fields["registered"] = known.ID
	}
	e.out.Log(LogEvent{Warning: true, Event: "registered_again", Message: "the store does not hold the registration of this run", Fields: fields})
	e.out.RegisterAgain()
}

// removeInstance removes an instance whose registration was deleted. During the
// grace period after a store outage it is only marked missing.
func (e *Engine) removeInstance(node string) {
	i := e.instances[node]
	if i == nil {
		return
	}
	if e.now.Before(e.reannounceDeadline()) {
		i.missing = true
		e.armSweep()
		return
	}
	delete(e.instances, node)
	e.topology.invalidate()
}

// dropMissingInstances removes the missing instances after the grace period.
func (e *Engine) dropMissingInstances() {
	if e.storeLost || e.now.Before(e.reannounceDeadline()) {
		return
	}
	for node, i := range e.instances {
		if i.missing {
			delete(e.instances, node)
			e.topology.invalidate()
		}
	}
	e.sourceSelector.reselect()
}

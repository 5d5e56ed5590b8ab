package fleet

// instance is a registered instance.
type instance struct {
	Instance
	// missing is set when the store lacks the entry after an outage, during
	// which leases may have ended although the instances run.
	missing bool
}

func (e *Engine) instancesSeen(list []Instance) {
	seen := map[string]bool{}
	for _, i := range list {
		seen[i.Node] = true
		e.instanceSeen(i)
	}
	for node, i := range e.instances {
		i.missing = i.missing || !seen[node]
	}
}

func (e *Engine) instanceSeen(i Instance) {
	if e.instances[i.Node] == nil {
		e.homes.appeared = e.now
	}
	e.instances[i.Node] = &instance{Instance: i}
	e.roster.reset()
}

func (e *Engine) instanceGone(node string) {
	i := e.instances[node]
	if i == nil {
		return
	}
	if e.now.Before(e.returnEnds()) {
		i.missing = true
		e.armSweep()
		return
	}
	delete(e.instances, node)
	e.roster.reset()
}

// forgetInstances removes those that did not register again in time.
func (e *Engine) forgetInstances() {
	if e.storeLost || e.now.Before(e.returnEnds()) {
		return
	}
	for node, i := range e.instances {
		if i.missing {
			delete(e.instances, node)
			e.roster.reset()
		}
	}
	e.news.review()
}

package fleet

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// instance is a registered instance.
type instance struct {
	Instance
	// missing is set when the store lacks the entry after an outage, during
	// which leases may have ended although the instances run.
	missing bool
}

func (e *Engine) instancesSeen(list []Instance) {
	seen := map[core.InstanceID]bool{}
	for _, i := range list {
		seen[i.ID] = true
		e.instances[i.ID] = &instance{Instance: i}
	}
	for id, i := range e.instances {
		i.missing = i.missing || !seen[id]
	}
}

func (e *Engine) instanceGone(id core.InstanceID) {
	i := e.instances[id]
	if i == nil {
		return
	}
	if e.now.Before(e.storeBack.Add(e.config.Bounds.ReturnWait)) {
		i.missing = true
		e.armSweep()
		return
	}
	delete(e.instances, id)
}

// forgetInstances removes those that did not register again in time.
func (e *Engine) forgetInstances() {
	if e.storeLost || e.now.Before(e.storeBack.Add(e.config.Bounds.ReturnWait)) {
		return
	}
	for id, i := range e.instances {
		if i.missing {
			delete(e.instances, id)
		}
	}
}

package kvservice

import (
	"maps"
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

// instanceList is a list of instances whose changes become visible after a lag.
type instanceList struct {
	lag     time.Duration
	visible map[core.InstanceID]store.Instance
	pending []instanceChange
}

// instanceChange announces or removes an instance at a time.
type instanceChange struct {
	at       time.Time
	id       core.InstanceID
	instance store.Instance
	removed  bool
}

// Announce adds or replaces an instance in the list.
func (s *State) Announce(i store.Instance, now time.Time) {
	s.instances.add(instanceChange{at: now, id: i.ID, instance: i})
}

// Withdraw removes an instance from the list.
func (s *State) Withdraw(id core.InstanceID, now time.Time) {
	s.instances.add(instanceChange{at: now, id: id, removed: true})
}

// Instances returns the list as it was before the lag, sorted by identity.
func (s *State) Instances(now time.Time) []store.Instance {
	return s.instances.list(now)
}

// SetLag sets how far the list of instances lags behind.
func (s *State) SetLag(lag time.Duration) {
	s.instances.lag = lag
}

func (l *instanceList) add(c instanceChange) {
	l.pending = append(l.pending, c)
}

func (l *instanceList) list(now time.Time) []store.Instance {
	if l.visible == nil {
		l.visible = map[core.InstanceID]store.Instance{}
	}
	for len(l.pending) > 0 && !l.pending[0].at.Add(l.lag).After(now) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.removed {
			delete(l.visible, c.id)
			continue
		}
		l.visible[c.id] = c.instance
	}
	list := []store.Instance{}
	for _, id := range slices.Sorted(maps.Keys(l.visible)) {
		list = append(list, l.visible[id])
	}
	return list
}

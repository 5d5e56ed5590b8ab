package share

import (
	"math"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// databaseUsage sums up the shares in one database over all slots. It serves to
// skip the databases whose shares cannot change.
type databaseUsage struct {
	held, limit int
	// unmet is set if a slot wants more connections than its limit or still holds
	// more than its limit.
	unmet bool
}

// databaseUsages returns the usage of every database in which a slot has a share
// or demand.
func (d *draft) databaseUsages(active, lost []*Slot) map[core.DatabaseName]databaseUsage {
	usages := map[core.DatabaseName]databaseUsage{}
	for _, s := range lost {
		for name, c := range s.Databases {
			usage := usages[name]
			usage.held += c.Held
			usages[name] = usage
		}
	}
	for _, s := range active {
		for name, c := range s.Databases {
			usage := usages[name]
			usage.held += c.Held
			usage.limit += c.Limit
			usage.unmet = usage.unmet || c.Limit < c.Held
			usages[name] = usage
		}
		d.markUnmetDemand(s, usages)
	}
	return usages
}

// markUnmetDemand sets unmet for the databases of which the slot wants more
// connections than its limit.
func (d *draft) markUnmetDemand(s *Slot, usages map[core.DatabaseName]databaseUsage) {
	for name, demand := range d.allocator.demand.databases(s.Instance) {
		if wantedConnections(demand) > int64(s.Databases[name].Limit) {
			usage := usages[name]
			usage.unmet = true
			usages[name] = usage
		}
	}
}

// needsDivision reports whether the connections of a database must be divided
// again. If the capacity is too small for one connection per slot, only slots
// with demand have connections, and nothing can change without unmet demand.
func (u databaseUsage) needsDivision(capacity, active int) bool {
	return capacity >= active || u.unmet || u.held > capacity
}

// wantedConnections rounds a smoothed demand up to whole connections.
func wantedConnections(demand float64) int64 {
	return int64(math.Ceil(demand - negligibleConnections))
}

// divideDatabase divides the connections of one database over the active slots.
func (d *draft) divideDatabase(name core.DatabaseName, capacity int, active, lost []*Slot) {
	a := newAllocation(int64(capacity), len(active))
	wanted := make([]int64, len(active))
	for _, s := range lost {
		a.heldByLost += int64(s.Databases[name].Held)
	}
	for i, s := range active {
		c := s.Databases[name]
		a.held[i], a.limit[i] = int64(c.Held), int64(c.Limit)
		wanted[i] = wantedConnections(d.allocator.demand.databases(s.Instance)[name])
	}
	a.setConnectionTargets(wanted, int64(d.table.Floors.Connections[name]))
	a.keepFloor(int64(d.table.RetainedFloors.Connections[name]))
	if a.overcommitted() || !a.awaitingReduction() && a.needsRebalance(wanted) {
		a.rebalance()
	}
	a.distributeUnallocated(1)
	d.storeConnections(name, active, a)
}

// negligibleConnections is the fraction of a connection in the smoothed demand
// that does not count as one more connection.
const negligibleConnections = 0.3

// setConnectionTargets gives each slot its floor, at least one connection if the
// capacity allows it. Of the rest, it gives single connections first to the slots
// that want more, then to all slots in turn.
func (a *allocation) setConnectionTargets(wanted []int64, floor int64) {
	n := int64(len(wanted))
	if n == 0 {
		return
	}
	available := a.available()
	if floor == 0 && available >= n {
		floor = 1
	}
	for i := range a.target {
		a.target[i] = floor
	}
	rest := max(available-n*floor, 0)
	rest = a.addOneByOne(rest, func(i int) bool { return a.target[i] < wanted[i] })
	if floor > 0 {
		a.addOneByOne(rest, func(int) bool { return true })
	}
}

// addOneByOne gives one connection at a time to the eligible slot with the lowest
// target. Among equals, the slot with the higher limit goes first, so that a
// remainder stays where it is. It returns the number of connections that are
// left.
func (a *allocation) addOneByOne(rest int64, eligible func(int) bool) int64 {
	for rest > 0 {
		next := -1
		for i := range a.target {
			if eligible(i) && (next < 0 || a.precedes(i, next)) {
				next = i
			}
		}
		if next < 0 {
			return rest
		}
		a.target[next]++
		rest--
	}
	return rest
}

// precedes reports whether slot i receives the next connection before slot j.
func (a *allocation) precedes(i, j int) bool {
	if a.target[i] != a.target[j] {
		return a.target[i] < a.target[j]
	}
	return a.limit[i] > a.limit[j]
}

// needsRebalance reports whether a slot below its target has no connection yet or
// wants more connections than its limit.
func (a *allocation) needsRebalance(wanted []int64) bool {
	for i, target := range a.target {
		if target <= a.limit[i] {
			continue
		}
		if a.limit[i] == 0 || wanted[i] > a.limit[i] {
			return true
		}
	}
	return false
}

// storeConnections writes the new shares in one database into the draft.
func (d *draft) storeConnections(name core.DatabaseName, active []*Slot, a *allocation) {
	for i, s := range active {
		old := s.Databases[name]
		next := ConnectionShare{Held: int(a.held[i]), Limit: int(a.limit[i])}
		if next == old {
			continue
		}
		if next.Limit < old.Limit {
			s.ConnectionsLowered = d.table.Revision
		}
		s.setConnections(name, next)
		d.changed = true
	}
}

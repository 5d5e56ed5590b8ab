package share

import (
	"math"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// connectionUse sums up one database over all slots, to find the few databases
// for which there is something to divide.
type connectionUse struct {
	held, limit int
	// short is set if a slot wants more than its limit or is still shrinking.
	short bool
}

func (d *draft) connectionUses(active, lost []*Slot) map[core.DatabaseName]connectionUse {
	uses := map[core.DatabaseName]connectionUse{}
	for _, s := range lost {
		for name, c := range s.Databases {
			use := uses[name]
			use.held += c.Held
			uses[name] = use
		}
	}
	for _, s := range active {
		for name, c := range s.Databases {
			use := uses[name]
			use.held += c.Held
			use.limit += c.Limit
			use.short = use.short || c.Limit < c.Held
			uses[name] = use
		}
		d.noteWanted(s, uses)
	}
	return uses
}

func (d *draft) noteWanted(s *Slot, uses map[core.DatabaseName]connectionUse) {
	for name, demand := range d.a.demand.databases(s.Instance) {
		if wantedConnections(demand) > int64(s.Databases[name].Limit) {
			use := uses[name]
			use.short = true
			uses[name] = use
		}
	}
}

// divides tells whether a database has to be divided anew. Where the bound does
// not reach for one connection per slot, a slot has connections for its demand
// only, and without a shortage nothing can change.
func (u connectionUse) divides(bound, active int) bool {
	return bound >= active || u.short || u.held > bound
}

// wantedConnections is the demand in whole connections.
func wantedConnections(demand float64) int64 {
	return int64(math.Ceil(demand - negligibleUnits))
}

func (d *draft) divideDatabase(name core.DatabaseName, bound int, active, lost []*Slot) {
	q := newQuantity(int64(bound), len(active))
	wanted := make([]int64, len(active))
	for _, s := range lost {
		q.lost += int64(s.Databases[name].Held)
	}
	for i, s := range active {
		c := s.Databases[name]
		q.held[i], q.limit[i] = int64(c.Held), int64(c.Limit)
		wanted[i] = wantedConnections(d.a.demand.databases(s.Instance)[name])
	}
	q.setConnectionTargets(wanted, int64(d.table.Floors.Connections[name]))
	q.keep(int64(d.table.Guards.Connections[name]))
	if q.excess() || !q.pending() && q.needed(wanted) {
		q.move()
	}
	q.grow(1)
	d.storeConnections(name, active, q)
}

// negligibleUnits is the smoothed demand, in connections, that does not count
// as one more connection.
const negligibleUnits = 0.3

// setConnectionTargets gives each slot its floor, at least one connection where
// the bound allows, then single connections to the slots that want more, and
// the remainder to all in turn.
func (q *quantity) setConnectionTargets(wanted []int64, floor int64) {
	n := int64(len(wanted))
	if n == 0 {
		return
	}
	available := q.available()
	if floor == 0 && available >= n {
		floor = 1
	}
	for i := range q.target {
		q.target[i] = floor
	}
	rest := max(available-n*floor, 0)
	rest = q.fill(rest, func(i int) bool { return q.target[i] < wanted[i] })
	if floor > 0 {
		q.fill(rest, func(int) bool { return true })
	}
}

// fill adds one connection at a time to the eligible slot with the fewest. A
// slot that already holds more goes first among equals, so that a remainder
// stays where it is. It returns what is left.
func (q *quantity) fill(rest int64, eligible func(int) bool) int64 {
	for rest > 0 {
		next := -1
		for i := range q.target {
			if eligible(i) && (next < 0 || q.before(i, next)) {
				next = i
			}
		}
		if next < 0 {
			return rest
		}
		q.target[next]++
		rest--
	}
	return rest
}

func (q *quantity) before(i, j int) bool {
	if q.target[i] != q.target[j] {
		return q.target[i] < q.target[j]
	}
	return q.limit[i] > q.limit[j]
}

// needed tells whether a slot without a connection should have one, or one that
// wants more should get more.
func (q *quantity) needed(wanted []int64) bool {
	for i, target := range q.target {
		if target <= q.limit[i] {
			continue
		}
		if q.limit[i] == 0 || wanted[i] > q.limit[i] {
			return true
		}
	}
	return false
}

func (d *draft) storeConnections(name core.DatabaseName, active []*Slot, q *quantity) {
	for i, s := range active {
		old := s.Databases[name]
		next := ConnectionShare{Held: int(q.held[i]), Limit: int(q.limit[i])}
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

package share

import (
	"math"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

func (d *draft) divideDatabase(name core.DatabaseName, active, lost []*Slot) {
	bound := 0
	if database := d.a.limits.Database(name); database != nil {
		bound = database.Connections
	}
	q := newQuantity(int64(bound), len(active))
	wanted := make([]int64, len(active))
	for _, s := range lost {
		q.lost += int64(s.Databases[name].Held)
	}
	for i, s := range active {
		c := s.Databases[name]
		q.held[i], q.limit[i] = int64(c.Held), int64(c.Limit)
		wanted[i] = int64(math.Ceil(d.a.demand.database(s.Instance, name) - negligibleUnits))
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

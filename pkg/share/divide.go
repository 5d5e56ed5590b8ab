package share

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// Thresholds of a move. A move starts only for a shortage beyond the noise of
// the demand: one slot lacks slotNoise standard deviations, or what the slots
// lack beyond accountNoise standard deviations adds up to shortTolerance of the
// rate.
const (
	slotNoise      = 4.0
	accountNoise   = 2.0
	shortTolerance = 0.01
	// smoothedNoise is the standard deviation of a smoothed Poisson count of mean
	// 1: the square root of w/(2-w), where w is demandWeight.
	smoothedNoise   = 0.577
	floorTolerance  = 0.9
	unusedTolerance = 0.02
)

// quantity is one limit (a rate, a burst, a number of connections) during its
// division over the active slots. All slices are parallel.
type quantity struct {
	bound int64
	// lost is what suspended slots still hold.
	lost   int64
	held   []int64
	limit  []int64
	target []int64
}

func newQuantity(bound int64, n int) *quantity {
	return &quantity{
		bound:  bound,
		held:   make([]int64, n),
		limit:  make([]int64, n),
		target: make([]int64, n),
	}
}

// available is what the active slots may hold together.
func (q *quantity) available() int64 {
	return max(q.bound-q.lost, 0)
}

// room is what nobody holds.
func (q *quantity) room() int64 {
	return max(q.available()-sum(q.held), 0)
}

// excess tells whether the limits together exceed what is available.
func (q *quantity) excess() bool {
	return sum(q.limit) > q.available()
}

// pending tells whether a slot still holds more than its limit.
func (q *quantity) pending() bool {
	for i := range q.held {
		if q.held[i] > q.limit[i] {
			return true
		}
	}
	return false
}

// keep raises the targets to the guard, as far as the limit reaches it now: a
// limit is never lowered below the guard.
func (q *quantity) keep(guard int64) {
	for i := range q.target {
		q.target[i] = max(q.target[i], min(guard, q.limit[i]))
	}
}

// move lowers the limits above their targets and raises those below them, as
// far as the slot's own held figure allows.
func (q *quantity) move() {
	for i, target := range q.target {
		q.limit[i] = min(target, q.held[i])
	}
}

// grow hands the room to the slots below their targets, in proportion to what
// they lack. Held never exceeds the bound: the parts are rounded down.
func (q *quantity) grow(unit int64) {
	room := q.room()
	lacking := int64(0)
	for i := range q.target {
		lacking += q.lack(i)
	}
	if room == 0 || lacking == 0 {
		return
	}
	given := int64(0)
	for i := range q.target {
		part := q.lack(i)
		if lacking > room {
			part = int64(float64(room) * (float64(part) / float64(lacking)))
		}
		part = min(part/unit*unit, room-given)
		q.raise(i, part)
		given += part
	}
	for i := range q.target {
		part := min(q.lack(i), unit, room-given)
		q.raise(i, part)
		given += part
	}
}

func (q *quantity) lack(i int) int64 {
	if q.limit[i] < q.held[i] {
		return 0
	}
	return max(q.target[i]-q.held[i], 0)
}

func (q *quantity) raise(i int, part int64) {
	if part <= 0 {
		return
	}
	q.held[i] += part
	q.limit[i] = q.held[i]
}

func sum(values []int64) int64 {
	total := int64(0)
	for _, v := range values {
		total += v
	}
	return total
}

// divide computes the limits of every account and database.
func (d *draft) divide() {
	active := d.activeSlots()
	lost := d.lostSlots()
	for _, name := range d.accountNames() {
		d.divideAccount(name, active, lost)
	}
	uses := d.connectionUses(active, lost)
	for _, name := range d.databaseNames() {
		bound := d.connectionBound(name)
		if uses[name].divides(bound, len(active)) {
			d.divideDatabase(name, bound, active, lost)
		}
	}
}

func (d *draft) activeSlots() []*Slot {
	var active []*Slot
	for i := range d.table.Slots {
		s := &d.table.Slots[i]
		if s.State != StateVacant && s.State != StateLost {
			active = append(active, s)
		}
	}
	return active
}

func (d *draft) lostSlots() []*Slot {
	var lost []*Slot
	for i := range d.table.Slots {
		if d.table.Slots[i].State == StateLost {
			lost = append(lost, &d.table.Slots[i])
		}
	}
	return lost
}

// accountNames lists the accounts of the catalogue, then those that the table
// still has.
func (d *draft) accountNames() []core.AccountName {
	var names []core.AccountName
	for i := range d.a.limits.Accounts {
		names = append(names, d.a.limits.Accounts[i].Name)
	}
	return addNames(names, d.table, func(s *Slot) map[core.AccountName]RateShare { return s.Accounts })
}

// connectionBound is zero for a database that the catalogue does not have.
func (d *draft) connectionBound(name core.DatabaseName) int {
	if database, ok := d.databases[name]; ok {
		return database.Connections
	}
	return 0
}

func (d *draft) databaseNames() []core.DatabaseName {
	var names []core.DatabaseName
	for i := range d.a.limits.Databases {
		names = append(names, d.a.limits.Databases[i].Name)
	}
	return addNames(names, d.table, func(s *Slot) map[core.DatabaseName]ConnectionShare { return s.Databases })
}

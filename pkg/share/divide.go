package share

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// Thresholds of a rebalance. Limits are rebalanced only for a shortfall beyond
// the statistical noise of the demand: either one slot lacks more than
// slotNoiseFactor standard deviations, or the shortfalls beyond
// accountNoiseFactor standard deviations add up to more than shortfallTolerance
// of the account's rate.
const (
	slotNoiseFactor    = 4.0
	accountNoiseFactor = 2.0
	shortfallTolerance = 0.01
	// smoothedDeviation is the standard deviation of a smoothed Poisson count
	// with mean 1: the square root of w/(2-w), where w is demandWeight.
	smoothedDeviation = 0.577
	// floorTolerance is the fraction of its floor below which a slot's limit
	// triggers a rebalance.
	floorTolerance = 0.9
	// unallocatedTolerance is the fraction of a limit that may stay unallocated.
	unallocatedTolerance = 0.02
)

// allocation divides one limit (a rate, a burst, a number of connections) over
// the active slots. The slices are parallel, with one element per active slot.
type allocation struct {
	// capacity is the limit set in the catalogue.
	capacity int64
	// heldByLost is what lost slots still hold.
	heldByLost int64
	held       []int64
	limit      []int64
	target     []int64
}

func newAllocation(capacity int64, n int) *allocation {
	return &allocation{
		capacity: capacity,
		held:     make([]int64, n),
		limit:    make([]int64, n),
		target:   make([]int64, n),
	}
}

// available returns what the active slots may hold together.
func (a *allocation) available() int64 {
	return max(a.capacity-a.heldByLost, 0)
}

// unallocated returns the part of the capacity that no slot holds.
func (a *allocation) unallocated() int64 {
	return max(a.available()-sum(a.held), 0)
}

// overcommitted reports whether the limits together exceed what is available.
func (a *allocation) overcommitted() bool {
	return sum(a.limit) > a.available()
}

// awaitingReduction reports whether a slot still holds more than its limit,
// because its holder has not acknowledged the lower limit.
func (a *allocation) awaitingReduction() bool {
	for i := range a.held {
		if a.held[i] > a.limit[i] {
			return true
		}
	}
	return false
}

// keepFloor raises the targets to the retained floor, but not above the present
// limit: a limit is never lowered below the retained floor.
func (a *allocation) keepFloor(floor int64) {
	for i := range a.target {
		a.target[i] = max(a.target[i], min(floor, a.limit[i]))
	}
}

// rebalance sets the limits to their targets. A limit rises at most to what the
// slot already holds; distributeUnallocated adds the rest.
func (a *allocation) rebalance() {
	for i, target := range a.target {
		a.limit[i] = min(target, a.held[i])
	}
}

// distributeUnallocated gives the unallocated capacity to the slots below their
// targets, in proportion to their shortfalls. The parts are rounded down to
// multiples of unit, so that the sum held never exceeds the capacity; the
// remainder goes to the slots in order, at most one unit each.
func (a *allocation) distributeUnallocated(unit int64) {
	free := a.unallocated()
	missing := int64(0)
	for i := range a.target {
		missing += a.shortfall(i)
	}
	if free == 0 || missing == 0 {
		return
	}
	distributed := int64(0)
	for i := range a.target {
		part := a.shortfall(i)
		if missing > free {
			part = int64(float64(free) * (float64(part) / float64(missing)))
		}
		part = min(part/unit*unit, free-distributed)
		a.raise(i, part)
		distributed += part
	}
	for i := range a.target {
		part := min(a.shortfall(i), unit, free-distributed)
		a.raise(i, part)
		distributed += part
	}
}

// shortfall returns what slot i lacks to its target, zero while it awaits a
// reduction.
func (a *allocation) shortfall(i int) int64 {
	if a.limit[i] < a.held[i] {
		return 0
	}
	return max(a.target[i]-a.held[i], 0)
}

// raise adds part to what slot i holds and may use.
func (a *allocation) raise(i int, part int64) {
	if part <= 0 {
		return
	}
	a.held[i] += part
	a.limit[i] = a.held[i]
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
	usages := d.databaseUsages(active, lost)
	for _, name := range d.databaseNames() {
		capacity := d.connectionCapacity(name)
		if usages[name].needsDivision(capacity, len(active)) {
			d.divideDatabase(name, capacity, active, lost)
		}
	}
}

// activeSlots returns the slots that are neither vacant nor lost.
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

// accountNames returns the accounts of the catalogue, then the accounts that only
// the table still has.
func (d *draft) accountNames() []core.AccountName {
	var names []core.AccountName
	for i := range d.allocator.catalogue.Accounts {
		names = append(names, d.allocator.catalogue.Accounts[i].Name)
	}
	return addNames(names, d.table, func(s *Slot) map[core.AccountName]RateShare { return s.Accounts })
}

// connectionCapacity returns the connection limit of a database, zero if it is
// not in the catalogue.
func (d *draft) connectionCapacity(name core.DatabaseName) int {
	if database, ok := d.databases[name]; ok {
		return database.Connections
	}
	return 0
}

// databaseNames returns the databases of the catalogue, then the databases that
// only the table still has.
func (d *draft) databaseNames() []core.DatabaseName {
	var names []core.DatabaseName
	for i := range d.allocator.catalogue.Databases {
		names = append(names, d.allocator.catalogue.Databases[i].Name)
	}
	return addNames(names, d.table, func(s *Slot) map[core.DatabaseName]ConnectionShare { return s.Databases })
}

package share

import (
	"maps"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Floors are the guaranteed minimums: the part of each limit that a slot keeps as
// long as it is held.
//
// An instance that inherits a slot uses no more than the floors, because the
// table from which it inherits may be out of date. Its predecessor may have
// acknowledged lower limits since then, and its share above the floor may belong
// to another slot by now.
type Floors struct {
	Rates       map[core.AccountName]Rate
	Connections map[core.DatabaseName]int
}

func (f Floors) clone() Floors {
	return Floors{Rates: maps.Clone(f.Rates), Connections: maps.Clone(f.Connections)}
}

func (f Floors) equal(o Floors) bool {
	return maps.Equal(f.Rates, o.Rates) && maps.Equal(f.Connections, o.Connections)
}

// covers reports whether f is at least o in every figure.
func (f Floors) covers(o Floors) bool {
	for name, r := range o.Rates {
		if r.Rate > f.Rates[name].Rate || r.Burst > f.Rates[name].Burst {
			return false
		}
	}
	for name, n := range o.Connections {
		if n > f.Connections[name] {
			return false
		}
	}
	return true
}

// maximum returns the greater of f and o in every figure.
func (f Floors) maximum(o Floors) Floors {
	result := Floors{Rates: map[core.AccountName]Rate{}, Connections: map[core.DatabaseName]int{}}
	maps.Copy(result.Rates, f.Rates)
	maps.Copy(result.Connections, f.Connections)
	for name, r := range o.Rates {
		old := result.Rates[name]
		result.Rates[name] = Rate{Rate: max(r.Rate, old.Rate), Burst: max(r.Burst, old.Burst)}
	}
	for name, n := range o.Connections {
		result.Connections[name] = max(n, result.Connections[name])
	}
	return result
}

// updateFloors sets the floors to those of the current catalogue. When a floor is
// lowered, the retained floors keep the old figures until no holder can serve a
// table with the old floors.
func (d *draft) updateFloors() {
	next := d.computeFloors()
	t := d.table
	if !next.equal(t.Floors) {
		if !next.covers(t.Floors) {
			t.FloorsLowered = t.Revision
		}
		t.Floors = next
		t.RetainedFloors = t.RetainedFloors.maximum(next)
		d.changed = true
		return
	}
	if !t.RetainedFloors.equal(t.Floors) && d.floorsAcknowledged() {
		t.RetainedFloors = t.Floors.clone()
		t.RetainedFloorsLowered = t.Revision
		d.changed = true
	}
}

// floorsAcknowledged reports whether every holder has acknowledged the current
// floors or is known to be dead. Any other holder may be isolated and still serve
// an older table, until its slot is reclaimed.
func (d *draft) floorsAcknowledged() bool {
	for i := range d.table.Slots {
		if !d.allocator.acknowledgedOrDead(i, &d.table.Slots[i], d.table.FloorsLowered) {
			return false
		}
	}
	return true
}

// computeFloors returns the floors for the limits of the current catalogue.
func (d *draft) computeFloors() Floors {
	f := Floors{Rates: map[core.AccountName]Rate{}, Connections: map[core.DatabaseName]int{}}
	slots := int64(len(d.table.Slots))
	fraction := d.allocator.settings.FloorFraction
	for i := range d.allocator.catalogue.Accounts {
		account := &d.allocator.catalogue.Accounts[i]
		rate, burst := accountLimits(account)
		f.Rates[account.Name] = Rate{
			Rate:  Milli(fraction * float64(rate) / float64(slots)),
			Burst: Milli(usableFloor(int64(burst), MilliPerUnit, slots, fraction)),
		}
	}
	for i := range d.allocator.catalogue.Databases {
		database := &d.allocator.catalogue.Databases[i]
		f.Connections[database.Name] = int(usableFloor(int64(database.Connections), 1, slots, fraction))
	}
	return f
}

// usableFloor returns the floor of a limit of which a slot cannot use less than
// one unit: the fraction of the limit, but at least one unit per slot. It is zero
// if the capacity is below one unit per slot or the fraction is zero.
func usableFloor(capacity, unit, slots int64, fraction float64) int64 {
	if slots == 0 || fraction == 0 || capacity < slots*unit {
		return 0
	}
	return max(int64(fraction*float64(capacity)/float64(slots)), unit)
}

package share

import (
	"maps"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Floors are the parts of each limit that a slot keeps as long as it is held.
//
// An instance that inherits a slot spends no more than the floors, because the
// table it inherits from may be an old copy: its predecessor may have
// acknowledged lower limits since, and its share beyond the floor may belong to
// another slot by now.
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

// covers reports whether no figure of o is above the one of f.
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

// raise makes f the greater of f and o in each figure.
func (f Floors) raise(o Floors) Floors {
	raised := Floors{Rates: map[core.AccountName]Rate{}, Connections: map[core.DatabaseName]int{}}
	maps.Copy(raised.Rates, f.Rates)
	maps.Copy(raised.Connections, f.Connections)
	for name, r := range o.Rates {
		old := raised.Rates[name]
		raised.Rates[name] = Rate{Rate: max(r.Rate, old.Rate), Burst: max(r.Burst, old.Burst)}
	}
	for name, n := range o.Connections {
		raised.Connections[name] = max(n, raised.Connections[name])
	}
	return raised
}

// setFloors computes the floors of the catalogue in force. When they are
// lowered, the guards stay at the old figures until no holder can hand out a
// table with the old floors any more.
func (d *draft) setFloors() {
	next := d.floors()
	t := d.table
	if !next.equal(t.Floors) {
		if !next.covers(t.Floors) {
			t.FloorsLowered = t.Revision
		}
		t.Floors = next
		t.Guards = t.Guards.raise(next)
		d.changed = true
		return
	}
	if !t.Guards.equal(t.Floors) && d.floorsCleared() {
		t.Guards = t.Floors.clone()
		t.GuardsLowered = t.Revision
		d.changed = true
	}
}

// floorsCleared reports whether every holder has acknowledged the present
// floors or is proved dead. A holder that has done neither may be cut off and
// still hand out an older table, until its slot is reclaimed.
func (d *draft) floorsCleared() bool {
	for i := range d.table.Slots {
		if !d.a.cleared(i, &d.table.Slots[i], d.table.FloorsLowered) {
			return false
		}
	}
	return true
}

func (d *draft) floors() Floors {
	f := Floors{Rates: map[core.AccountName]Rate{}, Connections: map[core.DatabaseName]int{}}
	slots := int64(len(d.table.Slots))
	fraction := d.a.settings.FloorFraction
	for i := range d.a.limits.Accounts {
		account := &d.a.limits.Accounts[i]
		rate, burst := limitsOf(account)
		f.Rates[account.Name] = Rate{
			Rate:  Milli(fraction * float64(rate) / float64(slots)),
			Burst: Milli(wholeFloor(int64(burst), MilliPerUnit, slots, fraction)),
		}
	}
	for i := range d.a.limits.Databases {
		database := &d.a.limits.Databases[i]
		f.Connections[database.Name] = int(wholeFloor(int64(database.Connections), 1, slots, fraction))
	}
	return f
}

// wholeFloor is the floor of a figure of which less than one unit is of no use:
// one unit if the fraction gives less and the bound reaches for all slots, zero
// if it does not.
func wholeFloor(bound, unit, slots int64, fraction float64) int64 {
	if slots == 0 || fraction == 0 || bound < slots*unit {
		return 0
	}
	return max(int64(fraction*float64(bound)/float64(slots)), unit)
}

package share

import (
	"maps"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// draft is the next table while it is computed.
type draft struct {
	a        *Allocator
	now      time.Time
	table    *Table
	subjects []slotSubject
	// databases holds the catalogue's databases by name.
	databases map[core.DatabaseName]*catalogue.Database
	changed   bool
}

// Next computes the table that follows the adopted one. It reports false when
// nothing is to be written. The caller compare-and-swaps the table from the
// platform revision at which the adopted table was read, and passes it to Adopt
// only when the platform has confirmed it; a lost response is resolved by
// reading the table and adopting what was read.
func (a *Allocator) Next(now time.Time) (*Table, bool) {
	if a.limits == nil || a.limits.Version < a.table.CatalogueVersion {
		return nil, false
	}
	a.noteCleared(now)
	d := a.newDraft(now)
	d.runLifeCycles()
	d.setFloors()
	d.divide()
	if !d.changed {
		return nil, false
	}
	d.storeStates()
	return d.table, true
}

func (a *Allocator) newDraft(now time.Time) *draft {
	d := &draft{a: a, now: now, table: a.table.clone(), databases: map[core.DatabaseName]*catalogue.Database{}}
	for i := range a.limits.Databases {
		d.databases[a.limits.Databases[i].Name] = &a.limits.Databases[i]
	}
	d.table.Revision++
	d.table.CatalogueVersion = a.limits.Version
	for len(d.table.Slots) < a.settings.MaxInstances {
		d.table.Slots = append(d.table.Slots, Slot{State: StateVacant})
	}
	d.subjects = make([]slotSubject, len(d.table.Slots))
	for i := range d.table.Slots {
		slot := &d.table.Slots[i]
		d.subjects[i] = slotSubject{a: a, draft: d, index: i, slot: slot, state: a.chart.StateID(slot.State)}
	}
	return d
}

func (t *Table) clone() *Table {
	c := *t
	c.Floors = t.Floors.clone()
	c.Guards = t.Guards.clone()
	c.Slots = append([]Slot(nil), t.Slots...)
	for i := range c.Slots {
		c.Slots[i].Accounts = maps.Clone(c.Slots[i].Accounts)
		c.Slots[i].Databases = maps.Clone(c.Slots[i].Databases)
	}
	return &c
}

func (d *draft) runLifeCycles() {
	for i := range d.subjects {
		d.runLifeCycle(&d.subjects[i])
	}
}

func (d *draft) runLifeCycle(s *slotSubject) {
	a := d.a
	if claim, ok := a.claims[s.index]; ok {
		d.fireClaim(s, claim)
	}
	if s.slot.State == StateVacant {
		return
	}
	if _, ok := a.ended[s.slot.Lease]; ok {
		d.fire(s, a.events.leaseEnded)
	}
	if a.reportedDead(s.index, s.slot) {
		d.fire(s, a.events.deathReported)
	}
	if _, ok := a.reportOf(s.index, s.slot); ok {
		d.fire(s, a.events.acknowledged)
	}
	if refusal, ok := a.refusals[s.slot.Instance]; ok {
		s.refusal = refusal
		d.fire(s, a.events.refused)
	}
	d.fireTimeout(s)
}

func (d *draft) fireClaim(s *slotSubject, claim Claim) {
	s.claim = claim
	if !claim.Released {
		d.fire(s, d.a.events.claimed)
		return
	}
	if s.sameHolder() {
		d.fire(s, d.a.events.released)
	}
}

func (d *draft) fireTimeout(s *slotSubject) {
	entry := d.a.entered[s.index]
	if entry.state != s.slot.State || entry.instance != s.slot.Instance {
		return
	}
	if d.now.Sub(entry.since) >= d.a.chart.Timeout(s.state) {
		d.fire(s, d.a.events.time)
	}
}

func (d *draft) fire(s *slotSubject, event chart.Event) {
	d.a.chart.Fire(s, &s.state, event)
	name := d.a.chart.StateName(s.state)
	if name != s.slot.State {
		s.slot.State = name
		d.changed = true
	}
}

// storeStates fires "shrunk" for the slots whose limits divide has lowered.
func (d *draft) storeStates() {
	for i := range d.subjects {
		s := &d.subjects[i]
		if s.slot.RatesLowered == d.table.Revision || s.slot.ConnectionsLowered == d.table.Revision {
			d.fire(s, d.a.events.shrunk)
		}
	}
}

// reportOf returns the last report of the slot's present holder.
func (a *Allocator) reportOf(index int, s *Slot) (heardReport, bool) {
	heard, ok := a.reports[index]
	return heard, ok && heard.Instance == s.Instance
}

// reportedDead tells whether a peer reported the holder dead and nothing was
// heard from it since.
func (a *Allocator) reportedDead(index int, s *Slot) bool {
	death, ok := a.deaths[s.Instance]
	if !ok {
		return false
	}
	heard, ok := a.reportOf(index, s)
	return !ok || !heard.at.After(death)
}

// noteCleared notes for each lost slot when it was first known that no other
// holder can hand out a table in which the slot is not lost: each has
// acknowledged the suspension, is proved dead, or has lost its own slot.
func (a *Allocator) noteCleared(now time.Time) {
	for i, entry := range a.entered {
		if entry.suspended > 0 && entry.clearedAt.IsZero() && a.othersCleared(i, entry.suspended) {
			entry.clearedAt = now
			a.entered[i] = entry
		}
	}
}

func (a *Allocator) othersCleared(index int, revision uint64) bool {
	for i := range a.table.Slots {
		if i != index && !a.cleared(i, &a.table.Slots[i], revision) {
			return false
		}
	}
	return true
}

// cleared reports whether the slot's holder can hand out no table older than
// revision.
func (a *Allocator) cleared(index int, s *Slot, revision uint64) bool {
	if s.State == StateVacant {
		return true
	}
	if _, dead := a.refusals[s.Instance]; dead && s.State == StateLost {
		return true
	}
	heard, ok := a.reportOf(index, s)
	return ok && heard.RatesApplied >= revision
}

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
	allocator *Allocator
	now       time.Time
	table     *Table
	subjects  []slotSubject
	// databases holds the catalogue's databases by name.
	databases map[core.DatabaseName]*catalogue.Database
	changed   bool
}

// Next computes the table that follows the adopted one. It reports false if there
// is nothing to write. The caller writes the table by compare-and-swap from the
// platform revision at which the adopted table was read, and passes it to Adopt
// only after the platform has confirmed the write. After a lost response, the
// caller reads the table and adopts what it read.
func (a *Allocator) Next(now time.Time) (*Table, bool) {
	if a.catalogue == nil || a.catalogue.Version < a.table.CatalogueVersion {
		return nil, false
	}
	a.updateAcknowledgedSuspensions(now)
	d := a.newDraft(now)
	d.runLifecycles()
	d.updateFloors()
	d.divide()
	if !d.changed {
		return nil, false
	}
	d.markShrunkSlots()
	return d.table, true
}

// newDraft returns a copy of the adopted table with the next revision and with as
// many slots as are configured.
func (a *Allocator) newDraft(now time.Time) *draft {
	d := &draft{allocator: a, now: now, table: a.table.clone(), databases: map[core.DatabaseName]*catalogue.Database{}}
	for i := range a.catalogue.Databases {
		d.databases[a.catalogue.Databases[i].Name] = &a.catalogue.Databases[i]
	}
	d.table.Revision++
	d.table.CatalogueVersion = a.catalogue.Version
	for len(d.table.Slots) < a.settings.MaxInstances {
		d.table.Slots = append(d.table.Slots, Slot{State: StateVacant})
	}
	d.subjects = make([]slotSubject, len(d.table.Slots))
	for i := range d.table.Slots {
		slot := &d.table.Slots[i]
		d.subjects[i] = slotSubject{allocator: a, draft: d, index: i, slot: slot, state: a.chart.StateID(slot.State)}
	}
	return d
}

// clone returns a deep copy.
func (t *Table) clone() *Table {
	c := *t
	c.Floors = t.Floors.clone()
	c.RetainedFloors = t.RetainedFloors.clone()
	c.Slots = append([]Slot(nil), t.Slots...)
	for i := range c.Slots {
		c.Slots[i].Accounts = maps.Clone(c.Slots[i].Accounts)
		c.Slots[i].Databases = maps.Clone(c.Slots[i].Databases)
	}
	return &c
}

func (d *draft) runLifecycles() {
	for i := range d.subjects {
		d.runLifecycle(&d.subjects[i])
	}
}

// runLifecycle fires the events that apply to one slot.
func (d *draft) runLifecycle(s *slotSubject) {
	a := d.allocator
	if claim, ok := a.claims[s.index]; ok {
		d.fireClaim(s, claim)
	}
	if s.slot.State == StateVacant {
		return
	}
	if _, ok := a.leaseEndedAt[s.slot.Lease]; ok {
		d.fire(s, a.events.leaseEnded)
	}
	if a.reportedDead(s.index, s.slot) {
		d.fire(s, a.events.deathReported)
	}
	if _, ok := a.reportOf(s.index, s.slot); ok {
		d.fire(s, a.events.acknowledged)
	}
	if refusal, ok := a.probeRefusals[s.slot.Instance]; ok {
		s.refusal = refusal
		d.fire(s, a.events.refused)
	}
	d.fireTimeout(s)
}

// fireClaim fires "claimed", or "released" for a released claim of the holder. A
// released claim of any other instance is ignored.
func (d *draft) fireClaim(s *slotSubject, claim Claim) {
	s.claim = claim
	if !claim.Released {
		d.fire(s, d.allocator.events.claimed)
		return
	}
	if s.sameHolder() {
		d.fire(s, d.allocator.events.released)
	}
}

// fireTimeout fires the timeout of the state in which the slot was observed,
// unless an event of this draft has already changed the slot.
func (d *draft) fireTimeout(s *slotSubject) {
	observation := d.allocator.observations[s.index]
	if observation.state != s.slot.State || observation.instance != s.slot.Instance {
		return
	}
	if d.now.Sub(observation.since) >= d.allocator.chart.Timeout(s.state) {
		d.fire(s, d.allocator.events.time)
	}
}

// fire applies an event and stores the resulting state in the slot.
func (d *draft) fire(s *slotSubject, event chart.Event) {
	d.allocator.chart.Fire(s, &s.state, event)
	name := d.allocator.chart.StateName(s.state)
	if name != s.slot.State {
		s.slot.State = name
		d.changed = true
	}
}

// markShrunkSlots fires "shrunk" for the slots whose limits were lowered in this
// draft.
func (d *draft) markShrunkSlots() {
	for i := range d.subjects {
		s := &d.subjects[i]
		if s.slot.RatesLowered == d.table.Revision || s.slot.ConnectionsLowered == d.table.Revision {
			d.fire(s, d.allocator.events.shrunk)
		}
	}
}

// reportOf returns the last report of the slot's present holder.
func (a *Allocator) reportOf(index int, s *Slot) (receivedReport, bool) {
	report, ok := a.reports[index]
	return report, ok && report.Instance == s.Instance
}

// reportedDead reports whether a peer reported the holder dead and no report of
// the holder has arrived since.
func (a *Allocator) reportedDead(index int, s *Slot) bool {
	reportedAt, ok := a.deathReports[s.Instance]
	if !ok {
		return false
	}
	report, ok := a.reportOf(index, s)
	return !ok || !report.receivedAt.After(reportedAt)
}

// updateAcknowledgedSuspensions records for each lost slot the time from which no
// other holder can serve a table in which the slot is not lost: each one has
// acknowledged the suspension, is known to be dead, or has lost its own slot.
func (a *Allocator) updateAcknowledgedSuspensions(now time.Time) {
	for i, observation := range a.observations {
		if observation.suspendedIn > 0 && observation.acknowledgedAt.IsZero() && a.othersAcknowledged(i, observation.suspendedIn) {
			observation.acknowledgedAt = now
			a.observations[i] = observation
		}
	}
}

// othersAcknowledged reports whether no holder of another slot can serve a table
// older than revision.
func (a *Allocator) othersAcknowledged(index int, revision uint64) bool {
	for i := range a.table.Slots {
		if i != index && !a.acknowledgedOrDead(i, &a.table.Slots[i], revision) {
			return false
		}
	}
	return true
}

// acknowledgedOrDead reports whether the slot's holder can serve no table older
// than revision.
func (a *Allocator) acknowledgedOrDead(index int, s *Slot, revision uint64) bool {
	if s.State == StateVacant {
		return true
	}
	if _, dead := a.probeRefusals[s.Instance]; dead && s.State == StateLost {
		return true
	}
	report, ok := a.reportOf(index, s)
	return ok && report.RatesApplied >= revision
}

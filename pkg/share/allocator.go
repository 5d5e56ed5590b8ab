package share

import (
	"maps"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Allocator computes share tables. Any number of allocators may run at the
// same time, as each table is compare-and-swapped from the one it follows.
type Allocator struct {
	settings Settings
	chart    *chart.Table[*slotSubject]
	events   slotEvents
	table    *Table
	limits   *catalogue.Catalogue
	claims   map[int]Claim
	reports  map[int]heardReport
	deaths   map[core.InstanceID]time.Time
	refusals map[core.InstanceID]Refusal
	// ended is when this allocator first knew that a lease in the table is over.
	ended map[LeaseID]time.Time
	// entered is when this allocator first saw a slot in its present state.
	entered map[int]slotEntry
	demand  demandBook
	late    uint64
}

type heardReport struct {
	Report
	at time.Time
}

type slotEntry struct {
	state    string
	instance core.InstanceID
	granted  uint64
	// suspended is the revision that suspended a lost slot, otherwise zero.
	suspended uint64
	since     time.Time
	// clearedAt is when no other holder could hand out an older table any more.
	clearedAt time.Time
}

// NewAllocator binds the chart "share". It returns a *chart.InvalidError for a
// chart that does not fit.
func NewAllocator(d *chart.Definition, s Settings) (*Allocator, error) {
	compiled, err := chart.Compile(d, slotRegistry(s))
	if err != nil {
		return nil, err
	}
	return &Allocator{
		settings: s,
		chart:    compiled,
		events:   resolveSlotEvents(compiled),
		table:    &Table{},
		claims:   map[int]Claim{},
		reports:  map[int]heardReport{},
		deaths:   map[core.InstanceID]time.Time{},
		refusals: map[core.InstanceID]Refusal{},
		ended:    map[LeaseID]time.Time{},
		entered:  map[int]slotEntry{},
		demand:   newDemandBook(),
	}, nil
}

// Adopt takes the table that the platform holds, nil if it holds none. A table
// computed by Next is adopted only after its compare-and-swap was confirmed.
func (a *Allocator) Adopt(t *Table, now time.Time) {
	if t == nil {
		t = &Table{}
	}
	if t.Revision < a.table.Revision {
		return
	}
	a.table = t
	a.noteEntries(now)
	maps.DeleteFunc(a.ended, func(id LeaseID, _ time.Time) bool { return !t.names(id) })
}

// names reports whether a slot of the table names the lease.
func (t *Table) names(id LeaseID) bool {
	for i := range t.Slots {
		if t.Slots[i].Lease == id {
			return true
		}
	}
	return false
}

// SetLimits takes the catalogue in force.
func (a *Allocator) SetLimits(c *catalogue.Catalogue) {
	if a.limits == nil || c.Version > a.limits.Version {
		a.limits = c
	}
}

// SetClaims takes all slot records that the platform holds. It is called only
// with a complete and successful read that is not older than the adopted table,
// because a missing record means that the lease has ended.
func (a *Allocator) SetClaims(claims []Claim, now time.Time) {
	a.claims = make(map[int]Claim, len(claims))
	for _, c := range claims {
		a.claims[c.Slot] = c
	}
	a.noteEndedLeases(now)
}

// Report takes a holder's acknowledgement, and its demand unless the report has
// none: a figure that was reported before must not count twice.
func (a *Allocator) Report(r Report, now time.Time) {
	a.reports[r.Slot] = heardReport{Report: r, at: now}
	if r.Accounts != nil || r.Databases != nil {
		a.demand.note(r)
	}
}

// DeathReported takes a peer's word that a connection to the instance's peer
// address was refused or answered by another instance. It suspends the slot;
// the share is reclaimed only after a refused Probe.
func (a *Allocator) DeathReported(id core.InstanceID, now time.Time) {
	a.deaths[id] = now
}

// ProbeRefused takes the result of a Probe whose connection was refused.
func (a *Allocator) ProbeRefused(r Refusal) {
	a.refusals[r.Instance] = r
}

// Probes returns the connections to try now. It is called once a second.
func (a *Allocator) Probes() []Probe {
	var probes []Probe
	for i := range a.table.Slots {
		s := &a.table.Slots[i]
		if s.State == StateLost {
			probes = append(probes, Probe{Slot: i, Instance: s.Instance, Address: s.PeerAddress})
		}
	}
	return probes
}

// Late returns how often a shrinking slot passed the acknowledgement bound.
func (a *Allocator) Late() uint64 {
	return a.late
}

func (a *Allocator) noteEntries(now time.Time) {
	present := map[core.InstanceID]bool{}
	for i := range a.table.Slots {
		s := &a.table.Slots[i]
		present[s.Instance] = true
		entry := newSlotEntry(s, now)
		if !entry.same(a.entered[i]) {
			a.entered[i] = entry
		}
	}
	absent := func(id core.InstanceID) bool { return !present[id] }
	maps.DeleteFunc(a.deaths, func(id core.InstanceID, _ time.Time) bool { return absent(id) })
	maps.DeleteFunc(a.refusals, func(id core.InstanceID, _ Refusal) bool { return absent(id) })
}

func newSlotEntry(s *Slot, now time.Time) slotEntry {
	entry := slotEntry{state: s.State, instance: s.Instance, granted: s.Granted, since: now}
	if s.State == StateLost {
		entry.suspended = s.RatesLowered
	}
	return entry
}

func (e slotEntry) same(o slotEntry) bool {
	return e.state == o.state && e.instance == o.instance && e.granted == o.granted && e.suspended == o.suspended
}

func (a *Allocator) noteEndedLeases(now time.Time) {
	current := map[LeaseID]time.Time{}
	for i := range a.table.Slots {
		s := &a.table.Slots[i]
		if s.State == StateVacant || holdsLease(a.claims[i], s) {
			continue
		}
		current[s.Lease] = now
		if first, ok := a.ended[s.Lease]; ok {
			current[s.Lease] = first
		}
	}
	a.ended = current
}

// holdsLease reports whether the claim shows that the slot's lease goes on. The
// record of a released slot may outlive its lease.
func holdsLease(c Claim, s *Slot) bool {
	return c.Lease == s.Lease && !c.Released
}

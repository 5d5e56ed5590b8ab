package share

import (
	"maps"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Allocator computes share tables. Several allocators may run at the same time,
// because each table replaces its predecessor by compare-and-swap.
type Allocator struct {
	settings  Settings
	chart     *chart.Table[*slotSubject]
	events    slotEvents
	table     *Table
	catalogue *catalogue.Catalogue
	// claims and reports are keyed by slot.
	claims        map[int]Claim
	reports       map[int]receivedReport
	deathReports  map[core.InstanceID]time.Time
	probeRefusals map[core.InstanceID]ProbeRefusal
	// leaseEndedAt holds the time at which this allocator first saw that a lease
	// named in the table has ended.
	leaseEndedAt map[LeaseID]time.Time
	// observations holds the state of each slot and the time since which this
	// allocator has seen the slot in that state.
	observations         map[int]slotObservation
	demand               demandTracker
	lateAcknowledgements uint64
}

// receivedReport is a holder's report with the time of its arrival.
type receivedReport struct {
	Report
	receivedAt time.Time
}

// slotObservation is the state of a slot as this allocator sees it.
type slotObservation struct {
	state         string
	instance      core.InstanceID
	grantRevision uint64
	// suspendedIn is the table revision that suspended a lost slot, otherwise
	// zero.
	suspendedIn uint64
	// since is when this allocator first saw the slot in this state.
	since time.Time
	// acknowledgedAt is the time from which no other holder can serve a table
	// older than suspendedIn, zero before that is known.
	acknowledgedAt time.Time
}

// NewAllocator compiles the chart "share" for an allocator with an empty table.
// It returns a *chart.InvalidError if the chart does not match the registered
// guards, actions and timeouts.
func NewAllocator(d *chart.Definition, s Settings) (*Allocator, error) {
	compiled, err := chart.Compile(d, slotRegistry(s))
	if err != nil {
		return nil, err
	}
	return &Allocator{
		settings:      s,
		chart:         compiled,
		events:        resolveSlotEvents(compiled),
		table:         &Table{},
		claims:        map[int]Claim{},
		reports:       map[int]receivedReport{},
		deathReports:  map[core.InstanceID]time.Time{},
		probeRefusals: map[core.InstanceID]ProbeRefusal{},
		leaseEndedAt:  map[LeaseID]time.Time{},
		observations:  map[int]slotObservation{},
		demand:        newDemandTracker(),
	}, nil
}

// Adopt sets the table that the platform holds; t is nil if it holds none. An
// older table than the adopted one is ignored. A table computed by Next may be
// adopted only after its compare-and-swap was confirmed.
func (a *Allocator) Adopt(t *Table, now time.Time) {
	if t == nil {
		t = &Table{}
	}
	if t.Revision < a.table.Revision {
		return
	}
	a.table = t
	a.updateObservations(now)
	maps.DeleteFunc(a.leaseEndedAt, func(id LeaseID, _ time.Time) bool { return !t.hasLease(id) })
}

// hasLease reports whether a slot of the table names the lease.
func (t *Table) hasLease(id LeaseID) bool {
	for i := range t.Slots {
		if t.Slots[i].Lease == id {
			return true
		}
	}
	return false
}

// SetCatalogue sets the current catalogue, which holds the limits to divide.
// Older versions are ignored.
func (a *Allocator) SetCatalogue(c *catalogue.Catalogue) {
	if a.catalogue == nil || c.Version > a.catalogue.Version {
		a.catalogue = c
	}
}

// SetClaims sets all slot records that the platform holds. The caller must pass
// the result of a complete and successful read that is not older than the adopted
// table, because a missing record means that its lease has ended.
func (a *Allocator) SetClaims(claims []Claim, now time.Time) {
	a.claims = make(map[int]Claim, len(claims))
	for _, c := range claims {
		a.claims[c.Slot] = c
	}
	a.updateEndedLeases(now)
}

// RecordReport records a holder's acknowledgement and, if the report contains it,
// the holder's demand. A report without the demand leaves the smoothed demand as
// it is, so that no figure counts twice.
func (a *Allocator) RecordReport(r Report, now time.Time) {
	a.reports[r.Slot] = receivedReport{Report: r, receivedAt: now}
	if r.Accounts != nil || r.Databases != nil {
		a.demand.record(r)
	}
}

// RecordDeathReport records a peer's report that a connection to the instance's
// peer address was refused or answered by another instance. The report suspends
// the slot; its share is reclaimed only after a refused Probe.
func (a *Allocator) RecordDeathReport(id core.InstanceID, now time.Time) {
	a.deathReports[id] = now
}

// RecordProbeRefusal records that the host refused the connection of a Probe.
func (a *Allocator) RecordProbeRefusal(r ProbeRefusal) {
	a.probeRefusals[r.Instance] = r
}

// Probes returns the connection attempts to make now, one for each lost slot. It
// is called once a second.
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

// LateAcknowledgements returns how often a shrinking slot exceeded the
// acknowledgement timeout.
func (a *Allocator) LateAcknowledgements() uint64 {
	return a.lateAcknowledgements
}

// updateObservations restarts the observation of each slot whose state, holder or
// grant has changed, and forgets death reports and probe refusals of instances
// that hold no slot any more.
func (a *Allocator) updateObservations(now time.Time) {
	present := map[core.InstanceID]bool{}
	for i := range a.table.Slots {
		s := &a.table.Slots[i]
		present[s.Instance] = true
		observation := newSlotObservation(s, now)
		if !observation.same(a.observations[i]) {
			a.observations[i] = observation
		}
	}
	absent := func(id core.InstanceID) bool { return !present[id] }
	maps.DeleteFunc(a.deathReports, func(id core.InstanceID, _ time.Time) bool { return absent(id) })
	maps.DeleteFunc(a.probeRefusals, func(id core.InstanceID, _ ProbeRefusal) bool { return absent(id) })
}

func newSlotObservation(s *Slot, now time.Time) slotObservation {
	observation := slotObservation{state: s.State, instance: s.Instance, grantRevision: s.GrantRevision, since: now}
	if s.State == StateLost {
		observation.suspendedIn = s.RatesLowered
	}
	return observation
}

// same reports whether both observations describe the same state, holder, grant
// and suspension.
func (s slotObservation) same(o slotObservation) bool {
	return s.state == o.state && s.instance == o.instance && s.grantRevision == o.grantRevision && s.suspendedIn == o.suspendedIn
}

// updateEndedLeases recomputes which leases named in the table have ended. A
// lease that was already known to have ended keeps its time.
func (a *Allocator) updateEndedLeases(now time.Time) {
	current := map[LeaseID]time.Time{}
	for i := range a.table.Slots {
		s := &a.table.Slots[i]
		if s.State == StateVacant || leaseContinues(a.claims[i], s) {
			continue
		}
		current[s.Lease] = now
		if first, ok := a.leaseEndedAt[s.Lease]; ok {
			current[s.Lease] = first
		}
	}
	a.leaseEndedAt = current
}

// leaseContinues reports whether the claim shows that the slot's lease is still
// alive. A released record counts as the end of the lease, because the record may
// outlive it.
func leaseContinues(c Claim, s *Slot) bool {
	return c.Lease == s.Lease && !c.Released
}

package share

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Identity identifies this instance as a holder.
type Identity struct {
	Instance    core.InstanceID
	PeerAddress string
}

// Allowance is the part of the accounts' rates and of the databases' connections
// that this instance may use.
type Allowance struct {
	// Slot is -1 without a slot.
	Slot int
	// Grant identifies the tenure of the slot. When it changes, the token buckets
	// are emptied.
	Grant uint64
	// Revision is the revision of the table, to be passed to RecordApplied.
	Revision uint64
	// Accounts and Connections hold the limits; a missing name means zero.
	Accounts    map[core.AccountName]Rate
	Connections map[core.DatabaseName]int
	// Until is the time from which nothing may be used.
	Until time.Time
}

// Holder decides how much of the limits this instance may use.
type Holder struct {
	self     Identity
	settings Settings
	table    *Table
	// confirmedAt is the latest time at which the table is known to have been the
	// platform's current one.
	confirmedAt time.Time
	// renewedAt holds the send time of the last successful creation or renewal of
	// each lease.
	renewedAt map[LeaseID]time.Time
	// inherited is set after Inherit has taken over a predecessor's slot.
	inherited bool
	// released is set by Release.
	released bool
	// ratesApplied and connectionsApplied are the newest table revisions whose
	// limits the session duty enforces.
	ratesApplied       uint64
	connectionsApplied uint64
}

// NewHolder returns a holder without a table.
func NewHolder(self Identity, s Settings) *Holder {
	return &Holder{self: self, settings: s, renewedAt: map[LeaseID]time.Time{}}
}

// RecordLeaseRenewal records that a lease was created or renewed. The time sent
// is taken just before the call, because the platform may end the lease one TTL
// after that.
func (h *Holder) RecordLeaseRenewal(lease LeaseID, sent time.Time) {
	if sent.After(h.renewedAt[lease]) {
		h.renewedAt[lease] = sent
	}
}

// UpdateTable adopts a table that the platform returned to a request sent at
// sent; an older table is ignored. It is also called with the current table when
// a watch ended without a newer one. It reports whether the current table
// changed.
func (h *Holder) UpdateTable(t *Table, sent time.Time) bool {
	if h.table != nil && t.Revision < h.table.Revision {
		return false
	}
	changed := h.adopt(t)
	if sent.After(h.confirmedAt) {
		h.confirmedAt = sent
	}
	return changed
}

// adopt replaces the table by a newer one and reports whether it did.
func (h *Holder) adopt(t *Table) bool {
	if h.table != nil && t.Revision <= h.table.Revision {
		return false
	}
	h.table = t
	return true
}

// Table returns the current table, nil before the first one.
func (h *Holder) Table() *Table {
	return h.table
}

// AuthoritativeTable returns the table for an instance that wants to inherit a
// slot, and its age: the time since the platform last confirmed it. It reports
// false unless the table names this instance. Only a named instance acknowledges
// tables, and the allocator relies on the acknowledgement of every instance that
// serves one.
func (h *Holder) AuthoritativeTable(now time.Time) (*Table, time.Duration, bool) {
	if h.released {
		return nil, 0, false
	}
	if h.ownSlot() < 0 || h.inherited || h.confirmedAt.IsZero() {
		return nil, 0, false
	}
	return h.table, now.Sub(h.confirmedAt), true
}

// Inherit takes over the slot of a predecessor at this instance's peer address
// while the platform is unavailable. The table and its age come from a peer
// (AuthoritativeTable), in reply to a request sent at sent. The instance must
// already listen at its peer address. Inherit reports whether there is such a
// slot.
func (h *Holder) Inherit(t *Table, age time.Duration, sent time.Time) bool {
	if h.table != nil && t.Revision < h.table.Revision {
		return false
	}
	slot := slotAtAddress(t, h.self.PeerAddress)
	if slot < 0 || t.Slots[slot].State == StateLost {
		return false
	}
	h.adopt(t)
	h.inherited = true
	if confirmed := sent.Add(-age); confirmed.After(h.confirmedAt) {
		h.confirmedAt = confirmed
	}
	return true
}

// Release makes the allowance empty from now on, for a planned stop.
func (h *Holder) Release() {
	h.released = true
}

// RecordApplied records that the session duty enforces the limits of the
// Allowance with this revision, and how many connections to each database were
// open after that. Only such limits are acknowledged: a table that was merely
// received may still be on its way to the session duty.
func (h *Holder) RecordApplied(revision uint64, open map[core.DatabaseName]int) {
	slot := h.ownSlot()
	if slot < 0 || revision != h.table.Revision {
		return
	}
	h.ratesApplied = revision
	for name, n := range open {
		if n > h.table.Slots[slot].Databases[name].Limit {
			return
		}
	}
	h.connectionsApplied = revision
}

// Allowance returns what this instance may use at the given time. Its Slot is -1
// if that is nothing.
func (h *Holder) Allowance(now time.Time) Allowance {
	slot := h.ownSlot()
	until := h.validUntil(slot)
	if slot < 0 || h.released || !now.Before(until) {
		return Allowance{Slot: -1, Revision: h.tableRevision()}
	}
	s := &h.table.Slots[slot]
	allowance := Allowance{
		Slot:        slot,
		Grant:       s.GrantRevision,
		Revision:    h.table.Revision,
		Accounts:    make(map[core.AccountName]Rate, len(s.Accounts)),
		Connections: make(map[core.DatabaseName]int, len(s.Databases)),
		Until:       until,
	}
	for name, share := range s.Accounts {
		allowance.Accounts[name] = share.Limit
	}
	for name, share := range s.Databases {
		allowance.Connections[name] = share.Limit
	}
	if h.isInherited(slot) {
		allowance.limitToFloors(h.table.Floors)
	}
	return allowance
}

// limitToFloors reduces every limit to at most its floor.
func (a *Allowance) limitToFloors(f Floors) {
	for name, r := range a.Accounts {
		floor := f.Rates[name]
		a.Accounts[name] = Rate{Rate: min(r.Rate, floor.Rate), Burst: min(r.Burst, floor.Burst)}
	}
	for name, n := range a.Connections {
		a.Connections[name] = min(n, f.Connections[name])
	}
}

// tableRevision returns the revision of the current table, 0 before the first
// one.
func (h *Holder) tableRevision() uint64 {
	if h.table == nil {
		return 0
	}
	return h.table.Revision
}

// validUntil returns when the right to use the slot's share ends. Only renewals
// of the lease that the table names count, because the allocator waits for the
// end of that lease. The right to an inherited slot ends CutoffBound after the
// table was last known to be current.
func (h *Holder) validUntil(slot int) time.Time {
	if slot < 0 {
		return time.Time{}
	}
	if h.isInherited(slot) {
		return h.confirmedAt.Add(h.settings.CutoffBound)
	}
	renewed, ok := h.renewedAt[h.table.Slots[slot].Lease]
	if !ok {
		return time.Time{}
	}
	return renewed.Add(h.settings.CutoffBound)
}

// isInherited reports whether the slot still names the predecessor.
func (h *Holder) isInherited(slot int) bool {
	return h.table.Slots[slot].Instance != h.self.Instance
}

// ownSlot returns the slot that names this instance, otherwise the inherited one,
// otherwise -1.
func (h *Holder) ownSlot() int {
	if h.table == nil {
		return -1
	}
	for i := range h.table.Slots {
		if h.table.Slots[i].Instance == h.self.Instance {
			return i
		}
	}
	if !h.inherited {
		return -1
	}
	slot := slotAtAddress(h.table, h.self.PeerAddress)
	if slot < 0 || h.table.Slots[slot].State == StateLost {
		return -1
	}
	return slot
}

// slotAtAddress returns the occupied slot with the peer address, -1 for none.
func slotAtAddress(t *Table, address string) int {
	for i := range t.Slots {
		if t.Slots[i].State != StateVacant && t.Slots[i].PeerAddress == address {
			return i
		}
	}
	return -1
}

// Report returns the holder's part of the report to the allocator: the slot and
// the acknowledgements. It reports false without a slot of its own. The caller
// adds the demand, and sends the report only after the limits are enforced.
func (h *Holder) Report() (Report, bool) {
	slot := h.ownSlot()
	if slot < 0 || h.isInherited(slot) {
		return Report{}, false
	}
	return Report{
		Slot:               slot,
		Instance:           h.self.Instance,
		RatesApplied:       h.ratesApplied,
		ConnectionsApplied: h.connectionsApplied,
	}, true
}

// ChooseSlot returns the slot that an instance should claim: its predecessor's
// slot at the same peer address, otherwise a vacant slot without a claim,
// otherwise -1. A claim that is released or the predecessor's counts as free and
// is overwritten. The search begins at start, so that instances that start at the
// same time choose different slots.
func ChooseSlot(t *Table, claims []Claim, address string, maxInstances, start int) int {
	if slot := slotAtAddress(t, address); slot >= 0 {
		return slot
	}
	claimed := map[int]bool{}
	for _, c := range claims {
		claimed[c.Slot] = !c.Released
	}
	for offset := range maxInstances {
		slot := (start + offset) % maxInstances
		taken := slot < len(t.Slots) && t.Slots[slot].State != StateVacant
		if !taken && !claimed[slot] {
			return slot
		}
	}
	return -1
}

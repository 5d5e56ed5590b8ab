package share

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Identity names this instance as a holder.
type Identity struct {
	Instance    core.InstanceID
	PeerAddress string
}

// Spendable is what this instance may spend.
type Spendable struct {
	// Slot is -1 without a slot.
	Slot int
	// Grant identifies the holding of the slot. Buckets are emptied when it
	// changes.
	Grant uint64
	// Revision is the table revision, for Applied.
	Revision uint64
	// Accounts and Connections hold the limits; a missing name means zero.
	Accounts    map[core.AccountName]Rate
	Connections map[core.DatabaseName]int
	// Until is the time from which nothing may be spent.
	Until time.Time
}

// Holder decides what this instance may spend.
type Holder struct {
	self     Identity
	settings Settings
	table    *Table
	// confirmed is the latest time at which table was known to be current.
	confirmed time.Time
	renewed   map[LeaseID]time.Time
	inherited bool
	released  bool
	// ratesApplied and connectionsApplied are the newest revisions whose limits
	// are obeyed where they are spent.
	ratesApplied       uint64
	connectionsApplied uint64
}

// NewHolder returns a holder without a table.
func NewHolder(self Identity, s Settings) *Holder {
	return &Holder{self: self, settings: s, renewed: map[LeaseID]time.Time{}}
}

// LeaseRenewed records a successful creation or renewal of a lease. Sent is
// the time just before the call was sent: the platform may end the lease a TTL
// after that.
func (h *Holder) LeaseRenewed(lease LeaseID, sent time.Time) {
	if sent.After(h.renewed[lease]) {
		h.renewed[lease] = sent
	}
}

// TableRead adopts a table that the platform returned to a request sent at
// sent. It is also called with the table in force when a watch ended without a
// newer one. It reports whether the table in force changed.
func (h *Holder) TableRead(t *Table, sent time.Time) bool {
	if h.table != nil && t.Revision < h.table.Revision {
		return false
	}
	changed := h.adopt(t)
	if sent.After(h.confirmed) {
		h.confirmed = sent
	}
	return changed
}

func (h *Holder) adopt(t *Table) bool {
	if h.table != nil && t.Revision <= h.table.Revision {
		return false
	}
	h.table = t
	return true
}

// Table returns the table in force, nil before the first.
func (h *Holder) Table() *Table {
	return h.table
}

// Vouch returns the table for an instance that asks to inherit, and its age:
// the time since the platform last confirmed it. It reports false unless the
// table names this instance, because only such an instance acknowledges tables
// and the allocator counts on every table source to have acknowledged.
func (h *Holder) Vouch(now time.Time) (*Table, time.Duration, bool) {
	if h.released {
		return nil, 0, false
	}
	if h.ownSlot() < 0 || h.inherited || h.confirmed.IsZero() {
		return nil, 0, false
	}
	return h.table, now.Sub(h.confirmed), true
}

// Inherit takes over the slot of a predecessor at this instance's peer address
// while the platform is down. The table and its age are a peer's answer (Vouch)
// to a request sent at sent. The instance must already listen at its peer
// address. It reports whether there is such a slot.
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
	if confirmed := sent.Add(-age); confirmed.After(h.confirmed) {
		h.confirmed = confirmed
	}
	return true
}

// Release makes the holder spend nothing from now on, for a planned stop.
func (h *Holder) Release() {
	h.released = true
}

// Applied records that the limits of a Spendable with this revision are in
// force where they are spent, and how many connections to each database were
// open after that. Without this, a limit might be acknowledged that is still
// on its way to the duty that spends it.
func (h *Holder) Applied(revision uint64, open map[core.DatabaseName]int) {
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

// Spendable returns what this instance may spend at now.
func (h *Holder) Spendable(now time.Time) Spendable {
	slot := h.ownSlot()
	until := h.until(slot)
	if slot < 0 || h.released || !now.Before(until) {
		return Spendable{Slot: -1, Revision: h.revision()}
	}
	s := &h.table.Slots[slot]
	spendable := Spendable{
		Slot:        slot,
		Grant:       s.Granted,
		Revision:    h.table.Revision,
		Accounts:    make(map[core.AccountName]Rate, len(s.Accounts)),
		Connections: make(map[core.DatabaseName]int, len(s.Databases)),
		Until:       until,
	}
	for name, share := range s.Accounts {
		spendable.Accounts[name] = share.Limit
	}
	for name, share := range s.Databases {
		spendable.Connections[name] = share.Limit
	}
	if h.inheritedSlot(slot) {
		spendable.reduceTo(h.table.Floors)
	}
	return spendable
}

func (s *Spendable) reduceTo(f Floors) {
	for name, r := range s.Accounts {
		floor := f.Rates[name]
		s.Accounts[name] = Rate{Rate: min(r.Rate, floor.Rate), Burst: min(r.Burst, floor.Burst)}
	}
	for name, n := range s.Connections {
		s.Connections[name] = min(n, f.Connections[name])
	}
}

func (h *Holder) revision() uint64 {
	if h.table == nil {
		return 0
	}
	return h.table.Revision
}

// until returns when the right to spend ends. Only renewals of the lease that
// the table names count: the allocator waits for the end of that lease. An
// inherited slot ends a bound after the table was last known to be current.
func (h *Holder) until(slot int) time.Time {
	if slot < 0 {
		return time.Time{}
	}
	if h.inheritedSlot(slot) {
		return h.confirmed.Add(h.settings.CutoffBound)
	}
	renewed, ok := h.renewed[h.table.Slots[slot].Lease]
	if !ok {
		return time.Time{}
	}
	return renewed.Add(h.settings.CutoffBound)
}

func (h *Holder) inheritedSlot(slot int) bool {
	return h.table.Slots[slot].Instance != h.self.Instance
}

// ownSlot returns the slot that names this instance, else the inherited one.
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

func slotAtAddress(t *Table, address string) int {
	for i := range t.Slots {
		if t.Slots[i].State != StateVacant && t.Slots[i].PeerAddress == address {
			return i
		}
	}
	return -1
}

// Report returns the holder's part of the report to the allocator: the slot
// and the acknowledgements. It reports false without a slot of its own. The
// caller adds the demand. The limits must be in force where they are spent
// before the report is sent.
func (h *Holder) Report() (Report, bool) {
	slot := h.ownSlot()
	if slot < 0 || h.inheritedSlot(slot) {
		return Report{}, false
	}
	return Report{
		Slot:               slot,
		Instance:           h.self.Instance,
		RatesApplied:       h.ratesApplied,
		ConnectionsApplied: h.connectionsApplied,
	}, true
}

// ChooseSlot returns the slot that an instance claims: its predecessor's at the
// same peer address, else a vacant one that nobody has claimed, else -1. A
// record that is released or the predecessor's is replaced by the claim. The
// search begins at start, so that instances that start together choose
// different slots.
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

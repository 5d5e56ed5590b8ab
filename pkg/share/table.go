// Package share divides the rates of client accounts and the connections of
// databases over the instances of the fleet (docs/design.md section 7).
//
// Allocator computes the next share table, Holder what this instance may spend
// now. Both are decisions: they take the time as an argument and do no I/O.
package share

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Milli is a thousandth of a statement, or of a statement per second. Whole
// numbers keep the sums of shares exact.
type Milli int64

// MilliPerUnit is the number of Milli in one statement.
const MilliPerUnit = 1000

// Float returns m in statements or statements per second.
func (m Milli) Float() float64 {
	return float64(m) / MilliPerUnit
}

// Rate is a part of an account's rate and burst.
type Rate struct {
	// Rate is in thousandths of a statement per second.
	Rate Milli
	// Burst is in thousandths of a statement.
	Burst Milli
}

// RateShare is the share of one slot in one account.
type RateShare struct {
	// Held is what the holder may be spending.
	Held Rate
	// Limit is what the holder shall spend, never more than Held.
	Limit Rate
}

// ConnectionShare is the share of one slot in one database, in connections.
type ConnectionShare struct {
	Held  int
	Limit int
}

// LeaseID identifies the lease of an instance at the platform.
type LeaseID string

// Slot is one of the declared places for an instance.
type Slot struct {
	// State is the name of a state of the chart "share".
	State       string
	Instance    core.InstanceID
	PeerAddress string
	Domain      core.Domain
	Lease       LeaseID
	// Granted is the table revision that gave the slot to Instance.
	Granted uint64
	// RatesLowered and ConnectionsLowered are the table revisions in which a
	// Limit of the slot was last lowered. An acknowledgement of an older revision
	// says nothing about the present limits.
	RatesLowered       uint64
	ConnectionsLowered uint64
	Accounts           map[core.AccountName]RateShare
	Databases          map[core.DatabaseName]ConnectionShare
}

// Table is the share table. Over all slots, the sum of Held is at most the
// account's rate and burst and the database's connections; after a limit was
// edited down, at most what it was before until the holders have acknowledged.
type Table struct {
	// Revision grows by one with each table written.
	Revision uint64
	// CatalogueVersion is the version of the limits that the table obeys.
	CatalogueVersion uint64
	// Floors is what an instance that inherits a slot may spend of it.
	Floors Floors
	// Guards bounds from below what a slot may be lowered to. It equals Floors,
	// except while older tables with higher floors may still be handed out.
	Guards Floors
	// FloorsLowered and GuardsLowered are the revisions in which a floor, and
	// after it a guard, was last lowered.
	FloorsLowered uint64
	GuardsLowered uint64
	Slots         []Slot
}

// Claim is an instance's record `slot/<n>` at the platform.
type Claim struct {
	Slot        int             `json:"slot"`
	Instance    core.InstanceID `json:"instance"`
	PeerAddress string          `json:"peer_address"`
	Domain      core.Domain     `json:"domain"`
	Lease       LeaseID         `json:"lease"`
	// Released says that the instance has stopped spending for good.
	Released bool `json:"released,omitempty"`
}

// Report is what a holder sends to the allocator once a second, and without the
// demand as soon as it obeys a table.
type Report struct {
	Slot     int
	Instance core.InstanceID
	// RatesApplied and ConnectionsApplied are the newest table revisions whose
	// limits the holder obeys.
	RatesApplied       uint64
	ConnectionsApplied uint64
	// Accounts and Databases are nil in a report without the demand. Accounts is
	// the demand in statements per second, refused ones included.
	Accounts map[core.AccountName]float64
	// Databases is the number of connections that the holder could use.
	Databases map[core.DatabaseName]int
}

// Probe asks for a new connection to a lost holder's peer address.
type Probe struct {
	Slot     int
	Instance core.InstanceID
	Address  string
}

// Refusal reports that the host refused a connection to a lost holder's peer
// address.
type Refusal struct {
	Slot     int
	Instance core.InstanceID
	// Started is when the connection attempt began, on the allocator's clock.
	Started time.Time
}

// Settings are the operator's settings for shares.
type Settings struct {
	// MaxInstances is the number of declared slots.
	MaxInstances int
	// FloorFraction of each limit is divided equally over the slots, 0 to 1.
	FloorFraction float64
	// CutoffBound is how long a holder may spend after its last lease renewal.
	CutoffBound time.Duration
	// CutoffMargin covers the difference between two monotonic clocks.
	CutoffMargin time.Duration
	// AcknowledgementBound is the time after which an acknowledgement that is
	// still missing is counted as late.
	AcknowledgementBound time.Duration
}

// Defaults of Settings.
const (
	DefaultFloorFraction        = 0.25
	DefaultCutoffBound          = 15 * time.Minute
	DefaultCutoffMargin         = 5 * time.Second
	DefaultAcknowledgementBound = 10 * time.Second
)

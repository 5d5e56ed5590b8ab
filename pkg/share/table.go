// Package share divides the rates of client accounts and the connections of
// databases over the instances of the fleet (docs/design.md section 7).
//
// Allocator computes the next share table, Holder what this instance may use now.
// Both are pure decision logic: they take the time as an argument and do no I/O.
package share

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Milli is a thousandth of a statement, or of a statement per second. Integers
// keep the sums of shares exact.
type Milli int64

// MilliPerUnit is the number of Milli in one statement.
const MilliPerUnit = 1000

// Float returns m in statements or statements per second.
func (m Milli) Float() float64 {
	return float64(m) / MilliPerUnit
}

// Rate is a token bucket's rate and size, or a part of them.
type Rate struct {
	// Rate is in thousandths of a statement per second.
	Rate Milli
	// Burst is in thousandths of a statement.
	Burst Milli
}

// RateShare is the share of one slot in one account.
type RateShare struct {
	// Held is the rate reserved for the holder, which may still be using it.
	Held Rate
	// Limit is the rate that the holder should use from this table on, at most
	// Held. It is below Held until the holder has acknowledged the lower limit.
	Limit Rate
}

// ConnectionShare is the share of one slot in one database, in connections. Held
// and Limit have the same meaning as in RateShare.
type ConnectionShare struct {
	Held  int
	Limit int
}

// LeaseID identifies the lease of an instance at the platform.
type LeaseID string

// Slot is one of a fixed number of positions in the share table, each of which
// one instance can hold.
type Slot struct {
	// State is the name of a state of the chart "share".
	State       string
	Instance    core.InstanceID
	PeerAddress string
	Domain      core.Domain
	Lease       LeaseID
	// GrantRevision is the table revision in which Instance got the slot.
	GrantRevision uint64
	// RatesLowered and ConnectionsLowered are the table revisions in which a
	// Limit of the slot was last lowered. An acknowledgement of an older revision
	// says nothing about the present limits.
	RatesLowered       uint64
	ConnectionsLowered uint64
	Accounts           map[core.AccountName]RateShare
	Databases          map[core.DatabaseName]ConnectionShare
}

// Table is the share table. Over all slots, the sum of Held is at most the
// account's rate and burst and the database's connections. After such a limit was
// lowered in the catalogue, the sum may stay at the old limit until the holders
// have acknowledged.
type Table struct {
	// Revision grows by one with each table written.
	Revision uint64
	// CatalogueVersion is the version of the catalogue whose limits the table
	// divides.
	CatalogueVersion uint64
	// Floors are the limits up to which an instance may use a slot that it inherits.
	Floors Floors
	// RetainedFloors are floors that still apply: a limit of a slot is never
	// lowered below them. They equal Floors, except while older tables with
	// higher floors may still be served.
	RetainedFloors Floors
	// FloorsLowered is the revision in which a floor was last lowered,
	// RetainedFloorsLowered the later one in which the retained floors followed.
	FloorsLowered         uint64
	RetainedFloorsLowered uint64
	Slots                 []Slot
}

// Claim is an instance's record `slot/<n>` at the platform.
type Claim struct {
	Slot        int             `json:"slot"`
	Instance    core.InstanceID `json:"instance"`
	PeerAddress string          `json:"peer_address"`
	Domain      core.Domain     `json:"domain"`
	Lease       LeaseID         `json:"lease"`
	// Released is set when the instance has permanently stopped using its share.
	Released bool `json:"released,omitempty"`
}

// Report is the message that a holder sends to the allocator once a second and,
// without the demand, as soon as it enforces a new table.
type Report struct {
	Slot     int
	Instance core.InstanceID
	// RatesApplied and ConnectionsApplied are the newest table revisions whose
	// limits the holder enforces.
	RatesApplied       uint64
	ConnectionsApplied uint64
	// Accounts and Databases are nil in a report without the demand. Accounts is
	// the demand in statements per second, including refused statements.
	Accounts map[core.AccountName]float64
	// Databases is the number of connections that the holder could use.
	Databases map[core.DatabaseName]int
}

// Probe is a request to open a new connection to a lost holder's peer address.
type Probe struct {
	Slot     int
	Instance core.InstanceID
	Address  string
}

// ProbeRefusal reports that the host refused the connection of a Probe, so that
// no process listens at the address.
type ProbeRefusal struct {
	Slot     int
	Instance core.InstanceID
	// Started is when the connection attempt began, on the allocator's clock.
	Started time.Time
}

// Settings are the operator's settings for shares.
type Settings struct {
	// MaxInstances is the number of slots.
	MaxInstances int
	// FloorFraction is the part of each limit, 0 to 1, that is divided equally
	// over the slots as their floors.
	FloorFraction float64
	// CutoffBound is how long a holder may use its share after its last lease
	// renewal.
	CutoffBound time.Duration
	// CutoffMargin covers the difference between two monotonic clocks.
	CutoffMargin time.Duration
	// AcknowledgementTimeout is the time after which a missing acknowledgement is
	// counted as late.
	AcknowledgementTimeout time.Duration
}

// Defaults of Settings.
const (
	DefaultFloorFraction          = 0.25
	DefaultCutoffBound            = 15 * time.Minute
	DefaultCutoffMargin           = 5 * time.Second
	DefaultAcknowledgementTimeout = 10 * time.Second
)

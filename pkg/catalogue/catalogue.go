// Package catalogue defines the configuration that operators edit: accounts,
// keys, databases and entries. It checks and applies edits, decides which version
// is current and which keys an instance accepts.
package catalogue

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Catalogue is one accepted configuration. It is immutable once published.
type Catalogue struct {
	// Version grows by one with each accepted edit.
	Version uint64 `json:"version"`
	// OperatorVersion is the version of the operator's configuration if Version
	// counts published catalogues instead of edits; zero otherwise.
	OperatorVersion uint64 `json:"operator_version,omitempty"`
	// EditID is the ID of the edit that produced this version.
	EditID string `json:"edit_id"`
	// RecentEdits lists the IDs of the last edits, oldest first, EditID included.
	// It resolves the outcome of an edit whose write got no response, even if
	// other edits have followed.
	RecentEdits []string   `json:"recent_edits,omitempty"`
	Accounts    []Account  `json:"accounts"`
	Databases   []Database `json:"databases"`
	Entries     []Entry    `json:"entries"`
}

// Account is a client account. Its limits apply to the whole fleet.
type Account struct {
	Name core.AccountName `json:"name"`
	// Weight is the account's weight in fair queueing, at least 1.
	Weight int `json:"weight"`
	// Rate is the rate limit in statements per second.
	Rate float64 `json:"rate"`
	// Burst is the size of the token bucket in statements.
	Burst float64 `json:"burst"`
	// Salt and Iterations are shared by all keys of the account (SCRAM-SHA-256).
	Salt       []byte `json:"salt"`
	Iterations int    `json:"iterations"`
	Keys       []Key  `json:"keys"`
}

// Key is the SCRAM-SHA-256 verifier of one key. The secret itself is never
// stored.
type Key struct {
	ID        core.KeyID `json:"id"`
	StoredKey []byte     `json:"stored_key"`
	ServerKey []byte     `json:"server_key"`
	Revoked   bool       `json:"revoked"`
}

// DatabaseState states whether a database accepts work.
type DatabaseState string

// States of a database.
const (
	DatabaseActive  DatabaseState = "active"
	DatabaseLeaving DatabaseState = "leaving"
)

// Database is a group of targets.
type Database struct {
	Name core.DatabaseName `json:"name"`
	// Connections bounds the target connections of the whole fleet.
	Connections int           `json:"connections"`
	State       DatabaseState `json:"state"`
	// WarmupPerSecond bounds the statements per second that all instances together
	// send to a cold member; 0 for no bound.
	WarmupPerSecond float64  `json:"warmup_per_second,omitempty"`
	Members         []Member `json:"members"`
}

// Member is one target of a database.
type Member struct {
	ID core.MemberID `json:"id"`
	// Address is the PostgreSQL address, IP:port.
	Address string `json:"address"`
	// StatusAddress is the status endpoint, IP:port.
	StatusAddress string      `json:"status_address"`
	Domain        core.Domain `json:"domain"`
	// Slots is the number of statements that the member runs at a time.
	Slots int `json:"slots"`
}

// Entry is a route from a client account to a database.
type Entry struct {
	Name     core.EntryName    `json:"name"`
	Owner    string            `json:"owner"`
	Account  core.AccountName  `json:"account"`
	Database core.DatabaseName `json:"database"`
	Class    core.Class        `json:"class"`
	// Open entries accept callers without a key.
	Open bool `json:"open"`
	// ReadOnly entries reject writes.
	ReadOnly bool `json:"read_only"`
	// Idempotent marks the writes of this entry as safe to retry.
	Idempotent bool `json:"idempotent"`
	// MaxAgeMillis is the accepted staleness of reads in milliseconds.
	MaxAgeMillis int `json:"max_age_ms"`
	// DeadlineMillis bounds a statement from its arrival to its result, in
	// milliseconds.
	DeadlineMillis int `json:"deadline_ms"`
}

// MaxAge returns the accepted staleness of reads.
func (e *Entry) MaxAge() time.Duration {
	return time.Duration(e.MaxAgeMillis) * time.Millisecond
}

// Deadline returns the longest time from the arrival of a statement to its result.
func (e *Entry) Deadline() time.Duration {
	return time.Duration(e.DeadlineMillis) * time.Millisecond
}

// Account returns the named account, or nil.
func (c *Catalogue) Account(name core.AccountName) *Account {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}

// Entry returns the named entry, or nil.
func (c *Catalogue) Entry(name core.EntryName) *Entry {
	for i := range c.Entries {
		if c.Entries[i].Name == name {
			return &c.Entries[i]
		}
	}
	return nil
}

// Database returns the named database, or nil.
func (c *Catalogue) Database(name core.DatabaseName) *Database {
	for i := range c.Databases {
		if c.Databases[i].Name == name {
			return &c.Databases[i]
		}
	}
	return nil
}

// Key returns the key with the given ID, or nil.
func (a *Account) Key(id core.KeyID) *Key {
	for i := range a.Keys {
		if a.Keys[i].ID == id {
			return &a.Keys[i]
		}
	}
	return nil
}

package catalogue

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// Edit is one operation of an operator: PutAccount, RemoveAccount,
// PutDatabase, SetDatabaseState, RemoveDatabase, PutEntry, RemoveEntry, AddKey,
// RevokeKey or RemoveKey.
type Edit interface {
	// apply changes c, which is a deep copy, and returns the faults of the
	// operation itself.
	apply(c *Catalogue) []Fault
}

// PutAccount creates an account or changes its weight and limits. Keys stay.
type PutAccount struct {
	Name   core.AccountName `json:"name"`
	Weight int              `json:"weight"`
	Rate   float64          `json:"rate"`
	Burst  float64          `json:"burst"`
}

// RemoveAccount removes an account without entries.
type RemoveAccount struct {
	Name core.AccountName `json:"name"`
}

// PutDatabase creates a database or replaces its connections and members. An
// empty state keeps the present one, or means active for a new database.
type PutDatabase struct {
	Database
}

// SetDatabaseState makes a database leave or come back.
type SetDatabaseState struct {
	Name  core.DatabaseName `json:"name"`
	State DatabaseState     `json:"state"`
}

// RemoveDatabase removes a leaving database without entries.
type RemoveDatabase struct {
	Name core.DatabaseName `json:"name"`
}

// PutEntry creates or replaces an entry.
type PutEntry struct {
	Entry
}

// RemoveEntry removes an entry.
type RemoveEntry struct {
	Name core.EntryName `json:"name"`
}

// AddKey stores a verifier; GiveKey makes it.
type AddKey struct {
	Account core.AccountName `json:"account"`
	// Salt and Iterations are taken over if the account has none yet, and must
	// equal the account's otherwise.
	Salt       []byte `json:"salt"`
	Iterations int    `json:"iterations"`
	Key        Key    `json:"key"`
}

// RevokeKey ends a key at once. The verifier stays until RemoveKey.
type RevokeKey struct {
	Account core.AccountName `json:"account"`
	ID      core.KeyID       `json:"id"`
}

// RemoveKey removes a revoked key.
type RemoveKey struct {
	Account core.AccountName `json:"account"`
	ID      core.KeyID       `json:"id"`
}

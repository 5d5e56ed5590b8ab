package catalogue

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// Edit is one operation of an operator: PutAccount, RemoveAccount,
// PutDatabase, SetDatabaseState, RemoveDatabase, PutEntry, RemoveEntry, AddKey,
// RevokeKey or RemoveKey.
type Edit interface {
	// apply changes c, which is a deep copy, and returns the violations of the
	// operation itself.
	apply(c *Catalogue) []Violation
}

// PutAccount creates an account or changes its weight and limits. It keeps the
// account's keys.
type PutAccount struct {
	Name   core.AccountName `json:"name"`
	Weight int              `json:"weight"`
	Rate   float64          `json:"rate"`
	Burst  float64          `json:"burst"`
}

// RemoveAccount removes an account that has no entries.
type RemoveAccount struct {
	Name core.AccountName `json:"name"`
}

// PutDatabase creates a database or replaces its connections and members. An
// empty state keeps the current state, or means active for a new database.
type PutDatabase struct {
	Database
}

// SetDatabaseState marks a database as leaving or as active again.
type SetDatabaseState struct {
	Name  core.DatabaseName `json:"name"`
	State DatabaseState     `json:"state"`
}

// RemoveDatabase removes a leaving database that has no entries.
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

// AddKey stores the verifier of a new key. GenerateKey returns it.
type AddKey struct {
	Account core.AccountName `json:"account"`
	// Salt and Iterations become those of the account if it has none yet, and must
	// equal them otherwise.
	Salt       []byte `json:"salt"`
	Iterations int    `json:"iterations"`
	Key        Key    `json:"key"`
}

// RevokeKey revokes a key at once. The verifier stays until RemoveKey.
type RevokeKey struct {
	Account core.AccountName `json:"account"`
	ID      core.KeyID       `json:"id"`
}

// RemoveKey removes a revoked key.
type RemoveKey struct {
	Account core.AccountName `json:"account"`
	ID      core.KeyID       `json:"id"`
}

package catalogue

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// maxRecentEdits bounds the length of RecentEdits. At 710 edits a day it covers
// more than two hours, far longer than it takes to resolve the outcome of a
// write.
const maxRecentEdits = 64

// Apply returns the next catalogue, with all edits applied to a copy of c under
// one edit ID. It returns a *CheckError with every violation of the edits and of
// their result.
func Apply(c *Catalogue, editID string, edits ...Edit) (*Catalogue, error) {
	next := c.clone()
	var violations []Violation
	if editID == "" {
		violations = append(violations, Violation{Item: "edit", Rule: "must have an identity"})
	}
	for _, e := range edits {
		violations = append(violations, e.apply(next)...)
	}
	violations = append(violations, Check(next)...)
	if len(violations) > 0 {
		return nil, &CheckError{Violations: violations}
	}
	next.Version = c.Version + 1
	next.EditID = editID
	next.RecentEdits = append(next.RecentEdits, editID)
	if extra := len(next.RecentEdits) - maxRecentEdits; extra > 0 {
		next.RecentEdits = next.RecentEdits[extra:]
	}
	return next, nil
}

// EditVersion returns the version that the edit produced, or false if the edit is
// not in RecentEdits.
func (c *Catalogue) EditVersion(editID string) (uint64, bool) {
	index := slices.Index(c.RecentEdits, editID)
	if index < 0 {
		return 0, false
	}
	later := len(c.RecentEdits) - 1 - index
	return c.Version - uint64(later), true
}

// clone returns a deep copy, except for the salts and verifiers, which are never
// changed in place.
func (c *Catalogue) clone() *Catalogue {
	next := *c
	next.RecentEdits = slices.Clone(c.RecentEdits)
	next.Accounts = slices.Clone(c.Accounts)
	for i := range next.Accounts {
		next.Accounts[i].Keys = slices.Clone(next.Accounts[i].Keys)
	}
	next.Databases = slices.Clone(c.Databases)
	for i := range next.Databases {
		next.Databases[i].Members = slices.Clone(next.Databases[i].Members)
	}
	next.Entries = slices.Clone(c.Entries)
	return &next
}

// missingItem returns the violation that the named item does not exist.
func missingItem(kind string, name any) []Violation {
	return []Violation{{Item: fmt.Sprintf("%s %v", kind, name), Rule: "does not exist"}}
}

func (e PutAccount) apply(c *Catalogue) []Violation {
	account := c.Account(e.Name)
	if account == nil {
		c.Accounts = append(c.Accounts, Account{Name: e.Name})
		account = &c.Accounts[len(c.Accounts)-1]
	}
	account.Weight = e.Weight
	account.Rate = e.Rate
	account.Burst = e.Burst
	return nil
}

func (e RemoveAccount) apply(c *Catalogue) []Violation {
	if c.Account(e.Name) == nil {
		return missingItem("account", e.Name)
	}
	c.Accounts = slices.DeleteFunc(c.Accounts, func(a Account) bool { return a.Name == e.Name })
	return nil
}

func (e PutDatabase) apply(c *Catalogue) []Violation {
	next := e.Database
	next.Members = slices.Clone(e.Members)
	old := c.Database(e.Name)
	if next.State == "" {
		next.State = DatabaseActive
		if old != nil {
			next.State = old.State
		}
	}
	if old != nil {
		*old = next
		return nil
	}
	c.Databases = append(c.Databases, next)
	return nil
}

func (e SetDatabaseState) apply(c *Catalogue) []Violation {
	database := c.Database(e.Name)
	if database == nil {
		return missingItem("database", e.Name)
	}
	database.State = e.State
	return nil
}

func (e RemoveDatabase) apply(c *Catalogue) []Violation {
	database := c.Database(e.Name)
	if database == nil {
		return missingItem("database", e.Name)
	}
	if database.State != DatabaseLeaving {
		return []Violation{{Item: "database " + string(e.Name), Rule: "must be leaving before it is removed"}}
	}
	c.Databases = slices.DeleteFunc(c.Databases, func(d Database) bool { return d.Name == e.Name })
	return nil
}

func (e PutEntry) apply(c *Catalogue) []Violation {
	if old := c.Entry(e.Name); old != nil {
		*old = e.Entry
		return nil
	}
	c.Entries = append(c.Entries, e.Entry)
	return nil
}

func (e RemoveEntry) apply(c *Catalogue) []Violation {
	if c.Entry(e.Name) == nil {
		return missingItem("entry", e.Name)
	}
	c.Entries = slices.DeleteFunc(c.Entries, func(entry Entry) bool { return entry.Name == e.Name })
	return nil
}

func (e AddKey) apply(c *Catalogue) []Violation {
	account := c.Account(e.Account)
	if account == nil {
		return missingItem("account", e.Account)
	}
	if len(account.Salt) == 0 {
		account.Salt = slices.Clone(e.Salt)
		account.Iterations = e.Iterations
	}
	if !bytes.Equal(account.Salt, e.Salt) || account.Iterations != e.Iterations {
		return []Violation{{Item: "key " + string(e.Key.ID), Rule: "must use the salt and iterations of its account"}}
	}
	account.Keys = append(account.Keys, e.Key)
	return nil
}

// findKey returns the key and its account, or the violation that one of them does
// not exist.
func (c *Catalogue) findKey(name core.AccountName, id core.KeyID) (*Account, *Key, []Violation) {
	account := c.Account(name)
	if account == nil {
		return nil, nil, missingItem("account", name)
	}
	key := account.Key(id)
	if key == nil {
		return nil, nil, missingItem("key", id)
	}
	return account, key, nil
}

func (e RevokeKey) apply(c *Catalogue) []Violation {
	_, key, violations := c.findKey(e.Account, e.ID)
	if key != nil {
		key.Revoked = true
	}
	return violations
}

func (e RemoveKey) apply(c *Catalogue) []Violation {
	account, key, violations := c.findKey(e.Account, e.ID)
	if key == nil {
		return violations
	}
	if !key.Revoked {
		return []Violation{{Item: "key " + string(e.ID), Rule: "must be revoked before it is removed"}}
	}
	account.Keys = slices.DeleteFunc(account.Keys, func(k Key) bool { return k.ID == e.ID })
	return nil
}

package catalogue

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// recentEditsKept is the length of RecentEdits. At 710 edits a day it covers
// more than two hours, far beyond the time in which a write is resolved.
const recentEditsKept = 64

// Apply returns the catalogue that follows c when all edits are applied
// together under one identity. It returns a *CheckError with every fault of the
// operations and of the result, and then changes nothing.
func Apply(c *Catalogue, editID string, edits ...Edit) (*Catalogue, error) {
	next := c.clone()
	var faults []Fault
	if editID == "" {
		faults = append(faults, Fault{Item: "edit", Rule: "must have an identity"})
	}
	for _, e := range edits {
		faults = append(faults, e.apply(next)...)
	}
	faults = append(faults, Check(next)...)
	if len(faults) > 0 {
		return nil, &CheckError{Faults: faults}
	}
	next.Version = c.Version + 1
	next.EditID = editID
	next.RecentEdits = append(next.RecentEdits, editID)
	if extra := len(next.RecentEdits) - recentEditsKept; extra > 0 {
		next.RecentEdits = next.RecentEdits[extra:]
	}
	return next, nil
}

// EditVersion returns the version that the edit made, or false if the edit is
// not among the recent ones.
func (c *Catalogue) EditVersion(editID string) (uint64, bool) {
	position := slices.Index(c.RecentEdits, editID)
	if position < 0 {
		return 0, false
	}
	later := len(c.RecentEdits) - 1 - position
	return c.Version - uint64(later), true
}

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

func missing(kind string, name any) []Fault {
	return []Fault{{Item: fmt.Sprintf("%s %v", kind, name), Rule: "does not exist"}}
}

func (e PutAccount) apply(c *Catalogue) []Fault {
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

func (e RemoveAccount) apply(c *Catalogue) []Fault {
	if c.Account(e.Name) == nil {
		return missing("account", e.Name)
	}
	c.Accounts = slices.DeleteFunc(c.Accounts, func(a Account) bool { return a.Name == e.Name })
	return nil
}

func (e PutDatabase) apply(c *Catalogue) []Fault {
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

func (e SetDatabaseState) apply(c *Catalogue) []Fault {
	database := c.Database(e.Name)
	if database == nil {
		return missing("database", e.Name)
	}
	database.State = e.State
	return nil
}

func (e RemoveDatabase) apply(c *Catalogue) []Fault {
	database := c.Database(e.Name)
	if database == nil {
		return missing("database", e.Name)
	}
	if database.State != DatabaseLeaving {
		return []Fault{{Item: "database " + string(e.Name), Rule: "must be leaving before it is removed"}}
	}
	c.Databases = slices.DeleteFunc(c.Databases, func(d Database) bool { return d.Name == e.Name })
	return nil
}

func (e PutEntry) apply(c *Catalogue) []Fault {
	if old := c.Entry(e.Name); old != nil {
		*old = e.Entry
		return nil
	}
	c.Entries = append(c.Entries, e.Entry)
	return nil
}

func (e RemoveEntry) apply(c *Catalogue) []Fault {
	if c.Entry(e.Name) == nil {
		return missing("entry", e.Name)
	}
	c.Entries = slices.DeleteFunc(c.Entries, func(o Entry) bool { return o.Name == e.Name })
	return nil
}

func (e AddKey) apply(c *Catalogue) []Fault {
	account := c.Account(e.Account)
	if account == nil {
		return missing("account", e.Account)
	}
	if len(account.Salt) == 0 {
		account.Salt = slices.Clone(e.Salt)
		account.Iterations = e.Iterations
	}
	if !bytes.Equal(account.Salt, e.Salt) || account.Iterations != e.Iterations {
		return []Fault{{Item: "key " + string(e.Key.ID), Rule: "must use the salt and iterations of its account"}}
	}
	account.Keys = append(account.Keys, e.Key)
	return nil
}

// key returns the key with the faults of not finding it.
func (c *Catalogue) key(name core.AccountName, id core.KeyID) (*Account, *Key, []Fault) {
	account := c.Account(name)
	if account == nil {
		return nil, nil, missing("account", name)
	}
	key := account.Key(id)
	if key == nil {
		return nil, nil, missing("key", id)
	}
	return account, key, nil
}

func (e RevokeKey) apply(c *Catalogue) []Fault {
	_, key, faults := c.key(e.Account, e.ID)
	if key != nil {
		key.Revoked = true
	}
	return faults
}

func (e RemoveKey) apply(c *Catalogue) []Fault {
	account, key, faults := c.key(e.Account, e.ID)
	if key == nil {
		return faults
	}
	if !key.Revoked {
		return []Fault{{Item: "key " + string(e.ID), Rule: "must be revoked before it is removed"}}
	}
	account.Keys = slices.DeleteFunc(account.Keys, func(k Key) bool { return k.ID == e.ID })
	return nil
}

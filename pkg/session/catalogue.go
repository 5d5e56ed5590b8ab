package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session/usage"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/tokens"
)

// entry is a catalogue entry with its resolved references.
type entry struct {
	definition *catalogue.Entry
	account    *account
	db         *database
	deadline   time.Duration
}

// catalogueUpdate applies a newer catalogue. Callers whose key was revoked are
// closed at once, those whose entry was removed or changed at their next clean
// boundary.
func (e *Engine) catalogueUpdate(in CatalogueUpdate) {
	cat := in.Catalogue
	if cat == nil || e.catalogue != nil && cat.Version <= e.catalogue.Version {
		return
	}
	if e.catalogue == nil {
		e.startAdmissionWait()
	}
	newConfiguration := cat.OperatorVersion > e.operatorVersion()
	e.catalogue = cat
	e.configureAccounts(cat)
	e.configureDatabases(cat)
	e.configureEntries(cat)
	for _, c := range e.callers {
		c.applyCatalogue()
	}
	if newConfiguration {
		e.reportConfigurationApplied(in.PublishedAt)
	}
	e.retryPendingAdmissions()
}

// configureAccounts creates, updates and removes the accounts.
func (e *Engine) configureAccounts(cat *catalogue.Catalogue) {
	inCatalogue := map[core.AccountName]bool{}
	for i := range cat.Accounts {
		def := &cat.Accounts[i]
		inCatalogue[def.Name] = true
		a := e.accounts[def.Name]
		if a == nil {
			a = e.newAccount(def.Name)
			e.accounts[def.Name] = a
		}
		a.weight = max(def.Weight, 1)
		a.keys = liveKeys(def)
	}
	for name, a := range e.accounts {
		if !inCatalogue[name] {
			a.keys = nil
			delete(e.accounts, name)
		}
	}
}

// newAccount returns an account with the current share and empty buckets.
func (e *Engine) newAccount(name core.AccountName) *account {
	share := e.shares[name]
	empty := tokens.Bucket{Rate: share.Rate, Burst: share.Burst, RefilledAt: e.now}
	a := &account{
		e:             e,
		name:          name,
		bucket:        empty,
		prepareBucket: empty,
		handover:      usage.NewHandover(e.now),
		metrics:       e.metrics.account(name),
	}
	a.timerItem.Value = a
	return a
}

// liveKeys returns the account's keys that are not revoked.
func liveKeys(def *catalogue.Account) map[core.KeyID]bool {
	keys := map[core.KeyID]bool{}
	for i := range def.Keys {
		if !def.Keys[i].Revoked {
			keys[def.Keys[i].ID] = true
		}
	}
	return keys
}

// configureDatabases creates, updates and removes the databases. A removed
// database stays until a later catalogue finds all its connections closed and none
// of its callers left: if it returns, their transactions go on.
func (e *Engine) configureDatabases(cat *catalogue.Catalogue) {
	inCatalogue := map[core.DatabaseName]bool{}
	for i := range cat.Databases {
		def := &cat.Databases[i]
		inCatalogue[def.Name] = true
		db := e.databases[def.Name]
		if db == nil {
			db = newDatabase(e, def.Name)
			e.databases[def.Name] = db
		}
		db.configure(def)
	}
	for name, db := range e.databases {
		if inCatalogue[name] {
			continue
		}
		db.setLeaving(true)
		if db.connections == 0 && !db.hasCallers() {
			delete(e.databases, name)
		}
	}
}

// hasCallers reports whether a session uses the database. A caller whose statements
// the home runs has no connection to it.
func (db *database) hasCallers() bool {
	for _, c := range db.e.callers {
		if c.db == db {
			return true
		}
	}
	return false
}

// configureEntries replaces the entries. An entry with an unknown account or
// database is left out.
func (e *Engine) configureEntries(cat *catalogue.Catalogue) {
	entries := make(map[core.EntryName]*entry, len(cat.Entries))
	for i := range cat.Entries {
		def := &cat.Entries[i]
		resolved := &entry{
			definition: def,
			account:    e.accounts[def.Account],
			db:         e.databases[def.Database],
			deadline:   def.Deadline(),
		}
		if resolved.deadline <= 0 {
			resolved.deadline = e.cfg.Bounds.Deadline
		}
		shared := def.Account == ""
		if (shared || resolved.account != nil) && resolved.db != nil {
			entries[def.Name] = resolved
		}
	}
	e.entries = entries
}

// withdrawAccess ends the session of a caller that may not use its entry any more; with
// Config.FinishOnRevocation after the answer to the running statement.
func (c *caller) withdrawAccess(reason *core.Refusal) {
	if c.e.cfg.FinishOnRevocation && c.stmt.active {
		c.endReason = reason
		return
	}
	c.endNow(reason)
}

// applyCatalogue applies a new catalogue to a connected caller. The session of a caller
// whose access was withdrawn by an earlier one and is restored by this one goes on; an
// account that was removed and is back has new state.
func (c *caller) applyCatalogue() {
	if a := c.e.accounts[c.account.name]; a != nil {
		c.account = a
	}
	if c.key != "" && !c.account.hasKey(c.key) {
		c.withdrawAccess(core.NotRun(core.ReasonKeyRevoked, "the key is revoked"))
		return
	}
	current := c.e.entries[c.entry.definition.Name]
	sameAccount := current != nil && (current.account == nil || current.account == c.account)
	if !sameAccount || current.db != c.db && !c.moveDeferredBegin(current) {
		c.endWhenIdle(core.NotRun(core.ReasonDatabaseLeaving, "the entry was changed, please reconnect"))
		return
	}
	if !current.definition.Open && c.key == "" {
		c.withdrawAccess(core.NotRun(core.ReasonWrongKey, "the entry now needs a key"))
		return
	}
	c.entry = current
	c.endReason = nil
}

// moveDeferredBegin moves a transaction that no member has begun yet to the database of the
// changed entry, and reports whether it did. The session's floor is a position of the old
// database.
func (c *caller) moveDeferredBegin(current *entry) bool {
	if c.deferredBegin == nil || c.stmt.active {
		return false
	}
	c.db = current.db
	c.requiredRound = c.db.requestedRound + 1
	c.floor, c.floorKnown = core.Position{}, false
	return true
}

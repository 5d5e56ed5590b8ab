package store

import (
	"maps"
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Rows holds the rows of the table and the committed write identities at one log
// position.
type Rows struct {
	values     map[string]string
	identities map[string]bool
}

// NewRows returns an empty table.
func NewRows() Rows {
	return Rows{values: map[string]string{}, identities: map[string]bool{}}
}

func (r *Rows) apply(e Entry) {
	for _, c := range e.Changes {
		r.set(c)
	}
	for _, id := range e.Identities {
		r.identities[id] = true
	}
}

func (r *Rows) set(c Change) {
	if c.Delete {
		delete(r.values, c.ID)
		return
	}
	r.values[c.ID] = c.Value
}

// Get returns the value of an applied row and whether the row exists.
func (s *Store) Get(id string) (string, bool) {
	value, ok := s.rows.values[id]
	return value, ok
}

// IDs returns the sorted keys of all rows.
func (s *Store) IDs() []string {
	return slices.Sorted(maps.Keys(s.rows.values))
}

// Count returns the number of rows.
func (s *Store) Count() int {
	return len(s.rows.values)
}

// IdentityCommitted reports whether an applied transaction had the write identity.
func (s *Store) IdentityCommitted(identity string) bool {
	return s.rows.identities[identity]
}

// applyThrough applies the received entries that end at or before lsn.
func (s *Store) applyThrough(lsn core.LSN) {
	from, to := s.log.indexAfter(s.applied), s.log.indexAfter(lsn)
	for _, e := range s.log.entries[from:max(from, to)] {
		s.rows.apply(e)
		s.applied = e.LSN
	}
}

// revertRows rebuilds the rows if applied entries have been truncated.
func (s *Store) revertRows() {
	end := s.log.End()
	s.unapplied = slices.DeleteFunc(s.unapplied, func(t timedEntry) bool { return t.entry.LSN > end })
	if s.applied <= end {
		return
	}
	s.rows = NewRows()
	s.applied = 0
	s.applyThrough(end)
}

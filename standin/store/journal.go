package store

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// JournalRecord is one durable change of a Store. Exactly one field is set.
type JournalRecord struct {
	Entry *Entry `json:"entry,omitempty"`
	// Retained is the number of entries left by a truncation.
	Retained *int          `json:"keep,omitempty"`
	State    *JournalState `json:"state,omitempty"`
}

// JournalState is the durable state of a member other than its log entries.
type JournalState struct {
	Role    core.Role        `json:"role"`
	Term    core.Term        `json:"term"`
	Primary string           `json:"primary,omitempty"`
	Terms   core.TermHistory `json:"terms"`
}

// Restore returns the state of a member that restarts with the records of its
// journal; all restored entries are applied. Records take precedence over role,
// term and primary of the configuration. Without records, Restore journals the
// state that New returns. It returns the error of New.
func Restore(config Config, records []JournalRecord, now time.Time) (*Store, error) {
	journal := config.Journal
	config.Journal = nil
	s, err := New(config, now)
	if err != nil {
		return nil, err
	}
	if len(records) > 0 {
		s.log, s.applied = Log{}, 0
	}
	for _, r := range records {
		s.replayRecord(r)
	}
	s.applyThrough(s.log.End())
	s.config.Journal = journal
	if len(records) == 0 {
		s.journalLog()
		s.journalState()
	}
	return s, nil
}

func (s *Store) replayRecord(r JournalRecord) {
	switch {
	case r.Entry != nil:
		s.log.Append(*r.Entry)
	case r.Retained != nil:
		s.log.entries = s.log.entries[:*r.Retained]
	case r.State != nil:
		s.state = s.table.StateID(string(r.State.Role))
		s.term = r.State.Term
		s.primary = r.State.Primary
		s.log.terms = r.State.Terms
	}
}

// appendJournal passes a record to the configured journal.
func (s *Store) appendJournal(r JournalRecord) {
	if s.config.Journal != nil {
		s.config.Journal(r)
	}
}

// journalLog journals all entries; it writes the first entry of an initial
// primary.
func (s *Store) journalLog() {
	for i := range s.log.entries {
		s.appendJournal(JournalRecord{Entry: &s.log.entries[i]})
	}
}

func (s *Store) journalState() {
	s.appendJournal(JournalRecord{State: &JournalState{
		Role:    s.Role(),
		Term:    s.term,
		Primary: s.primary,
		Terms:   s.log.Terms(),
	}})
}

// appendEntry adds an entry to the log and the journal.
func (s *Store) appendEntry(e Entry) {
	s.log.Append(e)
	s.appendJournal(JournalRecord{Entry: &e})
}

// handleTruncation journals a truncation of the log and reverts the rows.
func (s *Store) handleTruncation() {
	keep := len(s.log.entries)
	s.appendJournal(JournalRecord{Retained: &keep})
	s.revertRows()
}

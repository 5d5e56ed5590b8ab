package store

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// maxPullEntries limits the entries in one Batch.
const maxPullEntries = 500

// timedEntry is an entry that is received or applied at dueAt.
type timedEntry struct {
	entry Entry
	dueAt time.Time
}

// Pull is a replica's request for log entries.
type Pull struct {
	Member core.MemberID `json:"member"`
	// Term is the term that the replica follows.
	Term core.Term `json:"term"`
	// After is the end of the replica's log, including entries that are still
	// delayed, and AfterTerm the term of its last entry.
	After     core.LSN  `json:"after"`
	AfterTerm core.Term `json:"after_term"`
}

// Batch is the response to a Pull.
type Batch struct {
	Term core.Term `json:"term"`
	// Diverged requests that the replica drop its entries beyond Truncate and
	// those of terms newer than TruncateTerm.
	Diverged     bool             `json:"diverged,omitempty"`
	Truncate     core.LSN         `json:"truncate,omitempty"`
	TruncateTerm core.Term        `json:"truncate_term,omitempty"`
	Entries      []Entry          `json:"entries,omitempty"`
	Terms        core.TermHistory `json:"terms,omitempty"`
}

// Commit appends a transaction to the log of a primary and returns its
// position. It returns a *RoleError when the member is not the primary.
func (s *Store) Commit(changes []Change, identities []string) (core.Position, error) {
	if !s.Writable() {
		return core.Position{}, &RoleError{Role: s.Role(), Command: "commit"}
	}
	e := Entry{Term: s.term, Changes: changes, Identities: identities}
	e.LSN = s.log.End() + entrySize(changes, identities)
	s.appendEntry(e)
	s.applyThrough(e.LSN)
	return core.Position{Term: e.Term, LSN: e.LSN}, nil
}

// ServePull returns the entries after the end of the replica's log. ready is false
// when there is nothing to send before the next heartbeat. It returns a
// *TermError when the request is of a lower term, and a *RoleError when the
// member is not the primary of the requested term.
func (s *Store) ServePull(p Pull) (batch Batch, ready bool, err error) {
	if p.Term < s.term {
		return Batch{}, false, &TermError{Accepted: s.term}
	}
	if p.Term > s.term || !s.Writable() {
		return Batch{}, false, &RoleError{Role: s.Role(), Command: "replicate"}
	}
	batch.Term = s.term
	batch.Terms = s.log.Terms()
	if term, end := s.log.commonEnd(p.AfterTerm); p.After > 0 && (p.After > end || p.AfterTerm != term) {
		batch.Diverged = true
		batch.Truncate, batch.TruncateTerm = end, term
		return batch, true, nil
	}
	from := s.log.indexAfter(p.After)
	to := min(from+maxPullEntries, len(s.log.entries))
	batch.Entries = s.log.entries[from:to:to]
	return batch, from < to, nil
}

// NextPull returns the request for the entries that the replica lacks.
func (s *Store) NextPull() Pull {
	p := Pull{Member: s.config.Member, Term: s.term, After: s.log.End(), AfterTerm: s.log.LastTerm()}
	if n := len(s.incoming); n > 0 {
		p.After = s.incoming[n-1].entry.LSN
		p.AfterTerm = s.incoming[n-1].entry.Term
	}
	return p
}

// Receive handles the response to the pull p at time now. It ignores a response
// that is of another term or that does not match the current end of the log.
func (s *Store) Receive(p Pull, b Batch, now time.Time) {
	if b.Term != s.term || s.Role() != core.RoleReplica || p != s.NextPull() {
		return
	}
	s.lastContact = now
	if b.Diverged {
		s.incoming = nil
		s.log.truncate(b.TruncateTerm, b.Truncate)
		s.handleTruncation()
		return
	}
	s.logVerified = true
	s.adoptTerms(b.Terms)
	for _, e := range b.Entries {
		s.incoming = append(s.incoming, timedEntry{entry: e, dueAt: now.Add(s.config.ReceiveDelay)})
	}
}

// adoptTerms replaces the history of terms by that of the primary.
func (s *Store) adoptTerms(terms core.TermHistory) {
	if slices.Equal(s.log.terms, terms) {
		return
	}
	s.log.terms = terms
	s.journalState()
}

// SetApplyLag sets the apply lag of entries that are received from now on.
func (s *Store) SetApplyLag(lag time.Duration) {
	s.applyLag = lag
}

// Advance receives and applies the entries whose delay has passed. It reports
// whether the received or the applied position changed.
func (s *Store) Advance(now time.Time) bool {
	received, applied := s.log.End(), s.applied
	for len(s.incoming) > 0 && !s.incoming[0].dueAt.After(now) {
		t := s.incoming[0]
		s.incoming = s.incoming[1:]
		s.appendEntry(t.entry)
		s.unapplied = append(s.unapplied, timedEntry{entry: t.entry, dueAt: t.dueAt.Add(s.applyLag)})
	}
	for len(s.unapplied) > 0 && !s.unapplied[0].dueAt.After(now) {
		s.applyThrough(s.unapplied[0].entry.LSN)
		s.unapplied = s.unapplied[1:]
	}
	return received != s.log.End() || applied != s.applied
}

// NextAdvance returns the time at which Advance is due. The result is false when
// no entry is delayed.
func (s *Store) NextAdvance() (time.Time, bool) {
	var next time.Time
	if len(s.incoming) > 0 {
		next = s.incoming[0].dueAt
	}
	if len(s.unapplied) > 0 && (next.IsZero() || s.unapplied[0].dueAt.Before(next)) {
		next = s.unapplied[0].dueAt
	}
	return next, !next.IsZero()
}

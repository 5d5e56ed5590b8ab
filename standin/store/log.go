package store

import (
	"slices"
	"sort"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// entryOverhead is the size of an entry in bytes without its texts. It makes every
// entry advance the log position.
const entryOverhead = 16

// Change sets or deletes one row.
type Change struct {
	ID     string `json:"id"`
	Value  string `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Entry is one committed transaction in the log. LSN is the log position at the
// end of the entry.
type Entry struct {
	Term       core.Term `json:"term"`
	LSN        core.LSN  `json:"lsn"`
	Changes    []Change  `json:"changes"`
	Identities []string  `json:"identities,omitempty"`
}

// entrySize returns the length of an entry in the log, in bytes.
func entrySize(changes []Change, identities []string) core.LSN {
	size := entryOverhead
	for _, c := range changes {
		size += len(c.ID) + len(c.Value)
	}
	for _, id := range identities {
		size += len(id)
	}
	return core.LSN(size)
}

// Log holds the committed transactions and the history of terms.
type Log struct {
	entries []Entry
	terms   core.TermHistory
}

// End returns the log position at the end of the last entry.
func (l *Log) End() core.LSN {
	if len(l.entries) == 0 {
		return 0
	}
	return l.entries[len(l.entries)-1].LSN
}

// LastTerm returns the term of the last entry, or 0 for an empty log.
func (l *Log) LastTerm() core.Term {
	return l.termAt(l.End())
}

// termAt returns the term of the last entry that ends at or before lsn, or 0 if
// there is none.
func (l *Log) termAt(lsn core.LSN) core.Term {
	i := l.indexAfter(lsn)
	if i == 0 {
		return 0
	}
	return l.entries[i-1].Term
}

// indexAfter returns the index of the first entry that ends beyond lsn.
func (l *Log) indexAfter(lsn core.LSN) int {
	return sort.Search(len(l.entries), func(i int) bool { return l.entries[i].LSN > lsn })
}

// Terms returns a copy of the history of terms.
func (l *Log) Terms() core.TermHistory {
	return append(core.TermHistory(nil), l.terms...)
}

// BeginTerm records that term begins at the end of the log. It drops terms that
// began beyond the end, because the log has no entries of them.
func (l *Log) BeginTerm(term core.Term) {
	end := l.End()
	l.terms = slices.DeleteFunc(l.Terms(), func(t core.TermStart) bool { return t.Start > end })
	l.terms = append(l.terms, core.TermStart{Term: term, Start: end})
}

// Append adds an entry at the end of the log.
func (l *Log) Append(e Entry) {
	l.entries = append(l.entries, e)
}

// commonEnd returns the newest term of this log that is not newer than term,
// and the log position at which it ends. A log whose last entry is of term can
// match this log at most up to that position. Comparing positions alone does not
// suffice: two primaries without contact can both have logged the same positions.
func (l *Log) commonEnd(term core.Term) (core.Term, core.LSN) {
	common := core.Term(0)
	for _, t := range l.terms {
		if t.Term > term {
			return common, t.Start
		}
		common = t.Term
	}
	return common, l.End()
}

// truncate drops entries that end beyond end or are of a newer term than term.
func (l *Log) truncate(term core.Term, end core.LSN) {
	l.entries = l.entries[:l.indexAfter(end)]
	for len(l.entries) > 0 && l.LastTerm() > term {
		l.entries = l.entries[:len(l.entries)-1]
	}
}

// truncateOlderTerms drops the entries beyond start if the first of them is of a
// term older than term.
func (l *Log) truncateOlderTerms(term core.Term, start core.LSN) {
	i := l.indexAfter(start)
	if i < len(l.entries) && l.entries[i].Term < term {
		l.entries = l.entries[:i]
	}
}

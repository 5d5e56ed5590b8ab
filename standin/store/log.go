package store

import (
	"slices"
	"sort"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// entryOverhead is the size in bytes of an entry apart from its texts; it
// makes every entry advance the log position.
const entryOverhead = 16

// Change sets or deletes one row.
type Change struct {
	ID     string `json:"id"`
	Value  string `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Entry is one committed transaction. LSN is the end of the entry.
type Entry struct {
	Term       core.Term `json:"term"`
	LSN        core.LSN  `json:"lsn"`
	Changes    []Change  `json:"changes"`
	Identities []string  `json:"identities,omitempty"`
}

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

// Log is the list of committed transactions and the history of terms.
type Log struct {
	entries []Entry
	terms   core.TermHistory
}

// End returns the end of the last entry.
func (l *Log) End() core.LSN {
	if len(l.entries) == 0 {
		return 0
	}
	return l.entries[len(l.entries)-1].LSN
}

// LastTerm returns the term of the last entry, 0 for an empty log.
func (l *Log) LastTerm() core.Term {
	return l.termAt(l.End())
}

// termAt returns the term of the entry that ends at lsn.
func (l *Log) termAt(lsn core.LSN) core.Term {
	i := l.indexAfter(lsn)
	if i == 0 {
		return 0
	}
	return l.entries[i-1].Term
}

// after returns the index of the first entry that ends beyond lsn.
func (l *Log) indexAfter(lsn core.LSN) int {
	return sort.Search(len(l.entries), func(i int) bool { return l.entries[i].LSN > lsn })
}

// Terms returns a copy of the history of terms.
func (l *Log) Terms() core.TermHistory {
	return append(core.TermHistory(nil), l.terms...)
}

// BeginTerm records that term begins at the end of the log. Terms that began
// beyond the end are unknown to this log and are dropped.
func (l *Log) BeginTerm(term core.Term) {
	end := l.End()
	l.terms = slices.DeleteFunc(l.Terms(), func(t core.TermStart) bool { return t.Start > end })
	l.terms = append(l.terms, core.TermStart{Term: term, Start: end})
}

// Append adds an entry.
func (l *Log) Append(e Entry) {
	l.entries = append(l.entries, e)
}

// agreement returns the newest term of this log that is not newer than term,
// and where that term ends. A log whose last entry is of term agrees with this
// one at most up to there. Comparing positions alone does not suffice: two
// primaries that never met can both have logged the same positions.
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

// truncate drops entries beyond end and entries newer than term.
func (l *Log) truncate(term core.Term, end core.LSN) {
	l.entries = l.entries[:l.indexAfter(end)]
	for len(l.entries) > 0 && l.LastTerm() > term {
		l.entries = l.entries[:len(l.entries)-1]
	}
}

// truncateOlder drops entries beyond start that are older than term.
func (l *Log) truncateOlderTerms(term core.Term, start core.LSN) {
	i := l.indexAfter(start)
	if i < len(l.entries) && l.entries[i].Term < term {
		l.entries = l.entries[:i]
	}
}

// Package core contains the domain types that all decision packages share. It
// imports no codec, no platform client and no settings.
package core

import (
	"fmt"
	"strconv"
	"strings"
)

// Term numbers the changes of a group's primary; it increases by one with each
// change.
type Term uint64

// LSN is a log sequence number in bytes from the beginning of the log. It
// continues to grow across terms.
type LSN uint64

// Position is a point in a group's log.
type Position struct {
	Term Term
	LSN  LSN
}

// IsZero reports whether p is the unset position.
func (p Position) IsZero() bool {
	return p == Position{}
}

// After reports whether p has a later term than o, or the same term and a greater
// LSN.
func (p Position) After(o Position) bool {
	if p.Term != o.Term {
		return p.Term > o.Term
	}
	return p.LSN > o.LSN
}

// String returns the position as "term/lsn" in decimal.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.LSN)
}

// PositionError reports a text that is not a position.
type PositionError struct {
	Text string
}

func (e *PositionError) Error() string {
	return "invalid log position " + strconv.Quote(e.Text)
}

// ParsePosition parses "term/lsn" in decimal. It returns a *PositionError for
// any other text.
func ParsePosition(text string) (Position, error) {
	term, lsn, found := strings.Cut(text, "/")
	if !found {
		return Position{}, &PositionError{Text: text}
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, &PositionError{Text: text}
	}
	l, err := strconv.ParseUint(lsn, 10, 64)
	if err != nil {
		return Position{}, &PositionError{Text: text}
	}
	return Position{Term: Term(t), LSN: LSN(l)}, nil
}

// TermStart is the log position at which a term began.
type TermStart struct {
	Term  Term
	Start LSN
}

// TermHistory lists the terms that a member knows, oldest first.
type TermHistory []TermStart

// Covers reports whether a member contains every write up to floor. The member's
// log is of the given term and applied up to the given LSN.
//
// A floor of an older term counts only up to the start of the next term, because
// what the old primary logged beyond that point was discarded. Covers reports
// false if h does not contain that start.
func (h TermHistory) Covers(term Term, applied LSN, floor Position) bool {
	if floor.IsZero() {
		return true
	}
	if term < floor.Term {
		return false
	}
	if term == floor.Term {
		return applied >= floor.LSN
	}
	required := floor.LSN
	known := false
	for _, s := range h {
		if s.Term > floor.Term {
			required = min(required, s.Start)
			known = true
			break
		}
	}
	if !known {
		return false
	}
	return applied >= required
}

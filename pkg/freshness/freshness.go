// Package freshness determines the log position that a member must have applied so
// that a read on it is no older than the caller accepts.
//
// The primary's position is observed at certain times. A commit that was
// acknowledged before the primary was asked for its position is contained in the
// position that it reported. A member that has applied this position can therefore
// serve every read that accepts data as old as that request.
package freshness

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

const (
	// minInterval is the minimum time between two recorded observations. It limits
	// how much newer than necessary the returned position is.
	minInterval = 25 * time.Millisecond
	// retention is how long observations are kept. No entry accepts older data.
	retention = 30 * time.Second
)

// Log is the history of the observed positions of one group's primary. The zero
// value is an empty history.
type Log struct {
	observations []observation
}

// observation is a position that the primary reported.
type observation struct {
	sentAt   time.Time
	position core.Position
}

// Observe records the position that the primary reported in response to a request
// sent at sentAt. An observation of an older term than the latest is ignored. One
// of a newer term replaces the history, because positions of the older term may
// have been rolled back.
func (l *Log) Observe(sentAt time.Time, position core.Position) {
	if n := len(l.observations); n > 0 {
		newest := l.observations[n-1]
		switch {
		case position.Term < newest.position.Term:
			return
		case position.Term > newest.position.Term:
			l.observations = l.observations[:0]
		case sentAt.Before(newest.sentAt.Add(minInterval)):
			return
		}
	}
	l.dropBefore(sentAt.Add(-retention))
	l.observations = append(l.observations, observation{sentAt: sentAt, position: position})
}

// dropBefore removes the observations made before the cutoff.
func (l *Log) dropBefore(cutoff time.Time) {
	n := 0
	for n < len(l.observations) && l.observations[n].sentAt.Before(cutoff) {
		n++
	}
	l.observations = append(l.observations[:0], l.observations[n:]...)
}

// Needed returns the lowest known position that contains every commit acknowledged
// before the given time, and false if none is known.
func (l *Log) Needed(since time.Time) (core.Position, bool) {
	for i := range l.observations {
		if !l.observations[i].sentAt.Before(since) {
			return l.observations[i].position, true
		}
	}
	return core.Position{}, false
}

// Newest returns the latest observation: when the request was sent and the position
// that the primary reported. It returns false if there is none.
func (l *Log) Newest() (sentAt time.Time, position core.Position, known bool) {
	if len(l.observations) == 0 {
		return time.Time{}, core.Position{}, false
	}
	newest := l.observations[len(l.observations)-1]
	return newest.sentAt, newest.position, true
}

// Advance removes the observations of terms before the given one.
func (l *Log) Advance(term core.Term) {
	if n := len(l.observations); n > 0 && l.observations[n-1].position.Term < term {
		l.observations = l.observations[:0]
	}
}

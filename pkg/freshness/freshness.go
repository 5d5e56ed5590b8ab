// Package freshness answers which log position a member must have applied so
// that a read on it is no older than the caller accepts.
//
// The primary's position is known at the times at which it was asked. A commit
// that was acknowledged before the primary was asked is within the position
// that it reported, so a member that has this position serves every read that
// accepts data as old as that question.
package freshness

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

const (
	// spacing is the least time between two kept observations; it bounds how
	// much newer than necessary the returned position is.
	spacing = 25 * time.Millisecond
	// horizon is how long observations are kept; no entry accepts older data.
	horizon = 30 * time.Second
)

// Log is the history of one group's primary. The zero value is empty.
type Log struct {
	points []point
}

type point struct {
	asked time.Time
	end   core.Position
}

// Observe records that the primary, asked at the given time, reported end. An
// observation of an older term than the newest is dropped, and one of a newer
// term replaces the history: positions of the older term may have been rolled
// back.
func (l *Log) Observe(asked time.Time, end core.Position) {
	if n := len(l.points); n > 0 {
		newest := l.points[n-1]
		switch {
		case end.Term < newest.end.Term:
			return
		case end.Term > newest.end.Term:
			l.points = l.points[:0]
		case asked.Before(newest.asked.Add(spacing)):
			return
		}
	}
	l.forget(asked.Add(-horizon))
	l.points = append(l.points, point{asked: asked, end: end})
}

func (l *Log) forget(before time.Time) {
	n := 0
	for n < len(l.points) && l.points[n].asked.Before(before) {
		n++
	}
	l.points = append(l.points[:0], l.points[n:]...)
}

// Needed returns the lowest known position that holds every commit
// acknowledged before the given time, and false if none is known.
func (l *Log) Needed(since time.Time) (core.Position, bool) {
	for i := range l.points {
		if !l.points[i].asked.Before(since) {
			return l.points[i].end, true
		}
	}
	return core.Position{}, false
}

// Newest returns when the primary was last asked and what it reported, and
// false if it never was.
func (l *Log) Newest() (asked time.Time, end core.Position, known bool) {
	if len(l.points) == 0 {
		return time.Time{}, core.Position{}, false
	}
	newest := l.points[len(l.points)-1]
	return newest.asked, newest.end, true
}

// Advance drops what is known of terms before the given one.
func (l *Log) Advance(term core.Term) {
	if n := len(l.points); n > 0 && l.points[n-1].end.Term < term {
		l.points = l.points[:0]
	}
}

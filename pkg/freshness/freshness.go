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

// History holds the observed positions of one group's primary. The zero
// value is an empty history.
type History struct {
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
func (h *History) Observe(sentAt time.Time, position core.Position) {
	if n := len(h.observations); n > 0 {
		latest := h.observations[n-1]
		switch {
		case position.Term < latest.position.Term:
			return
		case position.Term > latest.position.Term:
			h.observations = h.observations[:0]
		case sentAt.Before(latest.sentAt.Add(minInterval)):
			return
		}
	}
	h.dropBefore(sentAt.Add(-retention))
	h.observations = append(h.observations, observation{sentAt: sentAt, position: position})
}

// dropBefore removes the observations made before the cutoff.
func (h *History) dropBefore(cutoff time.Time) {
	n := 0
	for n < len(h.observations) && h.observations[n].sentAt.Before(cutoff) {
		n++
	}
	h.observations = append(h.observations[:0], h.observations[n:]...)
}

// Required returns the lowest known position that contains every commit acknowledged
// before the given time, and false if none is known.
func (h *History) Required(since time.Time) (core.Position, bool) {
	for i := range h.observations {
		if !h.observations[i].sentAt.Before(since) {
			return h.observations[i].position, true
		}
	}
	return core.Position{}, false
}

// Latest returns the latest observation: when the request was sent and the position
// that the primary reported. It returns false if there is none.
func (h *History) Latest() (sentAt time.Time, position core.Position, known bool) {
	if len(h.observations) == 0 {
		return time.Time{}, core.Position{}, false
	}
	latest := h.observations[len(h.observations)-1]
	return latest.sentAt, latest.position, true
}

// Advance removes the observations of terms before the given one.
func (h *History) Advance(term core.Term) {
	if n := len(h.observations); n > 0 && h.observations[n-1].position.Term < term {
		h.observations = h.observations[:0]
	}
}

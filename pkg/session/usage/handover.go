package usage

import "time"

// A change of an account's home takes tokens that nothing has earned: the instances that
// lost the home use a part of their usage in advance, for the requests that waited for
// it, and so does the new home. The tolerance of the rate window has room for one change.
// If another one follows within the window, its tokens have to be earned.

// Handover tracks the changes of one account's home as this instance sees them.
type Handover struct {
	// followedSince is when this instance began to follow the account's home. Earlier
	// changes are not known.
	followedSince time.Time
	// beganAt is when the last change began, zero if none is known. granted is set while
	// tokens may be taken in advance in this change, homeTokensTaken once the new home
	// has taken them.
	beganAt         time.Time
	granted         bool
	homeTokensTaken bool
}

// NewHandover returns the state of an account whose home this instance follows from now
// on.
func NewHandover(now time.Time) Handover { return Handover{followedSince: now} }

// Granted reports whether tokens may be taken in advance in the current change.
func (h *Handover) Granted() bool { return h.granted }

// IsRecent reports whether a change began within the rate window.
func (h *Handover) IsRecent(now time.Time, window time.Duration) bool {
	return !h.beganAt.IsZero() && now.Sub(h.beganAt) < window
}

// Begin records that a change begins. Tokens may be taken in advance if the window
// contains no other change.
func (h *Handover) Begin(now time.Time, window time.Duration) {
	h.granted = !h.IsRecent(now, window) && now.Sub(h.followedSince) >= window
	h.homeTokensTaken = false
	h.beganAt = now
}

// TakeHomeTokens reports whether this instance, which has become the home, may take
// tokens in advance. It may do so once in a change.
func (h *Handover) TakeHomeTokens(now time.Time, window time.Duration) bool {
	allowed := h.granted && !h.homeTokensTaken && h.IsRecent(now, window)
	h.homeTokensTaken = h.homeTokensTaken || allowed
	return allowed
}

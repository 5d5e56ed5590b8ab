package session

import "time"

// A change of an account's home takes tokens that nothing has earned: the instances that
// lost the home use a part of their usage in advance, for the requests that waited for
// it, and so does the new home. The tolerance of the rate window has room for one change.
// If another one follows within the window, its tokens have to be earned.

// handover tracks the changes of one account's home as this instance sees them.
type handover struct {
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

// isRecent reports whether a change began within the rate window.
func (h *handover) isRecent(now time.Time, window time.Duration) bool {
	return !h.beganAt.IsZero() && now.Sub(h.beganAt) < window
}

// begin records that a change begins. Tokens may be taken in advance if the window
// contains no other change.
func (h *handover) begin(now time.Time, window time.Duration) {
	h.granted = !h.isRecent(now, window) && now.Sub(h.followedSince) >= window
	h.homeTokensTaken = false
	h.beganAt = now
}

// takeHomeTokens reports whether this instance, which has become the home, may take
// tokens in advance. It may do so once in a change.
func (h *handover) takeHomeTokens(now time.Time, window time.Duration) bool {
	allowed := h.granted && !h.homeTokensTaken && h.isRecent(now, window)
	h.homeTokensTaken = h.homeTokensTaken || allowed
	return allowed
}

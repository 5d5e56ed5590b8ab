// Package tokens implements the token bucket from which an instance admits the
// requests of a client account, within its share of the account's rate.
package tokens

import "time"

// Bucket is a token bucket. It starts empty and a larger share adds no tokens,
// so that capacity which moves between instances is never used twice: the
// tokens of all instances together never exceed the account's burst, and they
// grow no faster than its rate.
type Bucket struct {
	// Rate is in tokens per second, Burst and Tokens are in tokens.
	Rate   float64
	Burst  float64
	Tokens float64
	// RefilledAt is the time up to which tokens were added.
	RefilledAt time.Time
	// ValidUntil is the time after which no token may be taken; zero for no limit.
	// The end of the share as a whole is passed to the methods.
	ValidUntil time.Time
}

// PrepareShareChange refills the bucket before its share changes. The old share
// ends, or ended, at until. If regranted is set, the share belongs to a new
// claim of the slot and the bucket is emptied.
func (b *Bucket) PrepareShareChange(regranted bool, now, until time.Time) {
	b.Refill(now, until)
	b.RefilledAt = now
	if regranted {
		b.Tokens = 0
	}
}

// Limit sets the rate and the burst, and drops tokens above the burst.
func (b *Bucket) Limit(rate, burst float64) {
	b.Rate = rate
	b.Burst = burst
	b.Tokens = min(b.Tokens, burst)
}

// Refill adds the tokens earned up to now, but none for the time after until.
func (b *Bucket) Refill(now, until time.Time) {
	if now.After(until) {
		now = until
	}
	elapsed := now.Sub(b.RefilledAt)
	if elapsed <= 0 {
		return
	}
	b.RefilledAt = now
	b.Tokens = min(b.Tokens+elapsed.Seconds()*b.Rate, b.Burst)
}

// Take removes one token. It returns false if there is none or if the share has
// ended.
func (b *Bucket) Take(now, until time.Time) bool {
	if now.After(until) || !b.ValidUntil.IsZero() && now.After(b.ValidUntil) {
		return false
	}
	b.Refill(now, until)
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// Wait returns the time until a token is available, and false if none will be.
func (b *Bucket) Wait() (time.Duration, bool) {
	if b.Rate <= 0 || b.Burst < 1 {
		return 0, false
	}
	missing := max(1-b.Tokens, 0)
	return time.Duration(missing/b.Rate*float64(time.Second)) + time.Microsecond, true
}

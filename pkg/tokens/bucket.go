// Package tokens holds the token bucket in which an instance spends its share of
// a client account's rate.
package tokens

import "time"

// Bucket is a token bucket. It starts empty and a larger share adds nothing to
// it, so that capacity moved between instances is never spent twice: the tokens
// of all instances together never exceed the account's burst, and they grow by
// no more than its rate.
type Bucket struct {
	// Rate is in tokens a second, Burst and Tokens in tokens.
	Rate   float64
	Burst  float64
	Tokens float64
	// At is the time up to which the rate has been added.
	At time.Time
	// Until is the time after which nothing may be spent; zero for none. The end
	// of the share as a whole is given to the methods.
	Until time.Time
}

// Settle refills the bucket before a change of its share, which ends or ended at
// the given time; another grant empties it.
func (b *Bucket) Settle(regranted bool, now, until time.Time) {
	b.Refill(now, until)
	b.At = now
	if regranted {
		b.Tokens = 0
	}
}

// Limit puts a rate and a burst in force.
func (b *Bucket) Limit(rate, burst float64) {
	b.Rate = rate
	b.Burst = burst
	b.Tokens = min(b.Tokens, burst)
}

// Refill adds what the rate gives up to now, but nothing for the time after the
// share may no longer be spent.
func (b *Bucket) Refill(now, until time.Time) {
	if now.After(until) {
		now = until
	}
	elapsed := now.Sub(b.At)
	if elapsed <= 0 {
		return
	}
	b.At = now
	b.Tokens = min(b.Tokens+elapsed.Seconds()*b.Rate, b.Burst)
}

// Take removes one token and reports whether there was one that may be spent.
func (b *Bucket) Take(now, until time.Time) bool {
	if now.After(until) || !b.Until.IsZero() && now.After(b.Until) {
		return false
	}
	b.Refill(now, until)
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// Wait returns how long a token takes, and false if none will come.
func (b *Bucket) Wait() (time.Duration, bool) {
	if b.Rate <= 0 || b.Burst < 1 {
		return 0, false
	}
	missing := max(1-b.Tokens, 0)
	return time.Duration(missing/b.Rate*float64(time.Second)) + time.Microsecond, true
}

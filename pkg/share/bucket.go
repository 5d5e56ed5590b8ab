package share

import "time"

// Bucket is the token bucket in which a holder spends one account's share. It
// starts empty, and a share that grows or moves brings no tokens: the tokens of
// all buckets together never exceed the account's burst, and they grow by no
// more than its rate.
type Bucket struct {
	share Rate
	grant uint64
	until time.Time
	// tokens is in statements.
	tokens float64
	at     time.Time
}

// Set changes the share from now on. Another grant, or a share that ran out
// before now, leaves the bucket empty.
func (b *Bucket) Set(share Rate, grant uint64, until, now time.Time) {
	b.advance(now)
	if grant != b.grant || now.After(b.until) {
		b.tokens = 0
	}
	b.share = share
	b.grant = grant
	b.until = until
	b.tokens = min(b.tokens, share.Burst.Float())
	b.at = now
}

// Take removes one token and reports whether there was one.
func (b *Bucket) Take(now time.Time) bool {
	if !now.Before(b.until) {
		return false
	}
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Bucket) advance(now time.Time) {
	passed := now.Sub(b.at)
	if passed <= 0 {
		return
	}
	grown := b.tokens + b.share.Rate.Float()*passed.Seconds()
	b.tokens = min(grown, b.share.Burst.Float())
	b.at = now
}

package kvservice

import "time"

// Default rates of the platform in calls per second.
const (
	DefaultWriteRate = 300
	DefaultReadRate  = 2000
)

// callClass is the rate limit that a call counts towards.
type callClass uint8

const (
	uncounted callClass = iota
	readCall
	writeCall
)

// tokenBucket is a rate limiter. It holds the tokens of at most one second, but at
// least one token.
type tokenBucket struct {
	rate       float64
	size       float64
	tokens     float64
	refilledAt time.Time
}

func newTokenBucket(rate float64, now time.Time) *tokenBucket {
	size := max(rate, 1)
	return &tokenBucket{rate: rate, size: size, tokens: size, refilledAt: now}
}

// allow takes a token and reports whether there was one.
func (b *tokenBucket) allow(now time.Time) bool {
	b.tokens = min(b.size, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Faults are the failures that a test requests with POST /fault.
type Faults struct {
	// OutageMS is the time from now on during which every call is dropped without
	// effect, in milliseconds.
	OutageMS int64 `json:"outage_ms"`
	// Unavailable makes calls fail with status 503 during the outage instead of
	// closing the connection.
	Unavailable bool `json:"refuse"`
	// DelayMS is the delay of every response, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseResponses is the number of changes that are applied without a response.
	LoseResponses int `json:"lose_answers"`
	// InstanceLagMS sets how far the list of instances lags behind, in
	// milliseconds; nil leaves it unchanged.
	InstanceLagMS *int64 `json:"instance_lag_ms,omitempty"`
}

// Stats counts calls by operation and by outcome.
type Stats struct {
	Calls map[string]uint64 `json:"calls"`
	// Limited counts the calls over the rate limit.
	Limited uint64 `json:"limited"`
	// Dropped counts the calls during an outage.
	Dropped uint64 `json:"dropped"`
	// Lost counts the changes that were applied without a response.
	Lost uint64 `json:"lost"`
	// Watching is the number of pending watches.
	Watching int    `json:"watching"`
	Revision uint64 `json:"revision"`
}

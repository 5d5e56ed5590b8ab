package kvservice

import "time"

// Default rates of the platform in calls per second.
const (
	DefaultWriteRate = 300
	DefaultReadRate  = 2000
)

// callClass tells which rate a call counts towards.
type callClass uint8

const (
	uncounted callClass = iota
	readCall
	writeCall
)

// bucket holds at most one second's worth of tokens, and at least one.
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

func (b *tokenBucket) allow(now time.Time) bool {
	b.tokens = min(b.size, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Faults are the failures that a test asks for.
type Faults struct {
	// OutageMS is how long every call is dropped without effect, from now.
	OutageMS int64 `json:"outage_ms"`
	// Refuse answers 503 during the outage instead of dropping the connection.
	Refuse bool `json:"refuse"`
	// DelayMS delays every answer until it is set anew.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the number of changes that are applied and not answered.
	LoseAnswers int `json:"lose_answers"`
	// InstanceLagMS sets how far the list of instances is behind, if present.
	InstanceLagMS *int64 `json:"instance_lag_ms,omitempty"`
}

// Stats counts the calls by kind and what became of them.
type Stats struct {
	Calls   map[string]uint64 `json:"calls"`
	Limited uint64            `json:"limited"`
	Dropped uint64            `json:"dropped"`
	Lost    uint64            `json:"lost"`
	// Watching is the number of waiting watches.
	Watching int    `json:"watching"`
	Revision uint64 `json:"revision"`
}

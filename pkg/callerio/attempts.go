package callerio

import (
	"net/netip"
	"time"
)

const (
	// forgetAfter is how long a remote address without a new failure keeps
	// its count.
	forgetAfter = time.Minute
	// maxAddresses bounds the memory that failed attempts can take. Beyond
	// it every failure gets the greatest delay.
	maxAddresses = 4096
	// maxDoublings keeps the shift of the delay from overflowing.
	maxDoublings = 20
)

// attempts counts the failed attempts of each remote address.
type attempts struct {
	base, max time.Duration
	failures  map[netip.Addr]failure
}

type failure struct {
	count int
	last  time.Time
}

func newAttempts(base, limit time.Duration) *attempts {
	return &attempts{base: base, max: limit, failures: map[netip.Addr]failure{}}
}

// failed records a failure and returns the delay of its answer.
func (a *attempts) failed(remote netip.Addr, now time.Time) time.Duration {
	f, known := a.failures[remote]
	if !known && len(a.failures) >= maxAddresses {
		a.prune(now)
	}
	if !known && len(a.failures) >= maxAddresses {
		return a.max
	}
	if now.Sub(f.last) > forgetAfter {
		f.count = 0
	}
	delay := min(a.base<<min(f.count, maxDoublings), a.max)
	a.failures[remote] = failure{count: f.count + 1, last: now}
	return delay
}

func (a *attempts) prune(now time.Time) {
	for remote, f := range a.failures {
		if now.Sub(f.last) > forgetAfter {
			delete(a.failures, remote)
		}
	}
}

package callerio

import (
	"net/netip"
	"time"
)

const (
	// failureExpiry is the time for which the failure count of a remote address
	// is kept after its last failure.
	failureExpiry = time.Minute
	// maxAddresses limits the memory for failure counts. While the table is
	// full, an address without an entry gets the maximum delay.
	maxAddresses = 4096
	// maxDoublings prevents the shift that doubles the delay from overflowing.
	maxDoublings = 20
)

// authFailures counts the failed authentications of each remote address and
// derives the delay of the error response from the count.
type authFailures struct {
	base, max time.Duration
	byAddress map[netip.Addr]addressFailures
}

type addressFailures struct {
	count int
	// last is the time of the last failure.
	last time.Time
}

func newAuthFailures(baseDelay, maxDelay time.Duration) *authFailures {
	return &authFailures{base: baseDelay, max: maxDelay, byAddress: map[netip.Addr]addressFailures{}}
}

// record counts a failure of remote and returns the delay of its error response, which
// doubles from base with each further failure up to max.
func (a *authFailures) record(remote netip.Addr, now time.Time) time.Duration {
	f, known := a.byAddress[remote]
	if !known && len(a.byAddress) >= maxAddresses {
		a.removeExpired(now)
	}
	if !known && len(a.byAddress) >= maxAddresses {
		return a.max
	}
	if now.Sub(f.last) > failureExpiry {
		f.count = 0
	}
	delay := min(a.base<<min(f.count, maxDoublings), a.max)
	a.byAddress[remote] = addressFailures{count: f.count + 1, last: now}
	return delay
}

// removeExpired drops the counts of addresses without a recent failure.
func (a *authFailures) removeExpired(now time.Time) {
	for remote, f := range a.byAddress {
		if now.Sub(f.last) > failureExpiry {
			delete(a.byAddress, remote)
		}
	}
}

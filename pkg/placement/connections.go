package placement

import (
	"math"
	"time"
)

// ConnectionSplit determines how many of the connections that a member accepts from
// all instances each home of accounts may use. A connection serves one account.
type ConnectionSplit struct {
	// Oversubscribed is set when the member accepts fewer connections than there
	// are accounts. Homes must then close a connection that was idle for
	// IdleTimeout, so that the home of another account can open one.
	Oversubscribed bool
	IdleTimeout    time.Duration

	limit     float64
	accounts  []Account
	totalRate float64
	// oneEach is set when there is a connection for each account, but the
	// connections by weight, at least one per account, add up to more than the
	// limit. Each account then gets one connection, and the rest is divided in
	// proportion to the rates.
	oneEach bool
}

const (
	// minSharedConnections is the number of connections to one member that a home
	// may use at least when the split is Oversubscribed: one for a transaction
	// between two statements, one for a running statement, and one that is being
	// opened.
	minSharedConnections = 3
	// maxIdleTimeout and minIdleTimeout limit IdleTimeout. Opening a connection
	// takes a member 12 to 27 ms.
	maxIdleTimeout = time.Minute
	minIdleTimeout = 100 * time.Millisecond
	// memberFraction is the fraction of a group's requests that one member gets:
	// reads are spread over three members. A member that gets more than that
	// reaches its connection limit at times, and homes then ask each other to
	// release connections.
	memberFraction = 1.0 / 3
)

// SplitConnections divides the limit of a member's connections among the accounts.
// It assumes that the requests of an account are spread evenly over the given
// number of groups.
func SplitConnections(limit float64, accounts []Account, groups int) ConnectionSplit {
	split := ConnectionSplit{limit: limit, accounts: accounts}
	for _, a := range accounts {
		split.totalRate += a.Rate
	}
	switch {
	case float64(len(accounts)) > limit:
		split.Oversubscribed = true
		split.IdleTimeout = idleTimeoutFor(limit, accounts, groups)
	case split.wantedTotal() > int(limit):
		split.oneEach = true
	}
	return split
}

// Connections returns how many connections to one member an instance may use that
// is the home of accounts with the given rates, in requests per second. It is 1 for
// an instance that is no account's home.
func (s *ConnectionSplit) Connections(rates []float64) int {
	if len(rates) == 0 {
		return 1
	}
	share, rate := 0.0, 0.0
	for _, r := range rates {
		share += s.weight(r)
		rate += r
	}
	switch {
	case s.Oversubscribed:
		return max(int(s.limit*share), minSharedConnections)
	case s.oneEach:
		return len(rates) + int((s.limit-float64(len(s.accounts)))*rate/max(s.totalRate, 1))
	}
	return max(int(s.limit*share), 1)
}

// wantedTotal returns the sum of the connections by weight, at least one per
// account, if each account has a home of its own.
func (s *ConnectionSplit) wantedTotal() int {
	total := 0
	for _, a := range s.accounts {
		total += max(int(s.limit*s.weight(a.Rate)), 1)
	}
	return total
}

// weight returns the fraction of the connections for an account with the given
// rate: half of the connections are divided equally, half in proportion to the
// rates.
func (s *ConnectionSplit) weight(rate float64) float64 {
	equal := 1 / float64(max(len(s.accounts), 1))
	if s.totalRate <= 0 {
		return equal
	}
	return (equal + rate/s.totalRate) / 2
}

// idleTimeoutFor returns the idle timeout at which, on average, as many connections
// are open as the limit allows when every account uses its full rate. A connection
// is open if its account made a request within the timeout.
func idleTimeoutFor(limit float64, accounts []Account, groups int) time.Duration {
	expectedOpen := func(idle time.Duration) float64 {
		total := 0.0
		for _, a := range accounts {
			rate := a.Rate * memberFraction / float64(max(groups, 1))
			total += 1 - math.Exp(-rate*idle.Seconds())
		}
		return total
	}
	low, high := minIdleTimeout, maxIdleTimeout
	for high-low > time.Millisecond {
		middle := (low + high) / 2
		if expectedOpen(middle) > limit {
			high = middle
			continue
		}
		low = middle
	}
	return low
}

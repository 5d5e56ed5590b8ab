package homing

import (
	"math"
	"time"
)

// Division says how the homes of accounts share the connections that a member
// takes from the whole fleet. A connection belongs to one account.
type Division struct {
	// Shared is set when the member takes fewer connections than accounts may
	// want at a time. Homes then close a connection that has not been used for
	// Rest, so that another account's home finds room.
	Shared bool
	Rest   time.Duration

	limit  float64
	demand []Account
	sum    float64
	// spread is set when there is a connection for each account, but not as many
	// as the weights ask for.
	spread bool
}

const (
	// sharedConnections bounds the connections of an account to one member while
	// they are shared: a transaction between two statements, one that runs, and
	// one that is being opened.
	sharedConnections = 3
	// longestRest and shortestRest bound Rest. Opening a connection takes a
	// member 12 to 27 ms.
	longestRest  = time.Minute
	shortestRest = 100 * time.Millisecond
	// memberPart is the part of a group's requests that one member gets: reads
	// are spread over three members. A member that gets more is full at times,
	// and homes ask each other for room.
	memberPart = 1.0 / 3
)

// Divide divides the limit of a member's connections among the accounts, of
// whose requests each of the given number of groups gets an even part.
func Divide(limit float64, accounts []Account, groups int) Division {
	d := Division{limit: limit, demand: accounts}
	for _, a := range accounts {
		d.sum += a.Rate
	}
	switch {
	case float64(len(accounts)) > limit:
		d.Shared = true
		d.Rest = restFor(limit, accounts, groups)
	case d.wanted() > int(limit):
		d.spread = true
	}
	return d
}

// Connections returns how many connections to one member the home of accounts
// with these rates may have; 1 for an instance that is nobody's home.
func (d *Division) Connections(rates []float64) int {
	if len(rates) == 0 {
		return 1
	}
	part, rate := 0.0, 0.0
	for _, r := range rates {
		part += d.weight(r)
		rate += r
	}
	switch {
	case d.Shared:
		return max(int(d.limit*part), sharedConnections)
	case d.spread:
		return len(rates) + int((d.limit-float64(len(d.demand)))*rate/max(d.sum, 1))
	}
	return max(int(d.limit*part), 1)
}

// wanted is the sum over the accounts if each has a home of its own.
func (d *Division) wanted() int {
	sum := 0
	for _, a := range d.demand {
		sum += max(int(d.limit*d.weight(a.Rate)), 1)
	}
	return sum
}

// weight is the part of an account: half of the connections are divided evenly,
// half by the rates.
func (d *Division) weight(rate float64) float64 {
	even := 1 / float64(max(len(d.demand), 1))
	if d.sum <= 0 {
		return even
	}
	return (even + rate/d.sum) / 2
}

// restFor returns after how long unused connections have to be closed so that
// as many as the limit are open on average, with every account at its rate: a
// connection is open if its account made a request within that time.
func restFor(limit float64, accounts []Account, groups int) time.Duration {
	open := func(rest time.Duration) float64 {
		sum := 0.0
		for _, a := range accounts {
			rate := a.Rate * memberPart / float64(max(groups, 1))
			sum += 1 - math.Exp(-rate*rest.Seconds())
		}
		return sum
	}
	low, high := shortestRest, longestRest
	for high-low > time.Millisecond {
		middle := (low + high) / 2
		if open(middle) > limit {
			high = middle
			continue
		}
		low = middle
	}
	return low
}

// Package usage measures how many requests a client account uses.
package usage

import (
	"math"
	"time"
)

// window is the time over which usage is averaged.
const window = 4 * time.Second

// Counter is an exponentially decaying count of requests. The zero value is ready for
// use.
type Counter struct {
	count float64
	at    time.Time
	// firstAt is the time of the first request; nothing could be counted
	// before.
	firstAt time.Time
}

// Add counts one request.
func (c *Counter) Add(now time.Time) {
	if c.count == 0 {
		c.firstAt = now
	}
	c.count = c.decayed(now) + 1
	c.at = now
}

// decayed returns the count with its decay up to now.
func (c *Counter) decayed(now time.Time) float64 {
	if c.count == 0 {
		return 0
	}
	return c.count * math.Exp(-now.Sub(c.at).Seconds()/window.Seconds())
}

// Rate returns the average in requests per second over window, or over the
// time since the first request where that is shorter.
func (c *Counter) Rate(now time.Time) float64 {
	observed := max(now.Sub(c.firstAt), minWindow).Seconds()
	weight := window.Seconds() * (1 - math.Exp(-observed/window.Seconds()))
	return c.decayed(now) / weight
}

// minWindow is the shortest time over which usage is averaged.
const minWindow = 500 * time.Millisecond

package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a rate that is far off after the first requests, which would let an
// account that lost its home use too little or too much.
func TestRateFollowsTheRequests(t *testing.T) {
	var c Counter
	now := time.Unix(1000, 0)
	require.Zero(t, c.Rate(now))
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		c.Add(now)
	}
	require.InDelta(t, 10, c.Rate(now), 1)
	require.Less(t, c.Rate(now.Add(time.Minute)), 0.01)
}

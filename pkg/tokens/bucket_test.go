package tokens

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var startTime = time.Unix(100, 0)

func after(d time.Duration) time.Time { return startTime.Add(d) }

// Guards against tokens that a new share brings with it, that an ended share
// still earns, or that are taken after its end.
func TestBucketKeepsToItsShare(t *testing.T) {
	end := after(2 * time.Second)
	b := Bucket{RefilledAt: startTime}
	b.Limit(10, 5)
	require.False(t, b.Take(startTime, end), "a share brings no tokens")
	require.True(t, b.Take(after(100*time.Millisecond), end))
	require.False(t, b.Take(after(150*time.Millisecond), end))
	b.Refill(after(time.Second), end)
	require.InDelta(t, 5, b.Tokens, 0.001, "the burst bounds what is saved")
	require.False(t, b.Take(after(3*time.Second), end), "the share has ended")
	b.Tokens = 0
	b.PrepareShareChange(false, after(4*time.Second), end)
	require.InDelta(t, 5, b.Tokens, 0.001, "earned until the end of the share, not after")
	b.PrepareShareChange(true, after(5*time.Second), end)
	require.Zero(t, b.Tokens, "they belonged to another grant")
	b.ValidUntil = after(6 * time.Second)
	b.Tokens = 5
	require.False(t, b.Take(after(7*time.Second), after(time.Hour)), "the bucket's own end")
}

// Guards against a waiter that is woken before its token is available, or
// never.
func TestBucketSaysWhenATokenComes(t *testing.T) {
	b := Bucket{RefilledAt: startTime, Rate: 10, Burst: 5, Tokens: 0.5}
	wait, comes := b.Wait()
	require.True(t, comes)
	require.InDelta(t, 0.05, wait.Seconds(), 0.001)
	require.True(t, b.Take(after(wait), after(time.Hour)))
	b.Limit(0, 5)
	_, comes = b.Wait()
	require.False(t, comes)
}

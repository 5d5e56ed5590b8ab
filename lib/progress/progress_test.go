package progress

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var testLimits = Limits{First: 2 * time.Second, Idle: time.Second, Total: 10 * time.Second}

// readEvery reads one byte after each interval until the context ends, and returns when it did.
func readEvery(ctx context.Context, interval time.Duration) time.Duration {
	began := time.Now()
	response := Reader(ctx, strings.NewReader(strings.Repeat("x", 1000)))
	for {
		select {
		case <-ctx.Done():
			return time.Since(began)
		case <-time.After(interval):
			if _, err := io.ReadFull(response, make([]byte, 1)); err != nil {
				return 0
			}
		}
	}
}

// Guards against a response that is given up although it arrives, and against a call without
// any limit.
func TestLimitsOfACall(t *testing.T) {
	for name, test := range map[string]struct{ interval, ends time.Duration }{
		"no response":            {time.Minute, testLimits.First},
		"the response stops":     {1500 * time.Millisecond, 2500 * time.Millisecond},
		"the response arrives":   {900 * time.Millisecond, testLimits.Total},
		"the first part is late": {3 * time.Second, testLimits.First},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := WithLimits(context.Background(), testLimits)
				defer cancel()
				require.Equal(t, test.ends, readEvery(ctx, test.interval))
				require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
			})
		})
	}
}

// Guards against a limit that outlives its call.
func TestCancelEndsTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithLimits(context.Background(), testLimits)
		cancel()
		time.Sleep(testLimits.Total)
		require.ErrorIs(t, context.Cause(ctx), context.Canceled)
	})
}

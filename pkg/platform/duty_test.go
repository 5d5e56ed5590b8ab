package platform_test

import (
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/platform"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/platform/platformtest"
	"github.com/stretchr/testify/require"
)

// Guards against a waiting watch that holds up calls, a result that is lost
// while the consumer has no room, and a duty that does not stop.
func TestDutyDeliversEveryResult(t *testing.T) {
	memory := platformtest.NewMemory()
	results := make(chan platform.Result, 8)
	var full atomic.Bool
	output := platform.Output{CallRoom: ring.NewSignal(), WatchRoom: ring.NewSignal()}
	output.Deliver = func(r platform.Result) bool {
		if full.Load() {
			return false
		}
		results <- r
		return true
	}
	d := platform.NewDuty(memory, output)
	var group duty.Group
	d.Start(&group)
	watch := platform.WatchRequest{Prefix: "a", Timeout: time.Hour}
	require.True(t, d.Watches().TryPush(platform.Call{Tag: "watch", Timeout: time.Second, Op: platform.WatchOp{WatchRequest: watch}}))
	full.Store(true)
	request := platform.PutRequest{Key: "a", Value: json.RawMessage(`1`)}
	require.True(t, d.Calls().TryPush(platform.Call{Tag: "put", Timeout: time.Second, Op: platform.PutOp{PutRequest: request}}))
	require.True(t, d.Calls().TryPush(platform.Call{Tag: "get", Timeout: time.Second, Op: platform.GetOp{Key: "a"}}))
	require.Never(t, func() bool { return len(results) > 0 }, 50*time.Millisecond, 10*time.Millisecond)
	full.Store(false)
	output.CallRoom.Wake()
	output.WatchRoom.Wake()
	got := map[any]platform.Result{}
	for range 3 {
		r := <-results
		require.NoError(t, r.Err)
		require.False(t, r.Received.Before(r.Sent))
		got[r.Tag] = r
	}
	require.IsType(t, platform.WatchResult{}, got["watch"].Value)
	require.Equal(t, got["put"].Value, got["get"].Value)
	require.True(t, d.Watches().TryPush(platform.Call{Tag: "watch", Timeout: time.Second, Op: platform.WatchOp{WatchRequest: platform.WatchRequest{Prefix: "b", Timeout: time.Hour}}}))
	d.Stop()
	group.Wait()
}

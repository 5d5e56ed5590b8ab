package store_test

import (
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store/storetest"
	"github.com/stretchr/testify/require"
)

// Guards against a waiting watch that delays calls, a result that is lost while the
// consumer has no free space, and a duty that does not stop.
func TestDutyDeliversEveryResult(t *testing.T) {
	memory := storetest.NewMemory()
	results := make(chan store.Result, 8)
	var full atomic.Bool
	output := store.Output{CallSpace: ring.NewSignal(), WatchSpace: ring.NewSignal()}
	output.Deliver = func(r store.Result) bool {
		if full.Load() {
			return false
		}
		results <- r
		return true
	}
	d := store.NewDuty(memory, output)
	var group duty.Group
	d.Start(&group)
	watch := store.WatchRequest{Prefix: "a", Timeout: time.Hour}
	require.True(t, d.Watches().TryPush(store.Call{Tag: "watch", Timeout: time.Second, Op: store.WatchOp{WatchRequest: watch}}))
	full.Store(true)
	request := store.PutRequest{Key: "a", Value: json.RawMessage(`1`)}
	require.True(t, d.Calls().TryPush(store.Call{Tag: "put", Timeout: time.Second, Op: store.PutOp{PutRequest: request}}))
	require.True(t, d.Calls().TryPush(store.Call{Tag: "get", Timeout: time.Second, Op: store.GetOp{Key: "a"}}))
	require.Never(t, func() bool { return len(results) > 0 }, 50*time.Millisecond, 10*time.Millisecond)
	full.Store(false)
	output.CallSpace.Wake()
	output.WatchSpace.Wake()
	got := map[any]store.Result{}
	for range 3 {
		r := <-results
		require.NoError(t, r.Err)
		require.False(t, r.Received.Before(r.SentAt))
		got[r.Tag] = r
	}
	require.IsType(t, store.WatchResult{}, got["watch"].Value)
	require.Equal(t, got["put"].Value, got["get"].Value)
	require.True(t, d.Watches().TryPush(store.Call{Tag: "watch", Timeout: time.Second, Op: store.WatchOp{WatchRequest: store.WatchRequest{Prefix: "b", Timeout: time.Hour}}}))
	d.Stop()
	group.Wait()
}

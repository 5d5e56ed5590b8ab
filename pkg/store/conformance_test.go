package store_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store/storetest"
	"github.com/stretchr/testify/require"
)

// fixture is a store under test with the in-memory store behind it.
type fixture struct {
	store  store.Store
	memory *storetest.Memory
}

// eachStore runs a test on the in-memory store itself and on the HTTP client of a
// server for one.
func eachStore(t *testing.T, test func(t *testing.T, f fixture)) {
	t.Run("memory", func(t *testing.T) {
		memory := storetest.NewMemory()
		test(t, fixture{store: memory, memory: memory})
	})
	t.Run("http", func(t *testing.T) {
		memory := storetest.NewMemory()
		server := httptest.NewServer(storetest.NewHandler(memory))
		t.Cleanup(server.Close)
		client, err := store.NewClient(server.URL)
		require.NoError(t, err)
		t.Cleanup(client.CloseIdle)
		test(t, fixture{store: client, memory: memory})
	})
}

func put(t *testing.T, s store.Store, key store.Key, value string, at store.Revision, lease store.LeaseID) store.Record {
	r, err := s.Put(t.Context(), store.PutRequest{Key: key, Value: json.RawMessage(value), Revision: at, Lease: lease})
	require.NoError(t, err)
	return r
}

// Guards against a write that replaces a record of another revision than the
// expected one, and against a conflict without the current record.
func TestPutComparesAndSwaps(t *testing.T) {
	eachStore(t, func(t *testing.T, f fixture) {
		first := put(t, f.store, "group/jylland", `{"term":1}`, store.NotExists, "")
		_, err := f.store.Put(t.Context(), store.PutRequest{Key: "group/jylland", Value: json.RawMessage(`1`)})
		var conflict *store.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, first, conflict.Current)
		second := put(t, f.store, "group/jylland", `{"term":2}`, first.Revision, "")
		require.Greater(t, second.Revision, first.Revision)
		read, err := f.store.Get(t.Context(), "group/jylland")
		require.NoError(t, err)
		require.Equal(t, second, read)
		require.ErrorAs(t, f.store.Delete(t.Context(), "group/jylland", first.Revision), &conflict)
		require.NoError(t, f.store.Delete(t.Context(), "group/jylland", second.Revision))
		var missing *store.NotFoundError
		_, err = f.store.Get(t.Context(), "group/jylland")
		require.ErrorAs(t, err, &missing)
		_, err = f.store.Put(t.Context(), store.PutRequest{Key: "group/jylland", Value: json.RawMessage(`1`), Revision: 2})
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, store.Record{Key: "group/jylland"}, conflict.Current)
	})
}

// Guards against invalid requests that the platform accepts.
func TestInvalidRequestsAreRefused(t *testing.T) {
	eachStore(t, func(t *testing.T, f fixture) {
		var invalid *store.InvalidError
		for _, key := range []store.Key{"", "/a", "a//b", "a/../b", "a?b"} {
			_, err := f.store.Put(t.Context(), store.PutRequest{Key: key, Value: json.RawMessage(`1`)})
			require.ErrorAs(t, err, &invalid, string(key))
		}
		large, err := json.Marshal(make([]int, store.MaxValueBytes))
		require.NoError(t, err)
		_, err = f.store.Put(t.Context(), store.PutRequest{Key: "a", Value: large})
		require.ErrorAs(t, err, &invalid)
		_, err = f.store.CreateLease(t.Context(), 0)
		require.ErrorAs(t, err, &invalid)
	})
}

// Guards against a record that outlives its lease, and against a successful
// renewal of a lease that has ended.
func TestLeaseEndsItsRecords(t *testing.T) {
	eachStore(t, func(t *testing.T, f fixture) {
		var missing *store.NotFoundError
		ended, err := f.store.CreateLease(t.Context(), time.Millisecond)
		require.NoError(t, err)
		isEnded := func() bool { return errors.As(f.store.RenewLease(t.Context(), ended), &missing) }
		require.Eventually(t, isEnded, time.Minute, 5*time.Millisecond)
		short, err := f.store.CreateLease(t.Context(), time.Hour)
		require.NoError(t, err)
		long, err := f.store.CreateLease(t.Context(), time.Hour)
		require.NoError(t, err)
		held := put(t, f.store, "slot/1", `1`, store.NotExists, short)
		put(t, f.store, "slot/2", `2`, store.NotExists, long)
		require.NoError(t, f.store.RenewLease(t.Context(), short))
		f.memory.ExpireLease(short)
		result, err := f.store.Watch(t.Context(), store.WatchRequest{Prefix: "slot/1", After: held.Revision, Timeout: time.Minute})
		require.NoError(t, err)
		require.Len(t, result.Records, 1)
		require.True(t, result.Records[0].Deleted)
		require.ErrorAs(t, f.store.RenewLease(t.Context(), short), &missing)
		require.NoError(t, f.store.RevokeLease(t.Context(), long))
		_, err = f.store.Get(t.Context(), "slot/2")
		require.ErrorAs(t, err, &missing)
		_, err = f.store.Put(t.Context(), store.PutRequest{Key: "slot/2", Value: json.RawMessage(`1`), Lease: long})
		require.ErrorAs(t, err, &missing)
	})
}

// Guards against a watch that misses a change made before or during its wait, or
// reports keys outside its prefix.
func TestWatchReportsEachChangedKey(t *testing.T) {
	eachStore(t, func(t *testing.T, f fixture) {
		first := put(t, f.store, "a/1", `1`, store.NotExists, "")
		put(t, f.store, "b/1", `1`, store.NotExists, "")
		last := put(t, f.store, "a/1", `2`, first.Revision, "")
		watch := store.WatchRequest{Prefix: "a/", Timeout: time.Minute}
		result, err := f.store.Watch(t.Context(), watch)
		require.NoError(t, err)
		require.Equal(t, []store.Record{last}, result.Records)
		watch.After = result.Revision
		written := make(chan store.Record, 1)
		go func() {
			r, _ := f.memory.Put(context.Background(), store.PutRequest{Key: "a/2", Value: json.RawMessage(`3`)})
			written <- r
		}()
		result, err = f.store.Watch(t.Context(), watch)
		require.NoError(t, err)
		require.Equal(t, []store.Record{<-written}, result.Records)
		watch.After, watch.Timeout = result.Revision, 20*time.Millisecond
		result, err = f.store.Watch(t.Context(), watch)
		require.NoError(t, err)
		require.Empty(t, result.Records)
	})
}

// Guards against a lost response that is reported as a failure although the change
// has taken effect.
func TestLostAnswerIsAnUnknownOutcome(t *testing.T) {
	eachStore(t, func(t *testing.T, f fixture) {
		f.memory.SetFaults(storetest.Faults{LoseResponses: 1})
		_, err := f.store.Put(t.Context(), store.PutRequest{Key: "a", Value: json.RawMessage(`1`)})
		require.True(t, store.IsUnknownOutcome(err), "%v", err)
		r, err := f.store.Get(t.Context(), "a")
		require.NoError(t, err)
		require.JSONEq(t, `1`, string(r.Value))
	})
}

// Guards against errors of the wrong type: a call rejected by an outage or the rate
// limit, and a read that reached its deadline, certainly had no effect.
func TestFaultsAreTyped(t *testing.T) {
	eachStore(t, func(t *testing.T, f fixture) {
		var unavailable *store.UnavailableError
		request := store.PutRequest{Key: "a", Value: json.RawMessage(`1`)}
		f.memory.SetFaults(storetest.Faults{Outage: true})
		_, err := f.store.Put(t.Context(), request)
		require.ErrorAs(t, err, &unavailable)
		_, err = f.store.Watch(t.Context(), store.WatchRequest{Timeout: time.Minute})
		require.ErrorAs(t, err, &unavailable)
		f.memory.SetFaults(storetest.Faults{ReadsPerSecond: 1})
		var limited *store.RateLimitedError
		isLimited := func() bool {
			_, err := f.store.Instances(t.Context())
			return errors.As(err, &limited)
		}
		require.Eventually(t, isLimited, time.Minute, time.Millisecond)
		f.memory.SetFaults(storetest.Faults{Delay: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		_, err = f.store.Get(ctx, "a")
		require.ErrorAs(t, err, &unavailable)
	})
}

// Guards against a change that was sent and is reported as having had no effect,
// and against a refused connection that is reported as an unknown outcome.
func TestOutcomeOfAChangeWithoutAnswer(t *testing.T) {
	memory := storetest.NewMemory()
	memory.SetFaults(storetest.Faults{Delay: time.Minute})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	handler := storetest.NewHandler(memory)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cancel()
		handler.ServeHTTP(w, r)
	}))
	client, err := store.NewClient(server.URL)
	require.NoError(t, err)
	_, err = client.CreateLease(ctx, time.Second)
	require.True(t, store.IsUnknownOutcome(err), "%v", err)
	server.Close()
	_, err = client.CreateLease(t.Context(), time.Second)
	var unavailable *store.UnavailableError
	require.ErrorAs(t, err, &unavailable)
}

// Guards against an instance that is missing in the list, and against a list that
// does not lag although the fault is injected.
func TestInstancesLag(t *testing.T) {
	eachStore(t, func(t *testing.T, f fixture) {
		first := store.Instance{ID: "i1", PeerAddress: "127.0.0.1:1", Domain: "fyn", State: store.InstanceLive}
		require.NoError(t, f.store.Announce(t.Context(), first))
		list, err := f.store.Instances(t.Context())
		require.NoError(t, err)
		require.Equal(t, []store.Instance{first}, list)
		f.memory.SetFaults(storetest.Faults{InstanceListLag: time.Hour})
		second := first
		second.ID = "i2"
		require.NoError(t, f.store.Announce(t.Context(), second))
		list, err = f.store.Instances(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 1)
	})
}

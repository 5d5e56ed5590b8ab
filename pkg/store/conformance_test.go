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

// bench is one store under test, and the memory behind it.
type bench struct {
	store  store.Store
	memory *storetest.Memory
}

// eachStore runs a test against the in-memory store and against the HTTP client
// with a server in front of one.
func eachStore(t *testing.T, test func(t *testing.T, b bench)) {
	t.Run("memory", func(t *testing.T) {
		memory := storetest.NewMemory()
		test(t, bench{store: memory, memory: memory})
	})
	t.Run("http", func(t *testing.T) {
		memory := storetest.NewMemory()
		server := httptest.NewServer(storetest.NewHandler(memory))
		t.Cleanup(server.Close)
		client, err := store.NewClient(server.URL)
		require.NoError(t, err)
		t.Cleanup(client.CloseIdle)
		test(t, bench{store: client, memory: memory})
	})
}

func put(t *testing.T, s store.Store, key store.Key, value string, at store.Revision, lease store.LeaseID) store.Record {
	r, err := s.Put(t.Context(), store.PutRequest{Key: key, Value: json.RawMessage(value), Revision: at, Lease: lease})
	require.NoError(t, err)
	return r
}

// Guards against a write that replaces a record it has not seen, and against a
// conflict that does not tell the current record.
func TestPutComparesAndSwaps(t *testing.T) {
	eachStore(t, func(t *testing.T, b bench) {
		first := put(t, b.store, "group/jylland", `{"term":1}`, store.NotExists, "")
		_, err := b.store.Put(t.Context(), store.PutRequest{Key: "group/jylland", Value: json.RawMessage(`1`)})
		var conflict *store.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, first, conflict.Current)
		second := put(t, b.store, "group/jylland", `{"term":2}`, first.Revision, "")
		require.Greater(t, second.Revision, first.Revision)
		read, err := b.store.Get(t.Context(), "group/jylland")
		require.NoError(t, err)
		require.Equal(t, second, read)
		require.ErrorAs(t, b.store.Delete(t.Context(), "group/jylland", first.Revision), &conflict)
		require.NoError(t, b.store.Delete(t.Context(), "group/jylland", second.Revision))
		var missing *store.NotFoundError
		_, err = b.store.Get(t.Context(), "group/jylland")
		require.ErrorAs(t, err, &missing)
		_, err = b.store.Put(t.Context(), store.PutRequest{Key: "group/jylland", Value: json.RawMessage(`1`), Revision: 2})
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, store.Record{Key: "group/jylland"}, conflict.Current)
	})
}

// Guards against requests that the platform must refuse.
func TestInvalidRequestsAreRefused(t *testing.T) {
	eachStore(t, func(t *testing.T, b bench) {
		var invalid *store.InvalidError
		for _, key := range []store.Key{"", "/a", "a//b", "a/../b", "a?b"} {
			_, err := b.store.Put(t.Context(), store.PutRequest{Key: key, Value: json.RawMessage(`1`)})
			require.ErrorAs(t, err, &invalid, string(key))
		}
		large, err := json.Marshal(make([]int, store.MaxValueBytes))
		require.NoError(t, err)
		_, err = b.store.Put(t.Context(), store.PutRequest{Key: "a", Value: large})
		require.ErrorAs(t, err, &invalid)
		_, err = b.store.CreateLease(t.Context(), 0)
		require.ErrorAs(t, err, &invalid)
	})
}

// Guards against a record that outlives its lease, and against a renewal that
// seems to succeed after the end.
func TestLeaseEndsItsRecords(t *testing.T) {
	eachStore(t, func(t *testing.T, b bench) {
		var missing *store.NotFoundError
		ended, err := b.store.CreateLease(t.Context(), time.Millisecond)
		require.NoError(t, err)
		isEnded := func() bool { return errors.As(b.store.RenewLease(t.Context(), ended), &missing) }
		require.Eventually(t, isEnded, time.Minute, 5*time.Millisecond)
		short, err := b.store.CreateLease(t.Context(), time.Hour)
		require.NoError(t, err)
		long, err := b.store.CreateLease(t.Context(), time.Hour)
		require.NoError(t, err)
		held := put(t, b.store, "slot/1", `1`, store.NotExists, short)
		put(t, b.store, "slot/2", `2`, store.NotExists, long)
		require.NoError(t, b.store.RenewLease(t.Context(), short))
		b.memory.EndLease(short)
		result, err := b.store.Watch(t.Context(), store.WatchRequest{Prefix: "slot/1", After: held.Revision, Timeout: time.Minute})
		require.NoError(t, err)
		require.Len(t, result.Records, 1)
		require.True(t, result.Records[0].Deleted)
		require.ErrorAs(t, b.store.RenewLease(t.Context(), short), &missing)
		require.NoError(t, b.store.RevokeLease(t.Context(), long))
		_, err = b.store.Get(t.Context(), "slot/2")
		require.ErrorAs(t, err, &missing)
		_, err = b.store.Put(t.Context(), store.PutRequest{Key: "slot/2", Value: json.RawMessage(`1`), Lease: long})
		require.ErrorAs(t, err, &missing)
	})
}

// Guards against a watch that misses a change made before or during the wait,
// or reports keys outside its prefix.
func TestWatchReportsEachChangedKey(t *testing.T) {
	eachStore(t, func(t *testing.T, b bench) {
		first := put(t, b.store, "a/1", `1`, store.NotExists, "")
		put(t, b.store, "b/1", `1`, store.NotExists, "")
		last := put(t, b.store, "a/1", `2`, first.Revision, "")
		watch := store.WatchRequest{Prefix: "a/", Timeout: time.Minute}
		result, err := b.store.Watch(t.Context(), watch)
		require.NoError(t, err)
		require.Equal(t, []store.Record{last}, result.Records)
		watch.After = result.Revision
		written := make(chan store.Record, 1)
		go func() {
			r, _ := b.memory.Put(context.Background(), store.PutRequest{Key: "a/2", Value: json.RawMessage(`3`)})
			written <- r
		}()
		result, err = b.store.Watch(t.Context(), watch)
		require.NoError(t, err)
		require.Equal(t, []store.Record{<-written}, result.Records)
		watch.After, watch.Timeout = result.Revision, 20*time.Millisecond
		result, err = b.store.Watch(t.Context(), watch)
		require.NoError(t, err)
		require.Empty(t, result.Records)
	})
}

// Guards against a lost answer that is taken for a failure: the change has
// taken effect.
func TestLostAnswerIsAnUnknownOutcome(t *testing.T) {
	eachStore(t, func(t *testing.T, b bench) {
		b.memory.SetFaults(storetest.Faults{LoseAnswers: 1})
		_, err := b.store.Put(t.Context(), store.PutRequest{Key: "a", Value: json.RawMessage(`1`)})
		require.True(t, store.IsUnknown(err), "%v", err)
		r, err := b.store.Get(t.Context(), "a")
		require.NoError(t, err)
		require.JSONEq(t, `1`, string(r.Value))
	})
}

// Guards against faults that are reported as other faults: an outage and the
// rate limit have no effect, and a change that ran into its deadline may have.
func TestFaultsAreTyped(t *testing.T) {
	eachStore(t, func(t *testing.T, b bench) {
		var unavailable *store.UnavailableError
		request := store.PutRequest{Key: "a", Value: json.RawMessage(`1`)}
		b.memory.SetFaults(storetest.Faults{Outage: true})
		_, err := b.store.Put(t.Context(), request)
		require.ErrorAs(t, err, &unavailable)
		_, err = b.store.Watch(t.Context(), store.WatchRequest{Timeout: time.Minute})
		require.ErrorAs(t, err, &unavailable)
		b.memory.SetFaults(storetest.Faults{ReadsPerSecond: 1})
		var limited *store.RateLimitedError
		isLimited := func() bool {
			_, err := b.store.Instances(t.Context())
			return errors.As(err, &limited)
		}
		require.Eventually(t, isLimited, time.Minute, time.Millisecond)
		b.memory.SetFaults(storetest.Faults{Delay: time.Minute})
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		_, err = b.store.Get(ctx, "a")
		require.ErrorAs(t, err, &unavailable)
	})
}

// Guards against a change that is said not to have happened although it was
// sent, and against a refused connection that is said to be uncertain.
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
	require.True(t, store.IsUnknown(err), "%v", err)
	server.Close()
	_, err = client.CreateLease(t.Context(), time.Second)
	var unavailable *store.UnavailableError
	require.ErrorAs(t, err, &unavailable)
}

// Guards against an instance that is missing in the list, or a list that does
// not lag in tests that ask for it.
func TestInstancesLag(t *testing.T) {
	eachStore(t, func(t *testing.T, b bench) {
		first := store.Instance{ID: "i1", PeerAddress: "127.0.0.1:1", Domain: "fyn", State: store.InstanceLive}
		require.NoError(t, b.store.Announce(t.Context(), first))
		list, err := b.store.Instances(t.Context())
		require.NoError(t, err)
		require.Equal(t, []store.Instance{first}, list)
		b.memory.SetFaults(storetest.Faults{ListLag: time.Hour})
		second := first
		second.ID = "i2"
		require.NoError(t, b.store.Announce(t.Context(), second))
		list, err = b.store.Instances(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 1)
	})
}

package store_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
	"github.com/stretchr/testify/require"
)

// startDuty starts a duty that calls the platform at an address, and returns a function that makes
// one call.
func startDuty(t *testing.T, address string) func(store.Call) store.Result {
	client, err := store.NewClient(address)
	require.NoError(t, err)
	results := make(chan store.Result, 1)
	d := store.NewDuty(client, store.Output{CallSpace: ring.NewSignal(), WatchSpace: ring.NewSignal(), Deliver: func(r store.Result) bool {
		results <- r
		return true
	}})
	var group duty.Group
	d.Start(&group)
	t.Cleanup(d.Stop)
	return func(c store.Call) store.Result {
		require.True(t, d.Calls().TryPush(c))
		return <-results
	}
}

// Guards against a catalogue that an instance on a thin link never reads: the timeout of a read
// counted the transfer of the response.
func TestReadMayTakeLongerThanItsTimeoutWhileItArrives(t *testing.T) {
	const (
		parts   = 24
		gap     = 50 * time.Millisecond
		timeout = 600 * time.Millisecond
	)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		text, err := json.Marshal(store.Record{Key: "catalogue", Value: json.RawMessage(`"` + strings.Repeat("x", 2*parts) + `"`)})
		if err != nil {
			return
		}
		for i := range parts {
			_, _ = w.Write(text[i*len(text)/parts : (i+1)*len(text)/parts])
			w.(http.Flusher).Flush()
			time.Sleep(gap)
		}
	}))
	defer server.Close()
	call := startDuty(t, server.URL)
	require.NoError(t, call(store.Call{Timeout: timeout, Op: store.GetOp{Key: "catalogue"}}).Err)
}

// Guards against an edit of a large catalogue that never succeeds on a thin link, because its limit
// is that of a small one, and against a small write that waits longer than before.
func TestLimitOfAWriteGrowsWithItsValue(t *testing.T) {
	const timeout = 300 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * timeout)
		_, _ = w.Write([]byte(`{}`))
	}))
	defer server.Close()
	call := startDuty(t, server.URL)
	put := func(bytes int) error {
		value := json.RawMessage(`"` + strings.Repeat("x", bytes) + `"`)
		return call(store.Call{Timeout: timeout, Op: store.PutOp{PutRequest: store.PutRequest{Key: "catalogue", Value: value}}}).Err
	}
	require.NoError(t, put(store.MaxValueBytes-2))
	require.True(t, store.IsUnknownOutcome(put(10)))
}

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
	client, err := store.NewClient(server.URL)
	require.NoError(t, err)
	results := make(chan store.Result, 1)
	d := store.NewDuty(client, store.Output{CallSpace: ring.NewSignal(), WatchSpace: ring.NewSignal(), Deliver: func(r store.Result) bool {
		results <- r
		return true
	}})
	var group duty.Group
	d.Start(&group)
	defer d.Stop()
	require.True(t, d.Calls().TryPush(store.Call{Timeout: timeout, Op: store.GetOp{Key: "catalogue"}}))
	require.NoError(t, (<-results).Err)
}

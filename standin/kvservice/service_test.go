package kvservice

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

// client sends requests to a service under test.
type client struct {
	url  string
	http *http.Client
}

func startService(t *testing.T, configure func(*Options)) client {
	o := DefaultOptions()
	if configure != nil {
		configure(&o)
	}
	s, err := NewService(o)
	require.NoError(t, err)
	var duties duty.Group
	s.Start(&duties)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		s.Stop()
		duties.Wait()
		server.Close()
	})
	// Without keep-alive connections, net/http does not retry a request.
	return client{server.URL, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}}
}

// do sends a request, decodes the response into result and returns its status.
func (c client) do(t *testing.T, method, path string, body, result any) (int, error) {
	t.Helper()
	text, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequest(method, c.url+path, bytes.NewReader(text))
	require.NoError(t, err)
	response, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	if result != nil {
		require.NoError(t, json.Unmarshal(responseBody, result), string(responseBody))
	}
	return response.StatusCode, nil
}

// requireStatus is do for a request that must be answered with status.
func (c client) requireStatus(t *testing.T, status int, method, path string, body, result any) {
	t.Helper()
	got, err := c.do(t, method, path, body, result)
	require.NoError(t, err)
	require.Equal(t, status, got)
}

// Guards against a change that is not applied when its response is dropped, and
// against a change that is applied during an outage.
func TestLostAnswerAndOutage(t *testing.T) {
	c := startService(t, nil)
	c.requireStatus(t, http.StatusOK, "POST", "/fault", Faults{LoseResponses: 1}, nil)
	_, err := c.do(t, "PUT", "/kv/group/a", store.PutDocument{Value: json.RawMessage("1")}, nil)
	require.Error(t, err)
	var record store.Record
	c.requireStatus(t, http.StatusOK, "GET", "/kv/group/a", nil, &record)
	require.Equal(t, "1", string(record.Value))
	c.requireStatus(t, http.StatusConflict, "PUT", "/kv/group/a", store.PutDocument{Value: json.RawMessage("2")}, &record)
	c.requireStatus(t, http.StatusOK, "POST", "/fault", Faults{OutageMS: time.Hour.Milliseconds()}, nil)
	_, err = c.do(t, "PUT", "/kv/group/a", store.PutDocument{Value: json.RawMessage("2"), Revision: record.Revision}, nil)
	require.Error(t, err)
	c.requireStatus(t, http.StatusOK, "POST", "/fault", Faults{}, nil)
	c.requireStatus(t, http.StatusOK, "GET", "/kv/group/a", nil, &record)
	require.Equal(t, "1", string(record.Value))
	var stats Stats
	c.requireStatus(t, http.StatusOK, "GET", "/stats", nil, &stats)
	require.EqualValues(t, 3, stats.Calls["put"])
	require.EqualValues(t, 1, stats.Lost)
	require.EqualValues(t, 1, stats.Dropped)
}

// Guards against a watch that misses a change or the end of a lease.
func TestWatch(t *testing.T) {
	c := startService(t, nil)
	var lease store.LeaseDocument
	c.requireStatus(t, http.StatusOK, "POST", "/lease", store.LeaseRequestDocument{TTLMillis: time.Hour.Milliseconds()}, &lease)
	changed := make(chan store.WatchResult, 1)
	go func() {
		var changes store.WatchResult
		_, _ = c.do(t, "GET", "/watch?prefix=slot/&after=0&timeout_ms=20000", nil, &changes)
		changed <- changes
	}()
	c.requireStatus(t, http.StatusOK, "PUT", "/kv/other", store.PutDocument{Value: json.RawMessage("0")}, nil)
	var record store.Record
	c.requireStatus(t, http.StatusOK, "PUT", "/kv/slot/1", store.PutDocument{Value: json.RawMessage(`"x"`), Lease: lease.ID}, &record)
	require.Equal(t, []store.Record{record}, (<-changed).Records)
	c.requireStatus(t, http.StatusOK, "DELETE", "/lease/"+string(lease.ID), nil, nil)
	var changes store.WatchResult
	c.requireStatus(t, http.StatusOK, "GET", "/watch?prefix=slot/&after=2&timeout_ms=20000", nil, &changes)
	require.True(t, changes.Records[0].Deleted)
	c.requireStatus(t, http.StatusOK, "GET", "/watch?prefix=slot/&after=3&timeout_ms=1", nil, &changes)
	require.Empty(t, changes.Records)
	c.requireStatus(t, http.StatusNotFound, "GET", "/kv/slot/1", nil, nil)
}

// jsonString returns a JSON string of n bytes, quotes included.
func jsonString(n int) json.RawMessage {
	return json.RawMessage(`"` + strings.Repeat("x", n-2) + `"`)
}

// Guards against values and rates above the platform's limits.
func TestBounds(t *testing.T) {
	c := startService(t, func(o *Options) { o.WriteRate = 1e-6 })
	c.requireStatus(t, http.StatusRequestEntityTooLarge, "PUT", "/kv/k", store.PutDocument{Value: jsonString(store.MaxValueBytes + 1)}, nil)
	c.requireStatus(t, http.StatusOK, "PUT", "/kv/k", store.PutDocument{Value: jsonString(store.MaxValueBytes)}, nil)
	c.requireStatus(t, http.StatusTooManyRequests, "PUT", "/kv/l", store.PutDocument{Value: json.RawMessage("0")}, nil)
	c.requireStatus(t, http.StatusNotFound, "GET", "/kv/l", nil, nil)
}

// Guards against a service that does not match the platform client of the instances.
func TestPlatformClient(t *testing.T) {
	service := startService(t, func(o *Options) { o.InstanceLag = 0 })
	c, err := store.NewClient(service.url)
	require.NoError(t, err)
	t.Cleanup(c.CloseIdle)
	ctx := t.Context()
	id, err := c.CreateLease(ctx, time.Hour)
	require.NoError(t, err)
	require.NoError(t, c.RenewLease(ctx, id))
	put := store.PutRequest{Key: "slot/1", Value: json.RawMessage(`{"a":1}`), Lease: id}
	record, err := c.Put(ctx, put)
	require.NoError(t, err)
	read, err := c.Get(ctx, "slot/1")
	require.NoError(t, err)
	require.Equal(t, record, read)
	var conflict *store.ConflictError
	_, err = c.Put(ctx, put)
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, record, conflict.Current)
	changes, err := c.Watch(ctx, store.WatchRequest{Prefix: "slot/", Timeout: time.Hour})
	require.NoError(t, err)
	require.Equal(t, store.WatchResult{Revision: record.Revision, Records: []store.Record{record}}, changes)
	require.NoError(t, c.RevokeLease(ctx, id))
	var missing *store.NotFoundError
	require.ErrorAs(t, c.RenewLease(ctx, id), &missing)
	_, err = c.Get(ctx, "slot/1")
	require.ErrorAs(t, err, &missing)
	instance := store.Instance{ID: "i1", PeerAddress: "127.0.0.1:1", Domain: "fyn", State: store.InstanceLive}
	require.NoError(t, c.Announce(ctx, instance))
	list, err := c.Instances(ctx)
	require.NoError(t, err)
	require.Equal(t, []store.Instance{instance}, list)
	service.requireStatus(t, http.StatusOK, "POST", "/fault", Faults{LoseResponses: 1}, nil)
	_, err = c.Put(ctx, store.PutRequest{Key: "a", Value: json.RawMessage("1")})
	require.True(t, store.IsUnknownOutcome(err), "%v", err)
	service.requireStatus(t, http.StatusOK, "POST", "/fault", Faults{OutageMS: time.Hour.Milliseconds(), Unavailable: true}, nil)
	var unavailable *store.UnavailableError
	_, err = c.Put(ctx, store.PutRequest{Key: "b", Value: json.RawMessage("1")})
	require.ErrorAs(t, err, &unavailable)
}

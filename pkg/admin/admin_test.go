package admin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
)

const operatorKey = "operator-key"

// fakeBackend records the requests and answers each with the same answer. It accepts
// none while full is set.
type fakeBackend struct {
	requests []control.OperatorRequest
	response control.OperatorResponse
	full     bool
	ready    bool
}

func (b *fakeBackend) Submit(r control.OperatorRequest, reply chan<- control.OperatorResponse) bool {
	if b.full {
		return false
	}
	b.requests = append(b.requests, r)
	reply <- b.response
	return true
}

func (b *fakeBackend) Explain(string) ([]string, bool) { return nil, !b.full }

func (b *fakeBackend) Ready() bool { return b.ready }

func newServer(t *testing.T, b *fakeBackend) *Server {
	hash := sha256.Sum256([]byte(operatorKey))
	s, err := New("127.0.0.1:0", hex.EncodeToString(hash[:]), b)
	require.NoError(t, err)
	t.Cleanup(func() { s.listener.Close() })
	return s
}

func request(s *Server, method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", key)
	}
	w := httptest.NewRecorder()
	s.http.Handler.ServeHTTP(w, r)
	return w
}

// operatorPaths are the paths that need the operators' key.
var operatorPaths = []string{
	"GET /v1/catalogue", "POST /v1/catalogue/edits", "GET /v1/catalogue/history",
	"GET /v1/status", "GET /v1/explain", "POST /v1/switchover",
}

// Guards against an administration path that accepts requests without the operators'
// key.
func TestEveryOperatorPathNeedsTheKey(t *testing.T) {
	b := &fakeBackend{}
	s := newServer(t, b)
	withoutKey, err := New("127.0.0.1:0", "", b)
	require.NoError(t, err)
	defer withoutKey.listener.Close()
	for _, path := range operatorPaths {
		method, target, _ := strings.Cut(path, " ")
		for _, key := range []string{"", "Bearer ", "Bearer wrong", operatorKey, "Basic " + operatorKey} {
			require.Equal(t, http.StatusUnauthorized, request(s, method, target, key, "{}").Code, "%s %q", path, key)
		}
		require.Equal(t, http.StatusUnauthorized, request(withoutKey, method, target, "Bearer ", "{}").Code, "no key is set")
	}
	require.Empty(t, b.requests)
	require.Equal(t, http.StatusOK, request(s, "GET", "/v1/status", "Bearer "+operatorKey, "").Code)
}

const identity = "0123456789abcdef"

// edits returns a request body with a list of edits in JSON.
func edits(list string) string {
	return `{"identity":"` + identity + `","edits":` + list + `}`
}

// Guards against applying a part of an invalid request: a body with an error anywhere
// must not reach the control duty.
func TestInvalidBodyIsRefusedAsAWhole(t *testing.T) {
	good := `{"op":"remove_entry","args":{"name":"e"}}`
	for body, status := range map[string]int{
		"":                                    http.StatusBadRequest,
		"[]":                                  http.StatusBadRequest,
		edits("["+good+"]") + "{}":            http.StatusBadRequest,
		edits("[" + good + `,{"op":"none"}]`): http.StatusBadRequest,
		`{"identity":"short","edits":[]}`:     http.StatusBadRequest,
		`{"identity":"` + identity + `","edits":[],"more":1}`:  http.StatusBadRequest,
		edits(`["` + strings.Repeat("x", maxBodyBytes) + `"]`): http.StatusRequestEntityTooLarge,
	} {
		b := &fakeBackend{}
		w := request(newServer(t, b), "POST", "/v1/catalogue/edits", "Bearer "+operatorKey, body)
		require.Equal(t, status, w.Code, "%.60s: %s", body, w.Body)
		require.Empty(t, b.requests, "%.60s", body)
	}
}

// Guards against a misleading HTTP status: an edit that is reported as not run must not
// have run, and an uncertain outcome must be reported as such.
func TestErrorsKeepTheirMeaning(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		status int
	}{
		"accepted":    {nil, http.StatusOK},
		"rejected":    {&catalogue.CheckError{Violations: []catalogue.Violation{{}}}, http.StatusUnprocessableEntity},
		"conflict":    {&control.EditError{Outcome: catalogue.OutcomeConflict}, http.StatusConflict},
		"uncertain":   {&control.EditError{Outcome: catalogue.OutcomeUncertain}, http.StatusGatewayTimeout},
		"not written": {&control.EditError{Outcome: catalogue.OutcomeNotWritten}, http.StatusServiceUnavailable},
		"busy":        {&catalogue.BusyError{}, http.StatusServiceUnavailable},
		"unknown":     {&control.UnknownDatabaseError{Name: "db"}, http.StatusNotFound},
	} {
		b := &fakeBackend{response: control.OperatorResponse{Version: 7, Err: c.err}}
		w := request(newServer(t, b), "POST", "/v1/catalogue/edits", "Bearer "+operatorKey, edits("[]"))
		require.Equal(t, c.status, w.Code, name)
		if c.err == nil {
			require.JSONEq(t, `{"version":7}`, w.Body.String())
			continue
		}
		var e Error
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &e), name)
		require.NotEmpty(t, e.Message, name)
	}
	w := request(newServer(t, &fakeBackend{full: true}), "POST", "/v1/catalogue/edits", "Bearer "+operatorKey, edits("[]"))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}

// Guards against reporting an instance as ready that is not.
func TestReadiness(t *testing.T) {
	b := &fakeBackend{}
	s := newServer(t, b)
	require.Equal(t, http.StatusServiceUnavailable, request(s, "GET", "/readyz", "", "").Code)
	require.Equal(t, http.StatusOK, request(s, "GET", "/healthz", "", "").Code)
	b.ready = true
	require.Equal(t, http.StatusOK, request(s, "GET", "/readyz", "", "").Code)
}

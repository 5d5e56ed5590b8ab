// Package admin is the HTTP server of an instance: health and readiness for the
// platform's balancer, metrics, and the administration API for operators.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
)

// ErrListen reports an administration address that cannot be bound, or an invalid
// hash of the operators' key.
var ErrListen = eris.New("administration address cannot be bound")

const (
	// responseTimeout bounds the wait for the control duty; an edit may need several
	// platform calls.
	responseTimeout = 10 * time.Second
	// readTimeout bounds reading a request, and maxBodyBytes the size of its body.
	readTimeout  = 5 * time.Second
	maxBodyBytes = 1 << 20
	// writeTimeout bounds a request including its response, so that a client that does
	// not read cannot keep a connection forever. idleTimeout closes unused connections.
	writeTimeout = readTimeout + 2*responseTimeout
	idleTimeout  = time.Minute
)

// Backend is the instance to which the server passes requests.
type Backend interface {
	// Submit passes a request to the control duty, which sends the answer to the
	// channel. It reports false when the duty's ring is full.
	Submit(control.OperatorRequest, chan<- control.OperatorResponse) bool
	// Explain returns explanations of how the last statements of an account were
	// routed. It reports false when the session duty does not answer in time.
	Explain(account string) ([]string, bool)
	// Ready reports whether the balancer may send callers to the instance.
	Ready() bool
}

// Server is the HTTP server of one instance.
type Server struct {
	backend  Backend
	keyHash  []byte
	listener net.Listener
	http     http.Server
}

// New binds address and returns a server that is not running yet. keyHash is the
// SHA-256 of the operators' key in hexadecimal; if it is empty, every request to the
// administration API is rejected. New returns ErrListen, wrapped, when the address
// cannot be bound or keyHash is not hexadecimal.
func New(address, keyHash string, backend Backend) (*Server, error) {
	hash, err := hex.DecodeString(keyHash)
	if err != nil {
		return nil, eris.Wrap(ErrListen, "operator key hash is not hexadecimal")
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	s := &Server{backend: backend, keyHash: hash, listener: listener}
	s.http = http.Server{Handler: s.routes(), ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout}
	return s, nil
}

// Address returns the bound address.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves requests until Stop.
func (s *Server) Run() {
	// Serve always returns an error; after Stop it is http.ErrServerClosed.
	_ = s.http.Serve(s.listener)
}

// Stop makes Run return. It waits at most responseTimeout for requests in progress.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	_ = s.http.Shutdown(ctx)
}

// routes returns the handler of all paths. Paths under /v1 need the operators' key.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.Handle("GET /v1/catalogue", s.requireOperatorKey(s.getCatalogue))
	mux.Handle("POST /v1/catalogue/edits", s.requireOperatorKey(s.postEdits))
	mux.Handle("GET /v1/catalogue/history", s.requireOperatorKey(s.getHistory))
	mux.Handle("GET /v1/status", s.requireOperatorKey(s.getStatus))
	mux.Handle("GET /v1/explain", s.requireOperatorKey(s.getExplain))
	mux.Handle("POST /v1/switchover", s.requireOperatorKey(s.postSwitchover))
	return mux
}

// readyz answers 200 when the instance is ready, and 503 when it is not.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.backend.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handler returns the value to encode as the response to an operator's request, or an
// error.
type handler func(*http.Request) (any, error)

// requireOperatorKey wraps a handler: it checks the operators' key, limits the body and
// encodes the response.
func (s *Server) requireOperatorKey(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if !s.authorized(r) {
			writeError(w, &Error{Status: http.StatusUnauthorized, Message: "operator key missing or wrong"})
			return
		}
		value, err := h(r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, value)
	})
}

// authorized reports whether the request carries the operators' key. The comparison
// takes constant time.
func (s *Server) authorized(r *http.Request) bool {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || len(s.keyHash) == 0 {
		return false
	}
	hash := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(hash[:], s.keyHash) == 1
}

// Error is an error response of the administration API.
type Error struct {
	// Status is the HTTP status.
	Status  int    `json:"-"`
	Message string `json:"error"`
	// Faults lists the catalogue rules that the edits violate.
	Faults []string `json:"faults,omitempty"`
}

func (e *Error) Error() string {
	return e.Message
}

// writeError writes err as JSON. An error that is not an *Error gets status 500.
func writeError(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Status: http.StatusInternalServerError, Message: err.Error()}
	}
	writeJSON(w, e.Status, e)
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

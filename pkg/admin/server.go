// Package admin serves an instance's HTTP address: health and readiness for
// the platform's balancer, metrics, and the administration API for operators.
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

// ErrListen reports an address that cannot be bound.
var ErrListen = eris.New("administration address cannot be bound")

const (
	// answerBound is how long a request waits for the control duty; an edit
	// may need several platform calls.
	answerBound = 10 * time.Second
	// readBound and maxBody bound what a client may send.
	readBound = 5 * time.Second
	maxBody   = 1 << 20
	// writeBound bounds a request with its answer, so that a client that does not
	// read holds no connection for ever; idleBound bounds an unused connection.
	writeBound = readBound + 2*answerBound
	idleBound  = time.Minute
)

// Backend is what the server asks.
type Backend interface {
	// Ask hands a request to the control duty; it reports false when the
	// duty's ring is full.
	Ask(control.OperatorRequest, chan<- control.OperatorAnswer) bool
	// Explain tells why the last statements of an account went where they
	// went; it reports false when the session duty did not answer.
	Explain(account string) ([]string, bool)
	Ready() bool
}

// Server is the HTTP server of one instance.
type Server struct {
	backend  Backend
	keyHash  []byte
	listener net.Listener
	http     http.Server
}

// New binds address. keyHash is the SHA-256 of the operators' key in hex;
// empty refuses every request of the administration API. It returns ErrListen,
// wrapped, when the address cannot be bound.
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
	s.http = http.Server{Handler: s.routes(), ReadTimeout: readBound, WriteTimeout: writeBound, IdleTimeout: idleBound}
	return s, nil
}

// Address returns the bound address.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until Stop.
func (s *Server) Run() {
	// Serve always returns an error; after Stop it says only that it stopped.
	_ = s.http.Serve(s.listener)
}

// Stop ends Run after the requests in progress, for at most answerBound.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), answerBound)
	defer cancel()
	_ = s.http.Shutdown(ctx)
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.Handle("GET /v1/catalogue", s.operator(s.getCatalogue))
	mux.Handle("POST /v1/catalogue/edits", s.operator(s.postEdits))
	mux.Handle("GET /v1/catalogue/history", s.operator(s.getHistory))
	mux.Handle("GET /v1/status", s.operator(s.getStatus))
	mux.Handle("GET /v1/explain", s.operator(s.getExplain))
	mux.Handle("POST /v1/switchover", s.operator(s.postSwitchover))
	return mux
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.backend.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handler answers an operator's request with a value to encode or an error.
type handler func(*http.Request) (any, error)

func (s *Server) operator(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
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

func (s *Server) authorized(r *http.Request) bool {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || len(s.keyHash) == 0 {
		return false
	}
	hash := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(hash[:], s.keyHash) == 1
}

// Error is an error of the administration API.
type Error struct {
	// Status is the HTTP status.
	Status  int    `json:"-"`
	Message string `json:"error"`
	// Faults lists the rules that an edit breaks.
	Faults []string `json:"faults,omitempty"`
}

func (e *Error) Error() string {
	return e.Message
}

func writeError(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Status: http.StatusInternalServerError, Message: err.Error()}
	}
	writeJSON(w, e.Status, e)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client is gone when this fails; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(value)
}

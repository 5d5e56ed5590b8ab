package storetest

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

// maxWatchTimeout bounds the timeout of a watch.
const maxWatchTimeout = time.Minute

// maxRequestBytes bounds a request body: a value of the greatest size and the
// fields around it.
const maxRequestBytes = store.MaxValueBytes + 4096

// handler serves a store.Store over HTTP.
type handler struct {
	store store.Store
}

// NewHandler returns a handler that serves a store with the platform's HTTP
// interface (docs/design.md section 9). It closes the connection without a
// response if the outcome of a call is unknown.
func NewHandler(store store.Store) http.Handler {
	h := &handler{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", h.get)
	mux.HandleFunc("PUT /kv/{key...}", h.put)
	mux.HandleFunc("DELETE /kv/{key...}", h.delete)
	mux.HandleFunc("POST /lease", h.createLease)
	mux.HandleFunc("POST /lease/{id}/renew", h.renewLease)
	mux.HandleFunc("DELETE /lease/{id}", h.revokeLease)
	mux.HandleFunc("GET /watch", h.watch)
	mux.HandleFunc("GET /instances", h.instances)
	mux.HandleFunc("PUT /instances/{id}", h.announce)
	return mux
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	record, err := h.store.Get(r.Context(), store.Key(r.PathValue("key")))
	respond(w, record, err)
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	var d store.PutDocument
	if err := readBody(r, &d); err != nil {
		respond(w, nil, err)
		return
	}
	record, err := h.store.Put(r.Context(), store.PutRequest{
		Key:      store.Key(r.PathValue("key")),
		Value:    d.Value,
		Revision: d.Revision,
		Lease:    d.Lease,
	})
	respond(w, record, err)
}

func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	revision, err := queryNumber(r, "revision")
	if err == nil {
		err = h.store.Delete(r.Context(), store.Key(r.PathValue("key")), store.Revision(revision))
	}
	respond(w, struct{}{}, err)
}

func (h *handler) createLease(w http.ResponseWriter, r *http.Request) {
	var d store.LeaseRequestDocument
	if err := readBody(r, &d); err != nil {
		respond(w, nil, err)
		return
	}
	id, err := h.store.CreateLease(r.Context(), time.Duration(d.TTLMillis)*time.Millisecond)
	respond(w, store.LeaseDocument{ID: id}, err)
}

func (h *handler) renewLease(w http.ResponseWriter, r *http.Request) {
	err := h.store.RenewLease(r.Context(), store.LeaseID(r.PathValue("id")))
	respond(w, struct{}{}, err)
}

func (h *handler) revokeLease(w http.ResponseWriter, r *http.Request) {
	err := h.store.RevokeLease(r.Context(), store.LeaseID(r.PathValue("id")))
	respond(w, struct{}{}, err)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after")
	if err != nil {
		respond(w, nil, err)
		return
	}
	millis, err := queryNumber(r, "timeout_ms")
	if err != nil {
		respond(w, nil, err)
		return
	}
	result, err := h.store.Watch(r.Context(), store.WatchRequest{
		Prefix:  store.Key(r.URL.Query().Get("prefix")),
		After:   store.Revision(after),
		Timeout: min(time.Duration(millis)*time.Millisecond, maxWatchTimeout),
	})
	respond(w, result, err)
}

func (h *handler) instances(w http.ResponseWriter, r *http.Request) {
	list, err := h.store.Instances(r.Context())
	respond(w, list, err)
}

func (h *handler) announce(w http.ResponseWriter, r *http.Request) {
	var i store.Instance
	if err := readBody(r, &i); err != nil {
		respond(w, nil, err)
		return
	}
	i.ID = core.InstanceID(r.PathValue("id"))
	respond(w, struct{}{}, h.store.Announce(r.Context(), i))
}

func readBody(r *http.Request, body any) error {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes+1))
	if err != nil {
		return &store.InvalidError{Reason: err.Error()}
	}
	if len(text) > maxRequestBytes {
		return &store.InvalidError{Reason: "the request is too large"}
	}
	if err := json.Unmarshal(text, body); err != nil {
		return &store.InvalidError{Reason: err.Error()}
	}
	return nil
}

func queryNumber(r *http.Request, name string) (uint64, error) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0, &store.InvalidError{Reason: name + " must be a number"}
	}
	return n, nil
}

// respond writes the result, or the response that stands for the error.
func respond(w http.ResponseWriter, result any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, result)
		return
	}
	if store.IsUnknownOutcome(err) {
		// The server closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		writeJSON(w, http.StatusConflict, conflict.Current)
		return
	}
	writeJSON(w, statusCode(err), store.ErrorDocument{Error: err.Error()})
}

func statusCode(err error) int {
	var notFound *store.NotFoundError
	var limited *store.RateLimitedError
	var invalid *store.InvalidError
	switch {
	case errors.As(err, &notFound):
		return http.StatusNotFound
	case errors.As(err, &limited):
		return http.StatusTooManyRequests
	case errors.As(err, &invalid):
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

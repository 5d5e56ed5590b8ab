package kvservice

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

// maxBodyBytes limits a request body: a value and the fields around it.
const maxBodyBytes = store.MaxValueBytes + 4096

// Handler returns the HTTP interface of the service. Its handlers wait for the
// service duty.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", s.handleGet)
	mux.HandleFunc("PUT /kv/{key...}", s.handlePut)
	mux.HandleFunc("DELETE /kv/{key...}", s.handleDelete)
	mux.HandleFunc("POST /lease", s.handleCreateLease)
	mux.HandleFunc("POST /lease/{id}/renew", s.handleRenewLease)
	mux.HandleFunc("DELETE /lease/{id}", s.handleRevokeLease)
	mux.HandleFunc("GET /watch", s.handleWatch)
	mux.HandleFunc("GET /instances", s.handleInstances)
	mux.HandleFunc("PUT /instances/{id}", s.handleAnnounce)
	mux.HandleFunc("DELETE /instances/{id}", s.handleWithdraw)
	mux.HandleFunc("GET /stats", s.handleStats)
	mux.HandleFunc("POST /fault", s.handleFault)
	return mux
}

// serve passes a request to the service duty and sends its response.
func (s *Service) serve(w http.ResponseWriter, req *http.Request, r request) {
	r.responseCh = make(chan response, 1)
	if r.watch != nil {
		r.watch.responseCh = r.responseCh
	}
	if !s.requests.TryPush(r) {
		writeResponse(w, response{status: http.StatusServiceUnavailable, body: store.ErrorDocument{Error: "overloaded"}})
		return
	}
	select {
	case a := <-r.responseCh:
		writeResponse(w, a)
	case <-req.Context().Done():
	}
}

func writeResponse(w http.ResponseWriter, a response) {
	if a.drop {
		// net/http closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(a.body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	_, _ = w.Write(body)
}

func writeError(w http.ResponseWriter, status int, reason string) {
	writeResponse(w, response{status: status, body: store.ErrorDocument{Error: reason}})
}

// readBody decodes a request body. For an invalid body it sends an error and returns
// false.
func readBody[B any](w http.ResponseWriter, req *http.Request) (B, bool) {
	var body B
	err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes)).Decode(&body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
	case err != nil:
		writeError(w, http.StatusBadRequest, err.Error())
	}
	return body, err == nil
}

// queryNumber returns a query parameter, or 0 when it is missing. For an invalid
// number it sends an error and returns false.
func queryNumber(w http.ResponseWriter, req *http.Request, name string) (uint64, bool) {
	text := req.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid "+name)
	}
	return n, err == nil
}

func pathKey(req *http.Request) store.Key {
	return store.Key(req.PathValue("key"))
}

func (s *Service) handleGet(w http.ResponseWriter, req *http.Request) {
	s.serve(w, req, request{operation: getOp{pathKey(req)}})
}

func (s *Service) handlePut(w http.ResponseWriter, req *http.Request) {
	body, ok := readBody[store.PutDocument](w, req)
	if !ok {
		return
	}
	if len(body.Value) > store.MaxValueBytes {
		writeError(w, http.StatusRequestEntityTooLarge, "value is larger than 1 MB")
		return
	}
	if err := pathKey(req).Check(); err != nil || len(body.Value) == 0 {
		writeError(w, http.StatusBadRequest, "invalid key or no value")
		return
	}
	put := store.PutRequest{Key: pathKey(req), Value: body.Value, Revision: body.Revision, Lease: body.Lease}
	s.serve(w, req, request{operation: putOp{put}})
}

func (s *Service) handleDelete(w http.ResponseWriter, req *http.Request) {
	revision, ok := queryNumber(w, req, "revision")
	if !ok {
		return
	}
	s.serve(w, req, request{operation: deleteOp{pathKey(req), store.Revision(revision)}})
}

func (s *Service) handleCreateLease(w http.ResponseWriter, req *http.Request) {
	body, ok := readBody[store.LeaseRequestDocument](w, req)
	if !ok {
		return
	}
	if body.TTLMillis <= 0 {
		writeError(w, http.StatusBadRequest, "ttl_ms is not positive")
		return
	}
	s.serve(w, req, request{operation: createLeaseOp{time.Duration(body.TTLMillis) * time.Millisecond}})
}

func (s *Service) handleRenewLease(w http.ResponseWriter, req *http.Request) {
	s.serve(w, req, request{operation: renewLeaseOp{store.LeaseID(req.PathValue("id"))}})
}

func (s *Service) handleRevokeLease(w http.ResponseWriter, req *http.Request) {
	s.serve(w, req, request{operation: revokeLeaseOp{store.LeaseID(req.PathValue("id"))}})
}

func (s *Service) handleWatch(w http.ResponseWriter, req *http.Request) {
	after, ok := queryNumber(w, req, "after")
	if !ok {
		return
	}
	timeout, ok := queryNumber(w, req, "timeout_ms")
	if !ok {
		return
	}
	s.serve(w, req, request{watch: &watchCall{
		prefix:  store.Key(req.URL.Query().Get("prefix")),
		after:   store.Revision(after),
		timeout: time.Duration(min(timeout, uint64(maxWatchTimeout.Milliseconds()))) * time.Millisecond,
	}})
}

func (s *Service) handleInstances(w http.ResponseWriter, req *http.Request) {
	s.serve(w, req, request{operation: instancesOp{}})
}

func (s *Service) handleAnnounce(w http.ResponseWriter, req *http.Request) {
	instance, ok := readBody[store.Instance](w, req)
	if !ok {
		return
	}
	instance.ID = core.InstanceID(req.PathValue("id"))
	s.serve(w, req, request{operation: announceOp{instance}})
}

func (s *Service) handleWithdraw(w http.ResponseWriter, req *http.Request) {
	s.serve(w, req, request{operation: withdrawOp{core.InstanceID(req.PathValue("id"))}})
}

func (s *Service) handleStats(w http.ResponseWriter, req *http.Request) {
	s.serve(w, req, request{stats: true})
}

func (s *Service) handleFault(w http.ResponseWriter, req *http.Request) {
	faults, ok := readBody[Faults](w, req)
	if !ok {
		return
	}
	s.serve(w, req, request{faults: &faults})
}

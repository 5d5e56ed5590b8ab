package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store and for POST /promotion. It
// keeps one revision for all keys, conditional transactions, leases and watches, and
// loses nothing that it has acknowledged.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]*lease
	// changed is closed and replaced at each change.
	changed chan struct{}
	address string
	promote func(group, member string, token uint64) int
}

// item is an item of the store or, as an event, its change.
type item struct {
	Key         string `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision uint64 `json:"modRevision"`
	Created     uint64 `json:"created,omitempty"`
	Lease       uint64 `json:"lease,omitempty"`
	Tombstone   bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

func newStore() (*store, error) {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.locked(s.getKey))
	mux.HandleFunc("GET /v1/kv-range", s.locked(s.getRange))
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.locked(s.transact))
	mux.HandleFunc("POST /v1/kv-lease", s.locked(s.grantLease))
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.locked(s.renewLease))
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.locked(s.endLease))
	mux.HandleFunc("POST /promotion", s.handlePromotion)
	go func() { _ = http.Serve(listener, mux) }()
	go s.expire()
	return s, nil
}

// put writes an item as the operator and the members do. Its return is the ack.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.apply(item{Key: key, Value: text})
}

// remove deletes an item as the platform does.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, found := s.items[key]; found {
		s.revision++
		s.apply(item{Key: key, Tombstone: true})
	}
}

// value returns the value of an item, nil if there is none.
func (s *store) value(key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.items[key].Value
}

// apply applies a change at the current revision. The caller holds the mutex.
func (s *store) apply(i item) {
	i.ModRevision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.Created = s.revision
		if old, found := s.items[i.Key]; found {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that were not renewed in time.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mutex.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expiresAt) {
				s.deleteLease(id)
			}
		}
		s.mutex.Unlock()
	}
}

// deleteLease ends a lease and removes its keys. The caller holds the mutex.
func (s *store) deleteLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.apply(item{Key: key, Tombstone: true})
		}
	}
}

func (s *store) locked(handler func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		status, body := handler(r)
		text, err := json.Marshal(body)
		s.mutex.Unlock()
		if err != nil {
			panic(err)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(text)
	}
}

func (s *store) getKey(r *http.Request) (int, any) {
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		return http.StatusNotFound, map[string]uint64{"asOf": s.revision}
	}
	return http.StatusOK, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{i, s.revision}
}

func (s *store) getRange(r *http.Request) (int, any) {
	query := r.URL.Query()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	return http.StatusOK, map[string]any{"items": items, "asOf": s.revision, "morePages": false}
}

// watch returns the events after a revision, and waits up to waitMs for the first one.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mutex.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.ModRevision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || timedOut {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(r *http.Request) (int, any) {
	var request struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Delete   []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	for _, e := range request.Expected {
		if s.items[e.Key].ModRevision != e.ModRevision {
			return http.StatusPreconditionFailed, map[string]any{"items": s.current(request.Expected)}
		}
	}
	for _, write := range request.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, write := range request.Writes {
		s.apply(write)
	}
	for _, key := range request.Delete {
		s.apply(item{Key: key, Tombstone: true})
	}
	return http.StatusOK, map[string]uint64{"modRevision": s.revision}
}

// current returns the present items of the rows of expected.
func (s *store) current(expected []item) []item {
	items := []item{}
	for _, e := range expected {
		if i, found := s.items[e.Key]; found {
			items = append(items, i)
		}
	}
	return items
}

func (s *store) grantLease(r *http.Request) (int, any) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.revision++
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": request.TTLMs}
}

func (s *store) renewLease(r *http.Request) (int, any) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, struct{}{}
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"lease": id, "ttlMs": l.ttl.Milliseconds()}
}

func (s *store) endLease(r *http.Request) (int, any) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.deleteLease(id)
	return http.StatusOK, struct{}{}
}

func (s *store) handlePromotion(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Backend string `json:"backend"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&request) != nil || r.Header.Get("X-Lease-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(s.promote(request.Backend, request.ID, token))
	fmt.Fprint(w, "{}")
}

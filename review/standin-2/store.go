package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It
// also serves POST /promotion.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	events   []Item
	leases   map[uint64]*lease
	changed  chan struct{}
	address  string
	// lateTxn returns how much later a transaction is executed, without an answer. 0 stands
	// for a sound answer.
	lateTxn func(t *Txn) time.Duration
	// promote carries out a promotion and returns the status.
	promote func(group, member, holder string, token uint64) int
	// writes counts the write calls, lost those without an answer.
	writes, lost int
}

// Item is a record, or a change of one.
type Item struct {
	Key         string `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision uint64 `json:"modRevision"`
	Created     uint64 `json:"created,omitempty"`
	Lease       uint64 `json:"lease"`
	Tombstone   bool   `json:"tombstone,omitempty"`
}

// Txn is the body of a conditional write.
type Txn struct {
	Expected []Item   `json:"expected"`
	Writes   []Item   `json:"writes"`
	Delete   []string `json:"delete"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// newStore starts a store on a free port.
func newStore() (*Store, error) {
	s := &Store{revision: 10, items: map[string]Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.getRange)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	mux.HandleFunc("POST /promotion", s.promotion)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, mux) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// put writes an item as the operator and the members do. It returns when the store has
// accepted it.
func (s *Store) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(Item{Key: key, Value: text})
	return time.Now()
}

func (s *Store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; known {
		s.revision++
		s.apply(Item{Key: key, Tombstone: true})
	}
}

func (s *Store) apply(i Item) {
	i.ModRevision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.Created = s.revision
		if old, known := s.items[i.Key]; known {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.revision++
		s.apply(Item{Key: key, Tombstone: true})
	}
}

func (s *Store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	i, known := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !known {
		reply(w, http.StatusNotFound, map[string]uint64{"asOf": asOf})
		return
	}
	reply(w, http.StatusOK, struct {
		Item
		AsOf uint64 `json:"asOf"`
	}{i, asOf})
}

// pageItems is the largest number of items of a page.
const pageItems = 500

func (s *Store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	s.expire()
	list := []Item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && (after == "" || key > after) {
			list = append(list, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > pageItems
	if more {
		list = list[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "morePages": more, "asOf": asOf})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for late := false; ; {
		s.mu.Lock()
		s.expire()
		list := []Item{}
		for _, e := range s.events {
			if e.ModRevision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				list = append(list, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 || late {
			reply(w, http.StatusOK, map[string]any{"events": list, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

// hang leaves the call without an answer until its caller gives up.
func hang(r *http.Request) { <-r.Context().Done() }

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t Txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	s.writes++
	late := time.Duration(0)
	if s.lateTxn != nil {
		late = s.lateTxn(&t)
	}
	if late > 0 {
		s.lost++
		s.mu.Unlock()
		time.AfterFunc(late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.expire()
			status, _ := s.execute(&t)
			note("store", "the call without an answer is carried out: status %d, keys %s", status, t.keys())
		})
		hang(r)
		return
	}
	s.expire()
	status, body := s.execute(&t)
	s.mu.Unlock()
	reply(w, status, body)
}

func (t *Txn) keys() string {
	var keys []string
	for _, i := range t.Writes {
		keys = append(keys, i.Key)
	}
	return strings.Join(append(keys, t.Delete...), " ")
}

// execute carries out a transaction with the mutex held.
func (s *Store) execute(t *Txn) (int, any) {
	var current []Item
	holds := true
	for _, e := range t.Expected {
		i := s.items[e.Key]
		if i.ModRevision != e.ModRevision {
			holds = false
		}
		if i.Key != "" {
			current = append(current, i)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, i := range t.Writes {
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, i := range t.Writes {
		s.apply(Item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, key := range t.Delete {
		if _, known := s.items[key]; known {
			s.apply(Item{Key: key, Tombstone: true})
		}
	}
	return http.StatusOK, map[string]uint64{"modRevision": s.revision}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	s.writes++
	s.revision++
	id := s.revision
	ttl := time.Duration(max(body.TTLMs, 1000)) * time.Millisecond
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.expire()
	l := s.leases[id]
	if l != nil {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.writes++
	s.endLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, struct{}{})
}

func (s *Store) promotion(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Backend string `json:"backend"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Lease-Holder")
	if err != nil || holder == "" || json.NewDecoder(r.Body).Decode(&body) != nil || s.promote == nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	reply(w, s.promote(body.Backend, body.ID, holder, token), struct{}{})
}

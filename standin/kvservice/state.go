// Package kvservice is a stand-in for the platform's key-value service:
// compare-and-swap by revision, leases, watches, rate bounds and a lagging
// list of instances. State takes the time as an argument and performs no I/O;
// Service runs it on one thread behind an HTTP handler.
package kvservice

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

// State is the content of the service. It belongs to one thread.
type State struct {
	revision store.Revision
	// records also holds deleted records, so that watches report them.
	records   map[store.Key]store.Record
	leases    map[store.LeaseID]*lease
	nextLease uint64
	expiry    timerq.Queue[*lease]
	table     *chart.Table[*lease]
	events    leaseEvents
	instances instanceList
	now       time.Time
}

// NewState returns an empty state whose list of instances is behind by lag. It
// returns the error of the lease chart when that is not valid.
func NewState(lag time.Duration) (*State, error) {
	s := &State{
		records:   map[store.Key]store.Record{},
		leases:    map[store.LeaseID]*lease{},
		instances: instanceList{lag: lag},
	}
	table, events, err := compileLease()
	s.table, s.events = table, events
	return s, err
}

// Get returns an existing record.
func (s *State) Get(key store.Key) (store.Record, bool) {
	r, ok := s.records[key]
	if !ok || r.Deleted {
		return store.Record{Key: key}, false
	}
	return r, true
}

// Put writes a record when its revision is the expected one. It returns a
// *store.ConflictError or, for an ended lease, a *store.NotFoundError.
func (s *State) Put(p store.PutRequest) (store.Record, error) {
	current, _ := s.Get(p.Key)
	if p.Lease != "" && s.leases[p.Lease] == nil {
		return current, &store.NotFoundError{What: "lease " + string(p.Lease)}
	}
	if current.Revision != p.Revision {
		return current, &store.ConflictError{Current: current}
	}
	return s.putRecord(store.Record{Key: p.Key, Value: p.Value, Lease: p.Lease}), nil
}

// Delete removes a record when its revision is the expected one. It returns a
// *store.NotFoundError or a *store.ConflictError.
func (s *State) Delete(key store.Key, revision store.Revision) error {
	current, exists := s.Get(key)
	if !exists {
		return &store.NotFoundError{What: "record " + string(key)}
	}
	if current.Revision != revision {
		return &store.ConflictError{Current: current}
	}
	s.putRecord(store.Record{Key: key, Deleted: true})
	return nil
}

func (s *State) putRecord(r store.Record) store.Record {
	s.revision++
	r.Revision = s.revision
	s.records[r.Key] = r
	return r
}

// Changes returns the records with prefix that changed after a revision, in
// the order of their revisions.
func (s *State) Changes(prefix store.Key, after store.Revision) store.WatchResult {
	result := store.WatchResult{Revision: s.revision, Records: []store.Record{}}
	for _, r := range s.records {
		if r.Revision > after && strings.HasPrefix(string(r.Key), string(prefix)) {
			result.Records = append(result.Records, r)
		}
	}
	slices.SortFunc(result.Records, func(a, b store.Record) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	return result
}

// Revision returns the revision of the last change.
func (s *State) Revision() store.Revision {
	return s.revision
}

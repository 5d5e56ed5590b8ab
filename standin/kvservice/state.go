// Package kvservice is a stand-in for the platform's key-value service:
// compare-and-swap by revision, leases, watches, rate limits and a list of instances
// that lags behind. State takes the time as an argument and performs no I/O; Service
// runs it on one thread behind an HTTP handler.
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

// State holds records, leases and the list of instances. It is not safe for
// concurrent use.
type State struct {
	revision store.Revision
	// records includes deleted records, so that watches report them.
	records   map[store.Key]store.Record
	leases    map[store.LeaseID]*lease
	nextLease uint64
	expiry    timerq.Queue[*lease]
	table     *chart.Table[*lease]
	events    leaseEvents
	instances instanceList
	// now is the time of the current lease event.
	now time.Time
}

// NewState returns an empty state whose list of instances is delayed by lag. It
// returns the error of an invalid lease chart.
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

// Get returns a record. The result is false when the record does not exist or has
// been deleted.
func (s *State) Get(key store.Key) (store.Record, bool) {
	r, ok := s.records[key]
	if !ok || r.Deleted {
		return store.Record{Key: key}, false
	}
	return r, true
}

// Put writes a record if its current revision is the expected one. It returns a
// *store.ConflictError for another revision and a *store.NotFoundError for a lease
// that has ended.
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

// Delete deletes a record if its current revision is the expected one. It returns a
// *store.NotFoundError for a missing record and a *store.ConflictError for another
// revision.
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

// putRecord stores a record with the next revision.
func (s *State) putRecord(r store.Record) store.Record {
	s.revision++
	r.Revision = s.revision
	s.records[r.Key] = r
	return r
}

// Changes returns the records whose keys begin with prefix and that changed after a
// revision, in the order of their revisions.
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

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
	"github.com/sassafrasshunt/sassafrasshunt/pkg/platform"
)

// State is the content of the service. It belongs to one thread.
type State struct {
	revision platform.Revision
	// records also holds deleted records, so that watches report them.
	records   map[platform.Key]platform.Record
	leases    map[platform.LeaseID]*lease
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
		records:   map[platform.Key]platform.Record{},
		leases:    map[platform.LeaseID]*lease{},
		instances: instanceList{lag: lag},
	}
	table, events, err := compileLease()
	s.table, s.events = table, events
	return s, err
}

// Get returns an existing record.
func (s *State) Get(key platform.Key) (platform.Record, bool) {
	r, ok := s.records[key]
	if !ok || r.Deleted {
		return platform.Record{Key: key}, false
	}
	return r, true
}

// Put writes a record when its revision is the expected one. It returns a
// *platform.ConflictError or, for an ended lease, a *platform.NotFoundError.
func (s *State) Put(p platform.PutRequest) (platform.Record, error) {
	current, _ := s.Get(p.Key)
	if p.Lease != "" && s.leases[p.Lease] == nil {
		return current, &platform.NotFoundError{What: "lease " + string(p.Lease)}
	}
	if current.Revision != p.Revision {
		return current, &platform.ConflictError{Current: current}
	}
	return s.store(platform.Record{Key: p.Key, Value: p.Value, Lease: p.Lease}), nil
}

// Delete removes a record when its revision is the expected one. It returns a
// *platform.NotFoundError or a *platform.ConflictError.
func (s *State) Delete(key platform.Key, revision platform.Revision) error {
	current, exists := s.Get(key)
	if !exists {
		return &platform.NotFoundError{What: "record " + string(key)}
	}
	if current.Revision != revision {
		return &platform.ConflictError{Current: current}
	}
	s.store(platform.Record{Key: key, Deleted: true})
	return nil
}

func (s *State) store(r platform.Record) platform.Record {
	s.revision++
	r.Revision = s.revision
	s.records[r.Key] = r
	return r
}

// Changes returns the records with prefix that changed after a revision, in
// the order of their revisions.
func (s *State) Changes(prefix platform.Key, after platform.Revision) platform.WatchResult {
	result := platform.WatchResult{Revision: s.revision, Records: []platform.Record{}}
	for _, r := range s.records {
		if r.Revision > after && strings.HasPrefix(string(r.Key), string(prefix)) {
			result.Records = append(result.Records, r)
		}
	}
	slices.SortFunc(result.Records, func(a, b platform.Record) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	return result
}

// Revision returns the revision of the last change.
func (s *State) Revision() platform.Revision {
	return s.revision
}

// Package storetest is an in-memory store.Store with fault injection, for tests.
package storetest

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

// Memory is an in-memory store.Store. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	revision store.Revision
	// records has deleted records too, because watches report them.
	records map[store.Key]store.Record
	leases  map[store.LeaseID]*lease
	// lastLease is the number of the newest lease.
	lastLease int
	// changed is closed and replaced at each change.
	changed    chan struct{}
	faults     Faults
	rateWindow rateWindow
	instances  map[core.InstanceID]store.Instance
	// instanceList is the list returned since instanceListAt.
	instanceList   []store.Instance
	instanceListAt time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

var _ store.Store = (*Memory)(nil)

// NewMemory returns an empty platform without faults.
func NewMemory() *Memory {
	return &Memory{
		records:   map[store.Key]store.Record{},
		leases:    map[store.LeaseID]*lease{},
		changed:   make(chan struct{}),
		instances: map[core.InstanceID]store.Instance{},
	}
}

// notifyWatches wakes the watches. The caller holds the lock.
func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// expire ends the leases that are due. The caller holds the lock.
func (m *Memory) expire(now time.Time) {
	for id, l := range m.leases {
		if now.After(l.expires) {
			m.endLease(id)
		}
	}
}

// ExpireLease ends a lease as if its TTL had passed.
func (m *Memory) ExpireLease(id store.LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLease(id)
}

// endLease ends the lease and deletes its records. The caller holds the lock.
func (m *Memory) endLease(id store.LeaseID) {
	delete(m.leases, id)
	for key, r := range m.records {
		if r.Lease == id && !r.Deleted {
			m.deleteRecord(key)
		}
	}
}

// deleteRecord marks the record as deleted. The caller holds the lock.
func (m *Memory) deleteRecord(key store.Key) {
	m.revision++
	m.records[key] = store.Record{Key: key, Revision: m.revision, Deleted: true}
	m.notifyWatches()
}

// currentRecord returns the record, with the revision NotExists if it does not
// exist.
func (m *Memory) currentRecord(key store.Key) store.Record {
	r, ok := m.records[key]
	if !ok || r.Deleted {
		return store.Record{Key: key}
	}
	return r
}

// Get implements store.Store.
func (m *Memory) Get(ctx context.Context, key store.Key) (store.Record, error) {
	if err := key.Check(); err != nil {
		return store.Record{}, err
	}
	if err := m.beginCall(ctx, false); err != nil {
		return store.Record{}, err
	}
	defer m.mu.Unlock()
	r := m.currentRecord(key)
	if r.Revision == store.NotExists {
		return store.Record{}, &store.NotFoundError{What: "record " + string(key)}
	}
	return r, nil
}

// Put implements store.Store.
func (m *Memory) Put(ctx context.Context, r store.PutRequest) (store.Record, error) {
	if err := r.Key.Check(); err != nil {
		return store.Record{}, err
	}
	var value bytes.Buffer
	if err := json.Compact(&value, r.Value); err != nil || value.Len() > store.MaxValueBytes {
		return store.Record{}, &store.InvalidError{Reason: "the value must be JSON of at most 1 MB"}
	}
	if err := m.beginCall(ctx, true); err != nil {
		return store.Record{}, err
	}
	defer m.mu.Unlock()
	if _, ok := m.leases[r.Lease]; r.Lease != "" && !ok {
		return store.Record{}, &store.NotFoundError{What: "lease " + string(r.Lease)}
	}
	if current := m.currentRecord(r.Key); current.Revision != r.Revision {
		return store.Record{}, &store.ConflictError{Current: current}
	}
	m.revision++
	record := store.Record{Key: r.Key, Value: value.Bytes(), Revision: m.revision, Lease: r.Lease}
	m.records[r.Key] = record
	m.notifyWatches()
	return record, m.endChange()
}

// Delete implements store.Store.
func (m *Memory) Delete(ctx context.Context, key store.Key, revision store.Revision) error {
	if err := key.Check(); err != nil {
		return err
	}
	if err := m.beginCall(ctx, true); err != nil {
		return err
	}
	defer m.mu.Unlock()
	current := m.currentRecord(key)
	if current.Revision == store.NotExists {
		return &store.NotFoundError{What: "record " + string(key)}
	}
	if current.Revision != revision {
		return &store.ConflictError{Current: current}
	}
	m.deleteRecord(key)
	return m.endChange()
}

// CreateLease implements store.Store.
func (m *Memory) CreateLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if ttl <= 0 {
		return "", &store.InvalidError{Reason: "ttl_ms must be above 0"}
	}
	if err := m.beginCall(ctx, true); err != nil {
		return "", err
	}
	defer m.mu.Unlock()
	m.lastLease++
	id := store.LeaseID(fmt.Sprintf("lease-%d", m.lastLease))
	m.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return id, m.endChange()
}

// RenewLease implements store.Store.
func (m *Memory) RenewLease(ctx context.Context, id store.LeaseID) error {
	if err := m.beginCall(ctx, true); err != nil {
		return err
	}
	defer m.mu.Unlock()
	l, ok := m.leases[id]
	if !ok {
		return &store.NotFoundError{What: "lease " + string(id)}
	}
	l.expires = time.Now().Add(l.ttl)
	return m.endChange()
}

// RevokeLease implements store.Store.
func (m *Memory) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if err := m.beginCall(ctx, true); err != nil {
		return err
	}
	defer m.mu.Unlock()
	if _, ok := m.leases[id]; !ok {
		return &store.NotFoundError{What: "lease " + string(id)}
	}
	m.endLease(id)
	return m.endChange()
}

// Instances implements store.Store. The list lags by Faults.InstanceListLag.
func (m *Memory) Instances(ctx context.Context) ([]store.Instance, error) {
	if err := m.beginCall(ctx, false); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	now := time.Now()
	if m.instanceList == nil || now.Sub(m.instanceListAt) >= m.faults.InstanceListLag {
		m.instanceList = m.sortedInstances()
		m.instanceListAt = now
	}
	return slices.Clone(m.instanceList), nil
}

func (m *Memory) sortedInstances() []store.Instance {
	list := make([]store.Instance, 0, len(m.instances))
	for _, i := range m.instances {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b store.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Announce implements store.Store.
func (m *Memory) Announce(ctx context.Context, i store.Instance) error {
	if i.ID == "" || i.PeerAddress == "" {
		return &store.InvalidError{Reason: "an instance needs an id and a peer address"}
	}
	if err := m.beginCall(ctx, true); err != nil {
		return err
	}
	defer m.mu.Unlock()
	m.instances[i.ID] = i
	return m.endChange()
}

// RemoveInstance removes an instance from the list, as the platform does some time
// after the instance has ended.
func (m *Memory) RemoveInstance(id core.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.instances, id)
}

// Watch implements store.Store.
func (m *Memory) Watch(ctx context.Context, r store.WatchRequest) (store.WatchResult, error) {
	deadline := time.Now().Add(r.Timeout)
	if err := m.beginCall(ctx, false); err != nil {
		return store.WatchResult{}, err
	}
	for {
		result := m.changesAfter(r)
		if len(result.Records) > 0 || !time.Now().Before(deadline) {
			m.mu.Unlock()
			return result, nil
		}
		changed, until := m.changed, m.nextWake(deadline)
		m.mu.Unlock()
		if err := waitForChange(ctx, changed, until); err != nil {
			return store.WatchResult{}, err
		}
		m.mu.Lock()
		if m.faults.Outage {
			m.mu.Unlock()
			return store.WatchResult{}, outageError()
		}
		m.expire(time.Now())
	}
}

// changesAfter returns the changes that the watch waits for. The caller holds the
// lock.
func (m *Memory) changesAfter(r store.WatchRequest) store.WatchResult {
	result := store.WatchResult{Revision: m.revision}
	for key, record := range m.records {
		if record.Revision > r.After && strings.HasPrefix(string(key), string(r.Prefix)) {
			result.Records = append(result.Records, record)
		}
	}
	slices.SortFunc(result.Records, func(a, b store.Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return result
}

// nextWake returns the earlier of the deadline and the next end of a lease.
func (m *Memory) nextWake(deadline time.Time) time.Time {
	for _, l := range m.leases {
		if l.expires.Before(deadline) {
			deadline = l.expires
		}
	}
	return deadline
}

// waitForChange waits until the channel is closed or the time has passed.
func waitForChange(ctx context.Context, changed <-chan struct{}, until time.Time) error {
	// A lease ends after its expiry time, not at it.
	timer := time.NewTimer(time.Until(until) + time.Millisecond)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return &store.UnavailableError{Reason: ctx.Err().Error()}
	}
	return nil
}

// Package platformtest is an in-memory platform for tests and stand-ins, with
// faults that can be switched on.
package platformtest

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
	"github.com/sassafrasshunt/sassafrasshunt/pkg/platform"
)

// Memory is a platform.Store in memory. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	revision platform.Revision
	// records keeps deleted ones too, for watches.
	records map[platform.Key]platform.Record
	leases  map[platform.LeaseID]*lease
	serial  int
	// changed is closed and replaced at each change.
	changed   chan struct{}
	faults    Faults
	window    window
	instances map[core.InstanceID]platform.Instance
	listed    []platform.Instance
	listedAt  time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

var _ platform.Store = (*Memory)(nil)

// NewMemory returns an empty platform without faults.
func NewMemory() *Memory {
	return &Memory{
		records:   map[platform.Key]platform.Record{},
		leases:    map[platform.LeaseID]*lease{},
		changed:   make(chan struct{}),
		instances: map[core.InstanceID]platform.Instance{},
	}
}

// noteChange wakes the watches. The caller holds the lock.
func (m *Memory) noteChange() {
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

// EndLease ends a lease as if its time had passed.
func (m *Memory) EndLease(id platform.LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLease(id)
}

func (m *Memory) endLease(id platform.LeaseID) {
	delete(m.leases, id)
	for key, r := range m.records {
		if r.Lease == id && !r.Deleted {
			m.remove(key)
		}
	}
}

func (m *Memory) remove(key platform.Key) {
	m.revision++
	m.records[key] = platform.Record{Key: key, Revision: m.revision, Deleted: true}
	m.noteChange()
}

func (m *Memory) current(key platform.Key) platform.Record {
	r, ok := m.records[key]
	if !ok || r.Deleted {
		return platform.Record{Key: key}
	}
	return r
}

// Get implements platform.Store.
func (m *Memory) Get(ctx context.Context, key platform.Key) (platform.Record, error) {
	if err := key.Check(); err != nil {
		return platform.Record{}, err
	}
	if err := m.begin(ctx, false); err != nil {
		return platform.Record{}, err
	}
	defer m.mu.Unlock()
	r := m.current(key)
	if r.Revision == platform.NotExists {
		return platform.Record{}, &platform.NotFoundError{What: "record " + string(key)}
	}
	return r, nil
}

// Put implements platform.Store.
func (m *Memory) Put(ctx context.Context, r platform.PutRequest) (platform.Record, error) {
	if err := r.Key.Check(); err != nil {
		return platform.Record{}, err
	}
	var value bytes.Buffer
	if err := json.Compact(&value, r.Value); err != nil || value.Len() > platform.MaxValueBytes {
		return platform.Record{}, &platform.InvalidError{Reason: "the value must be JSON of at most 1 MB"}
	}
	if err := m.begin(ctx, true); err != nil {
		return platform.Record{}, err
	}
	defer m.mu.Unlock()
	if _, ok := m.leases[r.Lease]; r.Lease != "" && !ok {
		return platform.Record{}, &platform.NotFoundError{What: "lease " + string(r.Lease)}
	}
	if current := m.current(r.Key); current.Revision != r.Revision {
		return platform.Record{}, &platform.ConflictError{Current: current}
	}
	m.revision++
	record := platform.Record{Key: r.Key, Value: value.Bytes(), Revision: m.revision, Lease: r.Lease}
	m.records[r.Key] = record
	m.noteChange()
	return record, m.answer()
}

// Delete implements platform.Store.
func (m *Memory) Delete(ctx context.Context, key platform.Key, revision platform.Revision) error {
	if err := key.Check(); err != nil {
		return err
	}
	if err := m.begin(ctx, true); err != nil {
		return err
	}
	defer m.mu.Unlock()
	current := m.current(key)
	if current.Revision == platform.NotExists {
		return &platform.NotFoundError{What: "record " + string(key)}
	}
	if current.Revision != revision {
		return &platform.ConflictError{Current: current}
	}
	m.remove(key)
	return m.answer()
}

// CreateLease implements platform.Store.
func (m *Memory) CreateLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if ttl <= 0 {
		return "", &platform.InvalidError{Reason: "ttl_ms must be above 0"}
	}
	if err := m.begin(ctx, true); err != nil {
		return "", err
	}
	defer m.mu.Unlock()
	m.serial++
	id := platform.LeaseID(fmt.Sprintf("lease-%d", m.serial))
	m.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return id, m.answer()
}

// RenewLease implements platform.Store.
func (m *Memory) RenewLease(ctx context.Context, id platform.LeaseID) error {
	if err := m.begin(ctx, true); err != nil {
		return err
	}
	defer m.mu.Unlock()
	l, ok := m.leases[id]
	if !ok {
		return &platform.NotFoundError{What: "lease " + string(id)}
	}
	l.expires = time.Now().Add(l.ttl)
	return m.answer()
}

// RevokeLease implements platform.Store.
func (m *Memory) RevokeLease(ctx context.Context, id platform.LeaseID) error {
	if err := m.begin(ctx, true); err != nil {
		return err
	}
	defer m.mu.Unlock()
	if _, ok := m.leases[id]; !ok {
		return &platform.NotFoundError{What: "lease " + string(id)}
	}
	m.endLease(id)
	return m.answer()
}

// Instances implements platform.Store. The list lags as Faults say.
func (m *Memory) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := m.begin(ctx, false); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	now := time.Now()
	if m.listed == nil || now.Sub(m.listedAt) >= m.faults.ListLag {
		m.listed = m.sortedInstances()
		m.listedAt = now
	}
	return slices.Clone(m.listed), nil
}

func (m *Memory) sortedInstances() []platform.Instance {
	list := make([]platform.Instance, 0, len(m.instances))
	for _, i := range m.instances {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Announce implements platform.Store.
func (m *Memory) Announce(ctx context.Context, i platform.Instance) error {
	if i.ID == "" || i.PeerAddress == "" {
		return &platform.InvalidError{Reason: "an instance needs an id and a peer address"}
	}
	if err := m.begin(ctx, true); err != nil {
		return err
	}
	defer m.mu.Unlock()
	m.instances[i.ID] = i
	return m.answer()
}

// Forget removes an instance from the list, as the platform does some time
// after the instance is gone.
func (m *Memory) Forget(id core.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.instances, id)
}

// Watch implements platform.Store.
func (m *Memory) Watch(ctx context.Context, r platform.WatchRequest) (platform.WatchResult, error) {
	deadline := time.Now().Add(r.Timeout)
	if err := m.begin(ctx, false); err != nil {
		return platform.WatchResult{}, err
	}
	for {
		result := m.changesAfter(r)
		if len(result.Records) > 0 || !time.Now().Before(deadline) {
			m.mu.Unlock()
			return result, nil
		}
		changed, until := m.changed, m.wakeAt(deadline)
		m.mu.Unlock()
		if err := wait(ctx, changed, until); err != nil {
			return platform.WatchResult{}, err
		}
		m.mu.Lock()
		if m.faults.Outage {
			m.mu.Unlock()
			return platform.WatchResult{}, outage()
		}
		m.expire(time.Now())
	}
}

func (m *Memory) changesAfter(r platform.WatchRequest) platform.WatchResult {
	result := platform.WatchResult{Revision: m.revision}
	for key, record := range m.records {
		if record.Revision > r.After && strings.HasPrefix(string(key), string(r.Prefix)) {
			result.Records = append(result.Records, record)
		}
	}
	slices.SortFunc(result.Records, func(a, b platform.Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return result
}

// wakeAt returns the earlier of the deadline and the next end of a lease.
func (m *Memory) wakeAt(deadline time.Time) time.Time {
	for _, l := range m.leases {
		if l.expires.Before(deadline) {
			deadline = l.expires
		}
	}
	return deadline
}

func wait(ctx context.Context, changed <-chan struct{}, until time.Time) error {
	// A lease ends when its time has passed, not when it is reached.
	timer := time.NewTimer(time.Until(until) + time.Millisecond)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return &platform.UnavailableError{Reason: ctx.Err().Error()}
	}
	return nil
}

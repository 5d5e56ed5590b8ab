package kvservice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

var testStart = time.Unix(1_000_000, 0)

func newState(t *testing.T) *State {
	s, err := NewState(time.Second)
	require.NoError(t, err)
	return s
}

// Guards against a write that replaces a record of another revision than the expected
// one.
func TestCompareAndSwap(t *testing.T) {
	s := newState(t)
	first, err := s.Put(store.PutRequest{Key: "k", Value: []byte("1")})
	require.NoError(t, err)
	tests := []struct {
		name     string
		revision store.Revision
		accepted bool
	}{
		{"must not exist", store.NotExists, false},
		{"unknown revision", first.Revision + 5, false},
		{"current revision", first.Revision, true},
		{"replaced revision", first.Revision, false},
	}
	for _, test := range tests {
		_, err := s.Put(store.PutRequest{Key: "k", Value: []byte(test.name), Revision: test.revision})
		if test.accepted {
			require.NoError(t, err, test.name)
			continue
		}
		var conflict *store.ConflictError
		require.ErrorAs(t, err, &conflict, test.name)
		current, _ := s.Get("k")
		require.Equal(t, current, conflict.Current)
	}
	require.Error(t, s.Delete("k", first.Revision))
	current, _ := s.Get("k")
	require.NoError(t, s.Delete("k", current.Revision))
	_, err = s.Put(store.PutRequest{Key: "k"})
	require.NoError(t, err)
}

// Guards against records that remain after the end of their lease, and against a
// lease that does not end in time.
func TestLeaseEnd(t *testing.T) {
	s := newState(t)
	id := s.CreateLease(time.Second, testStart)
	record, err := s.Put(store.PutRequest{Key: "slot/1", Lease: id})
	require.NoError(t, err)
	require.NoError(t, s.RenewLease(id, testStart.Add(900*time.Millisecond)))
	s.Expire(testStart.Add(1800 * time.Millisecond))
	_, exists := s.Get("slot/1")
	require.True(t, exists)
	s.Expire(testStart.Add(1900 * time.Millisecond))
	_, exists = s.Get("slot/1")
	require.False(t, exists)
	require.Error(t, s.RenewLease(id, testStart.Add(1900*time.Millisecond)))
	_, err = s.Put(store.PutRequest{Key: "slot/1", Lease: id})
	var missing *store.NotFoundError
	require.ErrorAs(t, err, &missing)
	changes := s.Changes("slot/", record.Revision)
	require.Len(t, changes.Records, 1)
	require.True(t, changes.Records[0].Deleted)
}

// Guards against a list of instances that shows changes before the lag has passed.
func TestInstanceLag(t *testing.T) {
	s := newState(t)
	s.Announce(store.Instance{ID: "i1", State: store.InstanceLive}, testStart)
	require.Empty(t, s.Instances(testStart.Add(999*time.Millisecond)))
	require.Len(t, s.Instances(testStart.Add(time.Second)), 1)
	s.Withdraw("i1", testStart.Add(2*time.Second))
	require.Len(t, s.Instances(testStart.Add(2*time.Second)), 1)
	require.Empty(t, s.Instances(testStart.Add(3*time.Second)))
}

// Guards against a rate limiter that allows more calls than its rate.
func TestBucket(t *testing.T) {
	b := newTokenBucket(10, testStart)
	allowed := 0
	for range 100 {
		if b.allow(testStart) {
			allowed++
		}
	}
	require.Equal(t, 10, allowed)
	require.True(t, b.allow(testStart.Add(100*time.Millisecond)))
	require.False(t, b.allow(testStart.Add(150*time.Millisecond)))
}

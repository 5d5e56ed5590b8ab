// Package store is the client of the platform's key-value store, which has records
// with compare-and-swap, leases, watches and a list of instances. It sends each
// call once and leaves retries to its caller.
package store

import (
	"context"
	"encoding/json"
	"regexp"
	"strconv"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Key names a record.
type Key string

// Revision is the number of a change of the store. It grows with every change.
type Revision uint64

// LeaseID identifies a lease. The empty ID means no lease.
type LeaseID string

// NotExists is the revision that Put expects of a record that must not exist.
const NotExists Revision = 0

// keyPattern matches the valid keys, which need no escaping in a URL path.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9_-][A-Za-z0-9_.-]*(/[A-Za-z0-9_-][A-Za-z0-9_.-]*)*$`)

// Check returns an *InvalidError if the key is not a path of plain names.
func (k Key) Check() error {
	if keyPattern.MatchString(string(k)) {
		return nil
	}
	return &InvalidError{Reason: "invalid key " + strconv.Quote(string(k))}
}

// MaxValueBytes is the size of the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// Record is a key with its value. Records with Deleted set occur only in the
// result of a watch.
type Record struct {
	Key Key `json:"key"`
	// Value is a JSON document of at most MaxValueBytes.
	Value    json.RawMessage `json:"value,omitempty"`
	Revision Revision        `json:"revision"`
	Lease    LeaseID         `json:"lease,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// PutRequest writes a record if its current revision is Revision.
type PutRequest struct {
	Key      Key
	Value    json.RawMessage
	Revision Revision
	// Lease is the lease whose end deletes the record; empty for a record without
	// a lease.
	Lease LeaseID
}

// WatchRequest waits for changes of keys with Prefix after the revision After.
type WatchRequest struct {
	Prefix  Key
	After   Revision
	Timeout time.Duration
}

// WatchResult lists the newest state of each changed key in order of revision.
// Records is empty if the timeout passed without a change.
type WatchResult struct {
	Revision Revision `json:"revision"`
	Records  []Record `json:"records"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of a listed instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an element of the platform's list of instances, which may lag behind
// the instances that are running.
type Instance struct {
	ID core.InstanceID `json:"id"`
	// PeerAddress is the address for JSON-RPC, IP:port.
	PeerAddress string        `json:"peer_address"`
	Domain      core.Domain   `json:"domain"`
	State       InstanceState `json:"state"`
}

// Store is the platform's key-value store. The errors of every method are a
// *ConflictError, *NotFoundError, *RateLimitedError, *UnavailableError,
// *InvalidError or *UnknownOutcomeError. Only an *UnknownOutcomeError leaves it
// open whether a change took effect.
type Store interface {
	// Get returns the record, or a *NotFoundError if it does not exist.
	Get(ctx context.Context, key Key) (Record, error)
	// Put writes the record and returns it. It returns a *ConflictError with the
	// current record if the revision differs, and a *NotFoundError if the lease has
	// ended.
	Put(ctx context.Context, r PutRequest) (Record, error)
	// Delete deletes the record if it has the given revision. It returns a
	// *ConflictError or *NotFoundError otherwise.
	Delete(ctx context.Context, key Key, revision Revision) error
	// CreateLease creates a lease that ends unless it is renewed within ttl.
	CreateLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease returns a *NotFoundError if the lease has ended.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes its records. It returns a
	// *NotFoundError if the lease has ended before.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch waits for changes until the timeout of the request.
	Watch(ctx context.Context, r WatchRequest) (WatchResult, error)
	// Instances returns the platform's list of instances, which may lag.
	Instances(ctx context.Context) ([]Instance, error)
	// Announce adds the instance to the list of instances or updates it.
	Announce(ctx context.Context, instance Instance) error
}

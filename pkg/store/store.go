// Package store is the client of the platform's key-value service: records
// with compare-and-swap, leases, watches and the list of instances. It makes
// one attempt per call; retries are decided by the caller.
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

// Revision numbers the changes of the store; it grows with every change.
type Revision uint64

// LeaseID identifies a lease. The empty ID means no lease.
type LeaseID string

// NotExists is the revision that Put expects of a record that must not exist.
const NotExists Revision = 0

// keyPattern is what a key may be, so that it is also a URL path.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9_-][A-Za-z0-9_.-]*(/[A-Za-z0-9_-][A-Za-z0-9_.-]*)*$`)

// Check returns an *InvalidError for a key that is not a path of plain names.
func (k Key) Check() error {
	if keyPattern.MatchString(string(k)) {
		return nil
	}
	return &InvalidError{Reason: "invalid key " + strconv.Quote(string(k))}
}

// MaxValueBytes is the largest value that the platform takes.
const MaxValueBytes = 1 << 20

// Record is one key with its value. A Record with Deleted set occurs only in
// the result of a watch.
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
	// Lease deletes the record when it ends; empty for a durable record.
	Lease LeaseID
}

// WatchRequest waits for changes of keys with Prefix after a revision.
type WatchRequest struct {
	Prefix  Key
	After   Revision
	Timeout time.Duration
}

// WatchResult lists the newest state of each changed key in order of revision.
// It is empty when the timeout passed without a change.
type WatchResult struct {
	Revision Revision `json:"revision"`
	Records  []Record `json:"records"`
}

// InstanceState tells whether an instance in the list is live or leaving.
type InstanceState string

// States of a listed instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an element of the platform's lagging list of instances.
type Instance struct {
	ID core.InstanceID `json:"id"`
	// PeerAddress is the address for JSON-RPC, IP:port.
	PeerAddress string        `json:"peer_address"`
	Domain      core.Domain   `json:"domain"`
	State       InstanceState `json:"state"`
}

// Store is the platform's service. Every method returns *ConflictError,
// *NotFoundError, *RateLimitedError, *UnavailableError, *InvalidError or
// *UnknownOutcomeError. Only the last leaves open whether a change took effect.
type Store interface {
	// Get returns *NotFoundError for a missing record.
	Get(ctx context.Context, key Key) (Record, error)
	// Put returns *ConflictError with the current record on a mismatch, and
	// *NotFoundError for an ended lease.
	Put(ctx context.Context, r PutRequest) (Record, error)
	// Delete removes the record if its revision is the given one.
	Delete(ctx context.Context, key Key, revision Revision) error
	CreateLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease returns *NotFoundError for an ended lease.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes its records.
	RevokeLease(ctx context.Context, id LeaseID) error
	Watch(ctx context.Context, r WatchRequest) (WatchResult, error)
	Instances(ctx context.Context) ([]Instance, error)
	// Announce puts this instance into the list of instances.
	Announce(ctx context.Context, instance Instance) error
}

package store

import "time"

// Operation is the operation of a Call: GetOp, PutOp, DeleteOp, CreateLeaseOp,
// RenewLeaseOp, RevokeLeaseOp, WatchOp, InstancesOp or AnnounceOp.
type Operation interface {
	run(c callContext) (any, error)
}

// GetOp reads a record. The result value is a Record.
type GetOp struct{ Key Key }

// PutOp writes a record. The result value is the new Record.
type PutOp struct{ PutRequest }

// DeleteOp removes a record. There is no result value.
type DeleteOp struct {
	Key      Key
	Revision Revision
}

// CreateLeaseOp creates a lease. The result value is a LeaseID.
type CreateLeaseOp struct{ TTL time.Duration }

// RenewLeaseOp renews a lease. There is no result value.
type RenewLeaseOp struct{ Lease LeaseID }

// RevokeLeaseOp ends a lease. There is no result value.
type RevokeLeaseOp struct{ Lease LeaseID }

// WatchOp waits for changes. Calls with this operation go to the ring returned by
// Duty.Watches, because they block the thread. The result value is a WatchResult.
type WatchOp struct{ WatchRequest }

// InstancesOp reads the list of instances. The result value is an []Instance.
type InstancesOp struct{}

// AnnounceOp adds an instance to the list or updates it. There is no result value.
type AnnounceOp struct{ Instance Instance }

// Call is one input of a Duty.
type Call struct {
	// Tag is returned unchanged in the Result.
	Tag any
	// Timeout bounds the call from its start. The timeout of a watch request is
	// added to it. A read may take longer while its response arrives, and a
	// write by the time that its value takes on a thin link.
	Timeout time.Duration
	Op      Operation
}

// Result is one output of a Duty.
type Result struct {
	Tag any
	// Op is the operation of the Call.
	Op Operation
	// Value is the operation's result; nil if Err is set or the operation has no
	// result.
	Value any
	// Err is one of the errors of Store.
	Err error
	// SentAt is the time just before the call was sent. A renewed lease and a
	// confirmed revision are valid from this time on.
	SentAt time.Time
	// Received is the time when the call ended.
	Received time.Time
}

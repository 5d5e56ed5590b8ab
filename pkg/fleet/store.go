package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Errors of the store.
var (
	// ErrUnavailable means that the call was certainly not executed.
	ErrUnavailable = eris.New("the store did not take the call")
	// ErrOverloaded means that the store accepts calls, but did not accept this one
	// or did not answer it in time. The call was certainly not executed.
	ErrOverloaded = eris.New("the store takes too many calls")
	// ErrUnknownOutcome means that the call may have been executed or may still be
	// executed.
	ErrUnknownOutcome = eris.New("the outcome of the call is not known")
	// ErrCompacted means that the store no longer has the requested history.
	ErrCompacted = eris.New("the store has dropped this part of its history")
	// ErrConflict means that the condition of a write did not hold.
	ErrConflict = eris.New("the record was changed by another instance")
	// ErrLeaseEnded means that the lease no longer exists.
	ErrLeaseEnded = eris.New("the lease has ended")
)

// Source reads the store. The limits of a call are those of its context; an implementation
// reports the parts of a response to them with progress.Reader.
type Source interface {
	// Snapshot reads all records that the fleet uses. It returns ErrUnavailable,
	// wrapped, if the store cannot be read, and ErrOverloaded if only a part could
	// be read.
	Snapshot(ctx context.Context) (*Snapshot, error)
	// Watch waits up to the given time for changes after a revision. It returns
	// them with the revision for the next call. It returns ErrCompacted,
	// ErrOverloaded or ErrUnavailable, wrapped.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// Lease identifies a lease of the store.
type Lease uint64

// Claim is the exclusive right to replace a group's primary.
type Claim struct {
	Group  core.DatabaseName
	Holder core.InstanceID
	// Token is a fencing token: it grows with each new holder, and requests with
	// an older token are refused.
	Token uint64
}

// RegisteredError means that the record of an instance's node is another one than expected.
// It wraps ErrConflict.
type RegisteredError struct {
	// Instance is the run that the record names, Lease its lease.
	Instance core.InstanceID
	Lease    Lease
	// Revision is the revision of the record, 0 if there is none.
	Revision Revision
}

func (e *RegisteredError) Error() string {
	return "the node is registered for " + string(e.Instance)
}

// Unwrap implements the interface of errors.Is.
func (e *RegisteredError) Unwrap() error { return ErrConflict }

// Registry writes the store. All methods return ErrUnavailable, ErrUnknownOutcome,
// ErrConflict or ErrLeaseEnded, wrapped.
type Registry interface {
	// GrantLease creates a lease, RenewLease extends it and RevokeLease revokes it.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	RenewLease(ctx context.Context, lease Lease) error
	RevokeLease(ctx context.Context, lease Lease) error
	// Register publishes the instance for as long as the lease lasts, if the record of its
	// node has the revision replaces, 0 for no record: a call that is executed late must not
	// replace the registration of a later run. It returns a *RegisteredError, wrapped, if
	// there is another record.
	Register(ctx context.Context, instance Instance, lease Lease, replaces Revision) error
	// ClaimHome makes the instance the home of an account, or releases the home. It
	// returns ErrConflict if the record has changed.
	ClaimHome(ctx context.Context, claim HomeClaim, holder Instance, lease Lease) error
	// Claim takes the group's claim if no instance holds it. It returns the
	// current claim; Holder states whether it belongs to another instance.
	Claim(ctx context.Context, group core.DatabaseName, holder core.InstanceID, lease Lease) (Claim, error)
	// RenewClaim replaces a claim of the holder by one with a newer token. It returns
	// ErrConflict if the claim has ended.
	RenewClaim(ctx context.Context, claim Claim, lease Lease) (Claim, error)
	// RecordSuccession publishes a change of primary. It returns ErrConflict if the claim
	// has ended.
	RecordSuccession(ctx context.Context, claim Claim, succession Succession) error
	// RecordTerm publishes the term of a group, if its record has the term's Revision, 0 for
	// no record. It returns ErrConflict otherwise: a call that is executed late must not put
	// an older term back.
	RecordTerm(ctx context.Context, term GroupTerm) error
}

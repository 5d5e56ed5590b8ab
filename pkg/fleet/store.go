package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Errors of the store.
var (
	// ErrUnavailable means that the call was certainly not carried out.
	ErrUnavailable = eris.New("the store did not take the call")
	// ErrOverloaded means that the store takes calls, but not this one or not in
	// time; the call was certainly not carried out.
	ErrOverloaded = eris.New("the store takes too many calls")
	// ErrUnknownOutcome means that the call may have been or may still be
	// carried out.
	ErrUnknownOutcome = eris.New("the outcome of the call is not known")
	// ErrCompacted means that the history asked for is gone.
	ErrCompacted = eris.New("the store has dropped this part of its history")
	// ErrConflict means that a condition did not hold.
	ErrConflict = eris.New("the record was changed by another instance")
	// ErrLeaseEnded means that the lease does not exist any more.
	ErrLeaseEnded = eris.New("the lease has ended")
)

// Source reads the store.
type Source interface {
	// Snapshot returns everything of interest. It returns ErrUnavailable,
	// wrapped, when the store cannot be read, and ErrOverloaded when a part could
	// be read only.
	Snapshot(ctx context.Context) (*Snapshot, error)
	// Watch waits up to the given time for changes after a revision and returns
	// them with the revision to go on from. It returns ErrCompacted,
	// ErrOverloaded or ErrUnavailable, wrapped.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// Lease identifies a lease.
type Lease uint64

// Claim is the right to replace a group's primary.
type Claim struct {
	Group  core.DatabaseName
	Holder core.InstanceID
	// Token grows with each holder of the claim; it fences the orders of earlier
	// ones.
	Token uint64
}

// Registry writes the store. Calls return ErrUnavailable, ErrUnknownOutcome,
// ErrConflict or ErrLeaseEnded, wrapped.
type Registry interface {
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	Renew(ctx context.Context, lease Lease) error
	End(ctx context.Context, lease Lease) error
	// Register publishes the instance for as long as the lease runs.
	Register(ctx context.Context, instance Instance, lease Lease) error
	// ClaimHome makes the instance the home of an account unless the record has
	// changed.
	ClaimHome(ctx context.Context, claim HomeClaim, holder Instance, lease Lease) error
	// Claim takes the group's claim if nobody holds it. It returns the claim in
	// force, which is another instance's if Holder says so.
	Claim(ctx context.Context, group core.DatabaseName, holder core.InstanceID, lease Lease) (Claim, error)
}

package fleet

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Errors of orders to members and of promotions.
var (
	// ErrRefusedConnection means that no process listens at the member's address.
	ErrRefusedConnection = eris.New("the member's host refused the connection")
	// ErrSilent means that the member did not answer in time.
	ErrSilent = eris.New("the member did not answer")
	// ErrDenied means that the member answered, but did not carry the order out.
	ErrDenied = eris.New("the member denied the order")
	// ErrFenced means that the order was not carried out, because a newer claim
	// was used or the member does not run.
	ErrFenced = eris.New("the order was refused")
)

// MemberState is what a member answers to orders.
type MemberState struct {
	Member core.MemberID
	Role   core.Role
	Term   core.Term
	// Received is the end of the member's log.
	Received core.Position
}

// Target says where a member is.
type Target struct {
	Group   core.DatabaseName
	Member  core.MemberID
	Address string
}

// Orders reaches members and the platform's promotion. Each method makes one
// attempt, bounded by ctx.
type Orders interface {
	// Status returns ErrRefusedConnection, ErrSilent or ErrDenied, wrapped.
	Status(ctx context.Context, t Target) (MemberState, error)
	// Pause stops a replica from receiving in terms up to the given one.
	Pause(ctx context.Context, t Target, term core.Term) (MemberState, error)
	// StepDown makes a primary of a lower term a replica.
	StepDown(ctx context.Context, t Target, term core.Term) (MemberState, error)
	// Promote names the member that takes over. It returns ErrFenced,
	// ErrUnavailable or ErrUnknownOutcome, wrapped.
	Promote(ctx context.Context, claim Claim, member core.MemberID) error
}

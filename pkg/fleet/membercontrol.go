package fleet

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Errors of commands to members and of promotions.
var (
	// ErrConnectionRefused means that no process listens at the member's address.
	ErrConnectionRefused = eris.New("the member's host refused the connection")
	// ErrNoResponse means that the member did not respond in time.
	ErrNoResponse = eris.New("the member did not respond")
	// ErrRejected means that the member responded but did not execute the command.
	ErrRejected = eris.New("the member rejected the command")
	// ErrFenced means that the promotion was not executed because a newer claim was
	// used or the member does not run.
	ErrFenced = eris.New("the promotion was refused")
)

// MemberState is a member's response to a command.
type MemberState struct {
	Member core.MemberID
	Role   core.Role
	Term   core.Term
	// Received is the end of the member's log.
	Received core.Position
	// Busy is set if the member had no free slot to report its state. Received is then
	// the position that it has applied, and its log may be longer.
	Busy bool
}

// BusyError means that the member had no free slot for the command. It wraps
// ErrRejected.
type BusyError struct {
	// Applied is the position that the member has applied.
	Applied core.Position
}

func (e *BusyError) Error() string {
	return "the member has no free slot, it has applied " + e.Applied.String()
}

// Unwrap implements the interface of errors.Is.
func (e *BusyError) Unwrap() error { return ErrRejected }

// UnansweredError means that the member's host accepted the connection, but the member did
// not respond to the command in time: it is overloaded or frozen. It wraps ErrNoResponse.
type UnansweredError struct {
	// Started is set if the member has responded to the startup of the connection.
	Started bool
}

func (e *UnansweredError) Error() string {
	if e.Started {
		return "the member responded to the startup, but not to the command"
	}
	return "the member's host accepted the connection, but the member did not respond"
}

// Unwrap implements the interface of errors.Is.
func (e *UnansweredError) Unwrap() error { return ErrNoResponse }

// Target identifies a member and its address.
type Target struct {
	Group   core.DatabaseName
	Member  core.MemberID
	Address string
}

// MemberControl sends commands to members and promotion requests to the
// platform. Each method makes one attempt, limited by ctx.
type MemberControl interface {
	// Status returns the member's state. It returns ErrConnectionRefused,
	// ErrNoResponse or ErrRejected, wrapped, a *BusyError or an *UnansweredError; so do
	// Pause, Resume and StepDown.
	Status(ctx context.Context, t Target) (MemberState, error)
	// Pause stops a replica from receiving in terms up to the given one.
	Pause(ctx context.Context, t Target, term core.Term) (MemberState, error)
	// Resume lets a paused replica receive again. It does nothing to other members.
	Resume(ctx context.Context, t Target) (MemberState, error)
	// StepDown turns a primary of a lower term into a replica.
	StepDown(ctx context.Context, t Target, term core.Term) (MemberState, error)
	// Promote requests the platform to make the member the primary. It returns
	// ErrFenced, ErrUnavailable or ErrUnknownOutcome, wrapped.
	Promote(ctx context.Context, claim Claim, member core.MemberID) error
}

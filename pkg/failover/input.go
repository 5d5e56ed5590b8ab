package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// CallID identifies a member call or a platform call of one group; 0 is no call.
type CallID uint64

// MemberResponded reports the status that a member returned to a call.
type MemberResponded struct {
	Call   CallID
	Status core.MemberStatus
	// SentAt is when the request was sent and ReceivedAt when the response arrived,
	// both by this instance's clock.
	SentAt     time.Time
	ReceivedAt time.Time
}

// Failure is the reason why a member call returned no status.
type Failure uint8

// Failures of a member call.
const (
	// FailureNoResponse is a call without a response: it timed out or the connection
	// broke.
	FailureNoResponse Failure = iota
	// FailureRefused is a connection that the host refused: no process listens.
	FailureRefused
	// FailureTermTooLow is error 4001: the member accepted a newer term.
	FailureTermTooLow
	// FailureRejected is any other error returned by the member.
	FailureRejected
)

// MemberFailed reports a member call that returned no status.
type MemberFailed struct {
	Call    CallID
	Failure Failure
	// Accepted is the term that the member has accepted, for FailureTermTooLow; 0
	// if the member did not report it.
	Accepted core.Term
}

// RecordSeen reports the group record from the watch or from a read.
type RecordSeen struct {
	// Exists is false when the platform has no record.
	Exists   bool
	Record   Record
	Revision uint64
}

// SwapOutcome is the result of a compare-and-swap.
type SwapOutcome uint8

// Outcomes of a compare-and-swap.
const (
	// SwapWon means that the record was written at Revision.
	SwapWon SwapOutcome = iota
	// SwapConflict means that the platform has the record Current instead.
	SwapConflict
	// SwapUnknown means that the response was lost, so the record may have been
	// written.
	SwapUnknown
	// SwapUnavailable means that the platform did not accept the request.
	SwapUnavailable
)

// SwapResult is the result of a RecordSwap.
type SwapResult struct {
	Call    CallID
	Outcome SwapOutcome
	// Revision is the revision written, for SwapWon.
	Revision uint64
	// Current is the record at the platform, for SwapConflict.
	Current RecordSeen
}

// ReadResult is the result of a RecordRead.
type ReadResult struct {
	Call CallID
	// Failed is set if the platform did not respond.
	Failed bool
	Seen   RecordSeen
}

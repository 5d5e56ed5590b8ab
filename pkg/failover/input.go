package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// CallID identifies a member call or a platform call of one group.
type CallID uint64

// MemberAnswered reports the status that a member answered to a call.
type MemberAnswered struct {
	Call   CallID
	Status core.MemberStatus
	// Asked is when the request was sent, Answered when the answer arrived,
	// both by this instance's clock.
	Asked    time.Time
	Answered time.Time
}

// Failure tells why a member call has no status.
type Failure uint8

// Failures of a member call.
const (
	// FailureSilent is a call without an answer: timed out or cut.
	FailureSilent Failure = iota
	// FailureRefused is a connection refused by the host: no process listens.
	FailureRefused
	// FailureTermTooLow is error 4001: the member accepted a newer term.
	FailureTermTooLow
	// FailureRejected is any other error answered by the member.
	FailureRejected
)

// MemberFailed reports a member call without a status.
type MemberFailed struct {
	Call    CallID
	Failure Failure
	// Accepted is the member's term for FailureTermTooLow, if given.
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
	// SwapConflict means that Current was found instead.
	SwapConflict
	// SwapUnknown means that the answer was lost.
	SwapUnknown
	// SwapUnavailable means that the platform did not take the request.
	SwapUnavailable
)

// SwapResult answers a RecordSwap.
type SwapResult struct {
	Call    CallID
	Outcome SwapOutcome
	// Revision is the revision written, for SwapWon.
	Revision uint64
	// Current is the record found, for SwapConflict.
	Current RecordSeen
}

// ReadResult answers a RecordRead.
type ReadResult struct {
	Call CallID
	// Failed is set when the platform did not answer.
	Failed bool
	Seen   RecordSeen
}

package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Outputs receives the decisions of a group. CallMember, SwapRecord, ReadRecord,
// ChangeFinished and Log must accept every item; the group's caller checks for
// free space before each input. View, Floor and Confirmed publish the latest
// value: they report false if the item was not accepted, and the group publishes
// the newest value again at a later tick.
type Outputs interface {
	CallMember(MemberCall)
	SwapRecord(RecordSwap)
	ReadRecord(RecordRead)
	View(session.GroupView) bool
	Floor(session.FloorResult) bool
	Confirmed(session.ConfirmedUpTo) bool
	ChangeFinished(Report)
	Log(LogEvent)
}

// Method is a method of the member's status endpoint.
type Method string

// Methods of the status endpoint. Each returns the member's status.
const (
	MethodStatus Method = "status"
	// MethodWait responds once the member has received and applied the positions.
	MethodWait Method = "wait"
	// MethodFence makes the member stop work of terms older than the call's.
	MethodFence Method = "fence"
	// MethodPromote makes the member the primary of the call's term.
	MethodPromote Method = "promote"
	// MethodFollow makes the member a replica of the call's primary.
	MethodFollow Method = "follow"
)

// MemberCall requests a call of a member's status endpoint. Every call ends with
// MemberResponded or MemberFailed.
type MemberCall struct {
	Call     CallID
	Database core.DatabaseName
	Member   core.MemberID
	// Address is the member's status endpoint.
	Address string
	Method  Method
	// Term is the term of wait, fence, promote and follow.
	Term core.Term
	// Received and Applied are the log positions that a wait call waits for; zero
	// for none.
	Received core.LSN
	Applied  core.LSN
	// Hold is how long the member may hold a wait call before it responds.
	Hold time.Duration
	// Primary is the status address of the primary to follow, and Start the
	// log position at which its term began.
	Primary string
	Start   core.LSN
	// Timeout bounds the call from the request to the response.
	Timeout time.Duration
}

// RecordSwap requests a compare-and-swap of the group record. It ends with a
// SwapResult.
type RecordSwap struct {
	Call     CallID
	Database core.DatabaseName
	// Revision is the revision to replace; 0 if no record exists.
	Revision uint64
	Record   Record
}

// RecordRead requests a read of the group record. It ends with a ReadResult.
type RecordRead struct {
	Call     CallID
	Database core.DatabaseName
}

// Reason is the reason of a change of primary.
type Reason string

// Reasons of a change of primary.
const (
	// ReasonUnresponsive is an unresponsive primary.
	ReasonUnresponsive Reason = "primary silent"
	// ReasonDeciderStopped is another instance that did not complete its claim.
	ReasonDeciderStopped Reason = "decider stopped"
	// ReasonPlanned is a switchover requested by an operator.
	ReasonPlanned Reason = "planned"
	// ReasonMemberStopped is a chosen member that did not become the primary.
	ReasonMemberStopped Reason = "chosen member stopped"
)

// Report describes a finished change of primary and the duration of each step.
type Report struct {
	Database core.DatabaseName
	Term     core.Term
	Previous core.MemberID
	Primary  core.MemberID
	Reason   Reason
	// Detection lasts from the last contact with the old primary until the claim
	// is sent, Decision until the claim is won, Fencing until the member to promote
	// is chosen, Promotion until the new primary serves, and Announcement until
	// the record is written.
	Detection    time.Duration
	Decision     time.Duration
	Fencing      time.Duration
	Promotion    time.Duration
	Announcement time.Duration
}

// Gap returns how long the group had no primary, from the last contact with the
// old one until the new one serves.
func (r Report) Gap() time.Duration {
	return r.Detection + r.Decision + r.Fencing + r.Promotion
}

// EventName is the stable name of a log event.
type EventName string

// Names of log events.
const (
	EventPrimarySuspected     EventName = "primary_suspected"
	EventPrimaryRespondsAgain EventName = "primary_heard_again"
	EventPrimaryAdopted       EventName = "primary_adopted"
	EventClaimSent            EventName = "claim_sent"
	EventClaimWon             EventName = "claim_won"
	EventClaimLost            EventName = "claim_lost"
	EventClaimAnswerLost      EventName = "claim_answer_lost"
	EventMajorityFenced       EventName = "majority_fenced"
	EventMemberPromoted       EventName = "member_promoted"
	EventPrimaryAnnounced     EventName = "primary_announced"
	EventPlatformUnavailable  EventName = "platform_unavailable"
	// EventTermPassed means that another decider or a member has a newer term.
	EventTermPassed EventName = "term_passed"
	// EventOwnPause means that this instance itself was paused.
	EventOwnPause    EventName = "own_pause"
	EventMemberState EventName = "member_state"
)

// LogEvent is a decision that is written to the log.
type LogEvent struct {
	Name     EventName
	Database core.DatabaseName
	Term     core.Term
	// Member and Detail are empty if they do not apply.
	Member core.MemberID
	Detail string
}

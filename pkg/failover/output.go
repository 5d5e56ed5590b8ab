package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Outputs receives the decisions of a group. Call, Swap, Read, Finished and Log
// must accept every item; the caller checks for room before each input. View,
// Floor and Confirmed hold latest values: they report false when the item was
// not taken, and the group offers the newest value again at a later tick.
type Outputs interface {
	Call(MemberCall)
	Swap(RecordSwap)
	Read(RecordRead)
	View(session.GroupView) bool
	Floor(session.FloorAnswer) bool
	Confirmed(session.ConfirmedUpTo) bool
	Finished(Report)
	Log(LogEvent)
}

// Method names a call of the member's status endpoint.
type Method string

// Methods of the status endpoint.
const (
	MethodStatus  Method = "status"
	MethodWait    Method = "wait"
	MethodFence   Method = "fence"
	MethodPromote Method = "promote"
	MethodFollow  Method = "follow"
)

// MemberCall asks for a call of a member's status endpoint. Every call is
// answered by MemberAnswered or MemberFailed.
type MemberCall struct {
	Call     CallID
	Database core.DatabaseName
	Member   core.MemberID
	// Address is the member's status endpoint.
	Address string
	Method  Method
	// Term is the term of wait, fence, promote and follow.
	Term core.Term
	// Received and Applied are the positions that a wait waits for; zero for
	// none.
	Received core.LSN
	Applied  core.LSN
	// Hold is how long the member may hold a wait.
	Hold time.Duration
	// Primary is the status address of the primary to follow, and Start the
	// log position at which its term began.
	Primary string
	Start   core.LSN
	// Timeout bounds the call from sending to the answer.
	Timeout time.Duration
}

// RecordSwap asks for a compare-and-swap of the group record.
type RecordSwap struct {
	Call     CallID
	Database core.DatabaseName
	// Revision is the revision to replace; 0 when no record exists.
	Revision uint64
	Record   Record
}

// RecordRead asks for the group record.
type RecordRead struct {
	Call     CallID
	Database core.DatabaseName
}

// Reason tells why the primary changed.
type Reason string

// Reasons of a change of primary.
const (
	ReasonSilent  Reason = "primary silent"
	ReasonDecider Reason = "decider stopped"
	ReasonPlanned Reason = "planned"
	ReasonMember  Reason = "chosen member stopped"
)

// Report describes a finished change of primary by its parts.
type Report struct {
	Database core.DatabaseName
	Term     core.Term
	Previous core.MemberID
	Primary  core.MemberID
	Reason   Reason
	// Detection is from the last sign of the old primary to the decision to
	// claim, Decision up to the claim won, Fencing up to the majority fenced,
	// Promotion up to the new primary serving, and Announcement up to the
	// record written.
	Detection    time.Duration
	Decision     time.Duration
	Fencing      time.Duration
	Promotion    time.Duration
	Announcement time.Duration
}

// Gap returns how long the group had no primary, as far as decided here.
func (r Report) Gap() time.Duration {
	return r.Detection + r.Decision + r.Fencing + r.Promotion
}

// EventName is a stable name of a log event.
type EventName string

// Names of log events.
const (
	EventPrimarySuspected EventName = "primary_suspected"
	EventPrimaryHeard     EventName = "primary_heard_again"
	EventPrimaryAdopted   EventName = "primary_adopted"
	EventClaimSent        EventName = "claim_sent"
	EventClaimWon         EventName = "claim_won"
	EventClaimLost        EventName = "claim_lost"
	EventClaimUnknown     EventName = "claim_answer_lost"
	EventMajorityFenced   EventName = "majority_fenced"
	EventPromoted         EventName = "member_promoted"
	EventAnnounced        EventName = "primary_announced"
	EventNoPlatform       EventName = "platform_unavailable"
	EventTermPassed       EventName = "term_passed"
	EventOwnPause         EventName = "own_pause"
	EventMemberState      EventName = "member_state"
)

// LogEvent is a decision for the log.
type LogEvent struct {
	Name     EventName
	Database core.DatabaseName
	Term     core.Term
	// Member and Detail are empty when they do not apply.
	Member core.MemberID
	Detail string
}

package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Decision reports the outcome of a request and what decided it, for the log.
type Decision struct {
	// Request is the caller's identifier of the request, empty if it has none.
	Request string
	Caller  CallerID
	Account core.AccountName
	Entry   core.EntryName
	// Version is the version of the operator's configuration at the end of the request.
	Version uint64
	// Member is the member that was chosen last, empty if none, and Choice the
	// reason.
	Member core.MemberID
	Choice string
	// Refusal is the proxy's own answer, nil if a member answered.
	Refusal *core.Refusal
	// MemberError is the error code of the member's answer, empty if none.
	MemberError string
	// RequiredPosition is the log position that the member had to have applied,
	// zero if there was no requirement.
	RequiredPosition core.Position
	// PositionAge is the age of the newest verified position of the primary;
	// negative if there is none.
	PositionAge time.Duration
	// Waited is the time from the request's arrival to the answer. Ran is the
	// time since it was last sent to the member, zero if it was not sent.
	Waited time.Duration
	Ran    time.Duration
	// Retries counts the attempts before the last one.
	Retries int
}

// decisionSampleInterval samples successful answers: one in this many is
// logged.
const decisionSampleInterval = 256

// logDecision offers the outcome of the statement to the log: every refusal and
// every error, and a sample of the successful answers.
func (s *statement) logDecision() {
	e := s.c.e
	e.answerCount++
	if s.refusal == nil && s.errorCode == "" && e.answerCount%decisionSampleInterval != 0 {
		return
	}
	d := Decision{
		Caller: s.c.id, Account: s.c.account.name, Entry: s.c.entry.definition.Name, Version: e.operatorVersion(),
		Choice: s.reason, Refusal: s.refusal, MemberError: s.errorCode,
		Waited: e.now.Sub(s.request.Arrived), Retries: s.retries, PositionAge: -1,
	}
	if s.request.Payload != nil {
		d.Request = s.request.Payload.ID
	}
	if s.member != nil {
		d.Member = s.member.id
	}
	if s.sent {
		d.Ran = e.now.Sub(s.sentAt)
	}
	if newest, _, known := s.c.db.primaryHistory.Latest(); known {
		d.PositionAge = e.now.Sub(newest)
	}
	d.RequiredPosition, _ = s.memberChecks()
	e.outbox.out.LogDecision(d)
}

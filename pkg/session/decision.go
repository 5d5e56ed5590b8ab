package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Decision tells what became of a request and what decided it, for the log.
type Decision struct {
	// Request is the caller's identity of the request, empty if it has none.
	Request string
	Caller  CallerID
	Account core.AccountName
	Entry   core.EntryName
	// Member is where the request went last, empty if nowhere, and Choice why.
	Member core.MemberID
	Choice string
	// Refusal is the answer of the proxy, nil for an answer of the member.
	Refusal *core.Refusal
	// MemberError is the error that the member answered, empty if none.
	MemberError string
	// Needed is the position that the member had to have, zero if any.
	Needed core.Position
	// PositionAge is how old the newest proof of the primary's position was;
	// negative if there was none.
	PositionAge time.Duration
	// Waited is the time from the request's arrival to the answer, Ran the part
	// since it was sent to the member last, zero if it was not.
	Waited time.Duration
	Ran    time.Duration
	// Repeats counts the attempts before the last.
	Repeats int
}

// answeredEach is the part of the ordinary answers that are noted: one in so many.
const decisionSampleInterval = 256

// note tells the log what became of the statement: every refusal and every
// error, and a sample of the ordinary answers.
func (s *statement) logDecision() {
	e := s.c.e
	e.answerCount++
	if s.refusal == nil && s.errorCode == "" && e.answerCount%decisionSampleInterval != 0 {
		return
	}
	d := Decision{
		Caller: s.c.id, Account: s.c.account.name, Entry: s.c.entry.definition.Name,
		Choice: s.reason, Refusal: s.refusal, MemberError: s.errorCode,
		Waited: e.now.Sub(s.request.Arrived), Repeats: s.retries, PositionAge: -1,
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
	if newest, _, known := s.c.db.primaryLog.Newest(); known {
		d.PositionAge = e.now.Sub(newest)
	}
	d.Needed, _ = s.memberChecks()
	e.outbox.out.Note(d)
}

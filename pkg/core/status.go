package core

import "time"

// MemberStatus is the status that a member's status endpoint reports.
type MemberStatus struct {
	Member MemberID
	Role   Role
	// Term is the newest term that the member has accepted.
	Term Term
	// LogTerm is the term of the last entry in the member's log.
	LogTerm Term
	// Received is the end of the log that the member has received.
	Received LSN
	// Applied is the end of the log that is visible to reads on the member.
	Applied LSN
	// PrimaryUnresponsiveFor is the time since a replica last received a message
	// from its primary.
	PrimaryUnresponsiveFor time.Duration
	// Terms is the history of terms in the member's log.
	Terms TermHistory
	// SlotsBusy is the number of statements that the member is running.
	SlotsBusy int
}

// Covers reports whether reads on the member see every write up to floor.
func (s *MemberStatus) Covers(floor Position) bool {
	return s.Terms.Covers(s.LogTerm, s.Applied, floor)
}

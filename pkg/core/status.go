package core

import "time"

// MemberStatus is what a member's status endpoint reports.
type MemberStatus struct {
	Member MemberID
	Role   Role
	// Term is the newest term that the member accepted.
	Term Term
	// LogTerm is the term of the last entry in the member's log.
	LogTerm Term
	// Received is the end of the log that the member holds.
	Received LSN
	// Applied is the end of the log that reads on the member see.
	Applied LSN
	// PrimarySilence is how long a replica has heard nothing from its primary.
	PrimarySilence time.Duration
	// Terms is the history of terms in the member's log.
	Terms TermHistory
	// SlotsBusy is the number of statements that the member runs now.
	SlotsBusy int
}

// Covers reports whether reads on the member see everything up to floor.
func (s *MemberStatus) Covers(floor Position) bool {
	return s.Terms.Covers(s.LogTerm, s.Applied, floor)
}

package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// PositionProof is a log position that a member reported while it was verified
// as the primary. Homes attach the newest proof to their answers, so that an
// instance whose accounts seldom use a primary need not probe it only to let
// replicas serve reads.
type PositionProof struct {
	// Position is zero if there is none.
	Position core.Position
	// Age is the time from the request to the primary until the answer was
	// sent.
	Age time.Duration
}

// positionProof returns the newest proof that this instance has.
func (db *database) positionProof() PositionProof {
	sentAt, end, known := db.primaryHistory.Latest()
	if !known {
		return PositionProof{}
	}
	return PositionProof{Position: end, Age: db.e.now.Sub(sentAt)}
}

// observePositionProof records the proof in the answer to a request sent at the
// given time. The home measured the proof's age after it received that request,
// so the primary was asked no earlier than that age before the request.
func (db *database) observePositionProof(p PositionProof, sentAt time.Time) {
	if p.Position.IsZero() || p.Position.Term < db.term {
		return
	}
	db.primaryHistory.Observe(sentAt.Add(-p.Age), p.Position)
}

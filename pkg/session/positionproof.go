package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Proof is a log position that a member reported while it was verified as the
// primary. Homes attach the newest proof to their answers, so that an instance
// whose accounts seldom use a primary need not probe it only to let replicas
// serve reads.
type Proof struct {
	// Position is zero if there is none.
	Position core.Position
	// Age is the time from the request to the primary until the answer was
	// sent.
	Age time.Duration
}

// proof returns the newest proof that this instance has.
func (db *database) proof() Proof {
	sentAt, end, known := db.primaryLog.Newest()
	if !known {
		return Proof{}
	}
	return Proof{Position: end, Age: db.e.now.Sub(sentAt)}
}

// observeProof records the proof in the answer to a request sent at the given
// time. The home measured the proof's age after it received that request, so
// the primary was asked no earlier than that age before the request.
func (db *database) observeProof(p Proof, sentAt time.Time) {
	if p.Position.IsZero() || p.Position.Term < db.term {
		return
	}
	db.primaryLog.Observe(sentAt.Add(-p.Age), p.Position)
}

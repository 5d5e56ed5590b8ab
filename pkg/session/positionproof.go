package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Proof is a position that a primary reported together with its lead. Homes
// attach the newest one to their answers, so that an instance whose accounts
// seldom use a primary need not ask it only to let replicas serve reads.
type Proof struct {
	// Position is zero if there is none.
	Position core.Position
	// Age is the time since the primary was asked, at the sending of the answer.
	Age time.Duration
}

// proof returns the newest proof that this instance has.
func (db *database) proof() Proof {
	asked, end, known := db.primaryLog.Newest()
	if !known {
		return Proof{}
	}
	return Proof{Position: end, Age: db.e.now.Sub(asked)}
}

// learnProof takes the proof in the answer to a request of the given time. The
// home measured its age after that, so the primary was asked no earlier than
// the age before the request.
func (db *database) observeProof(p Proof, requested time.Time) {
	if p.Position.IsZero() || p.Position.Term < db.term {
		return
	}
	db.primaryLog.Observe(requested.Add(-p.Age), p.Position)
}

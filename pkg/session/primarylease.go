package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Where neither the platform nor a replaced primary stops the writes to that primary,
// the instances have to. Two rules do so:
//
//   - An instance uses primaries only while it holds a lease, which contact with the
//     store or with other failure domains renews. An instance that replaces a primary
//     waits until the leases of the instances that it cannot reach have ended.
//   - An instance that is told to stop using a primary does so before it confirms.
//
// In both cases the statements that run on the primary are answered without its
// response, so that nothing that it still commits is acknowledged.

// PrimaryLease publishes the time until which this instance may use primaries. Before
// the first one, primaries are used without limit.
type PrimaryLease struct {
	Until time.Time
}

// PrimaryRevoked ends the use of a primary that is about to be replaced: of Member, or of
// the member that is used at present if Member is empty.
type PrimaryRevoked struct {
	// ReplyTo identifies the request; RevocationConfirmed returns it. It is nil if no
	// confirmation is needed.
	ReplyTo  any
	Database core.DatabaseName
	Member   core.MemberID
}

// RevocationConfirmed confirms that this instance no longer uses the primary.
type RevocationConfirmed struct {
	ReplyTo any
}

func (PrimaryLease) sessionInput() {}

func (PrimaryRevoked) sessionInput() {}

func (PrimaryPromoted) sessionInput() {}

func (RevocationConfirmed) peerCommand() {}

// PrimaryPromoted reports that the member was chosen as the new primary, which ends an
// earlier revocation of it.
type PrimaryPromoted struct {
	Database core.DatabaseName
	Member   core.MemberID
}

// revocationPeriod is how long a revoked primary is not used. Its own answers do not end
// that: a term that this instance has not seen yet may be the one that is ending. An
// instance that still wants to replace it revokes it again before that.
const revocationPeriod = 5 * time.Second

// primaryLease is the state of the instance's lease on primaries.
type primaryLease struct {
	// limited is set once a lease was published.
	limited bool
	until   time.Time
	// ended is set while the end of the lease has been applied.
	ended bool
	timer timer
}

// mayUsePrimaries reports whether the instance holds a lease, or needs none.
func (e *Engine) mayUsePrimaries() bool {
	return !e.primaryLease.limited || e.now.Before(e.primaryLease.until)
}

// renewPrimaryLease applies a published lease. One that ends earlier than the known
// lease is ignored.
func (e *Engine) renewPrimaryLease(in PrimaryLease) {
	l := &e.primaryLease
	if l.limited && !in.Until.After(l.until) {
		return
	}
	l.limited, l.until = true, in.Until
	e.timers.Arm(&l.timer.item, l.until)
	if !l.ended || !e.mayUsePrimaries() {
		return
	}
	l.ended = false
	for _, db := range e.databases {
		db.followAnnouncements()
		db.notifyViewChanged()
	}
}

// checkPrimaryLease stops the use of all primaries once the lease has ended. It runs
// before each input and each timer, because the process may have been paused since.
func (e *Engine) checkPrimaryLease() {
	l := &e.primaryLease
	if l.ended || e.mayUsePrimaries() {
		return
	}
	l.ended = true
	for _, db := range e.databases {
		db.stopUsingPrimary()
	}
}

// stopUsingPrimary ends the statements on the primary and leaves the database without
// one.
func (db *database) stopUsingPrimary() {
	p := db.primary
	if p == nil {
		return
	}
	db.primary = nil
	p.depose()
	db.reroute()
	db.notifyViewChanged()
}

// revokePrimary stops the use of a primary that is about to be replaced, and confirms
// it.
func (e *Engine) revokePrimary(in PrimaryRevoked) {
	if db := e.databases[in.Database]; db != nil {
		if m := db.revokedMember(in.Member); m != nil {
			m.revoke()
		}
	}
	if in.ReplyTo != nil {
		e.outbox.out.Peer(RevocationConfirmed{ReplyTo: in.ReplyTo})
	}
}

// revokedMember returns the member that a revocation names. Without a name that is the
// primary, or the last one if there is none.
func (db *database) revokedMember(id core.MemberID) *member {
	switch {
	case id != "":
		return db.member(id)
	case db.primary != nil:
		return db.primary
	}
	return db.lastPrimary
}

// revoke stops using the member as the primary for revocationPeriod.
func (m *member) revoke() {
	m.revokedUntil = m.db.e.now.Add(revocationPeriod)
	m.db.armCheck(m.revokedUntil)
	if m.db.primary == m {
		m.db.stopUsingPrimary()
	}
}

// usableAsPrimary reports whether the member may be used as the primary if it is one:
// the instance holds a lease, and the member is not revoked.
func (m *member) usableAsPrimary() bool {
	e := m.db.e
	if !e.mayUsePrimaries() {
		return false
	}
	return !e.now.Before(m.revokedUntil)
}

// primaryPromoted ends the revocation of a member that was chosen as the new primary.
func (e *Engine) primaryPromoted(in PrimaryPromoted) {
	db := e.databases[in.Database]
	if db == nil {
		return
	}
	if m := db.member(in.Member); m != nil {
		m.revokedUntil = time.Time{}
	}
}

// lacksPrimaryAccess reports whether the statement needs the primary while the
// instance may use none. Waiting would not help: callers that are refused at once can
// still turn to another instance, unless an evacuation withholds the primary everywhere.
func (s *statement) lacksPrimaryAccess() bool {
	return !s.c.e.mayUsePrimaries() || s.primaryWithheld()
}

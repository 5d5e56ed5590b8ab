package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// silenceBound is how long a member may owe answers without giving any before
// it is suspected. Statements take some tens of milliseconds, several times as
// long on a slow member.
const silenceBound = 350 * time.Millisecond

// Subject is a member or an instance that is the home of accounts; one field is
// set.
type Subject struct {
	Member core.MemberID
	Home   PeerAddress
}

// HeardAsked asks what this instance has heard of the subject.
type HeardAsked struct {
	// Reply comes back in the Heard.
	Reply   any
	Subject Subject
}

func (HeardAsked) sessionInput() {}

// Heard answers a HeardAsked.
type Heard struct {
	Reply any
	// Known is set if this instance has lately had anything to do with the subject.
	Known bool
	// Silence is how long the subject has owed an answer, zero if it owes none.
	Silence time.Duration
	// Ago is how long ago the subject gave an answer.
	Ago time.Duration
}

func (Heard) peerCommand() {}

// hear notes an answer of the member.
func (m *member) hear() {
	m.heardAt = m.db.e.now
	m.owesSince = time.Time{}
}

// owe notes that the member is expected to answer.
func (m *member) owe() {
	if m.owesSince.IsZero() {
		m.owesSince = m.db.e.now
	}
}

// silence is how long the member has owed an answer.
func (m *member) silence() time.Duration {
	if m.owesSince.IsZero() {
		return 0
	}
	return m.db.e.now.Sub(m.owesSince)
}

// checkSilence reports a primary that owes answers for too long.
func (db *database) checkSilence() {
	p := db.primary
	if p != nil && p.silence() > silenceBound {
		db.e.box.out.Control(SuspectMember{Database: db.name, Member: p.id})
	}
}

func (e *Engine) heardAsked(in HeardAsked) {
	answer := Heard{Reply: in.Reply}
	if p := e.peers[in.Subject.Home]; p != nil && p.probing {
		answer.Known = true
		answer.Ago = e.now.Sub(p.heard)
		if p.lost {
			answer.Silence = answer.Ago
		}
	}
	for _, db := range e.databases {
		m := db.member(in.Subject.Member)
		if m == nil {
			continue
		}
		answer.Known = !m.heardAt.IsZero() || !m.owesSince.IsZero()
		answer.Silence = m.silence()
		answer.Ago = e.now.Sub(m.heardAt)
	}
	e.box.out.Peer(answer)
}

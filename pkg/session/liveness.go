package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// silenceBound is how long a member may owe answers without giving any before
// it is suspected. Statements take some tens of milliseconds, several times as
// long on a slow member.
const memberResponseTimeout = 350 * time.Millisecond

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
func (m *member) responseReceived() {
	m.lastResponse = m.db.e.now
	m.responseDueSince = time.Time{}
}

// owe notes that the member is expected to answer.
func (m *member) responseExpected() {
	if m.responseDueSince.IsZero() {
		m.responseDueSince = m.db.e.now
	}
}

// silence is how long the member has owed an answer.
func (m *member) unansweredFor() time.Duration {
	if m.responseDueSince.IsZero() {
		return 0
	}
	return m.db.e.now.Sub(m.responseDueSince)
}

// checkSilence reports a primary that owes answers for too long.
func (db *database) checkPrimaryResponds() {
	p := db.primary
	if p != nil && p.unansweredFor() > memberResponseTimeout {
		db.e.outbox.out.Control(SuspectMember{Database: db.name, Member: p.id})
	}
}

func (e *Engine) heardAsked(in HeardAsked) {
	answer := Heard{Reply: in.Reply}
	if p := e.peers[in.Subject.Home]; p != nil && p.probing {
		answer.Known = true
		answer.Ago = e.now.Sub(p.lastHeard)
		if p.lost {
			answer.Silence = answer.Ago
		}
	}
	for _, db := range e.databases {
		m := db.member(in.Subject.Member)
		if m == nil {
			continue
		}
		answer.Known = !m.lastResponse.IsZero() || !m.responseDueSince.IsZero()
		answer.Silence = m.unansweredFor()
		answer.Ago = e.now.Sub(m.lastResponse)
	}
	e.outbox.out.Peer(answer)
}

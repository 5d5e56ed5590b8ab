package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// silenceBound is how long a member may owe answers without giving any before
// it is suspected. Statements take some tens of milliseconds, several times as
// long on a slow member.
const silenceBound = 350 * time.Millisecond

// MemberAsked asks what this instance has heard of a member.
type MemberAsked struct {
	// Reply comes back in the MemberHeard.
	Reply  any
	Member core.MemberID
}

func (MemberAsked) sessionInput() {}

// MemberHeard answers a MemberAsked.
type MemberHeard struct {
	Reply any
	// Known is set if this instance has had anything to do with the member.
	Known bool
	// Silence is how long the member has owed an answer, zero if it owes none.
	Silence time.Duration
	// Ago is how long ago the member gave an answer.
	Ago time.Duration
}

func (MemberHeard) peerCommand() {}

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

func (e *Engine) memberAsked(in MemberAsked) {
	answer := MemberHeard{Reply: in.Reply}
	for _, db := range e.databases {
		m := db.member(in.Member)
		if m == nil {
			continue
		}
		answer.Known = !m.heardAt.IsZero() || !m.owesSince.IsZero()
		answer.Silence = m.silence()
		answer.Ago = e.now.Sub(m.heardAt)
	}
	e.box.out.Peer(answer)
}

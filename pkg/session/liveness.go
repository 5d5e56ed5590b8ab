package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// memberResponseTimeout is how long a member may leave requests without any
// response before it is suspected. Statements take some tens of milliseconds,
// several times as long on a slow member.
const memberResponseTimeout = 350 * time.Millisecond

// LivenessSubject is the subject of a liveness query: a member, or an instance
// that is the home of accounts. One field is set.
type LivenessSubject struct {
	Member core.MemberID
	Home   PeerAddress
}

// LivenessQuery asks what this instance knows about the liveness of the
// subject.
type LivenessQuery struct {
	// ReplyTo identifies the query; the LivenessReport returns it.
	ReplyTo any
	Subject LivenessSubject
}

func (LivenessQuery) sessionInput() {}

// LivenessReport answers a LivenessQuery.
type LivenessReport struct {
	ReplyTo any
	// Known is set if this instance probes the home, or has sent requests to
	// the member.
	Known bool
	// UnresponsiveFor is how long the subject has left a request without a
	// response, zero if no response is due. For a home it is SinceContact while
	// the home is lost, zero otherwise.
	UnresponsiveFor time.Duration
	// SinceContact is the time since the subject's last message.
	SinceContact time.Duration
}

func (LivenessReport) peerCommand() {}

// MemberAlive reports that the member has answered a status request of this instance.
type MemberAlive struct {
	Member core.MemberID
}

func (MemberAlive) sessionInput() {}

// memberAlive records that the member is alive. The responses that are due count from now:
// an overloaded member that answers status requests is not suspected again at once, because
// each check costs it another connection.
func (e *Engine) memberAlive(in MemberAlive) {
	for _, db := range e.databases {
		m := db.member(in.Member)
		if m == nil {
			continue
		}
		m.lastResponse, m.responseDueSince = e.now, time.Time{}
		if m.awaitsResponse() {
			m.responseExpected()
		}
	}
}

// awaitsResponse reports whether a connection waits for a response of the member.
func (m *member) awaitsResponse() bool {
	states := &m.db.e.targetStates
	return m.stateCounts[states.busy]+m.stateCounts[states.probing]+m.stateCounts[states.opening] > 0
}

// responseReceived records a response of the member.
func (m *member) responseReceived() {
	if m == m.db.primary && m.unansweredFor() > memberResponseTimeout {
		m.db.e.outbox.out.Control(MemberResponded{Member: m.id})
	}
	m.lastResponse = m.db.e.now
	m.responseDueSince = time.Time{}
}

// responseExpected records that a response of the member is due.
func (m *member) responseExpected() {
	if m.responseDueSince.IsZero() {
		m.responseDueSince = m.db.e.now
	}
}

// unansweredFor returns how long a response of the member has been due.
func (m *member) unansweredFor() time.Duration {
	if m.responseDueSince.IsZero() {
		return 0
	}
	return m.db.e.now.Sub(m.responseDueSince)
}

// checkPrimaryResponds reports a primary as suspect that has not responded
// within memberResponseTimeout.
func (db *database) checkPrimaryResponds() {
	p := db.primary
	if p != nil && p.unansweredFor() > memberResponseTimeout {
		db.e.outbox.out.Control(MemberSuspected{Database: db.name, Member: p.id, UnansweredFor: p.unansweredFor()})
	}
}

// livenessQuery answers a liveness query.
func (e *Engine) livenessQuery(in LivenessQuery) {
	report := LivenessReport{ReplyTo: in.ReplyTo}
	if p := e.peers[in.Subject.Home]; p != nil && p.probing {
		report.Known = true
		report.SinceContact = e.now.Sub(p.lastContact)
		if p.lost {
			report.UnresponsiveFor = report.SinceContact
		}
	}
	for _, db := range e.databases {
		m := db.member(in.Subject.Member)
		if m == nil {
			continue
		}
		report.Known = !m.lastResponse.IsZero() || !m.responseDueSince.IsZero()
		report.UnresponsiveFor = m.unansweredFor()
		report.SinceContact = e.now.Sub(m.lastResponse)
	}
	e.outbox.out.Peer(report)
}

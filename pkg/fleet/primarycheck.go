package fleet

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// A session suspects a primary that it cannot connect to or that leaves requests without a
// response. This file decides whether the primary is dead, only overloaded, or out of reach
// of this instance alone:
//
//	evidence                                              conclusion
//	its host refuses the status connection                dead
//	any reply to the status connection, also BUSY,        alive
//	CONNLIMIT and other errors
//	a response to the startup, none to the status         alive
//	a response to this instance since the suspicion       alive
//	a response to another instance within 600 ms          alive; this instance is cut off
//	                                                      from it and releases its homes, but
//	                                                      not while the host accepts its
//	                                                      connections, for maxOverloadTime
//	none of these, a majority of the polled instances     dead
//	responded and one of them waits for a response too
//	fewer than a majority responded                       unknown, checked again

// maxOverloadTime is how long an instance keeps its homes without a response of a primary that
// responds to others and whose host accepts connections. A full queue of 32 statements of
// 30 ms on 2 slots takes half a second, and several times as long on a slow member: such a
// member is overloaded, not out of reach.
const maxOverloadTime = 2 * time.Second

// livenessCheck is the state of the check of a suspected primary.
type livenessCheck struct {
	// suspectedAt is when the check in progress, or the last one, began. unansweredFor is
	// how long a response had been due then, zero if a connection had failed.
	suspectedAt   time.Time
	unansweredFor time.Duration
	// respondedAt is when the primary last responded to the session after a suspicion.
	respondedAt time.Time
	// evidence is why the primary was declared dead.
	evidence deathEvidence
}

// deathEvidence is the evidence on which a primary is declared dead.
type deathEvidence struct {
	// check is the result of this instance's status request.
	check string
	// unansweredFor is how long a response to this instance had been due.
	unansweredFor time.Duration
	// poll is the result of the poll, the zero value without one.
	poll pollResult
}

// String returns the evidence as log lines name it.
func (v *deathEvidence) String() string {
	if v.check == "" {
		return ""
	}
	return fmt.Sprintf("%s; no response for %d ms; %d instances asked, %d answered, %d heard from it, %d wait for it", v.check,
		v.unansweredFor.Milliseconds(), v.poll.asked, v.poll.answered, v.poll.responsive, v.poll.unresponsiveReports)
}

// checkSuspect starts a check of a primary that a session could not reach. The
// worker asks the primary for its status first.
func (e *Engine) checkSuspect(r session.MemberSuspected) {
	m := e.members[r.Member]
	if m == nil || m.dead || m.statusPending || m.Role != core.RolePrimary {
		return
	}
	m.liveness.suspectedAt, m.liveness.unansweredFor = e.now, r.UnansweredFor
	m.statusPending = e.out.SubmitJob(Job{Kind: JobMemberStatus, Group: m.Group, Targets: []Target{m.target()}})
}

// memberResponded records that a suspected primary has responded to this instance.
func (e *Engine) memberResponded(id core.MemberID) {
	if m := e.members[id]; m != nil {
		m.liveness.respondedAt = e.now
	}
}

// statusChecked handles the result of the status request: a refused connection
// proves that the primary is dead, no reply starts a liveness poll, and any
// reply clears the suspicion.
func (e *Engine) statusChecked(d *JobDone) {
	m := e.members[d.Job.Targets[0].Member]
	if m == nil {
		return
	}
	var unanswered *UnansweredError
	accepted := eris.As(d.Err, &unanswered)
	switch {
	case eris.Is(d.Err, ErrConnectionRefused):
		m.statusPending = false
		e.declareDead(m, "its host refuses connections", deathEvidence{check: "its host refused a connection"})
	case eris.Is(d.Err, ErrNoResponse) && !(accepted && unanswered.Started):
		e.pollPrimary(m, accepted)
	default:
		m.statusPending = false
		e.out.Session(session.MemberAlive{Member: m.Member})
	}
}

// pollPrimary asks the other instances whether the primary responds to them. accepted is set
// if its host has accepted the connection of the status request.
func (e *Engine) pollPrimary(m *member, accepted bool) {
	id := m.Member
	poll := &livenessPoll{e: e, subject: session.LivenessSubject{Member: id}, event: "primary_silent", askAllHomes: accepted}
	poll.done = func(result pollResult) { e.decideUnresponsivePrimary(id, accepted, result) }
	poll.start(0)
}

// decideUnresponsivePrimary handles the result of a poll about a primary that did not reply
// to the status request.
func (e *Engine) decideUnresponsivePrimary(id core.MemberID, accepted bool, result pollResult) {
	m := e.members[id]
	if m == nil {
		return
	}
	m.statusPending = false
	check := "no connection within the time limit"
	if accepted {
		check = "its host accepted a connection, no reply"
	}
	switch {
	case m.liveness.respondedAt.After(m.liveness.suspectedAt):
	case result.responsive > 0 && accepted && m.liveness.unansweredFor < maxOverloadTime:
	case result.responsive > 0:
		e.homes.releaseAll("a primary responds to other instances but not to this one")
	case result.unresponsive():
		evidence := deathEvidence{check: check, unansweredFor: m.liveness.unansweredFor + e.now.Sub(m.liveness.suspectedAt), poll: result}
		e.declareDead(m, "no instance gets a response from it", evidence)
	}
}

// declareDead marks a primary as dead, which makes the group need a new one.
func (e *Engine) declareDead(m *member, reason string, evidence deathEvidence) {
	if m.dead || m.Role != core.RolePrimary {
		return
	}
	m.dead = true
	m.liveness.evidence = evidence
	e.out.Log(LogEvent{Warning: true, Event: "primary_dead", Message: "the primary is declared dead: " + reason, Fields: map[string]any{
		"member": m.Member, "group": m.Group, "check": evidence.check, "unanswered_ms": evidence.unansweredFor.Milliseconds(),
		"asked": evidence.poll.asked, "answered": evidence.poll.answered,
		"heard": evidence.poll.responsive, "silent": evidence.poll.unresponsiveReports,
	}})
	e.publish()
}

// deathEvidenceOf returns the evidence for which the member was declared dead, empty if it
// was not.
func (e *Engine) deathEvidenceOf(id core.MemberID) string {
	m := e.members[id]
	if m == nil || !m.dead {
		return ""
	}
	return m.liveness.evidence.String()
}

package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// MemberResponded handles the response to a member call. The response to a call
// that has expired is ignored.
func (g *Group) MemberResponded(now time.Time, in MemberResponded) {
	g.beginInput(now)
	if m, c := g.findCall(in.Call); c != nil {
		call := *c
		c.id = 0
		m.handleStatus(call, c == &m.statusCall, in)
	}
	g.endInput()
}

// MemberFailed handles a member call that ended without a status. The failure
// of a call that has expired is ignored.
func (g *Group) MemberFailed(now time.Time, in MemberFailed) {
	g.beginInput(now)
	if m, c := g.findCall(in.Call); c != nil {
		m.callFailed(c, in)
	}
	g.endInput()
}

// findCall returns the outstanding call with the ID and its member, or nil.
func (g *Group) findCall(call CallID) (*member, *pendingCall) {
	for _, m := range g.members {
		for _, c := range []*pendingCall{&m.statusCall, &m.waitCall, &m.commandCall} {
			if c.outstanding() && c.id == call {
				return m, c
			}
		}
	}
	return nil, nil
}

// handleStatus applies the status that the member returned to a call. A status
// that is older than the newest one known still counts for fencing, terms and
// floors.
func (m *member) handleStatus(call pendingCall, isStatusCall bool, in MemberResponded) {
	g := m.group
	m.recordReceived(in.Status)
	if !in.SentAt.Before(m.statusSentAt) {
		m.status = in.Status
		m.hasStatus = true
		m.statusSentAt = in.SentAt
		m.statusReceivedAt = g.now
	}
	if isStatusCall {
		m.updateLatency(in.ReceivedAt.Sub(in.SentAt))
	}
	m.recordFenceResult(call, in.Status)
	g.observeTerm(m, in.Status)
	m.updateLiveness(in)
	g.countFloorResponse(m, in)
	m.fireStatusEvent()
	g.view.dirty = true
}

// recordReceived keeps the greatest log position that the member has received
// in its current term. The log of a term is truncated only when a later term is
// accepted, so a greater position reported earlier still holds.
func (m *member) recordReceived(s core.MemberStatus) {
	if s.LogTerm != s.Term {
		return
	}
	p := core.Position{Term: s.Term, LSN: s.Received}
	if p.After(m.received) {
		m.received = p
	}
}

// updateLatency adds a round trip to the exponential average.
func (m *member) updateLatency(rtt time.Duration) {
	if m.latency == 0 {
		m.latency = rtt
		return
	}
	m.latency += (rtt - m.latency) / latencySmoothing
}

// observeTerm adopts a newer term or primary from a member's status.
func (g *Group) observeTerm(m *member, s core.MemberStatus) {
	newer := s.Term > g.newestTerm
	g.newestTerm = max(g.newestTerm, s.Term)
	if s.Role == core.RolePrimary && s.Term > g.term {
		g.adoptPrimary(m, s.Term)
		g.setTermStart(s)
		g.fireAdoption(m)
		return
	}
	if s.Role == core.RolePrimary && s.Term == g.term && m == g.primary {
		g.setTermStart(s)
	}
	if newer {
		g.markPrimaryUnknown()
		g.fire(g.rules.groupEvents.termPassed)
	}
}

// fireAdoption fires the chart's event for the adopted primary: "promoted" for
// the member chosen by this instance, "primary_found" for any other.
func (g *Group) fireAdoption(m *member) {
	if !g.hasPrimary() {
		return
	}
	if m == g.chosen && g.wonTerm == g.term && g.claim.record.Term == g.term {
		g.fire(g.rules.groupEvents.promoted)
		return
	}
	g.fire(g.rules.groupEvents.primaryFound)
}

// setTermStart takes the start of the current term from a member's term history.
func (g *Group) setTermStart(s core.MemberStatus) {
	for _, t := range s.Terms {
		if t.Term == g.term {
			g.termStart = t.Start
			g.termStartKnown = true
		}
	}
}

// adoptPrimary makes m the primary of term, which is newer than the current
// term of this group.
func (g *Group) adoptPrimary(m *member, term core.Term) {
	g.term = term
	g.newestTerm = max(g.newestTerm, term)
	g.primary = m
	g.termStartKnown = false
	g.samples = g.samples[:0]
	g.confirm.dropOlderTerms(term)
	g.view.urgent = true
	m.unansweredSince = time.Time{}
	if m.statusCall.outstanding() {
		m.unansweredSince = g.now
	}
	g.log(EventPrimaryAdopted, m.id, "")
	for _, other := range g.members {
		other.fireStatusEvent()
		other.scheduleStatusCall()
	}
}

// markPrimaryUnknown starts the time without a primary, because a newer term
// exists whose primary is not known yet.
func (g *Group) markPrimaryUnknown() {
	g.noPrimarySince = g.now
	g.view.urgent = true
}

// updateLiveness marks the member as responsive. A response of the primary counts
// only if it has the role of a primary in the current term: a primary that was
// restarted or fenced does not serve.
func (m *member) updateLiveness(in MemberResponded) {
	g := m.group
	m.refusals = 0
	if m != g.primary {
		m.unansweredSince = time.Time{}
		return
	}
	if in.Status.Role != core.RolePrimary || in.Status.Term != g.term {
		return
	}
	m.unansweredSince = time.Time{}
	g.addSample(in)
	if g.hasPrimary() {
		g.fire(g.rules.groupEvents.primaryHeard)
	}
}

// fireStatusEvent fires the member's chart event for its newest status.
func (m *member) fireStatusEvent() {
	if !m.hasStatus {
		return
	}
	if m.isBehind() {
		m.fire(m.group.rules.memberEvents.fellBehind)
		return
	}
	m.fire(m.group.rules.memberEvents.answered)
}

// isBehind reports whether the member has not joined the current term.
func (m *member) isBehind() bool {
	g := m.group
	if m == g.primary {
		return m.status.Term < g.term
	}
	if m.status.Term == g.term && g.hasPrimary() {
		return m.status.Role != core.RoleReplica
	}
	return m.status.Term < g.term
}

// callFailed handles a call that failed or expired. The next call of its kind is
// not sent before FastHeartbeat has passed.
func (m *member) callFailed(c *pendingCall, in MemberFailed) {
	g := m.group
	failed := *c
	c.id = 0
	c.notBefore = g.now.Add(g.config.FastHeartbeat)
	g.view.dirty = true
	if c == &m.statusCall {
		m.statusCallFailed(in.Failure)
		m.fire(g.rules.memberEvents.failed)
		return
	}
	if failed.method == MethodFence && failed.term == g.wonTerm {
		m.fence.failed = true
	}
	if in.Failure == FailureTermTooLow && in.Accepted > g.newestTerm {
		g.newestTerm = in.Accepted
		g.markPrimaryUnknown()
		g.fire(g.rules.groupEvents.termPassed)
	}
	m.scheduleStatusCall()
}

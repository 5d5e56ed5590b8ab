package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// MemberAnswered takes the answer to a member call. The answer to a call that
// was given up before is ignored.
func (g *Group) MemberAnswered(now time.Time, in MemberAnswered) {
	g.enter(now)
	if m, l := g.findCall(in.Call); l != nil {
		done := *l
		l.call = 0
		m.accept(done, l == &m.probe, in)
	}
	g.settle()
}

// MemberFailed takes the failure of a member call.
func (g *Group) MemberFailed(now time.Time, in MemberFailed) {
	g.enter(now)
	if m, l := g.findCall(in.Call); l != nil {
		m.callFailed(l, in)
	}
	g.settle()
}

func (g *Group) findCall(call CallID) (*member, *lane) {
	for _, m := range g.members {
		for _, l := range []*lane{&m.probe, &m.wait, &m.order} {
			if l.busy() && l.call == call {
				return m, l
			}
		}
	}
	return nil, nil
}

func (m *member) accept(done lane, isProbe bool, in MemberAnswered) {
	g := m.group
	m.keepEvidence(in.Status)
	if !in.Asked.Before(m.asked) {
		m.status = in.Status
		m.seen = true
		m.asked = in.Asked
		m.answered = g.now
	}
	if isProbe {
		m.smooth(in.Answered.Sub(in.Asked))
	}
	m.keepFence(done, in.Status)
	g.learnTerm(m, in.Status)
	m.heard(in)
	g.floorAnswered(m, in)
	m.classify()
	g.view.dirty = true
}

// keepEvidence remembers what the member received in a term. The log of a term
// is only cut when a later term is accepted, so the greatest value counts.
func (m *member) keepEvidence(s core.MemberStatus) {
	if s.LogTerm != s.Term {
		return
	}
	p := core.Position{Term: s.Term, LSN: s.Received}
	if p.After(m.got) {
		m.got = p
	}
}

func (m *member) smooth(rtt time.Duration) {
	if m.latency == 0 {
		m.latency = rtt
		return
	}
	m.latency += (rtt - m.latency) / latencyShare
}

// learnTerm adopts a newer term or primary from a member's status.
func (g *Group) learnTerm(m *member, s core.MemberStatus) {
	newer := s.Term > g.known
	g.known = max(g.known, s.Term)
	if s.Role == core.RolePrimary && s.Term > g.term {
		g.adoptPrimary(m, s.Term)
		g.learnStart(s)
		g.announceAdoption(m)
		return
	}
	if s.Role == core.RolePrimary && s.Term == g.term && m == g.primary {
		g.learnStart(s)
	}
	if newer {
		g.loseTerm()
		g.fire(g.rules.events.termPassed)
	}
}

// announceAdoption tells the chart who serves now.
func (g *Group) announceAdoption(m *member) {
	if !g.hasPrimary() {
		return
	}
	if m == g.chosen && g.orderTerm == g.term && g.claim.record.Term == g.term {
		g.fire(g.rules.events.promoted)
		return
	}
	g.fire(g.rules.events.primaryFound)
}

func (g *Group) learnStart(s core.MemberStatus) {
	for _, t := range s.Terms {
		if t.Term == g.term {
			g.start = t.Start
			g.startKnown = true
		}
	}
}

// adoptPrimary makes m the primary of term, which is newer than the one in
// force here.
func (g *Group) adoptPrimary(m *member, term core.Term) {
	g.term = term
	g.known = max(g.known, term)
	g.primary = m
	g.startKnown = false
	g.samples = g.samples[:0]
	g.confirm.enterTerm(term)
	g.view.urgent = true
	m.unansweredSince = time.Time{}
	if m.probe.busy() {
		m.unansweredSince = g.now
	}
	g.note(EventPrimaryAdopted, m.id, "")
	for _, other := range g.members {
		other.classify()
		other.probeNow()
	}
}

// loseTerm notes that a newer term exists whose primary is not known.
func (g *Group) loseTerm() {
	g.aloneSince = g.now
	g.view.urgent = true
}

// heard notes a sign of life. Of the primary only an answer in its role and
// term counts: a primary that was restarted or fenced does not serve.
func (m *member) heard(in MemberAnswered) {
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
		g.fire(g.rules.events.primaryHeard)
	}
}

// classify fires the member's event for its newest status.
func (m *member) classify() {
	if !m.seen {
		return
	}
	if m.isBehind() {
		m.fire(m.group.rules.reports.fellBehind)
		return
	}
	m.fire(m.group.rules.reports.answered)
}

// isBehind reports whether the member has not joined the term in force.
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

func (m *member) callFailed(l *lane, in MemberFailed) {
	g := m.group
	done := *l
	l.call = 0
	l.notUntil = g.now.Add(g.config.FastHeartbeat)
	g.view.dirty = true
	if l == &m.probe {
		m.probeFailed(in.Failure)
		m.fire(g.rules.reports.failed)
		return
	}
	if done.method == MethodFence && done.term == g.orderTerm {
		m.fence.failed = true
	}
	if in.Failure == FailureTermTooLow && in.Accepted > g.known {
		g.known = in.Accepted
		g.loseTerm()
		g.fire(g.rules.events.termPassed)
	}
	m.probeNow()
}

package failover

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// simLogEntry is one log entry. Entry i of a log ends at LSN i+1.
type simLogEntry struct {
	term core.Term
	id   int
}

// simWaiter is a wait call that the member holds.
type simWaiter struct {
	received, applied core.LSN
	expires           time.Time
	complete          func(*simError)
}

// simError is error 4001 with the accepted term.
type simError struct {
	accepted core.Term
}

// simMember is a database member with the status endpoint of design section 9.
type simMember struct {
	sim          *sim
	id           core.MemberID
	alive        bool
	paused       time.Time
	role         core.Role
	term         core.Term
	log          []simLogEntry
	termStarts   core.TermHistory
	primary      core.MemberID
	lastReceived time.Time
	waiters      []*simWaiter
}

func (m *simMember) status() core.MemberStatus {
	s := core.MemberStatus{Member: m.id, Role: m.role, Term: m.term, Terms: slices.Clone(m.termStarts)}
	s.Received = core.LSN(len(m.log))
	s.Applied = s.Received
	if len(m.log) > 0 {
		s.LogTerm = m.log[len(m.log)-1].term
	}
	if m.role != core.RolePrimary {
		s.PrimaryUnresponsiveFor = m.sim.now.Sub(m.lastReceived)
	}
	return s
}

func (m *simMember) acceptTerm(term core.Term, role core.Role) {
	m.term = term
	m.role = role
	for _, w := range m.waiters {
		w.complete(&simError{accepted: term})
	}
	m.waiters = nil
}

func (m *simMember) applyCommand(c MemberCall) *simError {
	if c.Term < m.term {
		return &simError{accepted: m.term}
	}
	switch c.Method {
	case MethodFence:
		if c.Term > m.term {
			m.acceptTerm(c.Term, core.RoleFenced)
		}
	case MethodPromote:
		if c.Term > m.term || m.role == core.RoleFenced {
			m.promote(c.Term)
		}
	case MethodFollow:
		if c.Term > m.term || m.role == core.RoleFenced {
			m.follow(c)
		}
	}
	return nil
}

func (m *simMember) promote(term core.Term) {
	m.acceptTerm(term, core.RolePrimary)
	m.sim.checkPromotion(m, term)
	m.sim.termStarts[term] = core.LSN(len(m.log))
	m.termStarts = append(m.termStarts, core.TermStart{Term: term, Start: core.LSN(len(m.log))})
	m.log = append(m.log, simLogEntry{term: term})
	m.sendLog()
}

func (m *simMember) follow(c MemberCall) {
	m.acceptTerm(c.Term, core.RoleReplica)
	m.sim.checkFollow(c)
	m.primary = core.MemberID(c.Primary)
	m.log = m.log[:min(len(m.log), int(c.Start))]
	m.lastReceived = m.sim.now
}

// sendLog sends the whole log of a primary to the other members.
func (m *simMember) sendLog() {
	if m.role != core.RolePrimary || !m.alive {
		return
	}
	log, termStarts, term := slices.Clone(m.log), slices.Clone(m.termStarts), m.term
	for _, other := range m.sim.members {
		if other == m || m.sim.isCut(string(m.id), string(other.id)) {
			continue
		}
		m.sim.runOnMember(other, func() { other.receive(m.id, term, log, termStarts) })
	}
}

func (m *simMember) receive(from core.MemberID, term core.Term, log []simLogEntry, termStarts core.TermHistory) {
	if term != m.term || m.role != core.RoleReplica || m.primary != from {
		return
	}
	m.lastReceived = m.sim.now
	if len(log) > len(m.log) {
		m.log = log
		m.termStarts = termStarts
	}
	m.completeWaiters()
}

func (m *simMember) completeWaiters() {
	m.waiters = slices.DeleteFunc(m.waiters, func(w *simWaiter) bool {
		done := core.LSN(len(m.log)) >= max(w.received, w.applied) || !m.sim.now.Before(w.expires)
		if done {
			w.complete(nil)
		}
		return done
	})
}

func (m *simMember) startWait(c MemberCall, complete func(*simError)) {
	if c.Term != m.term {
		complete(&simError{accepted: m.term})
		return
	}
	w := &simWaiter{received: c.Received, applied: c.Applied, expires: m.sim.now.Add(c.Hold), complete: complete}
	m.waiters = append(m.waiters, w)
	m.sim.at(w.expires, func() { m.sim.runOnMemberNow(m, m.completeWaiters) })
	m.completeWaiters()
}

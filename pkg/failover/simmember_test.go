package failover

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// simEntry is one log entry; entry i of a log ends at lsn i+1.
type simEntry struct {
	term core.Term
	id   int
}

type simWaiter struct {
	received, applied core.LSN
	until             time.Time
	answer            func(*simError)
}

// simError is error 4001 with the accepted term.
type simError struct {
	accepted core.Term
}

// simMember is a database member with the status endpoint of design section 9.
type simMember struct {
	sim     *sim
	id      core.MemberID
	alive   bool
	paused  time.Time
	role    core.Role
	term    core.Term
	log     []simEntry
	starts  core.TermHistory
	primary core.MemberID
	heard   time.Time
	waiters []*simWaiter
}

func (m *simMember) status() core.MemberStatus {
	s := core.MemberStatus{Member: m.id, Role: m.role, Term: m.term, Terms: slices.Clone(m.starts)}
	s.Received = core.LSN(len(m.log))
	s.Applied = s.Received
	if len(m.log) > 0 {
		s.LogTerm = m.log[len(m.log)-1].term
	}
	if m.role != core.RolePrimary {
		s.PrimarySilence = m.sim.now.Sub(m.heard)
	}
	return s
}

func (m *simMember) accept(term core.Term, role core.Role) {
	m.term = term
	m.role = role
	for _, w := range m.waiters {
		w.answer(&simError{accepted: term})
	}
	m.waiters = nil
}

func (m *simMember) order(c MemberCall) *simError {
	if c.Term < m.term {
		return &simError{accepted: m.term}
	}
	switch c.Method {
	case MethodFence:
		if c.Term > m.term {
			m.accept(c.Term, core.RoleFenced)
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
	m.accept(term, core.RolePrimary)
	m.sim.checkPromotion(m, term)
	m.sim.starts[term] = core.LSN(len(m.log))
	m.starts = append(m.starts, core.TermStart{Term: term, Start: core.LSN(len(m.log))})
	m.log = append(m.log, simEntry{term: term})
	m.stream()
}

func (m *simMember) follow(c MemberCall) {
	m.accept(c.Term, core.RoleReplica)
	m.sim.checkFollow(c)
	m.primary = core.MemberID(c.Primary)
	m.log = m.log[:min(len(m.log), int(c.Start))]
	m.heard = m.sim.now
}

// stream sends the whole log to the others, as a primary does.
func (m *simMember) stream() {
	if m.role != core.RolePrimary || !m.alive {
		return
	}
	log, starts, term := slices.Clone(m.log), slices.Clone(m.starts), m.term
	for _, other := range m.sim.members {
		if other == m || m.sim.isCut(string(m.id), string(other.id)) {
			continue
		}
		m.sim.toMember(other, func() { other.receive(m.id, term, log, starts) })
	}
}

func (m *simMember) receive(from core.MemberID, term core.Term, log []simEntry, starts core.TermHistory) {
	if term != m.term || m.role != core.RoleReplica || m.primary != from {
		return
	}
	m.heard = m.sim.now
	if len(log) > len(m.log) {
		m.log = log
		m.starts = starts
	}
	m.answerWaiters()
}

func (m *simMember) answerWaiters() {
	m.waiters = slices.DeleteFunc(m.waiters, func(w *simWaiter) bool {
		done := core.LSN(len(m.log)) >= max(w.received, w.applied) || !m.sim.now.Before(w.until)
		if done {
			w.answer(nil)
		}
		return done
	})
}

func (m *simMember) wait(c MemberCall, answer func(*simError)) {
	if c.Term != m.term {
		answer(&simError{accepted: m.term})
		return
	}
	w := &simWaiter{received: c.Received, applied: c.Applied, until: m.sim.now.Add(c.Hold), answer: answer}
	m.waiters = append(m.waiters, w)
	m.sim.at(w.until, func() { m.sim.toMemberNow(m, m.answerWaiters) })
	m.answerWaiters()
}

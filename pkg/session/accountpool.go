package session

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Connections that belong to one account each: a statement whose account has no
// free connection is parked while one is opened, and does not hold up others.

// dispatchByAccount sends waiting statements to the connections of their
// accounts.
func (m *member) dispatchByAccount() {
	m.dispatchPinned()
	m.serveParked()
	for m.queue.Len() > 0 && m.running() < m.slots {
		item, _ := m.queue.Pop()
		m.serveOrPark(item.Value)
	}
	m.openForParked()
}

func (m *member) serveOrPark(s *statement) {
	t := m.idleFor(s.c.account.name)
	if t == nil {
		s.parked = true
		m.parked = append(m.parked, s)
		return
	}
	m.serveOn(s, t)
}

func (m *member) serveParked() {
	for i := 0; i < len(m.parked) && m.running() < m.slots; {
		s := m.parked[i]
		t := m.idleFor(s.c.account.name)
		if t == nil {
			i++
			continue
		}
		s.unpark()
		m.serveOn(s, t)
	}
}

func (s *statement) unpark() {
	if !s.parked {
		return
	}
	s.parked = false
	i := slices.Index(s.member.parked, s)
	s.member.parked = slices.Delete(s.member.parked, i, i+1)
}

// idleFor returns the account's connection that was used last.
func (m *member) idleFor(account core.AccountName) *target {
	var newest *target
	for _, t := range m.idleConns {
		if t.account == account && (newest == nil || t.idleSince.After(newest.idleSince)) {
			newest = t
		}
	}
	return newest
}

// growForParked opens connections for the accounts of parked statements, in
// place of idle ones of other accounts where the bound is reached.
func (m *member) openForParked() {
	db := m.db
	if len(m.parked) == 0 || db.leaving || m.removed || db.e.now.Before(m.retryAt) {
		return
	}
	if db.e.now.Before(m.limitRetryAt) {
		db.armCheck(m.limitRetryAt)
		return
	}
	seen := map[core.AccountName]bool{}
	for _, s := range m.parked {
		account := s.c.account.name
		if seen[account] || !m.needsConnection(account) {
			continue
		}
		seen[account] = true
		if m.connections < db.memberBound {
			m.open(account)
			continue
		}
		m.retireIdleOfOther(account)
	}
}

// wantsConnection reports whether the account's parked statements outnumber
// what its opening connections will soon serve.
func (m *member) needsConnection(account core.AccountName) bool {
	states := &m.db.e.targetStates
	connections, parked := 0, 0
	for _, t := range m.db.targets {
		if t.member != m || t.account != account {
			continue
		}
		if t.state == states.opening || t.state == states.busy {
			connections++
		}
	}
	for _, s := range m.parked {
		if s.c.account.name == account {
			parked++
		}
	}
	if connections == 0 {
		return true
	}
	return connections < m.slots && parked > m.capacity(connections)
}

// replaceIdleOf closes the idle connection that has rested longest; the close
// makes room for another account.
func (m *member) retireIdleOfOther(wanting core.AccountName) {
	if m.stateCounts[m.db.e.targetStates.closing] > 0 {
		return
	}
	var oldest *target
	for _, t := range m.idleConns {
		if t.account != wanting && (oldest == nil || t.idleSince.Before(oldest.idleSince)) {
			oldest = t
		}
	}
	if oldest != nil {
		oldest.fire(m.db.e.charts.onTarget.retire)
	}
}

// setMemberBound applies a new share of each member's connections; surplus ones
// close at their next boundary.
func (db *database) setMemberBound(bound int) {
	db.memberBound = bound
	for _, m := range db.members {
		for surplus := m.connections - bound; surplus > 0 && len(m.idleConns) > 0; surplus-- {
			m.idleConns[0].fire(db.e.charts.onTarget.retire)
		}
	}
	db.scheduleDispatch()
}

// setRest applies the time after which unused connections are closed.
func (db *database) setIdleTimeout(rest time.Duration) {
	if db.idleTimeout == rest {
		return
	}
	db.idleTimeout = rest
	for _, t := range db.targets {
		if t.isIdle() {
			t.arm()
		}
	}
}

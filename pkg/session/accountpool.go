package session

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// With AsyncReplication each connection belongs to one account. A statement
// whose account has no free connection is parked while one is opened, and does
// not block others.

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

// serveOrPark sends the statement on an idle connection of its account, or
// parks it.
func (m *member) serveOrPark(s *statement) {
	t := m.idleFor(s.c.account.name)
	if t == nil {
		s.parked = true
		m.parked = append(m.parked, s)
		return
	}
	m.serveOn(s, t)
}

// serveParked sends parked statements whose account has an idle connection
// again.
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

// unpark removes the statement from the parked list of its member.
func (s *statement) unpark() {
	if !s.parked {
		return
	}
	s.parked = false
	i := slices.Index(s.member.parked, s)
	s.member.parked = slices.Delete(s.member.parked, i, i+1)
}

// idleFor returns the account's most recently used idle connection, or nil.
func (m *member) idleFor(account core.AccountName) *target {
	var newest *target
	for _, t := range m.idleConns {
		if t.account == account && (newest == nil || t.idleSince.After(newest.idleSince)) {
			newest = t
		}
	}
	return newest
}

// openForParked opens connections for the accounts of parked statements. At the
// connection limit it closes idle connections of other accounts to free one.
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

// needsConnection reports whether the account has more parked statements than
// its opening and busy connections will soon serve.
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

// retireIdleOfOther closes the connection of another account that has been idle
// longest, to free one for the given account.
func (m *member) retireIdleOfOther(requester core.AccountName) {
	if m.stateCounts[m.db.e.targetStates.closing] > 0 {
		return
	}
	var oldest *target
	for _, t := range m.idleConns {
		if t.account != requester && (oldest == nil || t.idleSince.Before(oldest.idleSince)) {
			oldest = t
		}
	}
	if oldest != nil {
		oldest.fire(m.db.e.charts.onTarget.retire)
	}
}

// setMemberBound applies a new limit of connections to each member and closes
// surplus idle ones.
func (db *database) setMemberBound(bound int) {
	db.memberBound = bound
	for _, m := range db.members {
		for surplus := m.connections - bound; surplus > 0 && len(m.idleConns) > 0; surplus-- {
			m.idleConns[0].fire(db.e.charts.onTarget.retire)
		}
	}
	db.scheduleDispatch()
}

// setIdleTimeout sets the time after which unused connections are closed.
func (db *database) setIdleTimeout(timeout time.Duration) {
	if db.idleTimeout == timeout {
		return
	}
	db.idleTimeout = timeout
	for _, t := range db.targets {
		if t.isIdle() {
			t.arm()
		}
	}
}

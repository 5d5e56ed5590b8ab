package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// With AsyncReplication each connection belongs to one account. A statement
// whose account has no free connection stays in the queue while one is opened,
// and does not block those of other accounts.

// dispatchByAccount sends waiting statements to the connections of their
// accounts, the most urgent first, while the slots and the pacer permit it.
func (m *member) dispatchByAccount() {
	m.dispatchPinned()
	if m.queue.Len() == 0 {
		return
	}
	m.openForQueued()
	for m.queue.Len() > 0 && m.running() < m.slots && m.mayStart() {
		item, ok := m.queue.PopWhere(m.hasIdle)
		if !ok {
			break
		}
		s := item.Value
		m.serveOn(s, m.idleFor(s.c.account.name))
	}
}

// hasIdle reports whether the account has an idle connection.
func (m *member) hasIdle(account core.AccountName) bool { return m.idleFor(account) != nil }

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

// mayOpen reports whether a connection to the member may be opened now. While the
// pacer limits the member's work, only when a statement may start, since opening
// one occupies a slot too.
func (m *member) mayOpen() bool {
	db := m.db
	if db.leaving || m.removed || db.e.now.Before(m.retryAt) {
		return false
	}
	if db.e.now.Before(m.limitRetryAt) {
		db.armCheck(m.limitRetryAt)
		return false
	}
	return m.pace == nil || !m.pace.Limits() || m.mayStart()
}

// openForQueued opens connections for the accounts whose statements come next
// and that have no free one. At the connection limit it closes idle connections
// of other accounts to free one.
func (m *member) openForQueued() {
	if !m.mayOpen() {
		return
	}
	limited := m.pace != nil && m.pace.Limits()
	free := m.freeSlots()
	m.queue.Waiting(func(account core.AccountName, items int) bool {
		if free <= 0 {
			return false
		}
		if idle := m.idleCount(account); idle > 0 {
			free -= min(idle, items)
			return true
		}
		if !m.needsConnection(account, items) {
			return true
		}
		if m.connections >= m.db.memberBound {
			m.retireIdleOfOther(account)
			return true
		}
		m.open(account)
		if limited {
			free--
		}
		return true
	})
}

// freeSlots returns how many more statements may run on the member. While the
// pacer limits its work, connections that are being opened count too.
func (m *member) freeSlots() int {
	if m.pace == nil || !m.pace.Limits() {
		return m.slots - m.running()
	}
	opening := m.stateCounts[m.db.e.targetStates.opening]
	return m.maxInFlight() - m.running() - opening
}

// idleCount returns the number of the account's idle connections.
func (m *member) idleCount(account core.AccountName) int {
	count := 0
	for _, t := range m.idleConns {
		if t.account == account {
			count++
		}
	}
	return count
}

// needsConnection reports whether the account has more queued statements than its
// connections will soon serve.
func (m *member) needsConnection(account core.AccountName, queued int) bool {
	states := &m.db.e.targetStates
	connections := 0
	for _, t := range m.db.targets {
		if t.member != m || t.account != account {
			continue
		}
		switch t.state {
		case states.idle:
			return false
		case states.opening, states.busy:
			connections++
		}
	}
	if connections == 0 {
		return true
	}
	return connections < m.slots && queued > m.capacity(connections)
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

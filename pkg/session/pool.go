package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// minUseFactor is the minimum time that a connection is used before it may be
// replaced by one to another member, as a multiple of the time to open one. It
// limits the part of the time that is spent on opening to about a quarter.
const minUseFactor = 3

// scheduleDispatch schedules a dispatch of the member for the end of the
// current input.
func (e *Engine) scheduleDispatch(m *member) {
	if m.dispatchScheduled {
		return
	}
	m.dispatchScheduled = true
	e.dispatchQueue = append(e.dispatchQueue, m)
}

// scheduleDispatch schedules a dispatch of every member with waiting
// statements.
func (db *database) scheduleDispatch() {
	for _, m := range db.members {
		if m.waitingCount() > 0 {
			db.e.scheduleDispatch(m)
		}
	}
}

// runDispatch dispatches every scheduled member.
func (e *Engine) runDispatch() {
	for i := 0; i < len(e.dispatchQueue); i++ {
		m := e.dispatchQueue[i]
		m.dispatchScheduled = false
		m.dispatch()
	}
	e.dispatchQueue = e.dispatchQueue[:0]
}

// dispatch sends waiting statements while the member has free slots and idle
// connections.
func (m *member) dispatch() {
	if m.db.e.cfg.AsyncReplication {
		m.dispatchByAccount()
		return
	}
	m.dispatchPinned()
	if m.queue.Len() > 0 && m.yieldConnection() {
		return
	}
	for m.queue.Len() > 0 && m.running() < m.slots {
		if len(m.idleConns) == 0 {
			m.grow()
			return
		}
		item, _ := m.queue.Pop()
		m.serve(item.Value)
	}
	if len(m.idleConns) > 0 {
		m.notifyStarvedMembers()
	}
}

// serve sends the next statement, unless its wait has made it too late or the
// member unfit for it.
func (m *member) serve(s *statement) {
	m.serveOn(s, m.idleWith(s.c.settings.SQL()))
}

// serveOn sends the statement on the given connection, refuses it as late or
// places it again.
func (m *member) serveOn(s *statement, t *target) {
	events := &m.db.e.charts.onStatement
	switch {
	case m.lacksTime(s):
		s.fire(events.timedOut)
	case !m.stillQualifies(s):
		s.fire(events.rerouted)
	default:
		m.startOn(s, t)
	}
}

// lacksTime reports whether too little time is left to serve the statement. If
// it were sent, it would hold a slot until its deadline and then cost the
// connection; under overload this took two thirds of the goodput. At most half
// of the statement's time is required, so that an overestimate of the service
// time cannot refuse everything.
func (m *member) lacksTime(s *statement) bool {
	remaining := s.deadline.Sub(m.db.e.now)
	total := s.deadline.Sub(s.request.Arrived)
	return remaining <= 0 || remaining < min(m.service, total/2)
}

// stillQualifies reports whether a replica is still fresh enough for a read
// that has waited in its queue.
func (m *member) stillQualifies(s *statement) bool {
	if m == m.db.primary || s.readsNoData() {
		return true
	}
	if m.db.e.cfg.AsyncReplication {
		_, known := s.requiredPosition()
		return known && s.mayUseReplica()
	}
	return m.view.Status.Covers(s.c.floor) && m.age() <= s.maxAge()
}

// idleWith returns an idle connection, preferably one that already has the
// session's settings.
func (m *member) idleWith(replay string) *target {
	for i := len(m.idleConns) - 1; i >= 0; i-- {
		if m.idleConns[i].appliedSettings == replay {
			return m.idleConns[i]
		}
	}
	return m.idleConns[len(m.idleConns)-1]
}

// startOn sends the statement on an idle connection.
func (m *member) startOn(s *statement, t *target) {
	m.lastStart = m.db.e.now
	m.paceStarted()
	s.c.pinTo(t)
	s.fire(m.db.e.charts.onStatement.dispatched)
}

// dispatchPinned sends waiting statements of open transactions.
func (m *member) dispatchPinned() {
	for len(m.pinned) > 0 && m.running() < m.slots {
		s := m.pinned[0]
		s.dequeue()
		m.paceStarted()
		s.fire(m.db.e.charts.onStatement.dispatched)
	}
}

// grow opens a connection when the queue holds more statements than the open
// connections can serve within the time to open one.
func (m *member) grow() {
	db := m.db
	if db.leaving || m.removed || db.e.now.Before(m.retryAt) {
		return
	}
	usable := m.usableConnections()
	if usable >= m.slots {
		return
	}
	if usable > 0 && m.queue.Len() <= m.capacity(usable) && !m.overdue() {
		db.armCheck(db.e.now.Add(db.openTime))
		return
	}
	if db.connections < db.bound {
		m.open(anyAccount)
		return
	}
	db.replaceIdle(m)
}

// capacity returns how many statements the given number of connections serve
// within the time to open another one.
func (m *member) capacity(connections int) int {
	if m.service <= 0 {
		return connections
	}
	return int(time.Duration(connections) * m.db.openTime / m.service)
}

// overdue reports whether no connection has become free for a queued statement
// for at least the time that it takes to open one, which shows that the
// estimate of the capacity is wrong.
func (m *member) overdue() bool {
	return m.db.e.now.Sub(m.lastStart) >= m.db.openTime
}

// anyAccount is the account of connections that serve all accounts.
const anyAccount core.AccountName = ""

// open starts to open a connection for the account.
func (m *member) open(account core.AccountName) {
	db := m.db
	e := db.e
	e.lastTarget++
	t := &target{
		id:          e.lastTarget,
		member:      m,
		account:     account,
		state:       e.charts.target.Initial(),
		requestedAt: e.now,
	}
	t.timerItem.Value = t
	e.targets[t.id] = t
	db.targets[t.id] = t
	m.connections++
	db.connections++
	m.stateCounts[t.state]++
	m.responseExpected()
	t.arm()
	e.outbox.toTarget(TargetOpen{Target: t.id, Database: db.name, Member: m.id, Address: m.address, Account: account})
}

// replaceIdle closes an idle connection to another member. The new connection
// is opened when the close is reported, so that the limit is never exceeded.
func (db *database) replaceIdle(requester *member) {
	if db.closingCount() > 0 {
		return
	}
	var oldest *target
	for _, m := range db.members {
		if m == requester || len(m.idleConns) == 0 || m.queue.Len() > 0 {
			continue
		}
		if oldest == nil || m.idleConns[0].idleSince.Before(oldest.idleSince) {
			oldest = m.idleConns[0]
		}
	}
	if oldest == nil {
		return
	}
	idleLongEnough := db.e.now.Sub(oldest.idleSince) >= minUseFactor*db.openTime
	if idleLongEnough || requester.usableConnections() == 0 {
		oldest.fire(db.e.charts.onTarget.retire)
	}
}

// yieldConnection closes one of the member's idle connections when the limit is
// reached and another member has queued statements but no connection. It
// reports whether that left the member without an idle connection.
func (m *member) yieldConnection() bool {
	db := m.db
	if len(m.idleConns) == 0 || db.connections < db.bound || db.closingCount() > 0 {
		return false
	}
	t := m.idleConns[0]
	if db.e.now.Sub(t.openedAt) < minUseFactor*db.openTime {
		return false
	}
	if !db.hasStarvedMember(m) {
		return false
	}
	t.fire(db.e.charts.onTarget.retire)
	return len(m.idleConns) == 0
}

// notifyStarvedMembers schedules a dispatch of the members that have queued
// statements and no connection.
func (m *member) notifyStarvedMembers() {
	db := m.db
	if db.connections < db.bound {
		return
	}
	for _, other := range db.members {
		if other != m && other.queue.Len() > 0 && other.usableConnections() == 0 {
			db.e.scheduleDispatch(other)
		}
	}
}

// hasStarvedMember reports whether a member other than the given one has queued
// statements, no usable connection and no backoff.
func (db *database) hasStarvedMember(except *member) bool {
	for _, m := range db.members {
		if m != except && m.queue.Len() > 0 && m.usableConnections() == 0 && !db.e.now.Before(m.retryAt) {
			return true
		}
	}
	return false
}

// closingCount returns the number of connections that are being closed.
func (db *database) closingCount() int {
	closing := 0
	for _, m := range db.members {
		closing += m.stateCounts[db.e.targetStates.closing]
	}
	return closing
}

// setBound applies a new share of the connections. A smaller share closes idle
// connections at once and busy ones at their next transaction boundary.
func (db *database) setBound(bound int) {
	db.bound = bound
	if db.e.cfg.AsyncReplication {
		db.setMemberBound(bound)
		return
	}
	surplus := db.connections - db.closingCount() - db.retiringCount() - bound
	for _, idle := range []bool{true, false} {
		for _, t := range db.targets {
			if surplus <= 0 {
				break
			}
			if t.retiring || t.isClosing() || t.isIdle() != idle {
				continue
			}
			t.fire(db.e.charts.onTarget.retire)
			surplus--
		}
	}
	db.scheduleDispatch()
}

// isIdle reports whether the connection is outside a transaction and has no
// request.
func (t *target) isIdle() bool {
	return t.state == t.engine().targetStates.idle
}

func (t *target) isClosing() bool {
	return t.state == t.engine().targetStates.closing
}

// retiringCount returns the number of connections that will close at their next
// transaction boundary.
func (db *database) retiringCount() int {
	count := 0
	for _, t := range db.targets {
		if t.retiring && !t.isClosing() {
			count++
		}
	}
	return count
}

// connectionDemand returns the number of connections that the present work
// could use.
func (db *database) connectionDemand() int {
	sum := 0
	for _, m := range db.members {
		used := m.stateCounts[db.e.targetStates.pinned] + m.running()
		sum += used + min(m.queue.Len(), m.slots)
	}
	return sum
}

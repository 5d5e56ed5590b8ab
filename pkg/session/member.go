package session

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fairqueue"
)

// member is one target of a database: its queue, its connections of this
// instance, and the newest view of it.
type member struct {
	db      *database
	id      core.MemberID
	address string
	domain  core.Domain
	slots   int
	// gone is set when the catalogue no longer names the member.
	removed bool

	view    MemberView
	hasView bool
	// retryAt is when a member that failed may be tried again.
	retryAt  time.Time
	failures uint

	queue fairqueue.Queue[*statement]
	// pinned are statements of open transactions that wait for a slot.
	pinned      []*statement
	idleConns   []*target
	stateCounts []int
	connections int
	// service is the smoothed time that a statement takes on the member.
	service time.Duration
	// lastStart is when a queued statement was last sent.
	lastStart         time.Time
	dispatchScheduled bool
	// parked are statements whose account has no free connection.
	parked []*statement
	// logEnd is the newest log position that the member reported with an answer.
	logEnd core.Position
	// disownedUntil, laggingUntil and busyUntil bound what the member's denials
	// say about it; fullUntil is when its bound of connections is tried again.
	notPrimaryUntil time.Time
	laggingUntil    time.Time
	busyUntil       time.Time
	limitRetryAt    time.Time
	// refusals counts the connections in a row that the member's bound refused.
	limitRefusals uint
	// heardAt is the last answer of the member; owesSince is the oldest request
	// since then that it has not answered, zero if there is none.
	lastResponse     time.Time
	responseDueSince time.Time
	// servesAsPrimary is set while the newest view names the member primary.
	wasPrimary bool
}

func newMember(db *database, m *catalogue.Member) *member {
	fresh := &member{db: db, id: m.ID, queue: fairqueue.New[*statement](db.e.cfg.Queue)}
	fresh.stateCounts = make([]int, maxStates)
	fresh.configure(m)
	return fresh
}

// maxStates is above the number of states of the chart "target".
const maxStates = 16

func (m *member) configure(def *catalogue.Member) {
	if m.address != "" && m.address != def.Address {
		m.retireAll()
	}
	m.address = def.Address
	m.domain = def.Domain
	m.slots = max(def.Slots, 1)
	m.removed = false
}

// moved keeps the counts and the list of idle connections.
func (m *member) connectionChanged(t *target, before chart.State) {
	states := &m.db.e.targetStates
	m.stateCounts[before]--
	m.stateCounts[t.state]++
	if before == states.idle {
		m.removeIdle(t)
	}
	if t.state == states.busy || t.state == states.probing || t.state == states.opening {
		m.responseExpected()
	}
	if t.state == states.idle {
		t.idleIndex = len(m.idleConns)
		t.idleSince = m.db.e.now
		m.idleConns = append(m.idleConns, t)
	}
	if t.state == states.closed {
		m.connections--
		m.db.connections--
	}
}

func (m *member) removeIdle(t *target) {
	last := len(m.idleConns) - 1
	moved := m.idleConns[last]
	m.idleConns[t.idleIndex] = moved
	moved.idleIndex = t.idleIndex
	m.idleConns[last] = nil
	m.idleConns = m.idleConns[:last]
}

// running is the number of statements in flight from this instance.
func (m *member) running() int {
	return m.stateCounts[m.db.e.targetStates.busy]
}

// serving is the number of connections that can take queued work sooner or
// later: all but those that are pinned or closing.
func (m *member) usableConnections() int {
	states := &m.db.e.targetStates
	return m.connections - m.stateCounts[states.pinned] - m.stateCounts[states.closing]
}

func (m *member) waitingCount() int {
	return m.queue.Len() + len(m.pinned) + len(m.parked)
}

func (m *member) reachable() bool {
	if m.removed || m.db.leaving || !m.hasView {
		return false
	}
	return m.view.Reachable && !m.db.e.now.Before(m.retryAt)
}

// suspect keeps work away from a member that refused or lost a connection
// while it was opening, twice as long after each failure, up to 16 times.
func (m *member) suspect() {
	e := m.db.e
	m.retryAt = e.now.Add(e.cfg.Bounds.OpenBackoff << min(m.failures, 4))
	m.failures++
	e.outbox.out.Control(SuspectMember{Database: m.db.name, Member: m.id})
	m.db.armCheck(m.retryAt)
	m.reroute()
}

// reroute places the queued statements again. Statements of open transactions
// stay with their connection.
func (m *member) reroute() {
	m.evictQueue(m.db.e.charts.onStatement.rerouted)
}

// refire empties the queue and sends the event to each statement in it.
func (m *member) evictQueue(ev event) {
	moved := slices.Clone(m.parked)
	for _, s := range moved {
		s.unpark()
	}
	for {
		item, ok := m.queue.Pop()
		if !ok {
			break
		}
		moved = append(moved, item.Value)
	}
	for _, s := range moved {
		s.fire(ev)
	}
}

func (m *member) recordServiceTime(took time.Duration) {
	m.service = smooth(m.service, took)
}

// finishesBy reports whether a new statement can be served before its deadline,
// as far as recent service times tell. A statement with nothing ahead is always
// let through, so that an overestimate corrects itself.
func (m *member) canMeetDeadline(s *statement) bool {
	if m.queue.Len() >= m.db.e.cfg.QueueLimit {
		return false
	}
	c := s.c
	ahead := len(m.parked) + m.queue.Ahead(c.account.name, c.account.weight, c.entry.definition.Class)
	if ahead == 0 {
		return true
	}
	rounds := (ahead+m.running())/m.concurrency() + 1
	wait := time.Duration(rounds) * m.service
	if m.connections == 0 {
		wait += m.db.openTime
	}
	return !m.db.e.now.Add(wait).After(s.deadline)
}

// parallel is how many statements can run at a time for this instance.
func (m *member) concurrency() int {
	if m.db.e.cfg.AsyncReplication {
		return m.slots
	}
	room := max(m.db.bound-m.db.connections, 0)
	return max(min(m.slots, m.usableConnections()+room), 1)
}

func (m *member) retireAll() {
	e := m.db.e
	for _, t := range m.db.targets {
		if t.member == m {
			t.fire(e.charts.onTarget.retire)
		}
	}
}

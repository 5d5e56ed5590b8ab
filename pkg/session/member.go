package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fairqueue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/pace"
)

// member is one target of a database: its queue, the connections of this
// instance to it, and the newest view of it.
type member struct {
	db      *database
	id      core.MemberID
	address string
	domain  core.Domain
	slots   int
	// removed is set when the catalogue no longer names the member.
	removed bool

	view    MemberView
	hasView bool
	// retryAt is when a member that failed may be used again.
	retryAt  time.Time
	failures uint

	queue fairqueue.Queue[*statement]
	// pinned holds the statements of open transactions that wait for a slot.
	pinned      []*statement
	idleConns   []*target
	stateCounts []int
	connections int
	// service is the smoothed time that a statement runs on the member.
	service time.Duration
	// lastStart is when a queued statement was last sent.
	lastStart         time.Time
	dispatchScheduled bool
	// pace limits the work for the member with AsyncReplication, nil without.
	pace *memberPace
	// logEnd is the newest log position that the member reported with an
	// answer.
	logEnd core.Position
	// notPrimaryUntil, laggingUntil and busyUntil bound how long the member's
	// last rejections are taken into account; limitRetryAt is when a connection
	// is tried again after the member refused one for its connection limit.
	notPrimaryUntil time.Time
	laggingUntil    time.Time
	busyUntil       time.Time
	limitRetryAt    time.Time
	// limitRefusals counts the consecutive connections that the member refused
	// for its connection limit.
	limitRefusals uint
	// revokedUntil is the time until which the member is not used as the primary.
	revokedUntil time.Time
	// lastResponse is the time of the member's last response. responseDueSince
	// is the time of the oldest request since then without a response, zero if
	// there is none.
	lastResponse     time.Time
	responseDueSince time.Time
	// wasPrimary is set if the member was the primary at the last call of
	// wasDeposed.
	wasPrimary bool
}

func newMember(db *database, m *catalogue.Member) *member {
	created := &member{db: db, id: m.ID, queue: fairqueue.New[*statement](db.e.cfg.Queue)}
	created.stateCounts = make([]int, maxStates)
	created.configure(m)
	if db.e.cfg.AsyncReplication {
		created.pace = newMemberPace(created)
	}
	return created
}

// maxStates is greater than the number of states of the chart "target".
const maxStates = 16

// configure applies the member's definition. A new address closes all
// connections.
func (m *member) configure(def *catalogue.Member) {
	if m.address != "" && m.address != def.Address {
		m.retireAll()
	}
	m.address = def.Address
	m.domain = def.Domain
	m.slots = max(def.Slots, 1)
	m.removed = false
	if m.pace != nil {
		m.pace.SetLimits(m.paceLimits())
	}
}

// connectionChanged updates the counts and the list of idle connections after a
// connection changed its state.
func (m *member) connectionChanged(t *target, before chart.State) {
	states := &m.db.e.targetStates
	if before == states.busy && t.state == states.closing && !t.answered {
		m.paceAnswer(pace.Answer{Kind: pace.Abandoned, Took: m.db.e.now.Sub(t.sentAt)})
	}
	if t.state == states.busy {
		t.sentAt, t.answered = m.db.e.now, false
	}
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

// running returns the number of statements of this instance in flight on the
// member.
func (m *member) running() int {
	return m.stateCounts[m.db.e.targetStates.busy]
}

// usableConnections returns the number of connections that can serve queued
// statements sooner or later: all except pinned and closing ones.
func (m *member) usableConnections() int {
	states := &m.db.e.targetStates
	return m.connections - m.stateCounts[states.pinned] - m.stateCounts[states.closing]
}

// waitingCount returns the number of statements that wait for the member.
func (m *member) waitingCount() int {
	return m.queue.Len() + len(m.pinned)
}

// reachable reports whether new work may be sent to the member.
func (m *member) reachable() bool {
	if m.removed || m.db.leaving || !m.hasView {
		return false
	}
	return m.view.Reachable && !m.db.e.now.Before(m.retryAt)
}

// suspect pauses the use of a member that refused a connection or lost one
// while it was opening. The pause doubles with each failure, up to 16 times the
// first.
func (m *member) suspect() {
	e := m.db.e
	m.retryAt = e.now.Add(e.cfg.Bounds.OpenBackoff << min(m.failures, 4))
	m.failures++
	e.outbox.out.Control(MemberSuspected{Database: m.db.name, Member: m.id})
	m.db.armCheck(m.retryAt)
	m.memberFailed("no connection to the member could be opened")
	m.reroute()
}

// waiting returns the number of statements that wait for the member outside a
// transaction.
func (m *member) waiting() int { return m.queue.Len() }

// reroute places the queued statements again. Statements of open transactions
// stay with their connection.
func (m *member) reroute() {
	m.evictQueue(m.db.e.charts.onStatement.rerouted)
}

// evictQueue empties the queue and fires the event at each of its statements.
func (m *member) evictQueue(ev event) {
	var evicted []*statement
	for {
		item, ok := m.queue.Pop()
		if !ok {
			break
		}
		evicted = append(evicted, item.Value)
	}
	for _, s := range evicted {
		s.fire(ev)
	}
}

// recordServiceTime adds a sample to the smoothed service time.
func (m *member) recordServiceTime(elapsed time.Duration) {
	m.service = smooth(m.service, elapsed)
}

// canMeetDeadline reports whether a new statement can be served before its
// deadline, judging by recent service times and the allowance. A statement with
// nothing ahead of it is always accepted unless the allowance delays it beyond its
// deadline, so that an overestimate corrects itself.
func (m *member) canMeetDeadline(s *statement) bool {
	if m.queue.Len() >= m.db.e.cfg.QueueLimit {
		return false
	}
	c := s.c
	ahead := m.queue.Ahead(c.account.name, c.account.weight, c.entry.definition.Class)
	paceWait := m.paceWait(ahead)
	if ahead == 0 {
		return paceWait == 0 || !m.db.e.now.Add(paceWait).After(s.deadline)
	}
	rounds := (ahead+m.running())/m.concurrency() + 1
	wait := max(time.Duration(rounds)*m.service, paceWait)
	if m.connections == 0 {
		wait += m.db.openTime
	}
	return !m.db.e.now.Add(wait).After(s.deadline)
}

// concurrency returns how many statements of this instance can run on the
// member at the same time.
func (m *member) concurrency() int {
	if m.db.e.cfg.AsyncReplication {
		return m.maxInFlight()
	}
	spare := max(m.db.bound-m.db.connections, 0)
	return max(min(m.slots, m.usableConnections()+spare), 1)
}

// retireAll closes every connection to the member at its next transaction
// boundary.
func (m *member) retireAll() {
	e := m.db.e
	for _, t := range m.db.targets {
		if t.member == m {
			t.fire(e.charts.onTarget.retire)
		}
	}
}

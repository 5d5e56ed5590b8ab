package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/freshness"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/route"
)

// database is one group of members with its queues and connections.
type database struct {
	e            *Engine
	name         core.DatabaseName
	members      []*member
	leaving      bool
	leavingSince time.Time

	term    core.Term
	primary *member
	// lastPrimary is the last known primary; it stays set while there is none.
	lastPrimary *member
	// confirmed is the newest position that a majority is known to have
	// received.
	confirmed core.Position

	// requestedRound is the newest floor round requested, resultRound the
	// newest one with a result and resultFloor its position. roundWanted is set
	// when another round is needed after the one under way.
	requestedRound uint64
	resultRound    uint64
	resultFloor    core.Position
	roundWanted    bool
	floorTimer     timer

	waiting    []*statement
	confirming []*statement
	scratch    []*statement

	targets map[TargetID]*target
	bound   int
	// memberBound limits the connections to one member with AsyncReplication.
	memberBound int
	// idleTimeout is the time after which unused connections are closed; 0 for
	// the timeout of the chart alone.
	idleTimeout time.Duration
	// primaryHistory records the verified positions of the primary's log over time.
	primaryHistory freshness.History
	// probeTimer runs probePrimary; usedAt is the time of the last statement.
	probeTimer  timer
	usedAt      time.Time
	connections int
	// warmupPerSecond is the configured bound of a cold member over all instances,
	// in statements per second; 0 without one.
	warmupPerSecond float64
	// viewSince is when the first view of a member arrived, hadPrimary is set once
	// a primary was known, and pacedPrimary is the last one.
	viewSince    time.Time
	hadPrimary   bool
	pacedPrimary *member
	// delayed counts the statements that had to wait because of a pacer.
	delayed uint64
	// openTime is the smoothed time that it takes to open a connection.
	openTime   time.Duration
	checkTimer timer
	checkAt    time.Time
	reports    reports
	// reportsPending is set while reports wait for free space in control's
	// ring.
	reportsPending bool
}

// newDatabase returns a database without members; configure adds them.
func newDatabase(e *Engine, name core.DatabaseName) *database {
	db := &database{
		e:           e,
		name:        name,
		targets:     map[TargetID]*target{},
		bound:       e.connections[name],
		idleTimeout: e.idleTimeouts[name],
		openTime:    e.cfg.OpenTime,
	}
	db.checkTimer.run = db.checkMembers
	db.checkTimer.item.Value = &db.checkTimer
	db.memberBound = e.cfg.MemberConnections
	db.probeTimer.run = db.probePrimary
	db.probeTimer.item.Value = &db.probeTimer
	db.floorTimer.run = db.retryRound
	db.floorTimer.item.Value = &db.floorTimer
	return db
}

// configure applies the database's definition in the catalogue.
func (db *database) configure(def *catalogue.Database) {
	db.warmupPerSecond = def.WarmupPerSecond
	for _, m := range db.members {
		m.removed = true
	}
	for i := range def.Members {
		m := db.member(def.Members[i].ID)
		if m == nil {
			m = newMember(db, &def.Members[i])
			db.members = append(db.members, m)
		}
		m.configure(&def.Members[i])
	}
	for _, m := range db.members {
		if m.removed {
			m.retireAll()
			m.reroute()
		}
	}
	db.dropRemovedMembers()
	db.setLeaving(def.State == catalogue.DatabaseLeaving)
}

// dropRemovedMembers drops members without connections that the catalogue no
// longer names.
func (db *database) dropRemovedMembers() {
	kept := db.members[:0]
	for _, m := range db.members {
		if !m.removed || m.connections > 0 {
			kept = append(kept, m)
			continue
		}
		if db.primary == m {
			db.primary = nil
		}
		if db.lastPrimary == m {
			db.lastPrimary = nil
		}
		if db.pacedPrimary == m {
			db.pacedPrimary = nil
		}
	}
	clear(db.members[len(kept):])
	db.members = kept
}

// setLeaving starts or cancels the removal of the database: new statements are
// refused and connections are closed.
func (db *database) setLeaving(leaving bool) {
	if leaving == db.leaving {
		return
	}
	db.leaving = leaving
	if !leaving {
		db.notifyViewChanged()
		return
	}
	e := db.e
	db.leavingSince = e.now
	db.fireWaiting(e.charts.onStatement.leaving)
	for _, m := range db.members {
		m.evictQueue(e.charts.onStatement.leaving)
		m.retireAll()
	}
}

// member returns the member with the given identity, or nil.
func (db *database) member(id core.MemberID) *member {
	for _, m := range db.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// hasReplica reports whether a member other than the primary is reachable.
func (db *database) hasReplica() bool {
	for _, m := range db.members {
		if m != db.primary && m.reachable() {
			return true
		}
	}
	return false
}

// armCheck schedules checkMembers for the given time, unless it is due earlier.
func (db *database) armCheck(at time.Time) {
	if db.checkAt.After(db.e.now) && db.checkAt.Before(at) {
		return
	}
	db.checkAt = at
	db.e.timers.Arm(&db.checkTimer.item, at)
}

// checkMembers dispatches waiting work again when a backoff of a member has
// ended.
func (db *database) checkMembers() {
	db.checkAt = time.Time{}
	if db.e.cfg.AsyncReplication {
		db.followAnnouncements()
	}
	db.scheduleDispatch()
	db.notifyViewChanged()
	for _, m := range db.members {
		if db.e.now.Before(m.retryAt) {
			db.armCheck(m.retryAt)
		}
	}
}

// addWaiting lists the statement among those that wait for a new view to choose
// a member.
func (db *database) addWaiting(s *statement) {
	if s.waitIndex != notWaiting {
		return
	}
	s.waitIndex = len(db.waiting)
	db.waiting = append(db.waiting, s)
}

// removeWaiting removes the statement from the wait list. The order of the list
// is not kept.
func (db *database) removeWaiting(s *statement) {
	if s.waitIndex == notWaiting {
		return
	}
	last := len(db.waiting) - 1
	moved := db.waiting[last]
	db.waiting[s.waitIndex] = moved
	moved.waitIndex = s.waitIndex
	db.waiting[last] = nil
	db.waiting = db.waiting[:last]
	s.waitIndex = notWaiting
}

// notifyViewChanged makes the waiting statements choose a member again.
func (db *database) notifyViewChanged() {
	db.fireWaiting(db.e.charts.onStatement.viewChanged)
}

// fireWaiting fires the event at every statement that waits for a member.
func (db *database) fireWaiting(ev event) {
	db.scratch = append(db.scratch[:0], db.waiting...)
	for _, s := range db.scratch {
		if s.waitIndex != notWaiting {
			s.fire(ev)
		}
	}
	clear(db.scratch)
}

// chooseReplica chooses a replica by the routing policy and checks that it can
// meet the deadline.
func (s *statement) chooseReplica() {
	e := s.c.e
	db := s.c.db
	if e.cfg.AsyncReplication {
		s.chooseAsyncReplica()
		return
	}
	r := route.Request{Floor: s.c.floor, MaxAge: s.maxAge(), LocalDomain: e.cfg.Domain}
	if s.readsNoData() {
		r.Floor = core.Position{}
	}
	e.candidates = e.candidates[:0]
	for _, m := range db.members {
		e.candidates = append(e.candidates, m.candidate())
	}
	choice := e.policy.Choose(&r, e.candidates)
	s.reason = choice.Reason
	if choice.Index < 0 {
		return
	}
	s.member = db.members[choice.Index]
	s.meetsDeadline = s.member.canMeetDeadline(s)
}

// chooseAsyncReplica chooses, by the routing policy, a replica that can verify
// the required position. Without a known position it chooses none.
func (s *statement) chooseAsyncReplica() {
	e := s.c.e
	required, known := s.requiredPosition()
	if !known && !s.readsNoData() {
		s.reason = "the primary's position is not known for the accepted age"
		if s.maxAge() <= 0 {
			s.reason = "only the proven primary serves the entry"
		}
		return
	}
	e.candidates = e.candidates[:0]
	for _, m := range s.c.db.members {
		c := m.candidate()
		c.Age = 0
		c.Reachable = c.Reachable && !m.hasFallenBehind(required) && !e.now.Before(m.busyUntil)
		c.Exhausted = m.allowanceUsedUp()
		c.Connections = 0
		if m.idleFor(s.c.account.name) != nil {
			c.Connections = 1
		}
		e.candidates = append(e.candidates, c)
	}
	choice := s.chooseWithAllowance()
	s.reason = choice.Reason
	if choice.Index < 0 {
		return
	}
	s.member = s.c.db.members[choice.Index]
	s.meetsDeadline = s.member.canMeetDeadline(s)
}

// chooseWithAllowance chooses a candidate whose allowance is not used up, else one at which
// the pacer keeps the read waiting no longer than Bounds.ReplicaWait. If there is none, it
// chooses no replica, which leaves the read to the primary, or, if the primary's allowance
// is used up too, any candidate. It changes Exhausted of the candidates.
func (s *statement) chooseWithAllowance() route.Choice {
	e := s.c.e
	db := s.c.db
	r := route.Request{MaxAge: unboundedAge, LocalDomain: e.cfg.Domain}
	choice := e.policy.Choose(&r, e.candidates)
	if choice.Index >= 0 {
		return choice
	}
	for i, m := range db.members {
		e.candidates[i].Exhausted = m.paceWait(m.queue.Len()) > e.cfg.Bounds.ReplicaWait
	}
	choice = e.policy.Choose(&r, e.candidates)
	if choice.Index >= 0 || db.primary != nil && db.primary.reachable() && !db.primary.allowanceUsedUp() {
		return choice
	}
	for i := range e.candidates {
		e.candidates[i].Exhausted = false
	}
	return e.policy.Choose(&r, e.candidates)
}

// candidate describes the member for the routing policy.
func (m *member) candidate() route.Candidate {
	db := m.db
	c := route.Candidate{
		Member:      m.id,
		Domain:      m.domain,
		Primary:     m == db.primary,
		Reachable:   m.reachable(),
		Latency:     m.view.Latency,
		Service:     m.service,
		Slots:       m.slots,
		Running:     m.running(),
		Queued:      m.waitingCount(),
		Connections: m.connections,
		MustReplace: db.connections >= db.bound,
	}
	if m.hasView {
		c.Status = &m.view.Status
		c.Age = m.age()
	}
	return c
}

// age returns an upper bound of the staleness of reads on the member now. The
// bound of an unknown member is so large that adding to it could overflow.
func (m *member) age() time.Duration {
	since := m.db.e.now.Sub(m.view.RespondedAt)
	if m.view.RespondedAt.IsZero() || m.view.AgeBound > unboundedAge-since {
		return unboundedAge
	}
	return m.view.AgeBound + since
}

// choosePrimary chooses the primary, unless the session has seen a newer term,
// and reports whether it can serve the statement in time. A replica that was
// chosen but is too busy stays chosen if there is no usable primary.
func (s *statement) choosePrimary() bool {
	p := s.c.db.primary
	if p == nil || !p.reachable() {
		return false
	}
	if !s.readsNoData() && s.c.db.term < s.c.floor.Term {
		s.c.db.learnTerm(s.c.account.name)
		return false
	}
	s.meetsDeadline = p.canMeetDeadline(s)
	s.member = p
	if !s.mayUseReplica() {
		s.reason = "only the primary serves this"
	}
	return s.meetsDeadline
}

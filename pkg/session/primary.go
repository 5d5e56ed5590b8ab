package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// disownedFor is how long a member that denied being the primary is not asked
// again while it goes on announcing that it is; a change of primary takes a few
// hundred milliseconds.
const notPrimaryBackoff = 300 * time.Millisecond

// observe learns from the log position that a member reported with an answer to
// a request of the given time.
func (m *member) observeLogEnd(asked time.Time, in *TargetReady) {
	db := m.db
	if in.LogEnd.IsZero() || !db.e.cfg.AsyncReplication {
		return
	}
	m.logEnd = in.LogEnd
	db.learnTerm(m, in)
	if in.Leader {
		db.primaryLog.Observe(asked, in.LogEnd)
	}
}

// learnTerm follows a change of primary that an answer shows before the
// announcement of it arrives.
func (db *database) learnTerm(m *member, in *TargetReady) {
	if in.LogEnd.Term < db.term {
		return
	}
	if in.LogEnd.Term > db.term {
		db.primaryLog.Advance(in.LogEnd.Term)
	}
	leader := db.primary
	switch {
	case in.Leader:
		leader = m
	case in.LogEnd.Term > db.term && leader != nil && leader.logEnd.Term < in.LogEnd.Term:
		leader.markNotPrimary()
		leader = db.announcedPrimary()
	}
	if leader != db.primary || in.LogEnd.Term > db.term {
		db.setPrimary(in.LogEnd.Term, leader)
		db.reroute()
		db.notifyViewChanged()
	}
}

func (m *member) markNotPrimary() {
	m.notPrimaryUntil = m.db.e.now.Add(notPrimaryBackoff)
	m.db.armCheck(m.notPrimaryUntil)
}

// disown takes the lead from a member that denied having it.
func (db *database) demote(m *member) {
	m.markNotPrimary()
	if db.primary != m {
		return
	}
	db.primary = db.announcedPrimary()
	db.reroute()
	db.notifyViewChanged()
}

// announcedPrimary returns the member that announces itself as the primary. Of
// several, the one that reported the newest term is taken, then the one with
// the newest announcement.
func (db *database) announcedPrimary() *member {
	var best *member
	for _, m := range db.members {
		if !m.announcesPrimary() {
			continue
		}
		if best == nil || m.logEnd.Term > best.logEnd.Term ||
			m.logEnd.Term == best.logEnd.Term && m.view.Announced > best.view.Announced {
			best = m
		}
	}
	return best
}

func (m *member) announcesPrimary() bool {
	if m.removed || !m.hasView || m.db.e.now.Before(m.notPrimaryUntil) {
		return false
	}
	return m.view.Status.Role == core.RolePrimary
}

// followAnnouncements chooses the primary again after new announcements.
func (db *database) followAnnouncements() {
	leader := db.announcedPrimary()
	if leader == db.primary || leader == nil && db.primary != nil && db.primary.reachable() {
		return
	}
	if db.primary != nil && leader != nil && leader.logEnd.Term < db.primary.logEnd.Term && db.primary.announcesPrimary() {
		return
	}
	db.setPrimary(db.term, leader)
}

// neededPosition returns what a member must have applied to serve the read, and
// false if only the proven primary may serve it.
func (s *statement) requiredPosition() (core.Position, bool) {
	age := s.maxAge()
	if age <= 0 {
		return core.Position{}, false
	}
	need, known := s.c.db.primaryLog.Needed(s.request.Arrived.Add(-age))
	if !known || s.c.floor.Term > need.Term {
		return core.Position{}, false
	}
	if s.c.floor.After(need) {
		need = s.c.floor
	}
	return need, true
}

// checks returns what the member has to verify before it runs the statement.
// Writes and transactions that may write are verified by every member.
func (s *statement) memberChecks() (least core.Position, leaderOnly bool) {
	if !s.c.e.cfg.AsyncReplication || s.c.inTransaction() || !s.mayUseReplica() || s.readsNoData() && s.deferredBegin == nil {
		return core.Position{}, false
	}
	need, known := s.requiredPosition()
	return need, !known
}

// hasFallenBehind reports a replica that recently lacked a position like the
// needed one.
func (m *member) hasFallenBehind(need core.Position) bool {
	return m.db.e.now.Before(m.laggingUntil) && need.After(m.logEnd)
}

// denied reports an attempt that the member did not run and that may go
// elsewhere.
func (s *statement) rejectedByMember() bool {
	return s.rejection != DenialNone && !s.startedInTx && !s.c.inTransaction() && s.retries < maxRejectedRetries && !s.c.e.now.After(s.deadline)
}

// deniedRepeats bounds the attempts of a statement that members deny.
const maxRejectedRetries = 4

// noteDenial keeps the statement's next attempts away from the member.
func (m *member) recordRejection(d Denial) {
	e := m.db.e
	switch d {
	case DenialLagging:
		m.laggingUntil = e.now.Add(e.cfg.Bounds.OpenBackoff)
	case DenialNotPrimary:
		m.db.demote(m)
	case DenialBusy:
		m.busyUntil = e.now.Add(busyBackoff)
	}
}

// busyPause keeps reads away from a member whose own queue is full; its queue
// drains in some tens of milliseconds.
const busyBackoff = 20 * time.Millisecond

// probedAfterUse is how long after its last statement a database's primary is
// probed; by then no entry accepts a position from before.
const probeUseWindow = 5 * time.Second

// use keeps the primary probed for a while.
func (db *database) recordUse() {
	idle := db.e.now.Sub(db.usedAt) > probeUseWindow
	db.usedAt = db.e.now
	if idle && db.e.cfg.AsyncReplication {
		db.e.timers.Arm(&db.probeTimer.item, db.e.now.Add(db.e.cfg.Bounds.ProbeEvery/2))
	}
}

// probePrimary asks the primary for its position when the newest proof of it is
// old, so that replicas can go on serving reads.
func (db *database) probePrimary() {
	e := db.e
	if e.now.Sub(db.usedAt) > probeUseWindow {
		return
	}
	e.timers.Arm(&db.probeTimer.item, e.now.Add(e.cfg.Bounds.ProbeEvery/2))
	db.checkPrimaryResponds()
	newest, _, known := db.primaryLog.Newest()
	if known && e.now.Sub(newest) < e.cfg.Bounds.ProbeEvery || db.primary == nil {
		return
	}
	idle := db.primary.idleConns
	if len(idle) > 0 {
		idle[len(idle)-1].fire(e.charts.onTarget.probed)
	}
}

func (t *target) sendProbe() {
	t.requestedAt = t.engine().now
	t.engine().outbox.toTarget(TargetProbe{Target: t.id})
}

// probeAnswered ends a probe.
func (t *target) probeAnswered(in *TargetReady) {
	t.member.recordRejection(in.Denial)
	t.member.observeLogEnd(t.requestedAt, in)
	t.fire(t.engine().charts.onTarget.readyIdle)
	t.engine().scheduleDispatch(t.member)
}

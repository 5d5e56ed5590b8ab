package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/pace"
)

// notPrimaryBackoff is the time during which a member that reported not being the
// primary is not used as the primary while it still announces that it is; a
// change of primary takes a few hundred milliseconds.
const notPrimaryBackoff = 300 * time.Millisecond

// observeLogEnd records the log position that a member reported with an answer
// to a request sent at the given time.
func (m *member) observeLogEnd(sentAt time.Time, in *TargetReady) {
	db := m.db
	if in.LogEnd.IsZero() || !db.e.cfg.AsyncReplication {
		return
	}
	m.logEnd = in.LogEnd
	db.updateTerm(m, in)
	if in.VerifiedPrimary && m.usableAsPrimary() {
		db.primaryHistory.Observe(sentAt, in.LogEnd)
	}
}

// updateTerm applies a change of primary that an answer shows before the
// announcement of it arrives.
func (db *database) updateTerm(m *member, in *TargetReady) {
	if in.LogEnd.Term < db.term {
		if m == db.primary {
			db.deposeOutdated(m)
		}
		return
	}
	if in.LogEnd.Term > db.term {
		db.primaryHistory.Advance(in.LogEnd.Term)
	}
	primary := db.primary
	switch {
	case in.VerifiedPrimary && m.usableAsPrimary():
		primary = m
	case in.LogEnd.Term > db.term && primary != nil && primary.isOlderThan(in.LogEnd.Term):
		primary.markNotPrimary()
		primary = db.announcedPrimary()
	}
	if primary != db.primary || in.LogEnd.Term > db.term {
		db.setPrimary(in.LogEnd.Term, primary)
		db.reroute()
		db.notifyViewChanged()
	}
}

// isOlderThan reports whether the primary is one of an older term than the one that another
// member has answered with. While no term of the group was known, the first answer of a
// replica says nothing about a primary that has not answered yet.
func (m *member) isOlderThan(term core.Term) bool {
	if m.db.term == 0 && m.logEnd.IsZero() {
		return false
	}
	return m.logEnd.Term < term
}

// deposeOutdated ends the work on a primary whose first answer shows an older term than the
// group has reached, and stops using it as the primary.
func (db *database) deposeOutdated(m *member) {
	db.demote(m)
	m.depose()
}

// markNotPrimary ignores the member's announcements as primary for
// notPrimaryBackoff.
func (m *member) markNotPrimary() {
	m.notPrimaryUntil = m.db.e.now.Add(notPrimaryBackoff)
	m.db.armCheck(m.notPrimaryUntil)
}

// demote stops using a member as the primary after it reported not being the
// primary.
func (db *database) demote(m *member) {
	m.markNotPrimary()
	if db.primary != m {
		return
	}
	db.primary = db.announcedPrimary()
	db.reroute()
	db.notifyViewChanged()
}

// announcedPrimary returns the member that announces itself as the primary, or
// nil. Of several, it returns the one that reported the newest term, then the
// one with the newest announcement.
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

// announcesPrimary reports whether the member announces itself as the primary
// and may be believed.
func (m *member) announcesPrimary() bool {
	if m.removed || !m.hasView || m.db.e.now.Before(m.notPrimaryUntil) || !m.usableAsPrimary() {
		return false
	}
	return m.view.Status.Role == core.RolePrimary
}

// followAnnouncements determines the primary again after new announcements.
func (db *database) followAnnouncements() {
	announced := db.announcedPrimary()
	if announced == db.primary || announced == nil && db.primary != nil && db.primary.reachable() {
		return
	}
	if db.primary != nil && announced != nil && announced.logEnd.Term < db.primary.logEnd.Term && db.primary.announcesPrimary() {
		return
	}
	db.setPrimary(db.term, announced)
}

// requiredPosition returns the log position that a member must have applied to
// serve the read, and false if only the verified primary may serve it.
func (s *statement) requiredPosition() (core.Position, bool) {
	age := s.maxAge()
	if age <= 0 {
		return core.Position{}, false
	}
	required, known := s.c.db.primaryHistory.Required(s.request.Arrived.Add(-age))
	if !known || s.c.floor.Term > required.Term {
		return core.Position{}, false
	}
	if s.c.floor.After(required) {
		required = s.c.floor
	}
	return required, true
}

// memberChecks returns what the member has to verify before it runs the
// statement. Members verify writes, and transactions that may write, on their
// own.
func (s *statement) memberChecks() (minPosition core.Position, primaryOnly bool) {
	if !s.c.e.cfg.AsyncReplication || s.c.inTransaction() || !s.mayUseReplica() || s.readsNoData() && s.deferredBegin == nil {
		return core.Position{}, false
	}
	required, known := s.requiredPosition()
	return required, !known
}

// hasFallenBehind reports whether the replica recently lacked a position at
// most as new as the required one.
func (m *member) hasFallenBehind(required core.Position) bool {
	return m.db.e.now.Before(m.laggingUntil) && required.After(m.logEnd)
}

// rejectedByMember reports whether the member rejected the last attempt and
// another member may be tried.
func (s *statement) rejectedByMember() bool {
	limit := maxRejectedRetries
	if s.rejection == RejectionBusy && s.c.db.paced() {
		limit = maxBusyRetries
	}
	return s.rejection != RejectionNone && !s.startedInTx && !s.c.inTransaction() && s.retries < limit && !s.c.e.now.After(s.deadline)
}

// maxRejectedRetries bounds the attempts of a statement that members reject, and
// maxBusyRetries those of one that finds their queues full; the pacer puts a pause
// between these.
const (
	maxRejectedRetries = 4
	maxBusyRetries     = 16
)

// recordRejection keeps later attempts away from the member for a while.
func (m *member) recordRejection(d Rejection) {
	e := m.db.e
	switch d {
	case RejectionLagging:
		m.laggingUntil = e.now.Add(e.cfg.Bounds.OpenBackoff)
	case RejectionNotPrimary:
		m.db.demote(m)
	case RejectionBusy:
		m.busyUntil = e.now.Add(busyBackoff)
	}
}

// busyBackoff keeps reads away from a member whose own queue is full; its queue
// drains within some tens of milliseconds.
const busyBackoff = 20 * time.Millisecond

// probeUseWindow is the time after its last statement during which a database's
// primary is probed; after that time no entry accepts a position from before.
const probeUseWindow = 5 * time.Second

// recordUse records a statement for the database, whose primary is then probed
// for probeUseWindow.
func (db *database) recordUse() {
	idle := db.e.now.Sub(db.usedAt) > probeUseWindow
	db.usedAt = db.e.now
	if idle && db.e.cfg.AsyncReplication {
		db.e.timers.Arm(&db.probeTimer.item, db.e.now.Add(db.e.cfg.Bounds.ProbeInterval/2))
	}
}

// probePrimary probes the primary for its log position when the newest proof of
// it is old, so that replicas can continue to serve reads.
func (db *database) probePrimary() {
	e := db.e
	if e.now.Sub(db.usedAt) > probeUseWindow {
		return
	}
	e.timers.Arm(&db.probeTimer.item, e.now.Add(e.cfg.Bounds.ProbeInterval/2))
	db.checkPrimaryResponds()
	newest, _, known := db.primaryHistory.Latest()
	if known && e.now.Sub(newest) < e.cfg.Bounds.ProbeInterval || db.primary == nil {
		return
	}
	idle := db.primary.idleConns
	if len(idle) > 0 && db.primary.mayProbe() {
		idle[len(idle)-1].fire(e.charts.onTarget.probed)
	}
}

// learnTerm asks the primary for its log position while no answer has shown the group's
// term yet, which a session has seen at another instance. If there is no connection to the
// primary, it opens one for the account.
func (db *database) learnTerm(account core.AccountName) {
	p, e := db.primary, db.e
	if db.term > 0 || !e.cfg.AsyncReplication {
		return
	}
	if len(p.idleConns) > 0 && !p.mayProbe() {
		return
	}
	if len(p.idleConns) > 0 {
		p.idleConns[len(p.idleConns)-1].fire(e.charts.onTarget.probed)
		return
	}
	blocked := e.now.Before(p.retryAt) || e.now.Before(p.limitRetryAt)
	if p.connections == 0 && p.connections < db.memberBound && !blocked {
		p.open(account)
	}
}

// learnTermFrom probes a new connection to the primary if statements wait and the group's
// term is not known.
func (db *database) learnTermFrom(t *target) {
	waits := db.term == 0 && len(db.waiting) > 0 && t.member == db.primary
	if waits && t.state == db.e.targetStates.idle && t.member.mayProbe() {
		t.fire(db.e.charts.onTarget.probed)
	}
}

// sendProbe sends a TargetProbe on the connection.
func (t *target) sendProbe() {
	t.requestedAt = t.engine().now
	t.engine().outbox.toTarget(TargetProbe{Target: t.id})
}

// probeAnswered handles the response to a probe.
func (t *target) probeAnswered(in *TargetReady) {
	if in.Rejection == RejectionBusy {
		t.member.paceAnswer(pace.Answer{Kind: pace.Busy})
	}
	t.member.recordRejection(in.Rejection)
	t.member.observeLogEnd(t.requestedAt, in)
	t.fire(t.engine().charts.onTarget.readyIdle)
	t.engine().scheduleDispatch(t.member)
}

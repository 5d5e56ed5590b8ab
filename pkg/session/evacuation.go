package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
)

// A member whose failure domain is evacuated is withdrawn: nothing is sent to it any more,
// not even the next statement of an open transaction. Fleet decides when and tells the
// time in advance; this duty checks it before each input and each timer, because the
// process may have been paused since. The duty that owns the sockets checks it too, for
// requests that were handed over before.

// withdrawn reports whether nothing may be sent to the member any more.
func (m *member) withdrawn() bool { return m.hasView && m.view.Withdrawn }

// noteSendEnd withdraws the member if its end of sending has passed, and otherwise notes
// the time.
func (m *member) noteSendEnd() {
	e, until := m.db.e, m.view.SendUntil
	switch {
	case until.IsZero() || m.view.Withdrawn:
	case !e.now.Before(until):
		m.view.Withdrawn, m.view.Reachable = true, false
	case e.nextWithdrawal.IsZero() || until.Before(e.nextWithdrawal):
		e.nextWithdrawal = until
	}
}

// checkWithdrawals withdraws the members whose end of sending has passed.
func (e *Engine) checkWithdrawals() {
	if e.nextWithdrawal.IsZero() || e.now.Before(e.nextWithdrawal) {
		return
	}
	e.nextWithdrawal = time.Time{}
	for _, db := range e.databases {
		for _, m := range db.members {
			m.noteSendEnd()
		}
		db.withdrawMembers()
		db.reroute()
		db.notifyViewChanged()
	}
}

// withdrawMembers ends the open transactions on withdrawn members and closes their
// connections.
func (db *database) withdrawMembers() {
	for _, m := range db.members {
		if m.withdrawn() && m.connections > 0 {
			m.withdraw()
		}
	}
}

// withdraw ends the open transactions on the member and closes its connections. What
// already runs there is answered first, if nothing else has to be sent for it: single
// statements, commits, and results of which the caller has received a part.
func (m *member) withdraw() {
	e := m.db.e
	for _, t := range m.db.targets {
		if t.member != m {
			continue
		}
		if c := t.caller; c != nil {
			c.endWithdrawn()
		}
		t.fire(e.charts.onTarget.retire)
	}
}

// endWithdrawn ends the caller's open transaction on a withdrawn member, which rolls it
// back.
func (c *caller) endWithdrawn() {
	e, s := c.e, &c.stmt
	switch {
	case !s.active:
		t := c.target
		c.unpin()
		t.fire(e.charts.onTarget.abandon)
		c.fire(e.charts.onCaller.targetLost)
	case s.sent && (s.mayCommit() || !s.runsInTransaction()):
	default:
		s.fire(e.charts.onStatement.deposed)
	}
}

// runsInTransaction reports whether the statement is part of a transaction, or begins one.
func (s *statement) runsInTransaction() bool {
	return s.c.inTransaction() || s.deferredBegin != nil || s.classification.Kind == KindBegin
}

// transactionWithdrawn reports whether the caller's open transaction is on a withdrawn
// member, so that it ends after the answer of the running statement.
func (c *caller) transactionWithdrawn() bool {
	return c.inTransaction() && c.target != nil && c.target.member.withdrawn()
}

// sendDeadline returns the time after which the statement must not be sent to its member.
func (s *statement) sendDeadline() time.Time {
	until := s.c.target.member.view.SendUntil
	if until.IsZero() {
		return s.deadline
	}
	return clock.Earlier(s.deadline, until)
}

// allWithdrawn reports whether nothing may be sent to any member of the database, so that
// waiting for one would not help.
func (db *database) allWithdrawn() bool {
	for _, m := range db.members {
		if !m.removed && !m.withdrawn() {
			return false
		}
	}
	return len(db.members) > 0
}

// primaryWithheld reports whether an evacuation withholds the primary.
func (s *statement) primaryWithheld() bool { return s.c.e.primaryWithheld[s.c.db.name] }

// setPrimaryWithheld records whether no member may be used as the primary until an
// evacuation ends.
func (db *database) setPrimaryWithheld(withheld bool) {
	if withheld {
		db.e.primaryWithheld[db.name] = true
		return
	}
	delete(db.e.primaryWithheld, db.name)
}

// refuseEvacuated refuses a statement because every member of the database is withdrawn.
func (s *statement) refuseEvacuated() {
	s.reason = "the failure domains of all members are evacuated"
	s.refuseNoMember()
}

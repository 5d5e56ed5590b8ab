package session

import (
	"slices"
	"sort"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// groupView applies a new view of a database. A view of an older term than the
// known one is stale and dropped, except with AsyncReplication, where the term
// comes from the members' answers.
func (e *Engine) groupView(in GroupView) {
	db, ok := e.databases[in.Database]
	if !ok || in.Term < db.term && !e.cfg.AsyncReplication {
		return
	}
	db.applyView(in)
	db.withdrawMembers()
	db.reroute()
	db.failSuperseded()
	db.setStatusQueryPositions()
	db.notifyViewChanged()
	db.scheduleDispatch()
}

// applyView stores the members' statuses and applies the term and the primary.
func (db *database) applyView(in GroupView) {
	previous := map[*member]MemberView{}
	for _, view := range in.Members {
		if m := db.member(view.Status.Member); m != nil {
			if m.hasView {
				previous[m] = m.view
			}
			m.view = view
			m.hasView = true
			m.noteSendEnd()
		}
	}
	db.setPrimaryWithheld(in.PrimaryWithheld)
	db.paceViews(previous)
	if db.e.cfg.AsyncReplication {
		db.followAnnouncements()
		return
	}
	db.setPrimary(in.Term, db.member(in.Primary))
}

// setPrimary applies a change of term or primary.
func (db *database) setPrimary(term core.Term, primary *member) {
	changed := term > db.term
	db.term = term
	db.primary = primary
	db.pacePromotion()
	if changed && db.e.cfg.AsyncReplication {
		// A report that finds no space is made up for by those of other instances.
		db.e.outbox.out.Control(TermObserved{Database: db.name, Term: term})
	}
	if changed && db.lastPrimary != nil && db.lastPrimary != primary {
		db.lastPrimary.depose()
	}
	if primary != nil {
		db.lastPrimary = primary
	}
}

// depose ends the statements and transactions that run on a replaced primary.
// Its transactions cannot commit any more and its answers confirm nothing; if
// the member is isolated, its callers would wait until their deadline.
// Statements that are already streaming their result continue.
func (m *member) depose() {
	e := m.db.e
	for _, t := range m.db.targets {
		c := t.caller
		if t.member != m || c == nil {
			continue
		}
		if c.stmt.active {
			c.stmt.fire(e.charts.onStatement.deposed)
			continue
		}
		c.unpin()
		t.fire(e.charts.onTarget.abandon)
		c.fire(e.charts.onCaller.targetLost)
	}
}

// reroute places the queued statements again that the new view does not allow
// on their member.
func (db *database) reroute() {
	db.pacePromotion()
	for _, m := range db.members {
		deposed := m.wasDeposed()
		if m.waiting() > 0 && (deposed || !m.reachable()) {
			m.reroute()
		}
	}
}

// wasDeposed reports whether the member was the primary at the previous call
// and is not any more. It records the present role for the next call.
func (m *member) wasDeposed() bool {
	deposed := m.wasPrimary && m != m.db.primary
	m.wasPrimary = m == m.db.primary
	return deposed
}

// failSuperseded answers the commits as uncertain whose term ended before a
// majority had received them.
func (db *database) failSuperseded() {
	for _, s := range slices.Clone(db.confirming) {
		if s.confirmTerm() < db.term {
			s.fire(db.e.charts.onStatement.superseded)
		}
	}
}

// confirmTerm returns the term in which a majority has to confirm the
// statement. A status query without a position has the term of its answer: the
// log of a newer primary proves nothing about what the old one has answered.
func (s *statement) confirmTerm() core.Term {
	if s.position.IsZero() {
		return s.readyTerm
	}
	return s.position.Term
}

// addConfirming lists the statement among those that wait for a majority,
// ordered by position. New commits usually go to the end.
func (db *database) addConfirming(s *statement) {
	i := sort.Search(len(db.confirming), func(i int) bool {
		return db.confirming[i].position.After(s.position)
	})
	db.confirming = slices.Insert(db.confirming, i, s)
	s.confirming = true
}

func (db *database) removeConfirming(s *statement) {
	if !s.confirming {
		return
	}
	s.confirming = false
	i := slices.Index(db.confirming, s)
	db.confirming = slices.Delete(db.confirming, i, i+1)
}

// isConfirmed reports whether a majority is known to have received the
// position.
func (db *database) isConfirmed(p core.Position) bool {
	return db.confirmed.Term == p.Term && db.confirmed.LSN >= p.LSN
}

// confirmedUpTo answers the commits that a majority has now received.
func (e *Engine) confirmedUpTo(in ConfirmedUpTo) {
	db, ok := e.databases[in.Database]
	if !ok || !in.Position.After(db.confirmed) {
		return
	}
	db.confirmed = in.Position
	for _, s := range db.takeConfirmed() {
		s.fire(e.charts.onStatement.confirmed)
	}
	if in.Position.Term > db.term {
		db.setPrimary(in.Position.Term, nil)
		db.reroute()
		db.failSuperseded()
	}
}

// takeConfirmed removes the statements whose position is confirmed from the
// list and returns them.
func (db *database) takeConfirmed() []*statement {
	db.scratch = db.scratch[:0]
	kept := db.confirming[:0]
	for _, s := range db.confirming {
		if s.position.IsZero() || !db.isConfirmed(s.position) {
			kept = append(kept, s)
			continue
		}
		s.confirming = false
		db.scratch = append(db.scratch, s)
	}
	clear(db.confirming[len(kept):])
	db.confirming = kept
	return db.scratch
}

// setStatusQueryPositions sets the position that has to be confirmed before
// status queries are answered: the end of the primary's log in a view that was
// taken after the member's answer.
func (db *database) setStatusQueryPositions() {
	p := db.primary
	if p == nil || len(db.confirming) == 0 {
		return
	}
	for _, s := range slices.Clone(db.confirming) {
		taken := p.view.RespondedAt.Add(-2 * p.view.Latency)
		if !s.position.IsZero() || !taken.After(s.readyAt) {
			continue
		}
		db.removeConfirming(s)
		s.position = core.Position{Term: db.term, LSN: p.view.Status.Received}
		if db.isConfirmed(s.position) {
			s.fire(db.e.charts.onStatement.confirmed)
			continue
		}
		s.requestConfirmation()
	}
}

// requireRound requests a floor round with at least the given number, unless it
// is already requested. Requests that arrive while a round is under way share
// the next one.
func (db *database) requireRound(round uint64) {
	if round <= db.requestedRound {
		return
	}
	if db.requestedRound > db.resultRound {
		db.roundWanted = true
		return
	}
	db.requestRound()
}

// requestRound requests the next floor round from control.
func (db *database) requestRound() {
	db.roundWanted = false
	db.requestedRound++
	db.reports.floor = &FloorRequest{Database: db.name, Round: db.requestedRound}
	db.flushReports()
	db.e.timers.Arm(&db.floorTimer.item, db.e.now.Add(db.e.cfg.Bounds.FloorRetry))
}

// retryRound requests another round when the current one was not answered in
// time.
func (db *database) retryRound() {
	if db.resultRound < db.requestedRound {
		db.requestRound()
	}
}

// floorResult resolves the floors of the sessions that waited for the round.
func (e *Engine) floorResult(in FloorResult) {
	db, ok := e.databases[in.Database]
	if !ok || in.Round <= db.resultRound || in.Round > db.requestedRound {
		return
	}
	db.resultRound = in.Round
	db.resultFloor = in.Position
	if db.resultRound >= db.requestedRound {
		e.timers.Disarm(&db.floorTimer.item)
		if db.roundWanted {
			db.requestRound()
		}
	}
	db.scratch = append(db.scratch[:0], db.waiting...)
	for _, s := range db.scratch {
		if s.waitIndex != notWaiting && s.c.resolveFloor() {
			s.fire(e.charts.onStatement.floorKnown)
		}
	}
	clear(db.scratch)
}

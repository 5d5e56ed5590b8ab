package session

import (
	"slices"
	"sort"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// groupView applies a newer view of a database. A view of an older term than
// the known one is out of date and dropped.
func (e *Engine) groupView(in GroupView) {
	db, ok := e.databases[in.Database]
	if !ok || in.Term < db.term && !e.cfg.AsyncReplication {
		return
	}
	db.applyView(in)
	db.reroute()
	db.failSuperseded()
	db.setStatusQueryPositions()
	db.notifyViewChanged()
	db.scheduleDispatch()
}

func (db *database) applyView(in GroupView) {
	for _, view := range in.Members {
		if m := db.member(view.Status.Member); m != nil {
			m.view = view
			m.hasView = true
		}
	}
	if db.e.cfg.AsyncReplication {
		db.followAnnouncements()
		return
	}
	db.setPrimary(in.Term, db.member(in.Primary))
}

// advance applies a change of term or primary.
func (db *database) setPrimary(term core.Term, primary *member) {
	changed := term > db.term
	db.term = term
	db.primary = primary
	if changed && db.lastPrimary != nil && db.lastPrimary != primary {
		db.lastPrimary.depose()
	}
	if primary != nil {
		db.lastPrimary = primary
	}
}

// depose ends what runs on a primary that was replaced. Its transactions cannot
// commit any more and its answers can confirm nothing; a member that is cut off
// would let its callers wait until their deadline. Results that already reach
// their caller go on.
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

// reroute places the queued work again that the new view does not allow where
// it is.
func (db *database) reroute() {
	for _, m := range db.members {
		if m.queue.Len() > 0 && (!m.reachable() || m.wasDeposed()) {
			m.reroute()
		}
	}
}

// wasDeposed reports a member that may hold work for a primary without being
// one.
func (m *member) wasDeposed() bool {
	deposed := m.wasPrimary && m != m.db.primary
	m.wasPrimary = m == m.db.primary
	return deposed
}

// supersede answers the commits whose term is over before a majority had them.
func (db *database) failSuperseded() {
	for _, s := range slices.Clone(db.confirming) {
		if s.confirmTerm() < db.term {
			s.fire(db.e.charts.onStatement.superseded)
		}
	}
}

// confirmTerm is the term in which a majority has to confirm the statement. A
// status query without a position has the term of its answer: the log of a
// newer primary says nothing about what the old one has answered.
func (s *statement) confirmTerm() core.Term {
	if s.position.IsZero() {
		return s.readyTerm
	}
	return s.position.Term
}

// confirm lists the statement among those that wait for a majority, ordered by
// position. New commits are mostly the furthest.
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

// confirms reports whether a majority is known to have the position.
func (db *database) isConfirmed(p core.Position) bool {
	return db.confirmed.Term == p.Term && db.confirmed.LSN >= p.LSN
}

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

// covered takes the statements that the newest confirmation covers out of the
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

// pollStatusQueries sets the position that the answers to status queries wait
// for: the end of the primary's log in a view that was taken after the answer.
func (db *database) setStatusQueryPositions() {
	p := db.primary
	if p == nil || len(db.confirming) == 0 {
		return
	}
	for _, s := range slices.Clone(db.confirming) {
		taken := p.view.SeenAt.Add(-2 * p.view.Latency)
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

// needRound asks for a floor round with at least the given number, unless it
// is under way. Rounds that begin while one is under way are put together.
func (db *database) requireRound(round uint64) {
	if round <= db.requestedRound {
		return
	}
	if db.requestedRound > db.answeredRound {
		db.roundWanted = true
		return
	}
	db.requestRound()
}

func (db *database) requestRound() {
	db.roundWanted = false
	db.requestedRound++
	db.reports.floor = &NeedFloor{Database: db.name, Round: db.requestedRound}
	db.flushReports()
	db.e.timers.Arm(&db.floorTimer.item, db.e.now.Add(db.e.cfg.Bounds.FloorRepeat))
}

// repeatRound asks again when a round was not answered in time.
func (db *database) retryRound() {
	if db.answeredRound < db.requestedRound {
		db.requestRound()
	}
}

func (e *Engine) floorAnswer(in FloorAnswer) {
	db, ok := e.databases[in.Database]
	if !ok || in.Round <= db.answeredRound || in.Round > db.requestedRound {
		return
	}
	db.answeredRound = in.Round
	db.answeredFloor = in.Position
	if db.answeredRound >= db.requestedRound {
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

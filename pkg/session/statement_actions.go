package session

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// startStatement begins the caller's next request. A request is counted against
// the account's rate once, before any other work is spent on it.
func (c *caller) startStatement() {
	s := &c.stmt
	s.start(c.incoming)
	c.incoming = nil
	if c.begins(s.request) || c.ends(s.request) {
		return
	}
	s.open()
	if c.isRelayed(s.request) {
		s.verdict = *s.request.Verdict
		s.fire(c.e.charts.stmt.relay)
		return
	}
	if c.countsNothing(s.request) {
		s.fire(c.e.charts.stmt.admitted)
		return
	}
	c.account.countDemand(s.request)
	if c.e.admits(c) {
		s.fire(c.e.charts.stmt.admitted)
		return
	}
	s.fire(c.e.charts.stmt.denied)
}

func (s *statement) awaitToken() {
	s.tokenWait = true
	account := s.c.account
	account.waiters = append(account.waiters, tokenWaiter{s: s, sequence: s.sequence})
	s.c.e.armAccount(account)
}

func (s *statement) askVerdict() {
	e := s.c.e
	s.c.db.use()
	s.tokenWait = false
	s.c.account.metrics.Admitted++
	if s.c.remote != nil && !s.inside {
		e.countRemote(s.c)
	}
	e.budget.earn()
	if s.request.Verdict != nil {
		s.verdict = *s.request.Verdict
		s.fire(e.charts.stmt.classified)
		return
	}
	request := ClassifyRequest{Caller: s.c.id, Sequence: s.sequence, Texts: s.request.Texts}
	if !e.box.out.Classify(request) {
		s.fire(e.charts.stmt.timedOut)
	}
}

func (s *statement) askApplied() {
	if s.askedApplied {
		return
	}
	s.askedApplied = true
	db := s.c.db
	db.reports.needApplied(db.name, s.c.floor)
	db.flushReports()
}

func (s *statement) enqueue() {
	s.c.db.stopWaiting(s)
	s.dequeue()
	s.queue.Account = s.c.account.name
	s.queue.Weight = s.c.account.weight
	s.queue.Class = s.c.entry.definition.Class
	s.queue.Deadline = s.deadline
	s.member.queue.Push(&s.queue)
	s.c.e.wantDispatch(s.member)
}

// enqueuePinned waits for a slot of the member that runs the transaction.
func (s *statement) enqueuePinned() {
	s.member = s.c.target.member
	s.reason = "the transaction has a connection"
	s.pinnedWait = true
	s.member.pinned = append(s.member.pinned, s)
	s.c.e.wantDispatch(s.member)
}

func (s *statement) dequeue() {
	if s.pinnedWait {
		s.pinnedWait = false
		i := slices.Index(s.member.pinned, s)
		s.member.pinned = slices.Delete(s.member.pinned, i, i+1)
	}
	s.unpark()
	if s.queue.Queued() {
		s.member.queue.Remove(&s.queue)
	}
}

// send hands the request to the connection that the caller was bound to.
func (s *statement) send() {
	c := s.c
	t := c.target
	prelude := ""
	if !c.inTransaction() {
		prelude = c.preludeFor(t)
		t.applied = c.settings.replay
	}
	s.sent = true
	s.sentAt = c.e.now
	s.unsent = false
	t.fire(c.e.charts.conn.sent)
	least, leaderOnly := s.checks()
	c.e.box.target(TargetSend{
		Target:      t.id,
		Payload:     s.request.Payload,
		Prelude:     prelude,
		NotAfter:    s.deadline,
		MinPosition: least,
		LeaderOnly:  leaderOnly,
		Begin:       s.opens != nil,
		ReadOnly:    s.opens != nil && s.opens.readOnly,
	})
	if c.blocked {
		t.follow(true)
	}
}

func (s *statement) hold() {
	s.held = append(s.held, s.chunk...)
	s.chunk = nil
}

func (s *statement) forward() {
	s.progress = s.c.e.now
	s.c.e.toCaller(s.c.id, CallerWrite{Caller: s.c.id, Frames: s.chunk})
	s.chunk = nil
}

// forwardCancel passes the cancel request on. The connection is closed at its
// next boundary, because the request may arrive there late.
func (s *statement) forwardCancel() {
	t := s.c.target
	t.retiring = true
	s.c.e.box.target(TargetCancel{Target: t.id})
}

// askConfirm waits for a majority. The position of a status query that came
// without one is the end of the primary's log in a later view.
func (s *statement) askConfirm() {
	db := s.c.db
	s.readyAt = s.c.e.now
	s.readyTerm = db.term
	db.confirm(s)
	if s.position.IsZero() {
		return
	}
	db.reports.needConfirm(db.name, s.position)
	db.flushReports()
}

// finish gives the caller the rest of its answer.
func (s *statement) finish() {
	c := s.c
	frames := s.chunk
	if len(s.held) > 0 {
		frames = append(s.held, s.chunk...)
	}
	answer := CallerWrite{Caller: c.id, Frames: frames, Done: true, TxStatus: c.txStatus}
	if s.committed() && !s.isStatusQuery() {
		answer.Position = c.raiseFloor(s)
		c.e.metrics.WritesAcknowledged++
	}
	s.outcome = "answered"
	c.e.metrics.countRead(s)
	c.e.toCaller(c.id, answer)
}

// raiseFloor makes later reads of the session see the statement's commit.
func (c *caller) raiseFloor(s *statement) core.Position {
	if !c.floorKnown || s.position.After(c.floor) {
		c.floor = s.position
	}
	c.floorKnown = true
	return c.floor
}

// forgetAttempt makes the statement as new after a refusal that proves that it
// did not run.
func (s *statement) forgetAttempt() {
	s.repeats++
	s.sent = false
	s.chunk, s.held = nil, nil
	s.errorState, s.memberReadOnly = "", false
	s.c.e.metrics.Requeued++
	if s.denial != DenialNone {
		s.denial = DenialNone
		return
	}
	s.c.e.box.out.Control(SuspectMember{Database: s.c.db.name, Member: s.member.id})
}

func (s *statement) countRepeat() {
	e := s.c.e
	s.repeats++
	if s.unsent {
		e.metrics.Requeued++
		return
	}
	s.mayHaveRun = true
	e.budget.spend()
	e.metrics.Retries++
}

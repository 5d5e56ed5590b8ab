package session

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// startStatement starts the caller's next request. A request is counted against
// the account's rate once, before any other work is spent on it.
func (c *caller) startStatement() {
	s := &c.stmt
	s.start(c.nextRequest)
	c.nextRequest = nil
	if c.deferBegin(s.request) || c.endDeferredTransaction(s.request) {
		return
	}
	s.takeDeferredBegin()
	if !s.hold() {
		s.place()
	}
}

// place runs the statement at the home of its account, or here once it is admitted.
func (s *statement) place() {
	c := s.c
	if c.isRelayed(s.request) {
		s.classification = *s.request.Classification
		s.fire(c.e.charts.onStatement.relay)
		return
	}
	if c.exemptFromRate(s.request) {
		s.fire(c.e.charts.onStatement.admitted)
		return
	}
	c.account.countDemand(s.request)
	if c.e.tryAdmit(c) {
		s.fire(c.e.charts.onStatement.admitted)
		return
	}
	s.fire(c.e.charts.onStatement.denied)
}

// waitForToken lists the statement of an open transaction among the account's
// waiters.
func (s *statement) waitForToken() {
	s.waitsForToken = true
	account := s.c.account
	account.waiters = append(account.waiters, tokenWaiter{statement: s, sequence: s.sequence})
	s.c.e.armTokenTimer(account)
}

// requestClassification counts the admitted statement and requests the
// classification of its SQL texts, unless the caller's protocol already
// supplied one.
func (s *statement) requestClassification() {
	e := s.c.e
	s.c.db.recordUse()
	s.waitsForToken = false
	s.c.account.metrics.Admitted++
	if s.c.remote != nil && !s.startedInTx {
		e.origins.RecordRequest(s.c.remote.id.Instance, s.c.account.name, e.now)
	}
	e.retryBudget.Deposit()
	if s.request.Classification != nil {
		s.classification = *s.request.Classification
		s.fire(e.charts.onStatement.classified)
		return
	}
	request := ClassifyRequest{Caller: s.c.id, Sequence: s.sequence, Texts: s.request.Texts}
	if !e.outbox.out.Classify(request) {
		s.fire(e.charts.onStatement.timedOut)
	}
}

// requestApplied asks control, once per statement, to refresh the view as soon
// as a replica has applied the session's floor.
func (s *statement) requestApplied() {
	if s.appliedRequested {
		return
	}
	s.appliedRequested = true
	db := s.c.db
	db.reports.requestApplied(db.name, s.c.floor)
	db.flushReports()
}

// enqueue adds the statement to the queue of its chosen member.
func (s *statement) enqueue() {
	s.c.db.removeWaiting(s)
	s.dequeue()
	s.queueItem.Account = s.c.account.name
	s.queueItem.Weight = s.c.account.weight
	s.queueItem.Class = s.c.entry.definition.Class
	s.queueItem.Deadline = s.deadline
	if s.member.allowanceUsedUp() {
		s.c.db.delayed++
	}
	s.member.queue.Push(&s.queueItem)
	s.c.e.scheduleDispatch(s.member)
}

// enqueuePinned queues the statement for a slot of the member that runs its
// transaction.
func (s *statement) enqueuePinned() {
	s.member = s.c.target.member
	s.reason = "the transaction has a connection"
	s.waitsForSlot = true
	s.member.pinned = append(s.member.pinned, s)
	s.c.e.scheduleDispatch(s.member)
}

// dequeue removes the statement from the queue and the slot list of its member.
func (s *statement) dequeue() {
	if s.waitsForSlot {
		s.waitsForSlot = false
		i := slices.Index(s.member.pinned, s)
		s.member.pinned = slices.Delete(s.member.pinned, i, i+1)
	}
	if s.queueItem.Queued() {
		s.member.queue.Remove(&s.queueItem)
	}
}

// send hands the request to the caller's pinned connection.
func (s *statement) send() {
	c := s.c
	t := c.target
	prelude := ""
	if !c.inTransaction() {
		prelude = c.preludeFor(t)
		t.appliedSettings = c.settings.SQL()
	}
	s.sent = true
	s.sentAt = c.e.now
	s.unsent = false
	t.fire(c.e.charts.onTarget.sent)
	minPosition, primaryOnly := s.memberChecks()
	c.e.outbox.toTarget(TargetSend{
		Target:      t.id,
		Payload:     s.request.Payload,
		Prelude:     prelude,
		NotAfter:    s.sendDeadline(),
		MinPosition: minPosition,
		PrimaryOnly: primaryOnly,
		Begin:       s.deferredBegin != nil,
		ReadOnly:    s.deferredBegin != nil && s.deferredBegin.readOnly,
	})
	if c.blocked {
		t.setPaused(true)
	}
}

// holdResult keeps the newest frames back until the commit is confirmed.
func (s *statement) holdResult() {
	s.heldFrames = append(s.heldFrames, s.chunk...)
	s.chunk = nil
}

// forward sends the newest frames to the caller.
func (s *statement) forward() {
	s.lastForwarded = s.c.e.now
	s.c.e.toCaller(s.c.id, CallerWrite{Caller: s.c.id, Frames: s.chunk})
	s.chunk = nil
}

// forwardCancel sends a cancel request for the running statement. The
// connection is closed at its next transaction boundary, because the cancel
// request may arrive late and would then hit the next statement.
func (s *statement) forwardCancel() {
	t := s.c.target
	t.retiring = true
	s.c.e.outbox.toTarget(TargetCancel{Target: t.id})
}

// requestConfirmation lists the statement among those that wait for a majority.
// A status query comes without a position; it gets the end of the primary's log
// in a later view.
func (s *statement) requestConfirmation() {
	db := s.c.db
	s.readyAt = s.c.e.now
	s.readyTerm = db.term
	db.addConfirming(s)
	if s.position.IsZero() {
		return
	}
	db.reports.requestConfirm(db.name, s.position)
	db.flushReports()
}

// finish sends the rest of the answer to the caller.
func (s *statement) finish() {
	c := s.c
	frames := s.chunk
	if len(s.heldFrames) > 0 {
		frames = append(s.heldFrames, s.chunk...)
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

// raiseFloor advances the session's floor to the statement's commit, so that
// later reads of the session see it.
func (c *caller) raiseFloor(s *statement) core.Position {
	if !c.floorKnown || s.position.After(c.floor) {
		c.floor = s.position
	}
	c.floorKnown = true
	return c.floor
}

// resetAttempt prepares the statement for another attempt after a rejection
// that proves that it did not run.
func (s *statement) resetAttempt() {
	s.retries++
	s.sent = false
	s.chunk, s.heldFrames = nil, nil
	s.errorCode, s.memberReadOnly = "", false
	s.c.e.metrics.Requeued++
	if s.rejection != RejectionNone {
		s.rejection = RejectionNone
		return
	}
	s.c.e.outbox.out.Control(MemberSuspected{Database: s.c.db.name, Member: s.member.id})
}

// countRetry counts another attempt. Only an attempt of which something may
// have been sent takes from the retry budget.
func (s *statement) countRetry() {
	e := s.c.e
	s.retries++
	if s.unsent {
		e.metrics.Requeued++
		return
	}
	s.mayHaveRun = true
	e.retryBudget.Withdraw()
	e.metrics.Retries++
}

package session

import (
	"time"
)

// Names of the proxy's own parameters.
const (
	paramMaxAge      = "sassafrasshunt.max_age_ms"
	paramPosition    = "sassafrasshunt.position"
	paramWriteStatus = "sassafrasshunt.write_status"
	paramExplain     = "sassafrasshunt.explain"
)

// isStatusQuery reports a question for the fate of a named write, which the
// primary answers.
func (s *statement) isStatusQuery() bool {
	return s.classification.Kind == KindOwnShow && s.classification.Name == paramWriteStatus
}

func (s *statement) isProxyParameter() bool {
	own := s.classification.Kind == KindOwnSet || s.classification.Kind == KindOwnShow
	return own && !s.isStatusQuery()
}

func (s *statement) isWriteOnReadOnlyEntry() bool {
	return s.classification.Kind == KindWrite && s.c.entry.definition.ReadOnly
}

// isAnsweredHere reports transaction control without a transaction and
// DISCARD ALL, which need no target.
func (s *statement) needsNoTarget() bool {
	if s.classification.Kind == KindEnd {
		return s.classification.Name != "" && s.deferredBegin == nil
	}
	return s.classification.Kind == KindSessionSet && s.classification.Name == discardAll
}

// readsNoData reports requests whose result does not depend on the log.
func (s *statement) readsNoData() bool {
	return s.classification.Kind == KindSessionSet || s.classification.Kind == KindEmpty
}

// needsFloor reports whether the session's floor has to be found out first.
// Writes need it too: a transaction reads before it writes, and a group whose
// majority is silent could not confirm them.
func (s *statement) needsFloor() bool {
	return !s.readsNoData() && !s.c.e.cfg.AsyncReplication && !s.c.resolveFloor()
}

// learnFloor takes the floor from a finished round that began after the
// session did, and reports whether the floor is known.
func (c *caller) resolveFloor() bool {
	if c.floorKnown {
		return true
	}
	if c.db.answeredRound < c.requiredRound {
		return false
	}
	c.floor = c.db.answeredFloor
	c.floorKnown = true
	return true
}

// mayUseReplica reports reads outside a transaction and read-only transactions.
func (s *statement) mayUseReplica() bool {
	if s.deferredBegin != nil {
		return s.deferredBegin.readOnly
	}
	if s.classification.Kind == KindBegin {
		return s.classification.ReadOnly || s.c.entry.definition.ReadOnly
	}
	return s.classification.Kind == KindRead || s.readsNoData()
}

// isRead reports requests that change nothing, so that they may be repeated.
func (s *statement) changesNothing() bool {
	if s.deferredBegin != nil {
		// Repeated, it would run in another transaction than the one it opened.
		return false
	}
	return s.classification.Kind == KindRead || s.readsNoData() || s.isStatusQuery()
}

// placeable chooses a member and reports whether the statement can be served
// there in time.
func (s *statement) placeable() bool {
	s.member = nil
	s.meetsDeadline = false
	if s.mayUseReplica() && !s.replicaWaitOver {
		s.chooseReplica()
	}
	if s.member != nil && s.meetsDeadline {
		return true
	}
	if s.member == nil && s.mayUseReplica() && !s.replicaWaitOver && !s.noReplicaCanQualify() {
		return false
	}
	return s.choosePrimary()
}

// cannotFinishInTime reports that the member chosen by placeable is too busy.
func (s *statement) cannotFinishInTime() bool {
	return s.member != nil && !s.meetsDeadline
}

// primaryServes ends the wait for a replica.
func (s *statement) fallsBackToPrimary() bool {
	s.replicaWaitOver = true
	return s.placeable()
}

// waitIsHopeless reports that no replica can come to qualify: the policy takes
// none, none is reachable, or no staleness at all is accepted.
func (s *statement) noReplicaCanQualify() bool {
	return s.c.e.cfg.AsyncReplication || s.c.e.cfg.Policy == PolicyPrimary || s.maxAge() <= 0 || !s.c.db.hasReplica()
}

// maxAge returns the accepted staleness: of the statement, else of the
// session, else of the entry.
func (s *statement) maxAge() time.Duration {
	if s.readsNoData() {
		return unboundedAge
	}
	if s.classification.Hints.MaxAge >= 0 {
		return s.classification.Hints.MaxAge
	}
	if s.c.maxAge >= 0 {
		return s.c.maxAge
	}
	return s.c.entry.definition.MaxAge()
}

// anyAge accepts every replica.
const unboundedAge time.Duration = 1<<63 - 1

// fromReplacedPrimary reports a commit of a term that is over.
func (s *statement) fromReplacedPrimary() bool {
	return s.awaitsMajority() && s.c.db.term > s.position.Term
}

// fencedRepeats bounds the repetitions after a refusal as read-only, because a
// caller may have made its own session read-only.
const maxFencedRetries = 3

// refusedByFencedMember reports a write that its member refused as read-only:
// the member was the primary when the write was sent and is fenced now. The
// write certainly did not run and waits for the new primary.
func (s *statement) refusedByFencedMember() bool {
	if !s.memberReadOnly || s.classification.Kind != KindWrite || s.retries >= maxFencedRetries {
		return false
	}
	return s.position.IsZero() && !s.c.entry.definition.ReadOnly && !s.startedInTx && !s.c.inTransaction()
}

// unconfirmed reports a commit that a majority is not known to have.
func (s *statement) unconfirmed() bool {
	if s.isStatusQuery() && s.position.IsZero() && s.errorCode == "" {
		return !s.c.e.cfg.AckAtCommit
	}
	return s.awaitsMajority() && !s.c.db.isConfirmed(s.position)
}

// awaitsMajority reports a commit that has to be confirmed.
func (s *statement) awaitsMajority() bool {
	return s.committed() && !s.c.e.cfg.AckAtCommit
}

// committed reports an answer with a commit. Without a log position nothing was
// committed.
func (s *statement) committed() bool {
	return !s.position.IsZero() && s.classification.Kind != KindRead && !s.readsNoData()
}

// holdsResult reports a request that may commit before it ends, so that none
// of its result may be seen yet.
func (s *statement) mustHoldResult() bool {
	if s.c.e.cfg.AckAtCommit || s.classification.Kind == KindRead || s.readsNoData() {
		return false
	}
	return !s.c.inTransaction() || s.mayCommit() || s.isStatusQuery()
}

// mayCommit reports a request that ends a transaction and keeps its changes.
func (s *statement) mayCommit() bool {
	return s.classification.Commit
}

func (s *statement) heldResultTooLarge() bool {
	return s.mustHoldResult() && len(s.heldFrames)+len(s.chunk) > s.c.e.cfg.HeldBytes
}

// progressing reports that rows were forwarded within the stall bound.
func (s *statement) progressing() bool {
	return s.c.e.now.Sub(s.lastForwarded) < s.c.e.cfg.Bounds.StreamStall
}

// transactionRolledBack reports that the request was part of a transaction
// which certainly did not commit when its connection broke.
func (s *statement) transactionRolledBack() bool {
	if s.classification.Kind == KindBegin && !s.classification.Commit && !s.unsent {
		return true
	}
	if s.deferredBegin != nil {
		return !s.unsent && !s.mayCommit()
	}
	if !s.c.inTransaction() {
		return false
	}
	return s.unsent || !s.mayCommit()
}

// repeatable reports that the statement may be sent again: nothing of it was
// written, or it changes nothing twice and the budget has room.
func (s *statement) retryable() bool {
	if s.c.e.now.After(s.deadline) || s.c.inTransaction() {
		return false
	}
	if s.unsent {
		return true
	}
	if !s.changesNothing() && !s.idempotent() {
		return false
	}
	return s.c.e.retryBudget.available()
}

func (s *statement) idempotent() bool {
	return s.classification.Hints.Idempotent || s.c.entry.definition.Idempotent
}

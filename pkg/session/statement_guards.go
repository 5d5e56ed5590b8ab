package session

import (
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session/replay"
	"time"
)

// Names of the proxy's parameters.
const (
	paramMaxAge      = "sassafrasshunt.max_age_ms"
	paramPosition    = "sassafrasshunt.position"
	paramWriteStatus = "sassafrasshunt.write_status"
	paramExplain     = "sassafrasshunt.explain"
)

// isStatusQuery reports whether the statement queries the outcome of a write
// with an identity. The primary answers such queries.
func (s *statement) isStatusQuery() bool {
	return s.classification.Kind == KindProxyShow && s.classification.Name == paramWriteStatus
}

// isProxyParameter reports whether the statement is a SET or SHOW of a parameter
// of the proxy that the proxy answers without a member.
func (s *statement) isProxyParameter() bool {
	own := s.classification.Kind == KindProxySet || s.classification.Kind == KindProxyShow
	return own && !s.isStatusQuery()
}

// isWriteOnReadOnlyEntry reports whether the statement is a write on an entry
// that only allows reads.
func (s *statement) isWriteOnReadOnlyEntry() bool {
	return s.classification.Kind == KindWrite && s.c.entry.definition.ReadOnly
}

// needsNoTarget reports whether the proxy answers the statement itself:
// transaction control outside a transaction, or DISCARD ALL.
func (s *statement) needsNoTarget() bool {
	if s.classification.Kind == KindEnd {
		return s.classification.Name != "" && s.deferredBegin == nil
	}
	return s.classification.Kind == KindSessionSet && s.classification.Name == replay.DiscardAll
}

// readsNoData reports whether the result does not depend on the log.
func (s *statement) readsNoData() bool {
	return s.classification.Kind == KindSessionSet || s.classification.Kind == KindEmpty
}

// needsFloor reports whether the session's floor has to be determined first.
// Writes need it too: a transaction reads before it writes, and a group without
// a responding majority could not confirm its writes.
func (s *statement) needsFloor() bool {
	return !s.readsNoData() && !s.c.e.cfg.AsyncReplication && !s.c.resolveFloor()
}

// resolveFloor takes the floor from a completed floor round that began after
// the session did, and reports whether the floor is known.
func (c *caller) resolveFloor() bool {
	if c.floorKnown {
		return true
	}
	if c.db.resultRound < c.requiredRound {
		return false
	}
	c.floor = c.db.resultFloor
	c.floorKnown = true
	return true
}

// mayUseReplica reports whether a replica may serve the statement: a read
// outside a transaction or a read-only transaction.
func (s *statement) mayUseReplica() bool {
	if s.deferredBegin != nil {
		return s.deferredBegin.readOnly
	}
	if s.classification.Kind == KindBegin {
		return s.classification.ReadOnly || s.c.entry.definition.ReadOnly
	}
	return s.classification.Kind == KindRead || s.readsNoData()
}

// changesNothing reports whether the statement changes no data, so that it may
// be retried.
func (s *statement) changesNothing() bool {
	if s.deferredBegin != nil {
		// A retry would run in another transaction than the one that it began.
		return false
	}
	return s.classification.Kind == KindRead || s.readsNoData() || s.isStatusQuery()
}

// placeable chooses a member and reports whether the statement can be served
// there before its deadline.
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

// cannotFinishInTime reports whether placeable chose a member that is too busy
// to serve the statement before its deadline.
func (s *statement) cannotFinishInTime() bool {
	return s.member != nil && !s.meetsDeadline
}

// fallsBackToPrimary ends the wait for a replica and reports whether the
// primary can serve the statement.
func (s *statement) fallsBackToPrimary() bool {
	s.replicaWaitOver = true
	return s.placeable()
}

// noReplicaCanQualify reports whether waiting for a replica is useless: the
// policy uses none, none is reachable, or no staleness is accepted.
func (s *statement) noReplicaCanQualify() bool {
	return s.c.e.cfg.AsyncReplication || s.c.e.cfg.Policy == PolicyPrimary || s.maxAge() <= 0 || !s.c.db.hasReplica()
}

// maxAge returns the accepted staleness: that of the statement, else of the
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

// unboundedAge is a staleness bound that accepts every replica.
const unboundedAge time.Duration = 1<<63 - 1

// fromReplacedPrimary reports whether the commit belongs to a term that has
// ended.
func (s *statement) fromReplacedPrimary() bool {
	verified := s.awaitsMajority() || s.c.e.cfg.AsyncReplication && s.committed()
	return verified && s.c.db.term > s.position.Term
}

// maxFencedRetries bounds the retries after a member refused a write as
// read-only, because a caller may have made its own session read-only.
const maxFencedRetries = 3

// refusedByFencedMember reports whether the member refused a write as
// read-only: it was the primary when the write was sent and has been fenced
// since. The write did not run and waits for the new primary.
func (s *statement) refusedByFencedMember() bool {
	if !s.memberReadOnly || s.classification.Kind != KindWrite || s.retries >= maxFencedRetries {
		return false
	}
	return s.position.IsZero() && !s.c.entry.definition.ReadOnly && !s.startedInTx && !s.c.inTransaction()
}

// unconfirmed reports whether the statement committed and no majority is known
// to have received the commit.
func (s *statement) unconfirmed() bool {
	if s.isStatusQuery() && s.position.IsZero() && s.errorCode == "" {
		return !s.c.e.cfg.AckAtCommit
	}
	return s.awaitsMajority() && !s.c.db.isConfirmed(s.position)
}

// awaitsMajority reports whether the statement committed and the commit has to
// be confirmed by a majority.
func (s *statement) awaitsMajority() bool {
	return s.committed() && !s.c.e.cfg.AckAtCommit
}

// committed reports whether the answer contains a commit. An answer without a
// log position committed nothing.
func (s *statement) committed() bool {
	return !s.position.IsZero() && s.classification.Kind != KindRead && !s.readsNoData()
}

// mustHoldResult reports whether the request may commit before its result is
// complete. None of the result may reach the caller before the commit is
// confirmed.
func (s *statement) mustHoldResult() bool {
	if s.c.e.cfg.AckAtCommit || s.classification.Kind == KindRead || s.readsNoData() {
		return false
	}
	return !s.c.inTransaction() || s.mayCommit() || s.isStatusQuery()
}

// mayCommit reports whether the request ends a transaction with COMMIT.
func (s *statement) mayCommit() bool {
	return s.classification.Commit
}

// heldResultTooLarge reports whether the held result exceeds
// Config.MaxHeldBytes.
func (s *statement) heldResultTooLarge() bool {
	return s.mustHoldResult() && len(s.heldFrames)+len(s.chunk) > s.c.e.cfg.MaxHeldBytes
}

// progressing reports whether rows were forwarded within the stall bound.
func (s *statement) progressing() bool {
	return s.c.e.now.Sub(s.lastForwarded) < s.c.e.cfg.Bounds.StreamStall
}

// transactionRolledBack reports whether the request was part of a transaction
// that certainly did not commit when its connection broke.
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

// retryable reports whether the statement may be sent again: nothing of it was
// written, or a second run changes nothing more and the retry budget is not used
// up.
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
	return s.c.e.retryBudget.Available()
}

// idempotent reports whether the statement's hint or its entry marks it as safe
// to run twice.
func (s *statement) idempotent() bool {
	return s.classification.Hints.Idempotent || s.c.entry.definition.Idempotent
}

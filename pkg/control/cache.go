package control

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

const (
	// watchWait is how long the platform may hold a watch without a change. The
	// platform counts each call, so a longer time costs fewer calls.
	watchWait = 10 * time.Second
	// watchRetryMin is the delay after a failed watch. It doubles up to
	// watchRetryMax, so that the end of an outage does not cause a burst of
	// calls.
	watchRetryMin = 100 * time.Millisecond
	watchRetryMax = 2 * time.Second
	// listPeriod is the period of reads of the instance list.
	listPeriod = 5 * time.Second
)

// recordCache is a local copy of the platform's records. A single long-polling
// watch over all keys keeps it current.
type recordCache struct {
	engine *Engine
	// revision is the platform revision up to which changes have been received.
	revision Revision
	// complete is set once a watch has returned all records.
	complete   bool
	backoff    time.Duration
	retryTimer timer
	// confirmedAt is when the last successful watch was sent.
	confirmedAt time.Time

	tableRevision Revision
	table         *share.Table
	groups        map[core.DatabaseName]failover.RecordSeen
	claims        map[int]ClaimRecord
	allocator     AllocatorRecord
}

func newRecordCache() recordCache {
	return recordCache{
		groups: map[core.DatabaseName]failover.RecordSeen{},
		claims: map[int]ClaimRecord{},
	}
}

func (rc *recordCache) start(e *Engine) {
	rc.engine = e
	rc.backoff = watchRetryMin
	rc.retryTimer.Value = rc.watch
	rc.watch()
}

// watch requests the changes after the cached revision.
func (rc *recordCache) watch() {
	rc.engine.out.Store(Watch{After: rc.revision, Hold: watchWait})
}

// watchAnswered handles the response to a watch and starts the next one.
func (rc *recordCache) watchAnswered(a StoreAnswer) {
	if a.Outcome != Done {
		rc.engine.timers.arm(&rc.retryTimer, rc.engine.now.Add(rc.backoff))
		rc.backoff = min(2*rc.backoff, watchRetryMax)
		return
	}
	rc.backoff = watchRetryMin
	if a.Revision < rc.revision {
		// The platform's store has returned to an older state. Current versions
		// and terms do not decrease; the cache is read again from the beginning.
		engine := rc.engine
		*rc = newRecordCache()
		rc.start(engine)
		engine.configuration.platformRolledBack()
		return
	}
	rc.revision = a.Revision
	rc.complete = true
	rc.confirmedAt = a.Sent
	rc.apply(a.Records)
	rc.engine.configuration.extendKeyValidity()
	rc.engine.recordsChanged(a)
	rc.engine.configuration.recordsReloaded(a.Records)
	rc.watch()
}

// apply stores the records of a response.
func (rc *recordCache) apply(records []Record) {
	for _, r := range records {
		rc.applyRecord(r)
	}
}

// applyRecord stores a record unless a newer one is known: the response to a call
// may arrive after a watch that contained a later change. Deleted records are
// kept, so that an older response does not restore them.
func (rc *recordCache) applyRecord(r Record) {
	switch v := r.(type) {
	case GroupRecord:
		rc.groups[v.Database] = v.Seen
	case TableRecord:
		if v.Revision >= rc.tableRevision {
			rc.tableRevision = v.Revision
			rc.table = v.Table
		}
	case ClaimRecord:
		if v.Revision > rc.claims[v.Claim.Slot].Revision {
			rc.claims[v.Claim.Slot] = v
		}
	case AllocatorRecord:
		if v.Revision > rc.allocator.Revision {
			rc.allocator = v
		}
	}
}

// claimRevision returns the revision to expect when the record of a slot is
// written, 0 if there is none.
func (rc *recordCache) claimRevision(slot int) Revision {
	c := rc.claims[slot]
	if c.Deleted {
		return 0
	}
	return c.Revision
}

// allocatorRevision returns the revision to expect when the record of the
// allocator role is written, 0 if there is none.
func (rc *recordCache) allocatorRevision() Revision {
	if rc.allocator.Deleted {
		return 0
	}
	return rc.allocator.Revision
}

// liveClaims returns the slot records that are not deleted.
func (rc *recordCache) liveClaims() []share.Claim {
	claims := make([]share.Claim, 0, len(rc.claims))
	for _, c := range rc.claims {
		if !c.Deleted {
			claims = append(claims, c.Claim)
		}
	}
	return claims
}

// allocatorVacant reports whether no instance has the allocator role.
func (rc *recordCache) allocatorVacant() bool {
	return rc.allocator.Deleted || rc.allocator.Allocator.Instance == ""
}

// recordsChanged passes the records of a watch response to the decision modules.
func (e *Engine) recordsChanged(a StoreAnswer) {
	for _, r := range a.Records {
		switch v := r.(type) {
		case CatalogueRecord:
			e.configuration.recordReceived(v)
		case GroupRecord:
			e.updateGroup(v.Database, func(g *failover.Group) { g.RecordSeen(e.now, v.Seen) })
		}
	}
	e.shares.recordsChanged(e, a.Sent)
}

// handlePlatformResponse passes the response to a platform call to the module
// that sent it.
func (e *Engine) handlePlatformResponse(a StoreAnswer) {
	if _, ok := a.Operation.(Watch); !ok {
		e.sendNextCall()
	}
	switch op := a.Operation.(type) {
	case Watch:
		e.cache.watchAnswered(a)
	case ReadGroup:
		e.groupReadAnswered(op, a)
	case SwapGroup:
		e.groupSwapAnswered(op, a)
	case ReadCatalogue, SwapCatalogue:
		e.configuration.callAnswered(a)
	case SwapTable:
		e.shares.tableSwapAnswered(e, op, a)
	case CreateLease, RenewLease, PutClaim, RevokeLease:
		e.lease.callAnswered(a)
	case PutAllocator:
		e.shares.roleClaimAnswered(e, a)
	case ListInstances:
		e.peers.listAnswered(a)
	}
}

// groupReadAnswered passes the record of a group, or the failure to read it, to
// the group.
func (e *Engine) groupReadAnswered(op ReadGroup, a StoreAnswer) {
	result := failover.ReadResult{Call: op.Call, Failed: a.Outcome != Done && a.Outcome != NotFound}
	for _, r := range a.Records {
		if v, ok := r.(GroupRecord); ok {
			result.Seen = v.Seen
		}
	}
	e.updateGroup(op.Database, func(g *failover.Group) { g.ReadResult(e.now, result) })
}

// groupSwapAnswered passes the outcome of a compare-and-swap to the group.
func (e *Engine) groupSwapAnswered(op SwapGroup, a StoreAnswer) {
	result := failover.SwapResult{Call: op.Call, Outcome: swapOutcomes[a.Outcome], Revision: uint64(a.Revision)}
	for _, r := range a.Records {
		if v, ok := r.(GroupRecord); ok {
			result.Current = v.Seen
		}
	}
	e.updateGroup(op.Database, func(g *failover.Group) { g.SwapResult(e.now, result) })
}

// swapOutcomes translates the outcomes for the failover package.
var swapOutcomes = map[Outcome]failover.SwapOutcome{
	Done:        failover.SwapWon,
	Conflict:    failover.SwapConflict,
	NotFound:    failover.SwapConflict,
	Unavailable: failover.SwapUnavailable,
	Unknown:     failover.SwapUnknown,
}

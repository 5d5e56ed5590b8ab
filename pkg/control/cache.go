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
	rc.engine.out.CallStore(Watch{After: rc.revision, Wait: watchWait})
}

// watchCompleted handles the response to a watch and starts the next one.
func (rc *recordCache) watchCompleted(response StoreResponse) {
	if response.Outcome != Done {
		rc.engine.timers.arm(&rc.retryTimer, rc.engine.now.Add(rc.backoff))
		rc.backoff = min(2*rc.backoff, watchRetryMax)
		return
	}
	rc.backoff = watchRetryMin
	if response.Revision < rc.revision {
		// The platform's store has returned to an older state. Current versions
		// and terms do not decrease; the cache is read again from the beginning.
		engine := rc.engine
		*rc = newRecordCache()
		rc.start(engine)
		engine.configuration.platformRolledBack()
		return
	}
	rc.revision = response.Revision
	rc.complete = true
	rc.confirmedAt = response.SentAt
	rc.apply(response.Records)
	rc.engine.configuration.extendKeyValidity()
	rc.engine.recordsChanged(response)
	rc.engine.configuration.recordsReloaded(response.Records)
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
func (e *Engine) recordsChanged(response StoreResponse) {
	for _, r := range response.Records {
		switch v := r.(type) {
		case CatalogueRecord:
			e.configuration.recordReceived(v)
		case GroupRecord:
			e.updateGroup(v.Database, func(g *failover.Group) { g.RecordSeen(e.now, v.Seen) })
		}
	}
	e.shares.recordsChanged(e, response.SentAt)
}

// handlePlatformResponse passes the response to a platform call to the module
// that sent it.
func (e *Engine) handlePlatformResponse(response StoreResponse) {
	if _, ok := response.Operation.(Watch); !ok {
		e.sendNextCall()
	}
	switch op := response.Operation.(type) {
	case Watch:
		e.cache.watchCompleted(response)
	case ReadGroup:
		e.groupReadCompleted(op, response)
	case SwapGroup:
		e.groupSwapCompleted(op, response)
	case ReadCatalogue, SwapCatalogue:
		e.configuration.callCompleted(response)
	case SwapTable:
		e.shares.tableSwapCompleted(e, op, response)
	case CreateLease, RenewLease, PutClaim, RevokeLease:
		e.lease.callCompleted(response)
	case PutAllocator:
		e.shares.roleClaimCompleted(e, response)
	case ListInstances:
		e.peers.listCompleted(response)
	}
}

// groupReadCompleted passes the record of a group, or the failure to read it, to
// the group.
func (e *Engine) groupReadCompleted(op ReadGroup, response StoreResponse) {
	result := failover.ReadResult{Call: op.Call, Failed: response.Outcome != Done && response.Outcome != NotFound}
	for _, r := range response.Records {
		if v, ok := r.(GroupRecord); ok {
			result.Seen = v.Seen
		}
	}
	e.updateGroup(op.Database, func(g *failover.Group) { g.ReadResult(e.now, result) })
}

// groupSwapCompleted passes the outcome of a compare-and-swap to the group.
func (e *Engine) groupSwapCompleted(op SwapGroup, response StoreResponse) {
	result := failover.SwapResult{Call: op.Call, Outcome: swapOutcomes[response.Outcome], Revision: uint64(response.Revision)}
	for _, r := range response.Records {
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

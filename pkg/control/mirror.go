package control

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

const (
	// watchHold is how long the platform holds a watch without a change. The
	// platform counts each call, so a longer hold costs fewer calls.
	watchHold = 10 * time.Second
	// watchRetry is the delay after a failed watch; it doubles up to
	// watchRetryMax, so that an outage is not followed by a burst of calls.
	watchRetry    = 100 * time.Millisecond
	watchRetryMax = 2 * time.Second
	// listPeriod is the period of reads of the instance list.
	listPeriod = 5 * time.Second
)

// mirror holds what this instance knows of the platform's records. One waiting
// watch over all keys keeps it current.
type mirror struct {
	engine   *Engine
	revision Revision
	complete bool
	backoff  time.Duration
	retry    timer
	// confirmed is when the last successful watch was sent.
	confirmed time.Time

	tableRevision Revision
	table         *share.Table
	groups        map[core.DatabaseName]failover.RecordSeen
	claims        map[int]ClaimRecord
	allocator     AllocatorRecord
}

func newMirror() mirror {
	return mirror{
		groups: map[core.DatabaseName]failover.RecordSeen{},
		claims: map[int]ClaimRecord{},
	}
}

func (m *mirror) start(e *Engine) {
	m.engine = e
	m.backoff = watchRetry
	m.retry.Value = m.watch
	m.watch()
}

func (m *mirror) watch() {
	m.engine.out.Store(Watch{After: m.revision, Hold: watchHold})
}

// watched takes the result of a watch and starts the next one.
func (m *mirror) watched(a StoreAnswer) {
	if a.Outcome != Done {
		m.engine.timers.arm(&m.retry, m.engine.now.Add(m.backoff))
		m.backoff = min(2*m.backoff, watchRetryMax)
		return
	}
	m.backoff = watchRetry
	if a.Revision < m.revision {
		// The platform went back to an older state. Versions and terms in force
		// do not go back; the mirror is read again from the beginning.
		engine := m.engine
		*m = newMirror()
		m.start(engine)
		engine.settings.platformWentBack()
		return
	}
	m.revision = a.Revision
	m.complete = true
	m.confirmed = a.Sent
	m.apply(a.Records)
	m.engine.settings.extendTrust()
	m.engine.mirrorChanged(a)
	m.engine.settings.recordsRead(a.Records)
	m.watch()
}

func (m *mirror) apply(records []Record) {
	for _, r := range records {
		m.applyOne(r)
	}
}

// applyOne takes a record unless a newer one is known: an answer to a call may
// come after a watch that saw a later change. Deleted records are kept, so that
// an older answer does not revive them.
func (m *mirror) applyOne(r Record) {
	switch v := r.(type) {
	case GroupRecord:
		m.groups[v.Database] = v.Seen
	case TableRecord:
		if v.Revision >= m.tableRevision {
			m.tableRevision = v.Revision
			m.table = v.Table
		}
	case ClaimRecord:
		if v.Revision > m.claims[v.Claim.Slot].Revision {
			m.claims[v.Claim.Slot] = v
		}
	case AllocatorRecord:
		if v.Revision > m.allocator.Revision {
			m.allocator = v
		}
	}
}

// claimRevision returns the revision from which the record of a slot is
// written.
func (m *mirror) claimRevision(slot int) Revision {
	c := m.claims[slot]
	if c.Deleted {
		return 0
	}
	return c.Revision
}

func (m *mirror) allocatorRevision() Revision {
	if m.allocator.Deleted {
		return 0
	}
	return m.allocator.Revision
}

func (m *mirror) claimList() []share.Claim {
	claims := make([]share.Claim, 0, len(m.claims))
	for _, c := range m.claims {
		if !c.Deleted {
			claims = append(claims, c.Claim)
		}
	}
	return claims
}

// allocatorVacant reports that no instance has the allocator role.
func (m *mirror) allocatorVacant() bool {
	return m.allocator.Deleted || m.allocator.Allocator.Instance == ""
}

// mirrorChanged tells the decision modules what a watch brought.
func (e *Engine) mirrorChanged(a StoreAnswer) {
	for _, r := range a.Records {
		switch v := r.(type) {
		case CatalogueRecord:
			e.settings.read(v)
		case GroupRecord:
			e.decide(v.Database, func(g *failover.Group) { g.RecordSeen(e.now, v.Seen) })
		}
	}
	e.shares.mirrorChanged(e, a.Sent)
}

func (e *Engine) storeAnswer(a StoreAnswer) {
	if _, ok := a.Operation.(Watch); !ok {
		e.callAnswered()
	}
	switch op := a.Operation.(type) {
	case Watch:
		e.mirror.watched(a)
	case ReadGroup:
		e.groupRead(op, a)
	case SwapGroup:
		e.groupSwapped(op, a)
	case ReadCatalogue, SwapCatalogue:
		e.settings.answer(a)
	case SwapTable:
		e.shares.tableSwapped(e, op, a)
	case CreateLease, RenewLease, PutClaim, RevokeLease:
		e.lease.answer(a)
	case PutAllocator:
		e.shares.roleAnswered(e, a)
	case ListInstances:
		e.peers.listAnswered(a)
	}
}

func (e *Engine) groupRead(op ReadGroup, a StoreAnswer) {
	result := failover.ReadResult{Call: op.Call, Failed: a.Outcome != Done && a.Outcome != NotFound}
	for _, r := range a.Records {
		if v, ok := r.(GroupRecord); ok {
			result.Seen = v.Seen
		}
	}
	e.decide(op.Database, func(g *failover.Group) { g.ReadResult(e.now, result) })
}

func (e *Engine) groupSwapped(op SwapGroup, a StoreAnswer) {
	result := failover.SwapResult{Call: op.Call, Outcome: swapOutcomes[a.Outcome], Revision: uint64(a.Revision)}
	for _, r := range a.Records {
		if v, ok := r.(GroupRecord); ok {
			result.Current = v.Seen
		}
	}
	e.decide(op.Database, func(g *failover.Group) { g.SwapResult(e.now, result) })
}

var swapOutcomes = map[Outcome]failover.SwapOutcome{
	Done:        failover.SwapWon,
	Conflict:    failover.SwapConflict,
	NotFound:    failover.SwapConflict,
	Unavailable: failover.SwapUnavailable,
	Unknown:     failover.SwapUnknown,
}

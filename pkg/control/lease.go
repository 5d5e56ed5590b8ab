package control

import (
	"hash/fnv"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

// leaseRetry is the delay before a new attempt to get a lease.
const leaseRetry = 500 * time.Millisecond

// lease is the lease and slot of this instance; its life cycle is the chart
// "lease".
type lease struct {
	engine *Engine
	chart  *chart.Table[*lease]
	state  chart.State
	timer  timer
	id     share.LeaseID
	// slot is the slot claimed or held, -1 for none.
	slot int
	// sent is when the call that created or renewed the lease was sent.
	sent time.Time
}

func newLease(e *Engine, d *chart.Definition) (*lease, error) {
	l := &lease{engine: e, slot: -1}
	var err error
	l.chart, err = chart.Compile(d, chart.Registry[*lease]{
		Guards: map[string]func(*lease) bool{"slot_free": (*lease).slotFree},
		Actions: map[string]func(*lease){
			"create_lease": (*lease).create,
			"claim_slot":   (*lease).claim,
			"adopt_slot":   (*lease).adopt,
			"renew_lease":  (*lease).renew,
			"drop_lease":   (*lease).drop,
			"release_slot": (*lease).release,
		},
		Timeouts: map[string]time.Duration{
			"retry": leaseRetry,
			// A call that is bounded by the platform client always answers;
			// this covers an answer that was lost inside the instance.
			"call":  4 * e.config.CallTimeout,
			"renew": e.config.LeaseRenew,
		},
	})
	if err != nil {
		return nil, err
	}
	l.timer.Value = func() { l.fire(chart.TimeoutEvent) }
	return l, nil
}

func (l *lease) start() {
	l.state = l.chart.Initial()
	l.fire(chart.TimeoutEvent)
}

func (l *lease) fire(event string) {
	l.chart.Fire(l, &l.state, l.chart.Event(event))
	if l.chart.Final(l.state) {
		l.engine.timers.disarm(&l.timer)
		return
	}
	l.engine.timers.arm(&l.timer, l.engine.now.Add(l.chart.Timeout(l.state)))
}

func (l *lease) create() {
	l.engine.out.Store(CreateLease{})
}

// claim chooses a slot by the mirror; it starts at a place that depends on the
// instance, so that instances that start together rarely conflict.
func (l *lease) claim() {
	e := l.engine
	table := e.mirror.table
	if table == nil {
		table = &share.Table{}
	}
	self := e.config.Self
	start := l.slot
	if start < 0 {
		start = startSlot(string(self.Instance), e.config.Share.MaxInstances)
	}
	l.slot = share.ChooseSlot(table, e.mirror.claimList(), self.PeerAddress, e.config.Share.MaxInstances, start)
	if l.slot < 0 {
		e.warn("no_slot_free", "no slot is free; share.max_instances is too small", nil)
		return
	}
	e.out.Store(PutClaim{Claim: l.claimOf(false), Revision: e.mirror.claims[l.slot].Revision})
}

func startSlot(instance string, slots int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance))
	return int(h.Sum32() % uint32(slots))
}

func (l *lease) claimOf(released bool) share.Claim {
	self := l.engine.config.Self
	return share.Claim{
		Slot: l.slot, Instance: self.Instance, PeerAddress: self.PeerAddress,
		Domain: self.Domain, Lease: l.id, Released: released,
	}
}

func (l *lease) slotFree() bool {
	return l.engine.mirror.complete
}

func (l *lease) renew() {
	l.engine.out.Store(RenewLease{Lease: l.id})
}

func (l *lease) adopt() {
	e := l.engine
	e.holder.LeaseRenewed(l.id, l.sent)
	e.out.Store(Announce{})
	e.log("slot_claimed", "slot claimed", map[string]any{"slot": l.slot})
	e.shares.publish(e)
}

func (l *lease) drop() {
	l.engine.warn("lease_ended", "the platform ended the lease of this instance", map[string]any{"slot": l.slot})
	l.id = ""
}

// release gives the slot back. The record outlives the lease, so that the
// allocator knows that this instance stopped spending.
func (l *lease) release() {
	e := l.engine
	e.holder.Release()
	e.out.Store(PutClaim{Claim: l.claimOf(true), Revision: e.mirror.claims[l.slot].Revision})
}

// answer takes the result of a call of the lease.
func (l *lease) answer(a StoreAnswer) {
	l.engine.mirror.apply(a.Records)
	switch op := a.Operation.(type) {
	case CreateLease:
		l.created(a)
	case RenewLease:
		l.renewed(op, a)
	case PutClaim:
		l.claimed(op, a)
	}
}

func (l *lease) created(a StoreAnswer) {
	if a.Outcome != Done {
		l.fire("failed")
		return
	}
	l.id = a.Lease
	l.sent = a.Sent
	l.engine.holder.LeaseRenewed(a.Lease, a.Sent)
	l.fire("created")
}

func (l *lease) renewed(op RenewLease, a StoreAnswer) {
	if op.Lease != l.id {
		return
	}
	switch a.Outcome {
	case Done:
		l.engine.holder.LeaseRenewed(l.id, a.Sent)
		l.engine.shares.publish(l.engine)
		l.fire("renewed")
	case NotFound:
		l.fire("ended")
	default:
		l.fire("failed")
	}
}

func (l *lease) claimed(op PutClaim, a StoreAnswer) {
	if op.Claim.Lease != l.id || op.Claim.Released {
		return
	}
	switch {
	case a.Outcome == Done || l.ownClaimFound(a):
		l.fire("claimed")
	case a.Outcome == Conflict:
		l.fire("conflict")
	case a.Outcome == NotFound:
		l.fire("ended")
	default:
		l.fire("failed")
	}
}

// ownClaimFound reports that the record that was in the way is the claim of
// this instance, whose answer had been lost.
func (l *lease) ownClaimFound(a StoreAnswer) bool {
	for _, r := range a.Records {
		c, ok := r.(ClaimRecord)
		if ok && c.Claim.Instance == l.engine.config.Self.Instance && c.Claim.Lease == l.id {
			return true
		}
	}
	return false
}

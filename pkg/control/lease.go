package control

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

// leaseRetry is the delay before a new attempt to get a lease.
const leaseRetry = 500 * time.Millisecond

// lease is the lease and slot of this instance; its life cycle is the chart
// "lease".
type lease struct {
	machine[*lease]
	id share.LeaseID
	// created is the answer to the last creation of a lease.
	created StoreAnswer
	// slot is the slot claimed or held, -1 for none.
	slot int
}

func newLease(e *Engine, d *chart.Definition) (*lease, error) {
	l := &lease{slot: -1}
	table, err := chart.Compile(d, chart.Registry[*lease]{
		Guards: map[string]func(*lease) bool{"slot_free": (*lease).slotFree},
		Actions: map[string]func(*lease){
			"create_lease":    func(l *lease) { l.engine.store(CreateLease{}) },
			"keep_lease":      (*lease).keep,
			"claim_slot":      (*lease).claim,
			"adopt_slot":      (*lease).adopt,
			"renew_lease":     (*lease).renew,
			"drop_lease":      (*lease).drop,
			"report_no_slot":  (*lease).reportNoSlot,
			"release_slot":    (*lease).release,
			"end_lease":       func(l *lease) { l.engine.store(RevokeLease{Lease: l.id}) },
			"report_released": func(l *lease) { l.engine.life.fire("released") },
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
	l.machine = newMachine(e, table, l)
	return l, nil
}

// keep takes the lease that was created.
func (l *lease) keep() {
	l.id = l.created.Lease
	l.engine.holder.RecordLeaseRenewal(l.id, l.created.Sent)
}

func (l *lease) claim() {
	l.slot = l.choose()
	l.engine.store(PutClaim{Claim: l.claimOf(false), Revision: l.engine.mirror.claimRevision(l.slot)})
}

// choose returns the slot to claim by the mirror, -1 for none. The search
// starts at a place that depends on the instance, so that instances that start
// together rarely conflict. A claim of this instance whose answer was lost does
// not count as taken.
func (l *lease) choose() int {
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
	others := slices.DeleteFunc(e.mirror.claimList(), func(c share.Claim) bool { return c.Instance == self.Instance })
	return share.ChooseSlot(table, others, self.PeerAddress, e.config.Share.MaxInstances, start)
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

// slotFree reports whether there is a slot to claim. Before the mirror is
// complete, a slot of another instance might look free.
func (l *lease) slotFree() bool {
	return l.engine.mirror.complete && l.choose() >= 0
}

func (l *lease) reportNoSlot() {
	if l.engine.mirror.complete {
		l.engine.warn("no_slot_free", "no slot is free; share.max_instances is too small", nil)
	}
}

func (l *lease) renew() {
	l.engine.store(RenewLease{Lease: l.id})
}

func (l *lease) adopt() {
	e := l.engine
	e.peers.announce(false)
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
	l.engine.store(PutClaim{Claim: l.claimOf(true), Revision: l.engine.mirror.claimRevision(l.slot)})
}

// answer takes the result of a call of the lease.
func (l *lease) answer(a StoreAnswer) {
	l.engine.mirror.apply(a.Records)
	switch op := a.Operation.(type) {
	case CreateLease:
		l.creationAnswered(a)
	case RenewLease:
		l.renewed(op, a)
	case PutClaim:
		l.claimAnswered(op, a)
	case RevokeLease:
		l.fire(eventOf[a.Outcome])
	}
}

// eventOf gives the events of the answers to PutClaim and RevokeLease.
var eventOf = map[Outcome]string{
	Done:        "ended",
	NotFound:    "ended",
	Conflict:    "conflict",
	Unavailable: "failed",
	Unknown:     "failed",
}

func (l *lease) creationAnswered(a StoreAnswer) {
	if a.Outcome != Done {
		l.fire("failed")
		return
	}
	l.created = a
	l.fire("created")
}

func (l *lease) renewed(op RenewLease, a StoreAnswer) {
	if op.Lease != l.id {
		return
	}
	switch a.Outcome {
	case Done:
		l.engine.holder.RecordLeaseRenewal(l.id, a.Sent)
		l.engine.shares.publish(l.engine)
		l.fire("renewed")
	case NotFound:
		l.fire("ended")
	default:
		l.fire("failed")
	}
}

func (l *lease) claimAnswered(op PutClaim, a StoreAnswer) {
	if op.Claim.Lease != l.id || op.Claim.Slot != l.slot {
		return
	}
	event := eventOf[a.Outcome]
	switch {
	case op.Claim.Released && a.Outcome == Done:
		event = "released"
	case !op.Claim.Released && (a.Outcome == Done || l.ownClaimFound(a)):
		event = "claimed"
	}
	l.fire(event)
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

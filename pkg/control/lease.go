package control

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

// leaseRetryDelay is the delay before a new attempt to get a lease or a slot.
const leaseRetryDelay = 500 * time.Millisecond

// lease manages the lease and the slot of this instance according to the chart
// "lease".
type lease struct {
	stateMachine[*lease]
	// id is empty without a lease.
	id share.LeaseID
	// creation is the response to the last creation of a lease.
	creation StoreResponse
	// slot is the slot claimed or held, -1 for none.
	slot int
}

// newLease compiles the chart "lease".
func newLease(e *Engine, d *chart.Definition) (*lease, error) {
	l := &lease{slot: -1}
	table, err := chart.Compile(d, chart.Registry[*lease]{
		Guards: map[string]func(*lease) bool{"slot_free": (*lease).slotFree},
		Actions: map[string]func(*lease){
			"create_lease":    func(l *lease) { l.engine.callPlatform(CreateLease{}) },
			"store_lease":     (*lease).storeLease,
			"claim_slot":      (*lease).claimSlot,
			"confirm_slot":    (*lease).confirmSlot,
			"renew_lease":     (*lease).renewLease,
			"forget_lease":    (*lease).forgetLease,
			"report_no_slot":  (*lease).reportNoSlot,
			"release_slot":    (*lease).releaseSlot,
			"revoke_lease":    func(l *lease) { l.engine.callPlatform(RevokeLease{Lease: l.id}) },
			"report_released": func(l *lease) { l.engine.lifecycle.fire("released") },
		},
		Timeouts: map[string]time.Duration{
			"retry": leaseRetryDelay,
			// Every call that the platform client bounds gets a response; this
			// timeout covers a response that was lost inside the instance.
			"call":  4 * e.config.CallTimeout,
			"renew": e.config.LeaseRenewInterval,
		},
	})
	if err != nil {
		return nil, err
	}
	l.stateMachine = newStateMachine(e, table, l)
	return l, nil
}

// storeLease stores the ID of the created lease and records its creation with the
// holder.
func (l *lease) storeLease() {
	l.id = l.creation.Lease
	l.engine.holder.RecordLeaseRenewal(l.id, l.creation.SentAt)
}

// claimSlot chooses a slot and claims it.
func (l *lease) claimSlot() {
	l.slot = l.chooseSlot()
	l.engine.callPlatform(PutClaim{Claim: l.ownClaim(false), Revision: l.engine.cache.claimRevision(l.slot)})
}

// chooseSlot returns the slot to claim according to the record cache, -1 for
// none. The search starts at a slot that depends on the instance, so that
// instances that start at the same time rarely conflict. A claim of this instance
// whose response was lost does not count as taken.
func (l *lease) chooseSlot() int {
	e := l.engine
	table := e.cache.table
	if table == nil {
		table = &share.Table{}
	}
	self := e.config.Self
	start := l.slot
	if start < 0 {
		start = hashInstance(string(self.Instance), e.config.Share.MaxInstances)
	}
	others := slices.DeleteFunc(e.cache.liveClaims(), func(c share.Claim) bool { return c.Instance == self.Instance })
	return share.ChooseSlot(table, others, self.PeerAddress, e.config.Share.MaxInstances, start)
}

// hashInstance returns a hash of the instance's ID between 0 and n-1.
func hashInstance(instance string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance))
	return int(h.Sum32() % uint32(n))
}

// ownClaim returns the record that this instance writes for its slot.
func (l *lease) ownClaim(released bool) share.Claim {
	self := l.engine.config.Self
	return share.Claim{
		Slot: l.slot, Instance: self.Instance, PeerAddress: self.PeerAddress,
		Domain: self.Domain, Lease: l.id, Released: released,
	}
}

// slotFree reports whether there is a slot to claim. It reports false until the
// record cache is complete, because a slot of another instance might look free.
func (l *lease) slotFree() bool {
	return l.engine.cache.complete && l.chooseSlot() >= 0
}

// reportNoSlot logs that all slots are taken.
func (l *lease) reportNoSlot() {
	if l.engine.cache.complete {
		l.engine.warn("no_slot_free", "no slot is free; share.max_instances is too small", nil)
	}
}

func (l *lease) renewLease() {
	l.engine.callPlatform(RenewLease{Lease: l.id})
}

// confirmSlot announces this instance to the fleet once its claim is confirmed.
func (l *lease) confirmSlot() {
	e := l.engine
	e.peers.announce(false)
	e.log("slot_claimed", "slot claimed", map[string]any{"slot": l.slot})
	e.shares.publish(e)
}

// forgetLease logs that the platform ended the lease and clears its ID.
func (l *lease) forgetLease() {
	l.engine.warn("lease_ended", "the platform ended the lease of this instance", map[string]any{"slot": l.slot})
	l.id = ""
}

// releaseSlot writes the slot's record as released. The record outlives the
// lease, so that the allocator knows that this instance no longer uses its share.
func (l *lease) releaseSlot() {
	l.engine.callPlatform(PutClaim{Claim: l.ownClaim(true), Revision: l.engine.cache.claimRevision(l.slot)})
}

// callCompleted handles the response to a call of the lease.
func (l *lease) callCompleted(response StoreResponse) {
	l.engine.cache.apply(response.Records)
	switch op := response.Operation.(type) {
	case CreateLease:
		l.creationCompleted(response)
	case RenewLease:
		l.renewalCompleted(op, response)
	case PutClaim:
		l.claimCompleted(op, response)
	case RevokeLease:
		l.fire(outcomeEvents[response.Outcome])
	}
}

// outcomeEvents holds the chart events for the outcomes of PutClaim and
// RevokeLease.
var outcomeEvents = map[Outcome]string{
	Done:        "ended",
	NotFound:    "ended",
	Conflict:    "conflict",
	Unavailable: "failed",
	Unknown:     "failed",
}

// creationCompleted handles the response to the creation of a lease.
func (l *lease) creationCompleted(response StoreResponse) {
	if response.Outcome != Done {
		l.fire("failed")
		return
	}
	l.creation = response
	l.fire("created")
}

// renewalCompleted handles the response to a renewal, unless the lease has
// changed since the request.
func (l *lease) renewalCompleted(op RenewLease, response StoreResponse) {
	if op.Lease != l.id {
		return
	}
	switch response.Outcome {
	case Done:
		l.engine.holder.RecordLeaseRenewal(l.id, response.SentAt)
		l.engine.shares.publish(l.engine)
		l.fire("renewed")
	case NotFound:
		l.fire("ended")
	default:
		l.fire("failed")
	}
}

// claimCompleted handles the response to a claim or a release of the present
// slot.
func (l *lease) claimCompleted(op PutClaim, response StoreResponse) {
	if op.Claim.Lease != l.id || op.Claim.Slot != l.slot {
		return
	}
	event := outcomeEvents[response.Outcome]
	switch {
	case op.Claim.Released && response.Outcome == Done:
		event = "released"
	case !op.Claim.Released && (response.Outcome == Done || l.hasOwnClaim(response)):
		event = "claimed"
	}
	l.fire(event)
}

// hasOwnClaim reports whether the conflicting record is a claim of this instance
// whose response was lost.
func (l *lease) hasOwnClaim(response StoreResponse) bool {
	for _, r := range response.Records {
		c, ok := r.(ClaimRecord)
		if ok && c.Claim.Instance == l.engine.config.Self.Instance && c.Claim.Lease == l.id {
			return true
		}
	}
	return false
}

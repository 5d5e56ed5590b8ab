package share

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
)

// States of the chart "share" that code outside the chart refers to.
const (
	StateVacant = "vacant"
	StateLost   = "lost"
)

// slotSubject is one slot of a draft, on which the chart's guards and actions
// work. claim and refusal belong to the event that is being handled.
type slotSubject struct {
	allocator *Allocator
	draft     *draft
	index     int
	slot      *Slot
	state     chart.State
	claim     Claim
	refusal   ProbeRefusal
}

// slotEvents holds the events of the chart "share".
type slotEvents struct {
	claimed, released, shrunk, acknowledged  chart.Event
	leaseEnded, deathReported, refused, time chart.Event
}

func resolveSlotEvents(t *chart.Table[*slotSubject]) slotEvents {
	return slotEvents{
		claimed:       t.Event("claimed"),
		released:      t.Event("released"),
		shrunk:        t.Event("shrunk"),
		acknowledged:  t.Event("acknowledged"),
		leaseEnded:    t.Event("lease_ended"),
		deathReported: t.Event("death_reported"),
		refused:       t.Event("refused"),
		time:          t.Event(chart.TimeoutEvent),
	}
}

// slotRegistry returns the guards, actions and timeouts of the chart "share".
func slotRegistry(s Settings) chart.Registry[*slotSubject] {
	return chart.Registry[*slotSubject]{
		Guards: map[string]func(*slotSubject) bool{
			"same_holder":          (*slotSubject).sameHolder,
			"successor":            (*slotSubject).isSuccessor,
			"holder_returned":      (*slotSubject).holderReturned,
			"all_applied":          (*slotSubject).allApplied,
			"inheritance_excluded": (*slotSubject).inheritanceExcluded,
			"cutoff_passed":        (*slotSubject).cutoffPassed,
		},
		Actions: map[string]func(*slotSubject){
			"grant":                      (*slotSubject).grant,
			"update_claim":               (*slotSubject).updateClaim,
			"transfer":                   (*slotSubject).transfer,
			"vacate":                     (*slotSubject).vacate,
			"suspend":                    (*slotSubject).suspend,
			"reduce_to_floor":            (*slotSubject).reduceToFloor,
			"restore":                    (*slotSubject).restore,
			"reduce_held":                (*slotSubject).reduceHeld,
			"count_late_acknowledgement": func(s *slotSubject) { s.allocator.lateAcknowledgements++ },
		},
		Timeouts: map[string]time.Duration{
			"reclaim":         s.CutoffBound + s.CutoffMargin,
			"acknowledgement": s.AcknowledgementTimeout,
		},
	}
}

// sameHolder reports whether the claim is the present holder's.
func (s *slotSubject) sameHolder() bool {
	return s.claim.Instance == s.slot.Instance
}

// isSuccessor reports whether another instance claims the slot from the holder's
// peer address. Only one process can own the address, so the holder is dead.
func (s *slotSubject) isSuccessor() bool {
	sameAddress := s.claim.PeerAddress != "" && s.claim.PeerAddress == s.slot.PeerAddress
	return sameAddress && s.claim.Instance != s.slot.Instance
}

// holderReturned reports whether a suspended holder has a new lease or has sent a
// report since it was suspended.
func (s *slotSubject) holderReturned() bool {
	if !s.sameHolder() {
		return false
	}
	if s.claim.Lease != s.slot.Lease {
		return true
	}
	report, ok := s.allocator.reportOf(s.index, s.slot)
	return ok && report.receivedAt.After(s.allocator.observations[s.index].since)
}

// allApplied reports whether the holder has acknowledged the newest lowered
// limits.
func (s *slotSubject) allApplied() bool {
	report, ok := s.allocator.reportOf(s.index, s.slot)
	if !ok {
		return false
	}
	return report.RatesApplied >= s.slot.RatesLowered && report.ConnectionsApplied >= s.slot.ConnectionsLowered
}

// inheritanceExcluded reports whether the refused connection proves that no
// process uses the slot's share, now or later. An instance can inherit a slot
// from the table of any living holder, and it listens at its address before it
// requests the table. The refused connection must therefore have begun after the
// last holder stopped serving tables in which this slot is not lost.
func (s *slotSubject) inheritanceExcluded() bool {
	acknowledgedAt := s.allocator.observations[s.index].acknowledgedAt
	return !acknowledgedAt.IsZero() && s.refusal.Started.After(acknowledgedAt)
}

// cutoffPassed reports whether neither the holder nor an inheriting instance may
// use the share any more: the cutoff bound plus its margin has passed both since
// the lease was seen to have ended and since the slot was seen to be suspended.
func (s *slotSubject) cutoffPassed() bool {
	endedAt, ok := s.allocator.leaseEndedAt[s.slot.Lease]
	if !ok {
		return false
	}
	bound := s.allocator.settings.CutoffBound + s.allocator.settings.CutoffMargin
	suspendedAt := s.allocator.observations[s.index].since
	return s.draft.now.Sub(endedAt) >= bound && s.draft.now.Sub(suspendedAt) >= bound
}

// grant gives a vacant slot to the claiming instance, without any share yet.
func (s *slotSubject) grant() {
	*s.slot = Slot{
		State:         s.slot.State,
		Instance:      s.claim.Instance,
		PeerAddress:   s.claim.PeerAddress,
		Domain:        s.claim.Domain,
		Lease:         s.claim.Lease,
		GrantRevision: s.draft.table.Revision,
	}
	s.draft.changed = true
}

// updateClaim copies a new lease or peer address of the same holder.
func (s *slotSubject) updateClaim() {
	if s.slot.Lease == s.claim.Lease && s.slot.PeerAddress == s.claim.PeerAddress {
		return
	}
	s.slot.Lease = s.claim.Lease
	s.slot.PeerAddress = s.claim.PeerAddress
	s.draft.changed = true
}

// transfer gives the slot and its shares to the successor of the holder.
func (s *slotSubject) transfer() {
	s.slot.Instance = s.claim.Instance
	s.slot.Domain = s.claim.Domain
	s.slot.Lease = s.claim.Lease
	s.slot.GrantRevision = s.draft.table.Revision
	s.draft.changed = true
}

// vacate removes the holder and frees its shares.
func (s *slotSubject) vacate() {
	*s.slot = Slot{State: s.slot.State}
	s.draft.changed = true
}

// suspend sets all limits of the slot to zero. What it holds stays reserved.
func (s *slotSubject) suspend() {
	for name, r := range s.slot.Accounts {
		r.Limit = Rate{}
		s.slot.Accounts[name] = r
	}
	for name, c := range s.slot.Databases {
		c.Limit = 0
		s.slot.Databases[name] = c
	}
	s.slot.RatesLowered = s.draft.table.Revision
	s.slot.ConnectionsLowered = s.draft.table.Revision
	s.draft.changed = true
}

// reduceToFloor frees what a holder that is dead or has stopped held above the
// retained floors. The rest stays reserved, because an instance may have
// inherited the slot from an older table. It may even have done so with retained
// floors that were lowered since; nothing is freed in that case, unless the
// holder acknowledged a table after they were lowered.
func (s *slotSubject) reduceToFloor() {
	report, ok := s.allocator.reportOf(s.index, s.slot)
	lowered := s.draft.table.RetainedFloorsLowered
	if lowered > 0 && (!ok || report.RatesApplied < lowered) {
		return
	}
	for name, r := range s.slot.Accounts {
		retained := s.draft.table.RetainedFloors.Rates[name]
		kept := Rate{Rate: min(r.Held.Rate, retained.Rate), Burst: min(r.Held.Burst, retained.Burst)}
		if kept == r.Held {
			continue
		}
		r.Held = kept
		s.slot.Accounts[name] = r
		s.draft.changed = true
	}
	for name, c := range s.slot.Databases {
		kept := min(c.Held, s.draft.table.RetainedFloors.Connections[name])
		if kept == c.Held {
			continue
		}
		c.Held = kept
		s.slot.Databases[name] = c
		s.draft.changed = true
	}
}

// restore raises the limits of a suspended slot to what it still holds.
func (s *slotSubject) restore() {
	for name, r := range s.slot.Accounts {
		r.Limit = r.Held
		s.slot.Accounts[name] = r
	}
	for name, c := range s.slot.Databases {
		c.Limit = c.Held
		s.slot.Databases[name] = c
	}
	s.draft.changed = true
}

// reduceHeld frees what the holder has acknowledged that it no longer uses.
func (s *slotSubject) reduceHeld() {
	report, ok := s.allocator.reportOf(s.index, s.slot)
	if !ok {
		return
	}
	if report.RatesApplied >= s.slot.RatesLowered {
		s.reduceHeldRates()
	}
	if report.ConnectionsApplied >= s.slot.ConnectionsLowered {
		s.reduceHeldConnections()
	}
}

// reduceHeldRates reduces the held rates to their limits and removes empty
// shares.
func (s *slotSubject) reduceHeldRates() {
	for name, r := range s.slot.Accounts {
		if r.Held == r.Limit {
			continue
		}
		r.Held = r.Limit
		s.slot.Accounts[name] = r
		if r == (RateShare{}) {
			delete(s.slot.Accounts, name)
		}
		s.draft.changed = true
	}
}

// reduceHeldConnections reduces the held connections to their limits and removes
// empty shares.
func (s *slotSubject) reduceHeldConnections() {
	for name, c := range s.slot.Databases {
		if c.Held == c.Limit {
			continue
		}
		c.Held = c.Limit
		s.slot.Databases[name] = c
		if c == (ConnectionShare{}) {
			delete(s.slot.Databases, name)
		}
		s.draft.changed = true
	}
}

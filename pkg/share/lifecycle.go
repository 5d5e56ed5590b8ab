package share

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
)

// States of the chart "share" that decisions outside the chart refer to.
const (
	StateVacant = "vacant"
	StateLost   = "lost"
)

// slotSubject is one slot of a draft, as the chart's guards and actions see it.
type slotSubject struct {
	a       *Allocator
	draft   *draft
	index   int
	slot    *Slot
	state   chart.State
	claim   Claim
	refusal Refusal
}

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

func slotRegistry(s Settings) chart.Registry[*slotSubject] {
	return chart.Registry[*slotSubject]{
		Guards: map[string]func(*slotSubject) bool{
			"same_holder":     (*slotSubject).sameHolder,
			"successor":       (*slotSubject).successor,
			"holder_returned": (*slotSubject).holderReturned,
			"all_applied":     (*slotSubject).allApplied,
			"no_inheritor":    (*slotSubject).noInheritor,
			"cut_off":         (*slotSubject).cutOff,
		},
		Actions: map[string]func(*slotSubject){
			"grant":        (*slotSubject).grant,
			"update_claim": (*slotSubject).updateClaim,
			"transfer":     (*slotSubject).transfer,
			"vacate":       (*slotSubject).vacate,
			"suspend":      (*slotSubject).suspend,
			"keep_floor":   (*slotSubject).keepFloor,
			"restore":      (*slotSubject).restore,
			"lower_held":   (*slotSubject).lowerHeld,
			"count_late":   func(s *slotSubject) { s.a.late++ },
		},
		Timeouts: map[string]time.Duration{
			"reclaim":         s.CutoffBound + s.CutoffMargin,
			"acknowledgement": s.AcknowledgementBound,
		},
	}
}

func (s *slotSubject) sameHolder() bool {
	return s.claim.Instance == s.slot.Instance
}

// successor holds for another instance at the holder's peer address. Only one
// process can own the address, so the holder is dead.
func (s *slotSubject) successor() bool {
	sameAddress := s.claim.PeerAddress != "" && s.claim.PeerAddress == s.slot.PeerAddress
	return sameAddress && s.claim.Instance != s.slot.Instance
}

// holderReturned holds for a suspended holder that has a new lease or was heard
// from after it was suspended.
func (s *slotSubject) holderReturned() bool {
	if !s.sameHolder() {
		return false
	}
	if s.claim.Lease != s.slot.Lease {
		return true
	}
	heard, ok := s.a.reportOf(s.index, s.slot)
	return ok && heard.at.After(s.a.entered[s.index].since)
}

func (s *slotSubject) allApplied() bool {
	heard, ok := s.a.reportOf(s.index, s.slot)
	if !ok {
		return false
	}
	return heard.RatesApplied >= s.slot.RatesLowered && heard.ConnectionsApplied >= s.slot.ConnectionsLowered
}

// noInheritor holds when the refused connection proves that nobody spends the
// slot's share, now or later. An instance may inherit a slot from the table of
// any living holder, and it listens before it asks for that table. So the
// refusal must be of a connection that began when no holder could hand out a
// table any more in which this slot is not lost.
func (s *slotSubject) noInheritor() bool {
	cleared := s.a.entered[s.index].clearedAt
	return !cleared.IsZero() && s.refusal.Started.After(cleared)
}

// cutOff holds when neither the holder nor an inheritor may spend any more:
// the bound has passed since the lease was known to be over and since the slot
// was known to be suspended.
func (s *slotSubject) cutOff() bool {
	ended, ok := s.a.ended[s.slot.Lease]
	if !ok {
		return false
	}
	bound := s.a.settings.CutoffBound + s.a.settings.CutoffMargin
	suspended := s.a.entered[s.index].since
	return s.draft.now.Sub(ended) >= bound && s.draft.now.Sub(suspended) >= bound
}

func (s *slotSubject) grant() {
	*s.slot = Slot{
		State:       s.slot.State,
		Instance:    s.claim.Instance,
		PeerAddress: s.claim.PeerAddress,
		Domain:      s.claim.Domain,
		Lease:       s.claim.Lease,
		Granted:     s.draft.table.Revision,
	}
	s.draft.changed = true
}

func (s *slotSubject) updateClaim() {
	if s.slot.Lease == s.claim.Lease && s.slot.PeerAddress == s.claim.PeerAddress {
		return
	}
	s.slot.Lease = s.claim.Lease
	s.slot.PeerAddress = s.claim.PeerAddress
	s.draft.changed = true
}

func (s *slotSubject) transfer() {
	s.slot.Instance = s.claim.Instance
	s.slot.Domain = s.claim.Domain
	s.slot.Lease = s.claim.Lease
	s.slot.Granted = s.draft.table.Revision
	s.draft.changed = true
}

func (s *slotSubject) vacate() {
	*s.slot = Slot{State: s.slot.State}
	s.draft.changed = true
}

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

// keepFloor takes back what lies above the guard from a holder that is dead or
// has stopped spending. The rest waits, because an instance may have inherited
// the slot from an older table. It may have done so with guards that were
// lowered since, unless the holder was still alive after that.
func (s *slotSubject) keepFloor() {
	heard, ok := s.a.reportOf(s.index, s.slot)
	lowered := s.draft.table.GuardsLowered
	if lowered > 0 && (!ok || heard.RatesApplied < lowered) {
		return
	}
	for name, r := range s.slot.Accounts {
		guard := s.draft.table.Guards.Rates[name]
		kept := Rate{Rate: min(r.Held.Rate, guard.Rate), Burst: min(r.Held.Burst, guard.Burst)}
		if kept == r.Held {
			continue
		}
		r.Held = kept
		s.slot.Accounts[name] = r
		s.draft.changed = true
	}
	for name, c := range s.slot.Databases {
		kept := min(c.Held, s.draft.table.Guards.Connections[name])
		if kept == c.Held {
			continue
		}
		c.Held = kept
		s.slot.Databases[name] = c
		s.draft.changed = true
	}
}

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

func (s *slotSubject) lowerHeld() {
	heard, ok := s.a.reportOf(s.index, s.slot)
	if !ok {
		return
	}
	if heard.RatesApplied >= s.slot.RatesLowered {
		s.lowerHeldRates()
	}
	if heard.ConnectionsApplied >= s.slot.ConnectionsLowered {
		s.lowerHeldConnections()
	}
}

func (s *slotSubject) lowerHeldRates() {
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

func (s *slotSubject) lowerHeldConnections() {
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

package share

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"pgregory.net/rapid"
)

// runSecond simulates one second of regular messages, some of which are lost.
func (s *sim) runSecond() {
	s.advance(time.Second)
	for _, i := range s.instances {
		if s.running(i) {
			s.exchange(i)
		}
	}
	for _, a := range s.allocators {
		s.probe(a)
		if s.chance(40, "computes") {
			s.compute(a)
		}
		if s.chance(70, "writes now") {
			s.write(a)
		}
	}
}

func (s *sim) exchange(i *simInstance) {
	if !i.noPlatform && s.chance(80, "renews") {
		s.renew(i)
	}
	if !i.noPlatform && s.chance(70, "reads") {
		i.holder.UpdateTable(s.table, s.now)
	}
	s.apply(i)
	report, ok := i.holder.Report()
	if !ok || i.noPeers {
		return
	}
	report.Accounts = map[core.AccountName]float64{simAccount: i.demand}
	report.Databases = map[core.DatabaseName]int{simDatabase: i.wanted}
	for _, a := range s.allocators {
		if s.chance(70, "report arrives") {
			a.RecordReport(report, s.now)
		}
	}
}

// probe connects to the addresses of lost holders. The host refuses only if no
// process owns the address; a paused process still owns it.
func (s *sim) probe(a *simAllocator) {
	for _, p := range a.Probes() {
		owned := slices.ContainsFunc(s.instances, func(i *simInstance) bool {
			return !i.crashed && i.identity.PeerAddress == p.Address
		})
		if !owned && s.chance(60, "probe answered") {
			a.RecordProbeRefusal(ProbeRefusal{Slot: p.Slot, Instance: p.Instance, Started: s.now})
		}
	}
}

func (s *sim) step() {
	all := func(*simInstance) bool { return true }
	switch rapid.IntRange(0, 16).Draw(s.t, "step") {
	case 0:
		s.crash(s.pick("crash", all))
	case 1:
		if i := s.pick("pause", all); i != nil {
			i.paused = !i.paused
		}
	case 2:
		if i := s.pick("cut off", all); i != nil {
			i.noPlatform = !i.noPlatform
			i.noPeers = i.noPlatform && s.chance(50, "peers too")
		}
	case 3:
		s.restart()
	case 4:
		if len(s.instances) < 8 {
			s.serial++
			s.start(fmt.Sprintf("10.0.1.%d:1", s.serial))
		}
	case 5:
		s.advance(time.Duration(rapid.IntRange(1, 70).Draw(s.t, "long")) * time.Second)
	case 6:
		if i := s.pick("release", s.running); i != nil {
			i.releasing = true
			i.holder.Release()
			s.apply(i)
			i.open = 0
		}
	case 7:
		s.editCatalogue()
	case 8:
		if i := s.pick("demand", all); i != nil {
			i.demand = float64(rapid.IntRange(0, 80).Draw(s.t, "demand"))
			i.wanted = rapid.IntRange(0, 9).Draw(s.t, "wanted")
		}
	default:
		s.runSecond()
	}
}

func (s *sim) crash(i *simInstance) {
	if i == nil {
		return
	}
	i.crashed = true
	i.open = 0
	for _, a := range s.allocators {
		if s.chance(40, "death reported") {
			a.RecordDeathReport(i.identity.Instance, s.now)
		}
	}
}

// restart starts a process at the address of a crashed one. Without the platform,
// the new process requests the table from a living peer and inherits the slot.
func (s *sim) restart() {
	for _, old := range s.instances {
		inUse := slices.ContainsFunc(s.instances, func(i *simInstance) bool {
			return !i.crashed && i.identity.PeerAddress == old.identity.PeerAddress
		})
		if !old.crashed || inUse || !s.chance(60, "restart") {
			continue
		}
		next := s.start(old.identity.PeerAddress)
		next.noPlatform = s.chance(60, "without the platform")
		if !next.noPlatform {
			return
		}
		if peer := s.pick("peer", s.running); peer != nil && peer != next {
			if table, age, ok := peer.holder.AuthoritativeTable(s.now); ok {
				next.holder.Inherit(table, age, s.now)
				s.apply(next)
			}
		}
		return
	}
}

func (s *sim) editCatalogue() {
	c := *s.catalogue
	c.Version++
	rate := float64(rapid.IntRange(5, 60).Draw(s.t, "rate"))
	c.Accounts = []catalogue.Account{{Name: simAccount, Rate: rate, Burst: math.Ceil(rate / 2)}}
	c.Databases = []catalogue.Database{{Name: simDatabase, Connections: rapid.IntRange(1, 12).Draw(s.t, "connections")}}
	s.refill()
	s.catalogue = &c
	s.catalogues[c.Version] = &c
}

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

// second is one second of the ordinary exchange, with losses.
func (s *sim) second() {
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
		i.holder.TableRead(s.table, s.now)
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
			a.Report(report, s.now)
		}
	}
}

// probe connects to the addresses of lost holders. The host refuses only when
// no process, not even a paused one, owns the address.
func (s *sim) probe(a *simAllocator) {
	for _, p := range a.Probes() {
		owned := slices.ContainsFunc(s.instances, func(i *simInstance) bool {
			return !i.dead && i.identity.PeerAddress == p.Address
		})
		if !owned && s.chance(60, "probe answered") {
			a.ProbeRefused(Refusal{Slot: p.Slot, Instance: p.Instance, Started: s.now})
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
		s.edit()
	case 8:
		if i := s.pick("demand", all); i != nil {
			i.demand = float64(rapid.IntRange(0, 80).Draw(s.t, "demand"))
			i.wanted = rapid.IntRange(0, 9).Draw(s.t, "wanted")
		}
	default:
		s.second()
	}
}

func (s *sim) crash(i *simInstance) {
	if i == nil {
		return
	}
	i.dead = true
	i.open = 0
	for _, a := range s.allocators {
		if s.chance(40, "death reported") {
			a.DeathReported(i.identity.Instance, s.now)
		}
	}
}

// restart starts a process at a dead one's address. Without the platform it
// asks a living peer for the table and inherits.
func (s *sim) restart() {
	for _, old := range s.instances {
		inUse := slices.ContainsFunc(s.instances, func(i *simInstance) bool {
			return !i.dead && i.identity.PeerAddress == old.identity.PeerAddress
		})
		if !old.dead || inUse || !s.chance(60, "restart") {
			continue
		}
		next := s.start(old.identity.PeerAddress)
		next.noPlatform = s.chance(60, "without the platform")
		if !next.noPlatform {
			return
		}
		if peer := s.pick("peer", s.running); peer != nil && peer != next {
			if table, age, ok := peer.holder.Vouch(s.now); ok {
				next.holder.Inherit(table, age, s.now)
				s.apply(next)
			}
		}
		return
	}
}

func (s *sim) edit() {
	c := *s.limits
	c.Version++
	rate := float64(rapid.IntRange(5, 60).Draw(s.t, "rate"))
	c.Accounts = []catalogue.Account{{Name: simAccount, Rate: rate, Burst: math.Ceil(rate / 2)}}
	c.Databases = []catalogue.Database{{Name: simDatabase, Connections: rapid.IntRange(1, 12).Draw(s.t, "connections")}}
	s.refill()
	s.limits = &c
	s.accepted[c.Version] = &c
}

package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/homing"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

const (
	// shareValid is how long a published share may be spent; it is published
	// anew long before.
	shareValid = 24 * time.Hour
	// homeBurst is the part of an account's burst that its home may spend; the
	// rest covers what instances spend that cannot reach the home.
	homeBurst = 0.5
	// windowMargin is the part of the counting window by which requests that
	// waited in queues may be counted late.
	windowMargin = 0.1
	// spareConnections is the part of each member's connections that is left to
	// instances that cannot reach the homes.
	spareConnections = 0.15
)

// shares divides rates and connections between the homes of the accounts and
// the instances that cannot reach them.
type shares struct {
	e *Engine
}

func (s *shares) init(e *Engine) {
	s.e = e
}

// publish gives session its shares.
func (s *shares) publish() {
	e := s.e
	share := session.ShareInForce{
		Grant:       1,
		Accounts:    map[core.AccountName]session.RateShare{},
		Connections: map[core.DatabaseName]int{},
		Rest:        map[core.DatabaseName]time.Duration{},
		Until:       e.now.Add(shareValid),
		Instances:   map[core.InstanceID]bool{},
	}
	for _, i := range e.instances {
		share.Instances[i.ID] = true
	}
	var homed []float64
	for i := range e.configuration.Accounts {
		a := &e.configuration.Accounts[i]
		share.Accounts[a.Name] = s.remoteShare(a)
		if e.homes.here(a.Name) {
			share.Accounts[a.Name] = session.RateShare{Rate: a.Rate, Burst: max(a.Burst*homeBurst, 1), Until: e.homes.leaseUntil}
			homed = append(homed, a.Rate)
		}
	}
	accounts := e.homingAccounts()
	divisions := map[int]homing.Division{}
	for _, g := range e.configuration.Groups {
		division, known := divisions[g.MemberConnections]
		if !known {
			limit := float64(g.MemberConnections) * (1 - spareConnections)
			division = homing.Divide(limit, accounts, len(e.configuration.Groups))
			divisions[g.MemberConnections] = division
		}
		share.Connections[g.Name] = division.Connections(homed) + e.openConnections(&g)
		if division.Shared {
			share.Rest[g.Name] = division.Rest
		}
	}
	e.out.Session(share)
}

// remoteShare is what an instance may spend of an account that is at home
// elsewhere. All instances together, with the home, stay within what the
// counting window tolerates.
func (s *shares) remoteShare(a *catalogue.Account) session.RateShare {
	e := s.e
	instances := float64(max(len(e.instances), 1))
	window := e.config.Limits.RateWindow.Seconds()
	tolerated := (a.Rate*window+a.Burst)*(1+e.config.Limits.RateOverage) + e.config.Limits.RateSlack
	home := a.Rate*window*(1+windowMargin) + a.Burst*homeBurst
	left := max(tolerated-home-instances, 0) / (1 + windowMargin)
	return session.RateShare{Rate: left / window / instances, Burst: 1}
}

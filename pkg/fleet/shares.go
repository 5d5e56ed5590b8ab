package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
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
		Until:       e.now.Add(shareValid),
		Instances:   map[core.InstanceID]bool{},
	}
	for _, i := range e.instances {
		share.Instances[i.ID] = true
	}
	sum := 0.0
	for _, a := range e.configuration.Accounts {
		sum += a.Rate
	}
	part := 0.0
	for i := range e.configuration.Accounts {
		a := &e.configuration.Accounts[i]
		share.Accounts[a.Name] = s.remoteShare(a)
		if e.homes.here(a.Name) {
			share.Accounts[a.Name] = session.RateShare{Rate: a.Rate, Burst: max(a.Burst*homeBurst, 1), Until: e.homes.leaseUntil}
			part += connectionWeight(a.Rate, sum, len(e.configuration.Accounts))
		}
	}
	for _, g := range e.configuration.Groups {
		homed := int(float64(g.MemberConnections) * (1 - spareConnections) * part)
		share.Connections[g.Name] = max(homed, 1)
	}
	e.out.Session(share)
}

// connectionWeight is the part of the connections for an account: half of them
// are divided evenly, half by the rates.
func connectionWeight(rate, sum float64, accounts int) float64 {
	even := 1 / float64(accounts)
	if sum <= 0 {
		return even
	}
	return (even + rate/sum) / 2
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

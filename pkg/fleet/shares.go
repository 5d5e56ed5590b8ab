package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/placement"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

const (
	// shareValidity is how long a published share may be used. A new one is
	// published long before it ends.
	shareValidity = 24 * time.Hour
	// homeBurstFraction is the fraction of an account's burst that its home may
	// use. The rest covers the requests admitted by instances that cannot reach the
	// home.
	homeBurstFraction = 0.5
	// windowMarginFraction is the fraction of the rate window by which requests may
	// be counted late after waiting in queues.
	windowMarginFraction = 0.1
	// spareConnectionFraction is the fraction of each member's connections that is
	// reserved for instances that cannot reach the homes.
	spareConnectionFraction = 0.15
)

// shares divides rates and connections between the homes of the accounts and the
// instances that cannot reach the homes.
type shares struct {
	e *Engine
}

func (s *shares) init(e *Engine) {
	s.e = e
}

// publish sends the session duty the shares of this instance.
func (s *shares) publish() {
	e := s.e
	share := session.ShareUpdate{
		Grant:        1,
		Accounts:     map[core.AccountName]session.RateShare{},
		Connections:  map[core.DatabaseName]int{},
		IdleTimeouts: map[core.DatabaseName]time.Duration{},
		ValidUntil:   e.now.Add(shareValidity),
		Instances:    map[core.InstanceID]bool{},
	}
	for _, i := range e.instances {
		share.Instances[i.ID] = true
	}
	var localRates []float64
	for i := range e.configuration.Accounts {
		a := &e.configuration.Accounts[i]
		share.Accounts[a.Name] = s.remoteShare(a)
		if e.homes.isLocal(a.Name) {
			share.Accounts[a.Name] = session.RateShare{Rate: a.Rate, Burst: max(a.Burst*homeBurstFraction, 1), ValidUntil: e.homes.leaseUntil}
			localRates = append(localRates, a.Rate)
		}
	}
	accounts := e.placementAccounts()
	splits := map[int]placement.ConnectionSplit{}
	for _, g := range e.configuration.Groups {
		split, known := splits[g.MemberConnections]
		if !known {
			limit := float64(g.MemberConnections) * (1 - spareConnectionFraction)
			split = placement.SplitConnections(limit, accounts, len(e.configuration.Groups))
			splits[g.MemberConnections] = split
		}
		share.Connections[g.Name] = split.Connections(localRates) + e.anonymousConnections(&g)
		if split.Oversubscribed {
			share.IdleTimeouts[g.Name] = split.IdleTimeout
		}
	}
	e.out.Session(share)
}

// remoteShare returns the rate that an instance may admit for an account whose home
// is elsewhere. The home and all other instances together stay within the tolerance
// of the rate window.
func (s *shares) remoteShare(a *catalogue.Account) session.RateShare {
	e := s.e
	instances := float64(max(len(e.instances), 1))
	window := e.config.Limits.RateWindow.Seconds()
	tolerated := (a.Rate*window+a.Burst)*(1+e.config.Limits.RateOverage) + e.config.Limits.RateSlack
	home := a.Rate*window*(1+windowMarginFraction) + a.Burst*homeBurstFraction
	remaining := max(tolerated-home-instances, 0) / (1 + windowMarginFraction)
	return session.RateShare{Rate: remaining / window / instances, Burst: 1}
}

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
	// advanceFraction is the fraction of the tolerance beyond the home's share that may
	// be used in advance when the home changes. The rest is for instances that cannot
	// reach the home.
	advanceFraction = 0.5
	// maxAdvance is the longest time, in seconds, for whose requests tokens are given in
	// advance; a silent home is noticed within half a second.
	maxAdvance = 0.5
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
		RateWindow:   e.config.Limits.RateWindow,
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
			share.Accounts[a.Name] = session.RateShare{
				Rate: a.Rate, Burst: max(a.Burst*homeBurstFraction, 1), AccountRate: a.Rate, Advance: s.advance(a), ValidUntil: e.homes.leaseUntil,
			}
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
// is elsewhere. The home, all other instances and one change of the home together stay
// within the tolerance of the rate window.
func (s *shares) remoteShare(a *catalogue.Account) session.RateShare {
	instances := float64(max(len(s.e.instances), 1))
	advance := s.advance(a)
	remaining := max(s.spareTokens(a)-handoverTokens(a, advance)-instances, 0) / (1 + windowMarginFraction)
	return session.RateShare{Rate: remaining / s.windowSeconds() / instances, Burst: 1, AccountRate: a.Rate, Advance: advance}
}

// advance returns the time, in seconds, for whose requests the instances may have tokens
// at once when the account's home changes.
func (s *shares) advance(a *catalogue.Account) float64 {
	if a.Rate <= 0 {
		return 0
	}
	return min(s.spareTokens(a)*advanceFraction/handoverTokens(a, 1), maxAdvance)
}

// handoverTokens returns the tokens that a change of the home adds: those of the new home
// and those of the instances that lost the old one, whose usage is at most the rate.
func handoverTokens(a *catalogue.Account, advance float64) float64 {
	return 2 * a.Rate * advance
}

// spareTokens returns the requests in a rate window that the tolerance leaves beyond the
// share of the account's home.
func (s *shares) spareTokens(a *catalogue.Account) float64 {
	limits := &s.e.config.Limits
	window := s.windowSeconds()
	tolerated := (a.Rate*window+a.Burst)*(1+limits.RateOverage) + limits.RateSlack
	home := a.Rate*window*(1+windowMarginFraction) + a.Burst*homeBurstFraction
	return max(tolerated-home, 0)
}

func (s *shares) windowSeconds() float64 { return s.e.config.Limits.RateWindow.Seconds() }

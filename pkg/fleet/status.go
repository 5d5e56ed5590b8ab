package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Inspect requests the engine's Status. The reply channel must have free space for
// one item, so that the engine does not block.
type Inspect struct {
	Reply chan<- Status
}

func (Inspect) fleetInput() {}

// Status is the state of the fleet as one instance sees it.
type Status struct {
	Node   string      `json:"node"`
	Domain core.Domain `json:"domain"`
	// State is the state of the life cycle chart.
	State string `json:"state"`
	// Version is that of the current configuration, 0 before the first.
	Version uint64 `json:"version"`
	// StoreLost is set while the store cannot be read.
	StoreLost bool `json:"store_lost"`
	// Feeder is the instance from which this one gets the store's changes, empty if
	// it reads the store itself. Feeding is set while other instances follow this
	// one.
	Feeder  session.PeerAddress `json:"feeder"`
	Feeding bool                `json:"feeding"`
	// FeedResponses counts the responses of this instance to its followers.
	FeedResponses FeedCounts `json:"feed_responses"`
	// LeaseSeconds is how long the registration is guaranteed to last, in seconds.
	LeaseSeconds float64          `json:"lease_seconds"`
	Instances    []InstanceStatus `json:"instances"`
	Groups       []GroupStatus    `json:"groups"`
	Homes        []HomeStatus     `json:"homes"`
	// Evacuations are the requests to evacuate failure domains that are in force.
	Evacuations []EvacuationStatus `json:"evacuations,omitempty"`
}

// InstanceStatus is the state of a registered instance.
type InstanceStatus struct {
	Node   string      `json:"node"`
	Domain core.Domain `json:"domain"`
	// Missing is set while the store, readable again after an outage, lacks the
	// registration.
	Missing bool `json:"missing,omitempty"`
}

// GroupStatus is the state of a database group.
type GroupStatus struct {
	Group core.DatabaseName `json:"group"`
	// Primary is empty while none is known.
	Primary core.MemberID `json:"primary"`
	// Succession is the state of the chart "succession", which replaces the
	// primary.
	Succession string         `json:"succession"`
	Members    []MemberStatus `json:"members"`
}

// MemberStatus is the state of a member as seen by this instance.
type MemberStatus struct {
	Member   core.MemberID `json:"member"`
	Domain   core.Domain   `json:"domain"`
	Role     core.Role     `json:"role"`
	Draining bool          `json:"draining,omitempty"`
	Dead     bool          `json:"dead,omitempty"`
	Missing  bool          `json:"missing,omitempty"`
	// Evacuated is set while the member's failure domain is evacuated, Usable while the
	// member gets new work.
	Evacuated bool `json:"evacuated,omitempty"`
	Usable    bool `json:"usable"`
}

// HomeStatus is the home of an account.
type HomeStatus struct {
	Account core.AccountName `json:"account"`
	// Home is the node of the holder, empty if there is none.
	Home string `json:"home"`
	// Gone is set when the holder was found dead or unreachable.
	Gone bool `json:"gone,omitempty"`
}

// inspect returns a copy of the engine's state.
func (e *Engine) inspect() Status {
	s := Status{
		Node: e.config.Self.Node, Domain: e.config.Self.Domain, State: e.lifecycle.StateName(e.state), StoreLost: e.storeLost,
		Feeder: e.sourceSelector.current.Feeder, Feeding: e.sourceSelector.current.Feeding, FeedResponses: e.feed.responses,
		LeaseSeconds: max(e.homes.leaseUntil.Sub(e.now), 0).Round(time.Millisecond).Seconds(),
		Evacuations:  e.evacuationStatus(),
	}
	for _, node := range e.currentTopology().nodes {
		i := e.instances[node]
		s.Instances = append(s.Instances, InstanceStatus{Node: node, Domain: i.Domain, Missing: i.missing})
	}
	if e.configuration == nil {
		return s
	}
	s.Version = e.configuration.Version
	for _, g := range e.configuration.Groups {
		s.Groups = append(s.Groups, e.groupStatus(g.Name))
	}
	for _, a := range e.configuration.Accounts {
		s.Homes = append(s.Homes, e.homes.status(a.Name))
	}
	return s
}

func (e *Engine) groupStatus(name core.DatabaseName) GroupStatus {
	g := GroupStatus{Group: name, Succession: e.primaryChangeTable.StateName(e.primaryChangeOf(name).state)}
	if primary, _ := e.primaryAndCandidates(name); primary != nil {
		g.Primary = primary.Member
	}
	for _, m := range e.groups[name] {
		g.Members = append(g.Members, MemberStatus{
			Member: m.Member, Domain: m.Domain, Role: m.Role, Draining: m.Draining, Dead: m.dead, Missing: m.missing,
			Evacuated: e.evacuated(m), Usable: e.usable(m),
		})
	}
	return g
}

func (h *homes) status(account core.AccountName) HomeStatus {
	status := HomeStatus{Account: account}
	if s := h.records[account]; s != nil && s.record != nil {
		status.Home, status.Gone = s.record.Node, h.replaceable(s)
	}
	return status
}

package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Inspect asks for a copy of what the engine believes. The reply channel has
// room for one item.
type Inspect struct {
	Reply chan<- Status
}

func (Inspect) fleetInput() {}

// Status is what an instance believes of the fleet.
type Status struct {
	Node   string      `json:"node"`
	Domain core.Domain `json:"domain"`
	// State is that of the life cycle.
	State string `json:"state"`
	// Version is that of the configuration in force, 0 before the first.
	Version uint64 `json:"version"`
	// StoreLost is set while the store cannot be read.
	StoreLost bool `json:"store_lost"`
	// Feeder is the instance that passes the store's news on to this one, empty if
	// it reads the store; Feeding is set while others follow it.
	Feeder  session.PeerAddress `json:"feeder"`
	Feeding bool                `json:"feeding"`
	// LeaseSeconds is how long the registration certainly lasts.
	LeaseSeconds float64          `json:"lease_seconds"`
	Instances    []InstanceStatus `json:"instances"`
	Groups       []GroupStatus    `json:"groups"`
	Homes        []HomeStatus     `json:"homes"`
}

// InstanceStatus is a registered instance.
type InstanceStatus struct {
	Node   string      `json:"node"`
	Domain core.Domain `json:"domain"`
	// Missing is set while the store, back after an outage, lacks the entry.
	Missing bool `json:"missing,omitempty"`
}

// GroupStatus is a database group.
type GroupStatus struct {
	Group core.DatabaseName `json:"group"`
	// Primary is empty while none is known.
	Primary core.MemberID `json:"primary"`
	// Succession is the state of the change of primary.
	Succession string         `json:"succession"`
	Members    []MemberStatus `json:"members"`
}

// MemberStatus is a member of a group.
type MemberStatus struct {
	Member   core.MemberID `json:"member"`
	Domain   core.Domain   `json:"domain"`
	Role     core.Role     `json:"role"`
	Draining bool          `json:"draining,omitempty"`
	Dead     bool          `json:"dead,omitempty"`
	Missing  bool          `json:"missing,omitempty"`
}

// HomeStatus is the home of an account.
type HomeStatus struct {
	Account core.AccountName `json:"account"`
	// Home is the node of the holder, empty if there is none.
	Home string `json:"home"`
	// Gone is set when the holder has ended or is not heard by any instance.
	Gone bool `json:"gone,omitempty"`
}

func (e *Engine) inspect() Status {
	s := Status{
		Node: e.config.Self.Node, Domain: e.config.Self.Domain, State: e.life.StateName(e.state), StoreLost: e.storeLost,
		Feeder: e.news.assigned.Feeder, Feeding: e.news.assigned.Feeding,
		LeaseSeconds: max(e.homes.leaseUntil.Sub(e.now), 0).Round(time.Millisecond).Seconds(),
	}
	for _, node := range e.names().nodes {
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
	g := GroupStatus{Group: name, Succession: e.succession.StateName(e.successionOf(name).state)}
	if primary, _ := e.leadersOf(name); primary != nil {
		g.Primary = primary.Member
	}
	for _, m := range e.groups[name] {
		g.Members = append(g.Members, MemberStatus{
			Member: m.Member, Domain: m.Domain, Role: m.Role, Draining: m.Draining, Dead: m.dead, Missing: m.missing,
		})
	}
	return g
}

func (h *homes) status(account core.AccountName) HomeStatus {
	status := HomeStatus{Account: account}
	if s := h.records[account]; s != nil && s.record != nil {
		status.Home, status.Gone = s.record.Node, h.isGone(s)
	}
	return status
}

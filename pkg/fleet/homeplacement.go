package fleet

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/placement"
)

// claimOrder determines which instance claims which account first.
type claimOrder struct {
	nodes    []placement.Node
	assigned map[core.AccountName]string
}

// claimOrder returns the order for the registered instances.
func (e *Engine) claimOrder() claimOrder {
	nodes := e.placementNodes()
	return claimOrder{nodes: nodes, assigned: placement.Assign(e.accountsToPlace(), nodes)}
}

// rank returns the place of a node in the order of an account: 0 for the assigned
// node, at most maxClaimRank for others.
func (o claimOrder) rank(account core.AccountName, node string) int {
	if o.assigned[account] == node {
		return 0
	}
	return min(slices.Index(placement.Rank(string(account), o.nodes), node)+1, maxClaimRank)
}

// placementNodes returns the registered instances as input for package placement.
func (e *Engine) placementNodes() []placement.Node {
	nodes := slices.Clone(e.currentTopology().candidates)
	gone := e.homes.goneNodes()
	for i := range nodes {
		nodes[i].Gone = gone[nodes[i].Name]
	}
	return nodes
}

// goneNodes returns the registered nodes that were found dead or unreachable as homes.
func (h *homes) goneNodes() map[string]bool {
	gone := map[string]bool{}
	for _, s := range h.records {
		if s.record != nil && h.replaceable(s) && h.holder(s.record) != nil {
			gone[s.record.Node] = true
		}
	}
	return gone
}

// accountsToPlace returns the configured accounts with the homes that they keep: those whose
// holder is registered and was not found dead or unreachable.
func (e *Engine) accountsToPlace() []placement.Account {
	list := e.placementAccounts()
	for i := range list {
		s := e.homes.records[list[i].Name]
		if s != nil && s.record != nil && !e.homes.replaceable(s) && e.homes.holder(s.record) != nil {
			list[i].Home = s.record.Node
		}
	}
	return list
}

// placementAccounts returns the configured accounts as input for package placement.
func (e *Engine) placementAccounts() []placement.Account {
	list := make([]placement.Account, len(e.configuration.Accounts))
	for i, a := range e.configuration.Accounts {
		list[i] = placement.Account{Name: a.Name, Rate: a.Rate}
	}
	return list
}

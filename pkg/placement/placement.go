// Package placement assigns client accounts to instances. The instance to which an
// account is assigned is its home: as long as it can be reached, it admits the
// account's requests and holds its connections to targets.
//
// Where all instances have the same capacity, accounts are assigned by rendezvous
// hashing with a limit on the accounts per instance. A change of the fleet moves few
// accounts, and no instance gets two large accounts while others have none. Where the
// capacities differ, the hashing is weighted by capacity and the limits are those of
// type assignment.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Account is a client account with its rate.
type Account struct {
	Name core.AccountName
	// Rate is in requests per second.
	Rate float64
	// Home is the node that is the account's home, empty if the account needs one.
	Home string
}

// Assign returns the home of each account among the nodes, nil if there are none.
// Accounts with a higher rate are assigned first. Where all nodes have the same
// capacity, no node gets more than an equal share of the accounts, rounded up, and the
// present homes are not considered. Otherwise accounts keep their present home.
func Assign(accounts []Account, nodes []Node) map[core.AccountName]string {
	if len(nodes) == 0 {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(accounts), func(a, b Account) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	f := newNodeSet(nodes)
	if f.uniform {
		return assignUniform(sorted, f.names())
	}
	return assignWeighted(sorted, f.withoutGone())
}

// assignUniform assigns accounts to nodes of the same capacity.
func assignUniform(sorted []Account, nodes []string) map[core.AccountName]string {
	maxPerNode := (len(sorted) + len(nodes) - 1) / len(nodes)
	assigned := make(map[string]int, len(nodes))
	homes := make(map[core.AccountName]string, len(sorted))
	for _, a := range sorted {
		for _, node := range RankNodes(string(a.Name), nodes) {
			if assigned[node] < maxPerNode {
				assigned[node]++
				homes[a.Name] = node
				break
			}
		}
	}
	return homes
}

// Owner returns the node with the highest score for the name. nodes must not be
// empty. A change of the nodes moves only the names of removed nodes, and those that
// an added node now owns.
func Owner(name string, nodes []string) string {
	best, highest := nodes[0], uint64(0)
	for _, node := range nodes {
		if score := scoreOf(name, node); score > highest {
			best, highest = node, score
		}
	}
	return best
}

// scoreOf returns the rendezvous hash of a name and a node.
func scoreOf(name, node string) uint64 {
	return xxhash.Sum64String(name + "/" + node)
}

// RankNodes returns the nodes by descending score for the name.
func RankNodes(name string, nodes []string) []string {
	type scored struct {
		node  string
		score uint64
	}
	list := make([]scored, len(nodes))
	for i, node := range nodes {
		list[i] = scored{node, scoreOf(name, node)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	ranked := make([]string, len(list))
	for i, s := range list {
		ranked[i] = s.node
	}
	return ranked
}

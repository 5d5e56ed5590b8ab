// Package homing says which instance is to be the home of a client account: the
// one instance that admits the account's requests and holds its connections to
// targets while it can be reached.
//
// Accounts are spread by rendezvous hashing with a bound on the accounts of one
// instance, so that a change of the fleet moves few of them and no instance gets
// two large ones while others have none.
package homing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Account is a client account with its size.
type Account struct {
	Name core.AccountName
	// Rate is in requests per second.
	Rate float64
}

// Assign returns the home of each account among the named nodes. Larger
// accounts choose first; no node gets more than its even part, rounded up.
func Assign(accounts []Account, nodes []string) map[core.AccountName]string {
	if len(nodes) == 0 {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(accounts), func(a, b Account) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	bound := (len(accounts) + len(nodes) - 1) / len(nodes)
	taken := make(map[string]int, len(nodes))
	homes := make(map[core.AccountName]string, len(accounts))
	for _, a := range sorted {
		for _, node := range Order(string(a.Name), nodes) {
			if taken[node] < bound {
				taken[node]++
				homes[a.Name] = node
				break
			}
		}
	}
	return homes
}

// First returns the node that is to take the named work; nodes must not be
// empty. A change of the nodes moves the work of those that left only.
func First(name string, nodes []string) string {
	best, most := nodes[0], uint64(0)
	for _, node := range nodes {
		if score := scoreOf(name, node); score > most {
			best, most = node, score
		}
	}
	return best
}

func scoreOf(name, node string) uint64 {
	return xxhash.Sum64String(name + "/" + node)
}

// Order returns the nodes in the order in which they are to take the named work.
func Order(name string, nodes []string) []string {
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
	order := make([]string, len(list))
	for i, s := range list {
		order[i] = s.node
	}
	return order
}

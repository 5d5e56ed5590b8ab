package placement

import (
	"math"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

const (
	// loadTolerance is the factor by which a node's part of all rates may exceed its part
	// of all capacity.
	loadTolerance = 1.25
	// maxNodeFraction is the part of all rates, and of the accounts, that several accounts
	// of one node may have together, so that the loss of the largest node interrupts no
	// more. Where there are few nodes it is smallFleetFactor divided by their number.
	maxNodeFraction  = 0.125
	smallFleetFactor = 1.5
	// limitsFactor limits the load of an account that has no room on any node: the limits on
	// accounts and failure domains are kept only on a node whose load relative to its
	// capacity is at most limitsFactor times the lowest possible one. A large account on a
	// small node would do more harm than the loss of one node with many accounts.
	limitsFactor = 3
	// domainFactor divided by the number of failure domains is the part of all rates whose
	// homes may be in one failure domain.
	domainFactor = 1.5
)

// nodeLoad is what a node holds, and its limits.
type nodeLoad struct {
	node     *Node
	rate     float64
	accounts int
	// maxRate and maxAccounts limit rate and accounts. An account beyond maxRate is
	// assigned to a node only if no node has room for it.
	maxRate     float64
	maxAccounts int
}

// assignment assigns accounts to nodes of different capacity. The limits are: a node's part
// of all rates, and of the number of accounts, rounded up, exceeds its part of all capacity
// by at most loadTolerance and is at most maxNodeFraction, and a failure domain's part of
// all rates is at most domainFactor divided by the number of failure domains. An
// account that fits nowhere goes where it makes the smallest load relative to the capacity.
// The limits on accounts and on failure domains are then kept as far as limitsFactor allows.
type assignment struct {
	nodes       nodeSet
	loads       []nodeLoad
	domainRates map[core.Domain]float64
	// maxDomainRate limits the values of domainRates.
	maxDomainRate float64
}

// assignWeighted assigns accounts, sorted by descending rate. New homes are on the large
// nodes if there are enough of them: every instance exchanges probes with each home that
// its callers use, so fewer homes take less of the small instances' processor time.
func assignWeighted(sorted []Account, all nodeSet) map[core.AccountName]string {
	f := all.large()
	a := newAssignment(sorted, f)
	homes := make(map[core.AccountName]string, len(sorted))
	index := make(map[string]int, len(f.nodes))
	for i := range f.nodes {
		index[f.nodes[i].Name] = i
	}
	for _, account := range sorted {
		if i, known := index[account.Home]; known {
			a.add(i, account.Rate)
		}
		if all.has(account.Home) {
			homes[account.Name] = account.Home
		}
	}
	for _, account := range sorted {
		if _, has := homes[account.Name]; has {
			continue
		}
		i := a.choose(account)
		a.add(i, account.Rate)
		homes[account.Name] = f.nodes[i].Name
	}
	return homes
}

func newAssignment(accounts []Account, f nodeSet) *assignment {
	total := 0.0
	for _, account := range accounts {
		total += account.Rate
	}
	nodeCount := float64(len(f.nodes))
	maxFraction := max(maxNodeFraction, smallFleetFactor/nodeCount)
	a := &assignment{
		nodes: f, loads: make([]nodeLoad, len(f.nodes)), domainRates: map[core.Domain]float64{},
		maxDomainRate: total * min(domainFactor/float64(f.domains), 1),
	}
	if f.domains == 1 {
		a.maxDomainRate = math.Inf(1)
	}
	for i := range f.nodes {
		part := min(f.nodes[i].Capacity/f.total*loadTolerance, maxFraction)
		a.loads[i] = nodeLoad{
			node: &f.nodes[i], maxRate: total * part, maxAccounts: int(math.Ceil(float64(len(accounts)) * part)),
		}
	}
	return a
}

func (a *assignment) add(i int, rate float64) {
	l := &a.loads[i]
	l.rate += rate
	l.accounts++
	a.domainRates[l.node.Domain] += rate
}

// choose returns the index of the node for an account: the first in the account's order
// with room for it, or else the one on which it makes the smallest relative load.
func (a *assignment) choose(account Account) int {
	order := a.nodes.rank(string(account.Name))
	for _, i := range order {
		if a.loads[i].hasRoom(account.Rate) && a.domainHasRoom(i, account.Rate) {
			return i
		}
	}
	best, least := a.leastLoaded(order, account.Rate, func(int) bool { return true })
	for _, admissible := range []func(int) bool{
		func(i int) bool { return a.loads[i].acceptsAccount() && a.domainHasRoom(i, account.Rate) },
		func(i int) bool { return a.loads[i].acceptsAccount() },
	} {
		if i, load := a.leastLoaded(order, account.Rate, admissible); load <= least*limitsFactor {
			return i
		}
	}
	return best
}

// leastLoaded returns the admissible node with the smallest load relative to its capacity
// after it gets the rate, the first in the order among equals, and that load; it is
// infinite if no node is admissible.
func (a *assignment) leastLoaded(order []int, rate float64, admissible func(int) bool) (int, float64) {
	best, least := order[0], math.Inf(1)
	for _, i := range order {
		if load := (a.loads[i].rate + rate) / a.loads[i].node.Capacity; load < least && admissible(i) {
			best, least = i, load
		}
	}
	return best, least
}

func (l *nodeLoad) acceptsAccount() bool { return l.accounts < l.maxAccounts }

func (l *nodeLoad) hasRoom(rate float64) bool { return l.acceptsAccount() && l.rate+rate <= l.maxRate }

func (a *assignment) domainHasRoom(i int, rate float64) bool {
	return a.domainRates[a.loads[i].node.Domain]+rate <= a.maxDomainRate
}

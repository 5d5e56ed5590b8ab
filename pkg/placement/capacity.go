package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Node is an instance that can be a home.
type Node struct {
	Name   string
	Domain core.Domain
	// Capacity is what the node can handle relative to others. A node whose capacity is
	// not known, 0, counts as the mean of the others.
	Capacity float64
	// Gone is set if the node was found dead or unreachable. Assign does not use it, except
	// where all nodes have the same capacity.
	Gone bool
}

const (
	// mbitPerCapacity is the bandwidth, in Mbit/s, that a unit of capacity (one core at
	// speed 1) may need: a home receives the rows of a statement from the member and sends
	// them on to the caller's instance.
	mbitPerCapacity = 50
	// reservedMegabytes is the memory of a process without work, megabytesPerCapacity the
	// memory for the statements and rows that a unit of capacity handles at a time.
	reservedMegabytes    = 64
	megabytesPerCapacity = 256
	// minCapacityFraction is the fraction of the processor capacity that is kept however
	// little memory or bandwidth there is.
	minCapacityFraction = 0.1
	// equalCapacityTolerance is the relative difference up to which capacities are equal.
	// The mean of equal numbers may differ from them by rounding.
	equalCapacityTolerance = 1e-9
	// minLargeNodes and minLargeDomains are the number of large nodes, and of their failure
	// domains, from which homes are placed on large nodes only. With fewer, the loss of one
	// would interrupt too many accounts.
	minLargeNodes   = 3
	minLargeDomains = 2
	// preferredFraction is the fraction of the largest capacity from which a node counts
	// as one of the large ones.
	preferredFraction = 0.5
)

// CapacityOf returns the capacity of a node with the given processor share (fraction of a
// core times its speed), bandwidth in Mbit/s and memory in bytes. Bandwidth and memory
// only reduce it. It returns 0 if the processor share is not known.
func CapacityOf(processor, linkMbps float64, memoryBytes int64) float64 {
	if processor <= 0 {
		return 0
	}
	capacity := processor
	if linkMbps > 0 {
		capacity = min(capacity, linkMbps/mbitPerCapacity)
	}
	if memoryBytes > 0 {
		megabytes := float64(memoryBytes) / (1 << 20)
		capacity = min(capacity, (megabytes-reservedMegabytes)/megabytesPerCapacity)
	}
	return max(capacity, processor*minCapacityFraction)
}

// nodeSet holds the nodes by name, all with a capacity.
type nodeSet struct {
	nodes []Node
	// total is the sum of the capacities.
	total float64
	// uniform is set if all capacities are equal.
	uniform bool
	// domains is the number of failure domains.
	domains int
}

// newNodeSet sorts the nodes, so that sums do not depend on their order, and gives those
// without a capacity the mean of the others.
func newNodeSet(nodes []Node) nodeSet {
	f := nodeSet{nodes: slices.SortedFunc(slices.Values(nodes), func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })}
	known, sum := 0, 0.0
	domains := map[core.Domain]bool{}
	for i := range f.nodes {
		n := &f.nodes[i]
		domains[n.Domain] = true
		if !(n.Capacity > 0) || math.IsInf(n.Capacity, 0) {
			n.Capacity = 0
			continue
		}
		known++
		sum += n.Capacity
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	least, most := math.Inf(1), 0.0
	for i := range f.nodes {
		n := &f.nodes[i]
		if n.Capacity == 0 {
			n.Capacity = mean
		}
		least, most = min(least, n.Capacity), max(most, n.Capacity)
		f.total += n.Capacity
	}
	f.domains = len(domains)
	f.uniform = most-least <= most*equalCapacityTolerance
	return f
}

// withoutGone returns the nodes that are not gone, or all if none is left.
func (f *nodeSet) withoutGone() nodeSet {
	present := slices.DeleteFunc(slices.Clone(f.nodes), func(n Node) bool { return n.Gone })
	if len(present) == 0 {
		return *f
	}
	return newNodeSet(present)
}

// large returns the nodes with at least preferredFraction of the largest capacity, or all
// nodes if these are fewer than minLargeNodes or in fewer failure domains than
// minLargeDomains.
func (f *nodeSet) large() nodeSet {
	most := f.largestCapacity()
	domains := map[core.Domain]bool{}
	var large []Node
	for _, n := range f.nodes {
		if n.Capacity >= most*preferredFraction {
			large = append(large, n)
			domains[n.Domain] = true
		}
	}
	if len(large) < minLargeNodes || len(domains) < min(minLargeDomains, f.domains) {
		return *f
	}
	return newNodeSet(large)
}

func (f *nodeSet) largestCapacity() float64 {
	most := 0.0
	for i := range f.nodes {
		most = max(most, f.nodes[i].Capacity)
	}
	return most
}

func (f *nodeSet) has(name string) bool {
	return slices.ContainsFunc(f.nodes, func(n Node) bool { return n.Name == name })
}

func (f *nodeSet) names() []string {
	names := make([]string, len(f.nodes))
	for i := range f.nodes {
		names[i] = f.nodes[i].Name
	}
	return names
}

// rank returns the indexes of the nodes by descending weighted score for the name: a node
// with twice the capacity is first for twice as many names. A change of the nodes or of a
// capacity moves only the names that the changed nodes lose or gain.
func (f *nodeSet) rank(name string) []int {
	scores := make([]float64, len(f.nodes))
	order := make([]int, len(f.nodes))
	for i := range f.nodes {
		scores[i] = weightedScore(name, &f.nodes[i])
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return order
}

// weightedScore returns -capacity/ln(u) for the rendezvous hash u between 0 and 1.
func weightedScore(name string, n *Node) float64 {
	const mantissaBits = 53
	u := (float64(scoreOf(name, n.Name)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -n.Capacity / math.Log(u)
}

// Rank returns the names of the nodes in the order in which they should be the home of
// the named account, if the limits of Assign are left out.
func Rank(name string, nodes []Node) []string {
	f := newNodeSet(nodes)
	if f.uniform {
		return RankNodes(name, f.names())
	}
	ranked := make([]string, len(f.nodes))
	for place, i := range f.rank(name) {
		ranked[place] = f.nodes[i].Name
	}
	return ranked
}

// Prefer returns the names of the nodes in the order in which they should take a duty of
// the whole fleet under the given name: first those with at least preferredFraction of the
// largest capacity, then the others.
func Prefer(name string, nodes []Node) []string {
	f := newNodeSet(nodes)
	if f.uniform {
		return RankNodes(name, f.names())
	}
	most := f.largestCapacity()
	var large, others []string
	for _, i := range f.rank(name) {
		n := &f.nodes[i]
		if n.Capacity >= most*preferredFraction {
			large = append(large, n.Name)
			continue
		}
		others = append(others, n.Name)
	}
	return append(large, others...)
}

package fleet

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/placement"
)

// topology is derived from the registered instances alone. It is cached until the
// instances change, because it is needed for every change of the store.
type topology struct {
	valid bool
	// nodes are all registered nodes and localNodes those of this failure domain,
	// both sorted. domainCount is the number of failure domains.
	nodes       []string
	localNodes  []string
	domainCount int
	// candidates and localCandidates are the same nodes with their capacities.
	candidates      []placement.Node
	localCandidates []placement.Node
	// feeders are the nodes that serve the store's changes to this failure domain,
	// none if the domain is small.
	feeders []string
	// owners caches the results of ownerOf.
	owners map[string]string
}

// invalidate discards the cached values after a change of the instances.
func (t *topology) invalidate() { t.valid = false }

// currentTopology returns the topology, computing it if necessary. Callers must not
// modify its slices.
func (e *Engine) currentTopology() *topology {
	t := &e.topology
	if t.valid {
		return t
	}
	*t = topology{valid: true, owners: map[string]string{}}
	domains := map[core.Domain]bool{}
	for node, i := range e.instances {
		domains[i.Domain] = true
		t.nodes = append(t.nodes, node)
		if i.Domain == e.config.Self.Domain {
			t.localNodes = append(t.localNodes, node)
		}
	}
	slices.Sort(t.nodes)
	slices.Sort(t.localNodes)
	t.domainCount = len(domains)
	t.candidates, t.localCandidates = e.candidates(t.nodes), e.candidates(t.localNodes)
	t.feeders = placement.Prefer(feederRankKey, t.localCandidates)[:feederCount(len(t.localNodes))]
	return t
}

// candidates returns the named nodes with their capacities.
func (e *Engine) candidates(nodes []string) []placement.Node {
	list := make([]placement.Node, len(nodes))
	for i, node := range nodes {
		registered := e.instances[node]
		list[i] = placement.Node{Name: node, Domain: registered.Domain, Capacity: registered.Capacity}
	}
	return list
}

// instancesOfOtherDomains returns the instances of other failure domains, sorted by node
// name.
func (e *Engine) instancesOfOtherDomains() []Instance {
	var list []Instance
	for _, node := range e.currentTopology().nodes {
		if i := e.instances[node]; i.Domain != e.config.Self.Domain {
			list = append(list, i.Instance)
		}
	}
	return list
}

// otherInstances returns the instances of other failure domains, or all other instances
// if there is one domain only.
func (e *Engine) otherInstances() []Instance {
	if list := e.instancesOfOtherDomains(); len(list) > 0 {
		return list
	}
	var list []Instance
	for _, node := range e.currentTopology().nodes {
		if node != e.config.Self.Node {
			list = append(list, e.instances[node].Instance)
		}
	}
	return list
}

// ownerOf returns the node of this failure domain that is responsible for a name, one of
// the large ones, and false if the domain has no registered node.
func (t *topology) ownerOf(name string) (string, bool) {
	if len(t.localNodes) == 0 {
		return "", false
	}
	node, known := t.owners[name]
	if !known {
		node = placement.Prefer(name, t.localCandidates)[0]
		t.owners[name] = node
	}
	return node, true
}

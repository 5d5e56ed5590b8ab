package fleet

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/homing"
)

// roster is what follows from the registered instances alone. It is worked out
// once after each change of them: decisions ask for it with each change of the
// store.
type roster struct {
	valid bool
	// nodes are all registered nodes in order, domain those of this failure
	// domain, and domains is the number of failure domains.
	nodes   []string
	domain  []string
	domains int
	// feeders are the nodes that feed this failure domain, none if it is small.
	feeders []string
	// first holds the node of this failure domain that is to take a name's work.
	first map[string]string
}

func (r *roster) reset() { r.valid = false }

// names returns the present roster. Its slices must not be changed.
func (e *Engine) names() *roster {
	r := &e.roster
	if r.valid {
		return r
	}
	*r = roster{valid: true, first: map[string]string{}}
	domains := map[core.Domain]bool{}
	for node, i := range e.instances {
		domains[i.Domain] = true
		r.nodes = append(r.nodes, node)
		if i.Domain == e.config.Self.Domain {
			r.domain = append(r.domain, node)
		}
	}
	slices.Sort(r.nodes)
	slices.Sort(r.domain)
	r.domains = len(domains)
	r.feeders = chooseFeeders(r.domain)
	return r
}

// firstFor returns the node of this failure domain that is to take the named
// work, and false while none is registered.
func (r *roster) firstFor(name string) (string, bool) {
	if len(r.domain) == 0 {
		return "", false
	}
	node, known := r.first[name]
	if !known {
		node = homing.First(name, r.domain)
		r.first[name] = node
	}
	return node, true
}

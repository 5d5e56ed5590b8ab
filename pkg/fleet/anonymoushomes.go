package fleet

import (
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Callers of open entries may connect without a key. These anonymous callers have
// no account, no rate limit and no home. If a member of a group does not accept
// enough connections for one per instance and account, one instance per failure
// domain executes the requests of anonymous callers of that group. No record in
// the store is needed: all instances of the domain select the same instance, and
// two at a time for a while do no harm.

// isConnectionConstrained reports whether the members of the group accept fewer
// connections, not counting the spare ones, than there are accounts and instances.
func (e *Engine) isConnectionConstrained(g *Group) bool {
	limit := float64(g.MemberConnections) * (1 - spareConnectionFraction)
	return float64(len(e.configuration.Accounts)+len(e.instances)) > limit
}

// anonymousHome returns the node that serves anonymous callers of the group, and
// false if every instance serves its own.
func (e *Engine) anonymousHome(g *Group) (string, bool) {
	if !e.isConnectionConstrained(g) {
		return "", false
	}
	return e.currentTopology().ownerOf(string(g.Name))
}

// anonymousHomes returns the homes of anonymous callers by group, for the
// connection-constrained groups.
func (e *Engine) anonymousHomes() map[core.DatabaseName]session.Home {
	if e.configuration == nil {
		return nil
	}
	homes := map[core.DatabaseName]session.Home{}
	for i := range e.configuration.Groups {
		g := &e.configuration.Groups[i]
		node, designated := e.anonymousHome(g)
		switch {
		case !designated:
		case node == e.config.Self.Node:
			homes[g.Name] = session.Home{Local: true}
		default:
			homes[g.Name] = session.Home{Address: session.PeerAddress(e.instances[node].Peer)}
		}
	}
	return homes
}

// anonymousConnections returns the additional connections that the home of
// anonymous callers may use: its failure domain's share of the spare connections,
// at least one. It returns 0 on other instances.
func (e *Engine) anonymousConnections(g *Group) int {
	if node, designated := e.anonymousHome(g); !designated || node != e.config.Self.Node {
		return 0
	}
	return max(int(float64(g.MemberConnections)*spareConnectionFraction)/e.currentTopology().domainCount, 1)
}

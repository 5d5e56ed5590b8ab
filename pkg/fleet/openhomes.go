package fleet

import (
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Callers of open entries may come without a key and then have no account, no
// rate and no home. Where every instance and every account cannot have a
// connection to a member, one instance of each failure domain runs their
// requests before a database. It needs no record in the store: all instances of
// the domain choose the same one, and a second one for a while does no harm.

// isCrowded reports a group whose members take fewer connections than there are
// accounts and instances.
func (e *Engine) isCrowded(g *Group) bool {
	limit := float64(g.MemberConnections) * (1 - spareConnections)
	return float64(len(e.configuration.Accounts)+len(e.instances)) > limit
}

// openHome returns the node that serves callers without an account before the
// group, and false if every instance does.
func (e *Engine) openHome(g *Group) (string, bool) {
	if !e.isCrowded(g) {
		return "", false
	}
	return e.names().firstFor(string(g.Name))
}

// openHomes returns where callers without an account are served before each
// crowded group.
func (e *Engine) openHomes() map[core.DatabaseName]session.Home {
	if e.configuration == nil {
		return nil
	}
	homes := map[core.DatabaseName]session.Home{}
	for i := range e.configuration.Groups {
		g := &e.configuration.Groups[i]
		node, gathered := e.openHome(g)
		switch {
		case !gathered:
		case node == e.config.Self.Node:
			homes[g.Name] = session.Home{Here: true}
		default:
			homes[g.Name] = session.Home{Address: session.PeerAddress(e.instances[node].Peer)}
		}
	}
	return homes
}

// openConnections is what the home of callers without an account may use
// besides: its failure domain's part of the spare connections.
func (e *Engine) openConnections(g *Group) int {
	if node, gathered := e.openHome(g); !gathered || node != e.config.Self.Node {
		return 0
	}
	return max(int(float64(g.MemberConnections)*spareConnections)/e.names().domains, 1)
}

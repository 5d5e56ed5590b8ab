package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

func (h *harness) homesInForce() session.HomesInForce {
	for i := len(h.sessions) - 1; i >= 0; i-- {
		if in, ok := h.sessions[i].(session.HomesInForce); ok {
			return in
		}
	}
	require.Fail(h.t, "no homes were published")
	return session.HomesInForce{}
}

// Guards against a fleet whose instances each keep connections for callers
// without an account: 143 instances before members that take 67 connections
// opened 566 of 829 connections to one primary for them.
func TestCallersWithoutAccountAreGathered(t *testing.T) {
	h := newHarness(t)
	require.Empty(t, h.homesInForce().Open, "three instances find room")
	var more []Change
	for i := range 40 {
		name := fmt.Sprintf("n%d", i)
		more = append(more, Change{Instance: &Instance{Node: name, ID: "run", Domain: "", Peer: name + ":1"}})
		more = append(more, Change{Instance: &Instance{Node: "far" + name, ID: "run", Domain: "far", Peer: "far" + name + ":1"}})
	}
	h.do(StoreChanged{Changes: more})
	home := h.homesInForce().Open["g"]
	require.NotContains(t, string(home.Address), "far", "the instance is in the same failure domain")
	node := h.nodeAt(home)
	h.do(StoreChanged{Changes: []Change{{GoneInstance: node}}})
	h.wait(h.e.config.Bounds.ReturnWait * 2)
	h.do(StoreChanged{Changes: []Change{{GoneInstance: node}}})
	require.NotEqual(t, home, h.homesInForce().Open["g"], "another one follows")
}

func (h *harness) nodeAt(home session.Home) string {
	if home.Here {
		return h.e.config.Self.Node
	}
	for node, i := range h.e.instances {
		if i.Peer == string(home.Address) {
			return node
		}
	}
	require.Fail(h.t, "no such instance")
	return ""
}

package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

func (h *harness) currentHomes() session.HomesUpdate {
	for i := len(h.sessionInputs) - 1; i >= 0; i-- {
		if in, ok := h.sessionInputs[i].(session.HomesUpdate); ok {
			return in
		}
	}
	require.Fail(h.t, "no homes were published")
	return session.HomesUpdate{}
}

// Guards against a fleet in which each instance keeps its own connections for
// anonymous callers: 143 instances with members that accept 67 connections opened
// 566 of 829 connections to one primary for them.
func TestCallersWithoutAccountAreGathered(t *testing.T) {
	h := newHarness(t)
	require.Empty(t, h.currentHomes().Anonymous, "three instances have enough connections")
	var more []Change
	for i := range 40 {
		name := fmt.Sprintf("n%d", i)
		more = append(more, Change{Instance: &Instance{Node: name, ID: "run", Domain: "", Peer: name + ":1"}})
		more = append(more, Change{Instance: &Instance{Node: "far" + name, ID: "run", Domain: "far", Peer: "far" + name + ":1"}})
	}
	h.handle(StoreChanges{Changes: more})
	home := h.currentHomes().Anonymous["g"]
	require.NotContains(t, string(home.Address), "far", "the instance is in the same failure domain")
	node := h.nodeAt(home)
	h.handle(StoreChanges{Changes: []Change{{RemovedInstance: node}}})
	h.advance(h.e.config.Bounds.ReregistrationGrace * 2)
	h.handle(StoreChanges{Changes: []Change{{RemovedInstance: node}}})
	require.NotEqual(t, home, h.currentHomes().Anonymous["g"], "another instance takes over")
}

func (h *harness) nodeAt(home session.Home) string {
	if home.Local {
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

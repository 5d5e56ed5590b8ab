package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// unevenHarness returns the serving instance "self" among 20 small instances, which have
// the present home of no account, with accounts of the given rates.
func unevenHarness(t *testing.T, capacity float64, rates ...float64) *harness {
	h := newHarness(t)
	c := configuration(2)
	c.Accounts = nil
	for i, rate := range rates {
		c.Accounts = append(c.Accounts, catalogue.Account{Name: core.AccountName(fmt.Sprintf("a%d", i)), Rate: rate, Burst: rate})
	}
	h.e.config.Self.Capacity = capacity
	self := h.e.config.Self
	changes := []Change{{Configuration: c}, {Instance: &self}}
	for i := range 20 {
		node := fmt.Sprintf("small%d", i)
		changes = append(changes, Change{Instance: &Instance{Node: node, ID: core.InstanceID(node), Peer: node + ":1", Capacity: 0.134}})
	}
	h.handle(StoreChanges{Changes: changes})
	return h
}

func (h *harness) claimedAccounts() map[core.AccountName]bool {
	claimed := map[core.AccountName]bool{}
	for _, c := range h.claims {
		claimed[c.Account] = true
	}
	return claimed
}

// Guards against the homes of high-rate accounts on small instances: the large instance
// claims the large account before its rank delay, a small one does not. The instances "a"
// and "b" register without a capacity and count as the mean.
func TestLargeInstanceClaimsLargeAccount(t *testing.T) {
	rates := []float64{500, 20, 20, 20, 20, 20, 20, 20, 20, 20}
	h := unevenHarness(t, 0.8, rates...)
	h.advance(firstClaimDelay + claimRankDelay/2)
	require.True(t, h.claimedAccounts()["a0"])
	h = unevenHarness(t, 0.134, rates...)
	h.advance(firstClaimDelay + claimRankDelay/2)
	require.False(t, h.claimedAccounts()["a0"])
}

// Guards against a home that moves because a better place exists, and against accounts of
// an unreachable instance that are assigned to it again.
func TestHomeMovesOnlyWhenItIsLost(t *testing.T) {
	h := unevenHarness(t, 0.8, 500, 20)
	record := &Home{Account: "a0", Node: "small3", Instance: "small3", Revision: 500}
	h.handle(StoreChanges{Changes: []Change{{Home: record}}})
	h.advance(10 * time.Second)
	require.False(t, h.claimedAccounts()["a0"])
	h.handle(SessionReport{Report: session.PeerConnectionRefused{Address: "small3:1"}})
	h.advance(claimRankDelay / 2)
	require.True(t, h.claimedAccounts()["a0"])
	require.Equal(t, Revision(500), h.claims[len(h.claims)-1].Replaces)
}

// Guards against a registration that older instances cannot read, and against a capacity in
// the records of deployments that state none.
func TestCapacityInTheRegistration(t *testing.T) {
	text, err := json.Marshal(Instance{Node: "n", ID: "i", Domain: "d", Peer: "p"})
	require.NoError(t, err)
	require.JSONEq(t, `{"node":"n","id":"i","domain":"d","peer":"p"}`, string(text))
	text, err = json.Marshal(Instance{Node: "n", ID: "i", Domain: "d", Peer: "p", Capacity: 0.8})
	require.NoError(t, err)
	require.JSONEq(t, `{"node":"n","id":"i","domain":"d","peer":"p","capacity":0.8}`, string(text))
}

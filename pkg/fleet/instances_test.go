package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against homes that return late after a restart of all instances: the first read
// of the store often precedes the instance's own registration, and the next one comes a
// batch of changes later.
func TestInstanceClaimsItsHomesOnceItIsRegistered(t *testing.T) {
	h := newHarness(t)
	h.handle(StoreSnapshot{AsOf: h.now, Snapshot: &Snapshot{
		Configuration: configuration(1),
		Members:       []Announcement{h.announce("p", core.RolePrimary), h.announce("r1", core.RoleReplica)},
		Instances:     []Instance{{Node: "self", ID: "self-0", Peer: "10.0.0.1:1"}, {Node: "a", ID: "a-1", Peer: "10.0.0.2:1"}},
		Homes:         []Home{{Account: "acct", Node: "self", Instance: "self-0", Revision: 50}},
	}})
	h.advance(time.Second)
	require.Empty(t, h.claims, "the registration in the store is that of an earlier run")
	h.handle(LeaseUpdated{Until: h.now.Add(10 * time.Second), Lease: 7})
	require.Equal(t, []HomeClaim{{Account: "acct", Replaces: 50}}, h.claims)
	h.handle(LeaseUpdated{Until: h.now.Add(20 * time.Second), Lease: 7})
	require.Len(t, h.claims, 1, "a renewal changes nothing")
}

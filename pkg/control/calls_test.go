package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

const manyGroups = 300

// serveManyGroups returns a harness whose engine holds a slot and has many
// groups.
func serveManyGroups(t *testing.T) *harness {
	h := newHarness(t)
	c := testCatalogue()
	d := c.Databases[0]
	c.Databases = nil
	for i := range manyGroups {
		d.Name = core.DatabaseName(fmt.Sprint("db", i))
		c.Databases = append(c.Databases, d)
	}
	respond[CreateLease](h, StoreResponse{Lease: "l1"})
	h.respondToWatch(CatalogueRecord{Catalogue: c, Revision: 1})
	h.run(time.Second)
	respond[PutClaim](h, StoreResponse{Revision: 11})
	h.holdReads = true
	return h
}

// Guards against an outage of the platform in which the queue of calls grows
// without bound or its full ring blocks the control duty.
func TestCallsAreBoundedInAnOutage(t *testing.T) {
	h := serveManyGroups(t)
	h.run(time.Minute)
	h.platformCalls = h.platformCalls[:0]
	h.run(time.Minute)
	require.Empty(t, h.platformCalls, "no call is answered, so none is sent")
	require.LessOrEqual(t, len(h.engine.platformCalls.urgent.order)+len(h.engine.platformCalls.normal.order), 2*manyGroups+10)
}

// Guards against a lease that ends because its renewal is queued behind the calls
// of many groups.
func TestRenewalGoesFirst(t *testing.T) {
	h := serveManyGroups(t)
	h.run(2 * h.engine.config.LeaseRenewInterval)
	for range maxOutstandingCalls {
		if countCalls[RenewLease](h) > 0 {
			return
		}
		respond[ReadGroup](h, StoreResponse{Outcome: Unavailable})
	}
	require.Positive(t, countCalls[RenewLease](h))
}

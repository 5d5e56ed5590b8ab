package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

const manyGroups = 300

// serveMany brings an engine to a held slot with many groups.
func serveMany(t *testing.T) *harness {
	h := newHarness(t)
	c := testCatalogue()
	d := c.Databases[0]
	c.Databases = nil
	for i := range manyGroups {
		d.Name = core.DatabaseName(fmt.Sprint("db", i))
		c.Databases = append(c.Databases, d)
	}
	answer[CreateLease](h, StoreAnswer{Lease: "l1"})
	h.watched(CatalogueRecord{Catalogue: c, Revision: 1})
	h.run(time.Second)
	answer[PutClaim](h, StoreAnswer{Revision: 11})
	h.silent = true
	return h
}

// Guards against a platform that answers nothing and thereby stops the control
// duty: the ring of calls must never fill up, nor the memory.
func TestCallsAreBoundedInAnOutage(t *testing.T) {
	h := serveMany(t)
	h.run(time.Minute)
	h.stores = h.stores[:0]
	h.run(time.Minute)
	require.Empty(t, h.stores, "no call is answered, so none is sent")
	require.LessOrEqual(t, len(h.e.calls.urgent.order)+len(h.e.calls.waiting.order), 2*manyGroups+10)
}

// Guards against a lease that ends because its renewal waits behind the calls of
// many groups.
func TestRenewalGoesFirst(t *testing.T) {
	h := serveMany(t)
	h.run(2 * h.e.config.LeaseRenew)
	for range maxOpenCalls {
		if count[RenewLease](h) > 0 {
			return
		}
		answer[ReadGroup](h, StoreAnswer{Outcome: Unavailable})
	}
	require.Positive(t, count[RenewLease](h))
}

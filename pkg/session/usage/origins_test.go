package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against usage that is reserved for an instance that only has no requests, and
// against usage that is not reserved for one that does not respond.
func TestUsageOfUnresponsiveInstances(t *testing.T) {
	const idleAfter, bound = 2 * time.Second, 400 * time.Millisecond
	now := time.Unix(100, 0)
	o := NewOrigins(idleAfter)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		o.RecordRequest("a", "acct", now)
		o.RecordRequest("b", "acct", now)
		o.RecordRequest("b", "other", now)
	}
	require.True(t, o.Known("a"))
	responsive, unresponsive := o.Rates("acct", bound, now)
	require.InDelta(t, 40, responsive, 4)
	require.Zero(t, unresponsive)

	later := now.Add(2 * bound)
	o.RecordMessage("b", later)
	responsive, unresponsive = o.Rates("acct", bound, later)
	require.InDelta(t, 20, unresponsive, 2, "as it was at the last message")
	require.InDelta(t, 20, responsive, 5)

	o.RecordMessage("a", now.Add(idleAfter))
	_, unresponsive = o.Rates("acct", bound, now.Add(idleAfter+2*bound))
	require.InDelta(t, 12, unresponsive, 4, "a has no requests, b does not respond")

	o.Retain(map[core.InstanceID]bool{"b": true})
	require.False(t, o.Known("a"))
	require.True(t, o.Known("b"))
}

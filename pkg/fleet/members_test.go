package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against work for a draining member beyond its deadline after changed settings have
// shortened it: the deadline was computed with the previous settings.
func TestShortenedDrainTimeIsInForce(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * h.e.config.Bounds.ReregistrationGrace)
	r := h.announce("r1", core.RoleReplica)
	r.Draining = true
	h.announceMember(r)
	limits := h.e.config.Limits
	limits.TargetDrain = 3 * time.Second
	h.handle(limits)
	require.True(t, h.usable("r1"))
	h.advance(3100 * time.Millisecond)
	require.False(t, h.usable("r1"))
}

package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against a configuration that is logged by the fleet duty alone: whether a late one was
// read late or applied late could not be told.
func TestAppliedConfigurationIsReported(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	next := *h.catalogue
	next.Version++
	next.OperatorVersion = 7
	published := h.now
	h.wait(30 * time.Millisecond)
	h.do(CatalogueUpdate{Catalogue: &next, PublishedAt: published})
	want := []ConfigurationApplied{{Version: 7, Delay: 30 * time.Millisecond, Callers: 1}}
	require.Equal(t, want, h.configurations)

	members := next
	members.Version++
	h.do(CatalogueUpdate{Catalogue: &members, PublishedAt: h.now})
	require.Equal(t, want, h.configurations, "a change of members is not a configuration")
}

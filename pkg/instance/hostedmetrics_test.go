package instance

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/platform"
)

// Guards against store calls that do not appear on the metrics page: operators and the
// tests of the store's load read them there.
func TestMetricsPageShowsStoreCalls(t *testing.T) {
	calls := fleet.NewStoreCalls()
	page := &metricsPage{}
	page.storeCalls(calls)
	require.Empty(t, page.text.String())
	// Nothing listens on this port.
	store := calls.Count(platform.NewStore("127.0.0.1:1", func(string, error) {}))
	_, err := store.Snapshot(context.Background())
	require.Error(t, err)
	page.storeCalls(calls)
	require.Equal(t, "sassafrasshunt_store_calls{kind=\"snapshot\",outcome=\"unavailable\"} 1\n", page.text.String())
}

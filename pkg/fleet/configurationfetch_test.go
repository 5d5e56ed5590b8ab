package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Guards against an adopted configuration whose log line does not say where it was read and for
// how long this instance may have missed it: a late one could not be traced to the store or to
// a feeder.
func TestAdoptedConfigurationIsLoggedWithItsSource(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Second)
	since := h.now.Add(-400 * time.Millisecond)
	h.handle(StoreChanges{Changes: []Change{{Configuration: configuration(3)}}, Since: since})
	require.Subset(t, h.logs[len(h.logs)-1].Fields, map[string]any{"version": uint64(3), "source": sourceStore, "unread_ms": int64(400)})
	h.handle(StoreSnapshot{Snapshot: &Snapshot{Configuration: configuration(4)}, Feeder: "f:1"})
	require.Contains(t, h.configurationSources(), recordSource{kind: sourceFeeder, peer: "f:1"})
	h.handle(ConfigurationReceived{Configuration: configuration(5)})
	require.Contains(t, h.configurationSources(), recordSource{kind: sourceInstance})
}

// configurationSources returns the sources that the log names for the adopted configurations.
func (h *harness) configurationSources() []recordSource {
	var sources []recordSource
	for _, l := range h.logs {
		if l.Event == "configuration" {
			source := recordSource{kind: l.Fields["source"].(string)}
			if peer, ok := l.Fields["feeder"]; ok {
				source = sourceOf(peer.(session.PeerAddress))
			}
			sources = append(sources, source)
		}
	}
	return sources
}

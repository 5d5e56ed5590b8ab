package instance

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
)

// wiring holds, for each ring that a decision duty reads, the rings for whose free space
// that duty waits. I/O duties are not listed: they never wait for free space.
type wiring map[any][]any

func (w wiring) add(input any, writers []outputWriter) {
	w[input] = nil
	for _, writer := range writers {
		w[input] = append(w[input], writer.destination())
	}
}

// hasCycle reports whether a wait that begins at the ring can come back to a ring of the
// path.
func (w wiring) hasCycle(from any, path map[any]bool) bool {
	if path[from] {
		return true
	}
	path[from] = true
	defer delete(path, from)
	for _, next := range w[from] {
		if w.hasCycle(next, path) {
			return true
		}
	}
	return false
}

func (w wiring) requireNoCycle(t *testing.T) {
	for input := range w {
		require.False(t, w.hasCycle(input, map[any]bool{}), "%T", input)
	}
}

// Guards against duties that wait for each other's rings, so that full rings stop them for
// good.
func TestNoCycleOfBlockingOutputs(t *testing.T) {
	h := newTestHosted(t, &blockingWriter{release: make(chan struct{})})
	hosted := wiring{}
	hosted.add(h.sessionDuty.input, h.sessionDuty.writers)
	hosted.add(h.fleetDuty.input, h.fleetDuty.writers)
	hosted.requireNoCycle(t)

	s, err := settings.Load("testdata/instance.toml")
	require.NoError(t, err)
	i, err := New(s, io.Discard)
	require.NoError(t, err)
	front := wiring{}
	front.add(i.sessionDuty.input, i.sessionDuty.writers)
	front.add(i.controlDuty.input, i.controlDuty.writers)
	front.requireNoCycle(t)
}

// Guards against a check of the wiring that finds no cycle.
func TestWiringCheckFindsACycle(t *testing.T) {
	w := wiring{"a": {"b"}, "b": {"c", "a"}}
	require.True(t, w.hasCycle("a", map[any]bool{}))
}

package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against a state of a statement without a span, and against spans of
// one statement in different traces.
func TestEachHopHasASpanInOneTrace(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.TraceSeed = 7 })
	h.open(1, at100)
	s := h.run(1, "write", write)
	h.ready(s.Target, 'I', core.Position{Term: 1, LSN: 110})
	h.do(ConfirmedUpTo{Database: "db", Position: core.Position{Term: 1, LSN: 110}})
	var names []string
	for _, span := range h.spans {
		names = append(names, span.Name)
		require.Equal(t, h.spans[0].TraceParent, span.TraceParent)
		require.False(t, span.End.Before(span.Start))
	}
	for _, state := range []string{"classifying", "queued", "running", "confirming", "statement"} {
		require.Contains(t, names, state)
	}
}

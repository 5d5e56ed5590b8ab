package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

func at(millis int) time.Time {
	return time.Unix(100, 0).Add(time.Duration(millis) * time.Millisecond)
}

func pos(term, lsn uint64) core.Position {
	return core.Position{Term: core.Term(term), LSN: core.LSN(lsn)}
}

// Guards against a stale read: the position must have been requested no earlier
// than the accepted age allows.
func TestNeededIsTheOldestQuestionWithinTheAge(t *testing.T) {
	var h History
	_, known := h.Required(at(0))
	require.False(t, known)
	h.Observe(at(0), pos(1, 10))
	h.Observe(at(100), pos(1, 20))
	h.Observe(at(200), pos(1, 30))
	need, known := h.Required(at(50))
	require.True(t, known)
	require.Equal(t, pos(1, 20), need)
	need, _ = h.Required(at(200))
	require.Equal(t, pos(1, 30), need)
	_, known = h.Required(at(201))
	require.False(t, known)
}

// Guards against waiting forever for a replica to reach a position that was rolled
// back by a change of primary.
func TestNewerTermReplacesTheHistory(t *testing.T) {
	var h History
	h.Observe(at(0), pos(1, 100))
	h.Observe(at(5), pos(2, 90))
	need, known := h.Required(at(-50))
	require.True(t, known)
	require.Equal(t, pos(2, 90), need)
	h.Observe(at(100), pos(1, 120))
	need, _ = h.Required(at(-50))
	require.Equal(t, pos(2, 90), need)
	h.Advance(3)
	_, known = h.Required(at(-50))
	require.False(t, known)
}

// Guards against memory that grows with the number of statements.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	for i := range 100_000 {
		h.Observe(at(i), pos(1, uint64(i)))
	}
	require.LessOrEqual(t, len(h.observations), int(retention/minInterval)+1)
}

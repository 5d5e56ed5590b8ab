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
	var l Log
	_, known := l.Needed(at(0))
	require.False(t, known)
	l.Observe(at(0), pos(1, 10))
	l.Observe(at(100), pos(1, 20))
	l.Observe(at(200), pos(1, 30))
	need, known := l.Needed(at(50))
	require.True(t, known)
	require.Equal(t, pos(1, 20), need)
	need, _ = l.Needed(at(200))
	require.Equal(t, pos(1, 30), need)
	_, known = l.Needed(at(201))
	require.False(t, known)
}

// Guards against waiting forever for a replica to reach a position that was rolled
// back by a change of primary.
func TestNewerTermReplacesTheHistory(t *testing.T) {
	var l Log
	l.Observe(at(0), pos(1, 100))
	l.Observe(at(5), pos(2, 90))
	need, known := l.Needed(at(-50))
	require.True(t, known)
	require.Equal(t, pos(2, 90), need)
	l.Observe(at(100), pos(1, 120))
	need, _ = l.Needed(at(-50))
	require.Equal(t, pos(2, 90), need)
	l.Advance(3)
	_, known = l.Needed(at(-50))
	require.False(t, known)
}

// Guards against memory that grows with the number of statements.
func TestHistoryIsBounded(t *testing.T) {
	var l Log
	for i := range 100_000 {
		l.Observe(at(i), pos(1, uint64(i)))
	}
	require.LessOrEqual(t, len(l.observations), int(retention/minInterval)+1)
}

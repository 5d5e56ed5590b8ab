package stopplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against steps of a stop that overtake each other, against open transactions
// with less than half of the grace period, and against statements that are ended before
// five sixths of it, for any grace period.
func TestStepsAreInOrder(t *testing.T) {
	for _, notice := range []time.Duration{0, time.Second, 2200 * time.Millisecond, time.Minute} {
		for _, grace := range []time.Duration{10 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 30 * time.Second, time.Hour} {
			p, err := New(grace, notice)
			require.NoError(t, err)
			require.LessOrEqual(t, p.Sessions, notice)
			require.Less(t, p.Sessions, p.Transactions)
			require.GreaterOrEqual(t, p.Transactions, grace/2)
			require.Less(t, p.Transactions, p.Statements)
			require.Greater(t, p.Statements, grace*5/6)
			require.Less(t, p.Statements, p.Answers)
			require.Less(t, p.Answers, p.Sockets)
			require.Less(t, p.Sockets, p.End)
			require.Less(t, p.End, p.Grace)
			require.Equal(t, grace, p.Grace)
			require.Positive(t, p.LongestTimeLimit())
		}
	}
}

// Guards against a stop without an end.
func TestGraceMustBePositive(t *testing.T) {
	_, err := New(0, time.Second)
	require.ErrorIs(t, err, ErrGrace)
}

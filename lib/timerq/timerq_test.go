package timerq

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a deadline that fires although it was moved or disarmed.
func TestQueueOrdersMovesAndDisarms(t *testing.T) {
	start := time.Unix(0, 0)
	var q Queue[string]
	a, b, c := &Item[string]{Value: "a"}, &Item[string]{Value: "b"}, &Item[string]{Value: "c"}
	q.Arm(a, start.Add(1*time.Second))
	q.Arm(b, start.Add(2*time.Second))
	q.Arm(c, start.Add(3*time.Second))
	q.Arm(a, start.Add(4*time.Second))
	q.Disarm(b)
	_, due := q.PopDue(start.Add(2 * time.Second))
	require.False(t, due)
	item, due := q.PopDue(start.Add(5 * time.Second))
	require.True(t, due)
	require.Equal(t, "c", item.Value)
	item, _ = q.PopDue(start.Add(5 * time.Second))
	require.Equal(t, "a", item.Value)
	require.Zero(t, q.Len())
}

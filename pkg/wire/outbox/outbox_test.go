package outbox

import (
	"testing"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/stretchr/testify/require"
)

// countingWaker counts its wake-ups.
type countingWaker int

func (w *countingWaker) Wake() { *w++ }

// Guards against events that overtake queued ones or are lost, and against a missing
// wake-up.
func TestHeldEventsKeepTheirOrder(t *testing.T) {
	var woken countingWaker
	events := ring.New[session.Input](4, ring.NewSignal())
	o := New(events, &woken)
	const count = 11
	for id := range count {
		o.Push(session.CallerClosed{Caller: session.CallerID(id)})
	}
	require.True(t, o.Blocked())
	require.Equal(t, count-4, o.Pending())
	// One cell is free now, but the queued events come first.
	event, ok := events.Pop()
	require.True(t, ok)
	require.Equal(t, session.CallerClosed{Caller: 0}, event)
	o.Push(session.CallerClosed{Caller: count})
	for id := 1; id <= count; id++ {
		event, ok := events.Pop()
		require.True(t, ok)
		require.Equal(t, session.CallerClosed{Caller: session.CallerID(id)}, event)
		if woken > 0 {
			woken = 0
			o.Flush()
		}
	}
	require.False(t, o.Blocked())
}

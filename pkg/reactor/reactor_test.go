package reactor

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Guards against a planned stop that lives on until the flush timeout, with sockets that
// nobody reads, because the last command before a poll ended what the stop waited for.
func TestStopEndsWithItsLastCommand(t *testing.T) {
	var pending atomic.Bool
	pending.Store(true)
	r, err := New(Config[int]{
		Capacity: 4, Session: ring.New[session.Input](4, ring.NewSignal()), Now: time.Now,
		Handle: func(int) { pending.Store(false) },
	})
	require.NoError(t, err)
	asked := make(chan struct{}, 64)
	r.OutputPending = func() bool {
		select {
		case asked <- struct{}{}:
		default:
		}
		return pending.Load()
	}
	r.FlushTimeout = time.Hour
	done := make(chan error, 1)
	go func() { done <- r.Run() }()
	r.Stop()
	<-asked
	require.True(t, r.Commands.TryPush(1))
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the reactor did not stop")
	}
}

// Guards against a stop that drops commands which arrived before it, such as the last answers,
// because there are more of them than one batch and the flush timeout has passed.
func TestStopHandlesTheCommandsBeforeIt(t *testing.T) {
	const commands = 3*commandBatchSize + 1
	handled := 0
	r, err := New(Config[int]{
		Capacity: 2 * commands, Session: ring.New[session.Input](4, ring.NewSignal()), Now: time.Now,
		Handle: func(int) { handled++ },
	})
	require.NoError(t, err)
	r.OutputPending = func() bool { return true }
	for i := range commands {
		require.True(t, r.Commands.TryPush(i))
	}
	r.Stop()
	require.NoError(t, r.Run())
	require.Equal(t, commands, handled)
}

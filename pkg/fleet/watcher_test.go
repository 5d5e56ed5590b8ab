package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
)

// failingSource fails every read in the same way.
type failingSource struct {
	err   error
	reads atomic.Int64
}

func (s *failingSource) Snapshot(context.Context) (*Snapshot, error) {
	s.reads.Add(1)
	return nil, eris.Wrap(s.err, "test")
}

func (s *failingSource) Watch(context.Context, Revision, time.Duration) ([]Change, Revision, error) {
	return nil, 0, eris.Wrap(s.err, "test")
}

// readsWithin counts the reads of a watcher in a time.
func readsWithin(t *testing.T, err error, pause, during time.Duration) int64 {
	source := &failingSource{err: err}
	w := NewWatcher(source, WatchBounds{Wait: time.Second, Answer: time.Second, Pause: pause}, func(Input) bool { return true })
	var g duty.Group
	w.Start(&g)
	time.Sleep(during)
	w.Stop()
	require.Empty(t, g.WaitFor(5*time.Second))
	return source.reads.Load()
}

// Guards against instances that read everything again and again and keep an
// overloaded store so (sweep at 300 machines), and against a store that is back
// after an outage and is noticed late.
func TestOverloadedStoreIsLeftAlone(t *testing.T) {
	const pause, during = 5 * time.Millisecond, 400 * time.Millisecond
	const longest = pause << maxStrain
	require.LessOrEqual(t, readsWithin(t, ErrOverloaded, pause, during), int64(maxStrain+1+during/(longest/2)))
	require.Greater(t, readsWithin(t, ErrUnavailable, pause, during), int64(during/pause/4))
}

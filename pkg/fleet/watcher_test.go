package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
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
	w := NewWatcher(source, nil, WatchBounds{Wait: time.Second, Answer: time.Second, Pause: pause}, func(Input) bool { return true })
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

// scriptedStore has one configuration, 5, and gives changes of its own watch.
type scriptedStore struct{ watched chan Revision }

func (s *scriptedStore) Snapshot(context.Context) (*Snapshot, error) {
	return &Snapshot{Revision: 5}, nil
}

func (s *scriptedStore) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	select {
	case s.watched <- after:
	default:
	}
	select {
	case <-time.After(min(wait, time.Millisecond)):
	case <-ctx.Done():
	}
	return nil, after, nil
}

// scriptedFeeder answers with one change for each question, and then fails.
type scriptedFeeder struct {
	good int
	age  time.Duration
}

func (f *scriptedFeeder) Feed(_ context.Context, _ session.PeerAddress, after Revision, _ time.Duration) (FeedAnswer, error) {
	f.good--
	if f.good < 0 {
		return FeedAnswer{}, eris.Wrap(ErrUnavailable, "silent")
	}
	change := Change{Revision: after + 1, GoneHome: "acct"}
	return FeedAnswer{Changes: []Change{change}, Next: after + 1, Age: f.age}, nil
}

// followed runs a watcher until the store is watched, and returns where that
// watch began and what the watcher delivered before.
func followed(t *testing.T, feeder Feeder) (Revision, []Input) {
	source := &scriptedStore{watched: make(chan Revision, 1)}
	var inputs []Input
	bounds := WatchBounds{Wait: time.Second, Feed: time.Second, Answer: time.Second, Pause: time.Millisecond}
	w := NewWatcher(source, feeder, bounds, func(in Input) bool {
		inputs = append(inputs, in)
		return true
	})
	w.Follow(NewsFrom{Feeder: "10.0.0.2:1"})
	var g duty.Group
	w.Start(&g)
	after := <-source.watched
	w.Stop()
	require.Empty(t, g.WaitFor(5*time.Second))
	return after, inputs
}

// Guards against a gap or a repetition when an instance goes from its feeder to
// the store, and against news that are taken for younger than they are.
func TestWatcherGoesOnAtTheStoreWhereTheFeederEnded(t *testing.T) {
	before := clock.Now()
	after, inputs := followed(t, &scriptedFeeder{good: 3, age: 400 * time.Millisecond})
	require.EqualValues(t, 8, after)
	var revisions []Revision
	for _, in := range inputs {
		if c, ok := in.(StoreChanged); ok {
			revisions = append(revisions, c.Changes[0].Revision)
			require.True(t, c.Current.Before(clock.Now().Add(-400*time.Millisecond)))
			require.False(t, c.Current.Before(before.Add(-400*time.Millisecond)))
		}
	}
	require.Equal(t, []Revision{6, 7, 8}, revisions)
	require.Contains(t, inputs, FeedFailed{Feeder: "10.0.0.2:1", Reason: "silent: " + ErrUnavailable.Error()})
}

// Guards against a feeder that has lost the store without noticing.
func TestOldNewsOfAFeederAreRefused(t *testing.T) {
	after, _ := followed(t, &scriptedFeeder{good: 100, age: 4 * time.Second})
	require.EqualValues(t, 5, after)
}

// waitingStore waits for as long as it is asked to.
type waitingStore struct{ scriptedStore }

func (s *waitingStore) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	s.watched <- after
	<-ctx.Done()
	return nil, after, eris.Wrap(ErrUnavailable, "ended")
}

// Guards against a feeder that goes on with the long watch of an instance nobody
// follows, whose news are then too old for its followers, and against an order
// that is taken for a lost store.
func TestOrderEndsTheWatchUnderWay(t *testing.T) {
	source := &waitingStore{scriptedStore{watched: make(chan Revision)}}
	lost := atomic.Bool{}
	bounds := WatchBounds{Wait: time.Minute, Feed: time.Minute, Answer: time.Second, Pause: time.Millisecond}
	w := NewWatcher(source, &scriptedFeeder{}, bounds, func(in Input) bool {
		if _, is := in.(StoreLost); is {
			lost.Store(true)
		}
		return true
	})
	var g duty.Group
	w.Start(&g)
	require.EqualValues(t, 5, <-source.watched)
	require.True(t, w.Follow(NewsFrom{Feeding: true}))
	require.EqualValues(t, 5, <-source.watched, "watched again from where it was")
	require.False(t, lost.Load())
	w.Stop()
	require.Empty(t, g.WaitFor(5*time.Second))
}

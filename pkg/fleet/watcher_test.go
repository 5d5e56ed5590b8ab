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

// readsWithin counts the reads of a watcher within a duration.
func readsWithin(t *testing.T, err error, pause, during time.Duration) int64 {
	source := &failingSource{err: err}
	w := NewWatcher(source, nil, WatcherBounds{Wait: time.Second, ResponseTimeout: time.Second, RetryInterval: pause}, func(Input) bool { return true })
	var g duty.Group
	w.Start(&g)
	time.Sleep(during)
	w.Stop()
	require.Empty(t, g.WaitFor(5*time.Second))
	return source.reads.Load()
}

// Guards against instances that keep an overloaded store overloaded by reading
// everything again, as happened with 300 instances, and against noticing late that
// a store is readable again after an outage.
func TestOverloadedStoreIsLeftAlone(t *testing.T) {
	const pause, during = 5 * time.Millisecond, 400 * time.Millisecond
	const longest = pause << maxOverloads
	require.LessOrEqual(t, readsWithin(t, ErrOverloaded, pause, during), int64(maxOverloads+1+during/(longest/2)))
	require.Greater(t, readsWithin(t, ErrUnavailable, pause, during), int64(during/pause/4))
}

// changingSource has a change at each read.
type changingSource struct{}

func (changingSource) Snapshot(context.Context) (*Snapshot, error) {
	return &Snapshot{Revision: 5}, nil
}

func (changingSource) Watch(context.Context, Revision, time.Duration) ([]Change, Revision, error) {
	return []Change{{Revision: 6, RemovedHome: "acct"}}, 6, nil
}

// Guards against a process that ends with a nil dereference in a planned stop: the fleet
// duty refuses changes shortly before the watcher is stopped.
func TestWatcherEndsWhenItsChangesAreRefused(t *testing.T) {
	w := NewWatcher(changingSource{}, nil, WatcherBounds{Wait: time.Second, ResponseTimeout: time.Second, RetryInterval: time.Millisecond},
		func(in Input) bool { _, changes := in.(StoreChanges); return !changes })
	var g duty.Group
	w.Start(&g)
	require.Empty(t, g.WaitFor(5*time.Second))
	w.Stop()
}

// scriptedStore returns an empty snapshot at revision 5 and reports where its watch
// begins.
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

// scriptedFeeder answers the first requests with one change each, and then fails.
type scriptedFeeder struct {
	good int
	age  time.Duration
}

func (f *scriptedFeeder) Feed(_ context.Context, _ session.PeerAddress, after Revision, _ time.Duration) (FeedResponse, error) {
	f.good--
	if f.good < 0 {
		return FeedResponse{}, eris.Wrap(ErrUnavailable, "silent")
	}
	change := Change{Revision: after + 1, RemovedHome: "acct"}
	return FeedResponse{Changes: []Change{change}, Next: after + 1, Age: f.age}, nil
}

// runWatcher runs a watcher until it watches the store. It returns the revision at
// which that watch began and the inputs delivered before.
func runWatcher(t *testing.T, feeder Feeder) (Revision, []Input) {
	source := &scriptedStore{watched: make(chan Revision, 1)}
	var inputs []Input
	bounds := WatcherBounds{Wait: time.Second, Feed: time.Second, ResponseTimeout: time.Second, RetryInterval: time.Millisecond}
	w := NewWatcher(source, feeder, bounds, func(in Input) bool {
		inputs = append(inputs, in)
		return true
	})
	w.SetSource(ChangeSource{Feeder: "10.0.0.2:1"})
	var g duty.Group
	w.Start(&g)
	after := <-source.watched
	w.Stop()
	require.Empty(t, g.WaitFor(5*time.Second))
	return after, inputs
}

// Guards against a gap or a repetition when an instance switches from its feeder to
// the store, and against treating changes as newer than they are.
func TestWatcherGoesOnAtTheStoreWhereTheFeederEnded(t *testing.T) {
	before := clock.Now()
	after, inputs := runWatcher(t, &scriptedFeeder{good: 3, age: 400 * time.Millisecond})
	require.EqualValues(t, 8, after)
	var revisions []Revision
	for _, in := range inputs {
		if c, ok := in.(StoreChanges); ok {
			revisions = append(revisions, c.Changes[0].Revision)
			require.True(t, c.AsOf.Before(clock.Now().Add(-400*time.Millisecond)))
			require.False(t, c.AsOf.Before(before.Add(-400*time.Millisecond)))
		}
	}
	require.Equal(t, []Revision{6, 7, 8}, revisions)
	require.Contains(t, inputs, FeederFailed{Feeder: "10.0.0.2:1", Reason: "silent: " + ErrUnavailable.Error()})
}

// Guards against a feeder that has lost the store without noticing.
func TestOldNewsOfAFeederAreRefused(t *testing.T) {
	after, _ := runWatcher(t, &scriptedFeeder{good: 100, age: 4 * time.Second})
	require.EqualValues(t, 5, after)
}

// blockingStore blocks a watch until its context ends.
type blockingStore struct{ scriptedStore }

func (s *blockingStore) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	s.watched <- after
	<-ctx.Done()
	return nil, after, eris.Wrap(ErrUnavailable, "ended")
}

// Guards against a new feeder that continues a long watch, whose changes would be
// too old for its followers, and against an assignment that is mistaken for a lost
// store.
func TestOrderEndsTheWatchUnderWay(t *testing.T) {
	source := &blockingStore{scriptedStore{watched: make(chan Revision)}}
	lost := atomic.Bool{}
	bounds := WatcherBounds{Wait: time.Minute, Feed: time.Minute, ResponseTimeout: time.Second, RetryInterval: time.Millisecond}
	w := NewWatcher(source, &scriptedFeeder{}, bounds, func(in Input) bool {
		if _, is := in.(StoreUnavailable); is {
			lost.Store(true)
		}
		return true
	})
	var g duty.Group
	w.Start(&g)
	require.EqualValues(t, 5, <-source.watched)
	require.True(t, w.SetSource(ChangeSource{Feeding: true}))
	require.EqualValues(t, 5, <-source.watched, "the watch continues from the same revision")
	require.False(t, lost.Load())
	w.Stop()
	require.Empty(t, g.WaitFor(5*time.Second))
}

package fleet

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// feedCall is a request to a feeder.
type feedCall struct {
	feeder session.PeerAddress
	after  Revision
	wait   time.Duration
}

// watcherWorld is a watcher with a store and feeders whose answers a test sets. It runs in
// the virtual time of testing/synctest.
type watcherWorld struct {
	mutex     sync.Mutex
	storeErr  error
	snapshots int
	watches   []time.Duration
	feedCalls []feedCall
	feeds     map[session.PeerAddress]func(after Revision) (FeedResponse, error)
	inputs    []Input
	watcher   *Watcher
	duties    duty.Group
}

func newWatcherWorld() *watcherWorld {
	w := &watcherWorld{feeds: map[session.PeerAddress]func(Revision) (FeedResponse, error){}}
	w.watcher = NewWatcher(w, w, loadWatcherBounds, func(in Input) bool {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.inputs = append(w.inputs, in)
		return true
	})
	w.watcher.now = time.Now
	return w
}

func (w *watcherWorld) Snapshot(context.Context) (*Snapshot, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.snapshots++
	return &Snapshot{Revision: 5}, w.storeErr
}

func (w *watcherWorld) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	w.mutex.Lock()
	w.watches = append(w.watches, wait)
	err := w.storeErr
	w.mutex.Unlock()
	if err != nil {
		return nil, after, err
	}
	select {
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, after, eris.Wrap(ErrUnknownOutcome, "cancelled")
	}
}

func (w *watcherWorld) Feed(ctx context.Context, feeder session.PeerAddress, after Revision, wait time.Duration) (FeedResponse, error) {
	w.mutex.Lock()
	w.feedCalls = append(w.feedCalls, feedCall{feeder, after, wait})
	answer := w.feeds[feeder]
	w.mutex.Unlock()
	if answer == nil {
		wait += 300 * time.Millisecond
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	if answer == nil {
		return FeedResponse{}, eris.Wrap(ErrUnavailable, "silent")
	}
	return answer(after)
}

// watchWaits returns the waits of the watches of the store.
func (w *watcherWorld) watchWaits() []time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.watches)
}

// run starts the watcher, lets the test act and stops the watcher.
func (w *watcherWorld) run(t *testing.T, act func()) {
	w.watcher.Start(&w.duties)
	act()
	w.watcher.Stop()
	require.Empty(t, w.duties.WaitFor(time.Minute))
}

// delivered returns the delivered inputs of a type.
func delivered[T Input](w *watcherWorld) []T {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []T
	for _, in := range w.inputs {
		if typed, ok := in.(T); ok {
			list = append(list, typed)
		}
	}
	return list
}

func quietFeed(after Revision) (FeedResponse, error) { return FeedResponse{Next: after}, nil }

// Guards against followers that read the store when one of two feeders is lost.
func TestStandbyIsAskedBeforeTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatcherWorld()
		w.feeds["standby"] = quietFeed
		w.watcher.SetSource(ChangeSource{Feeder: "feeder", Standby: "standby"})
		w.run(t, func() { time.Sleep(20 * time.Second) })
		require.Empty(t, delivered[FeederFailed](w))
		require.Empty(t, w.watchWaits())
		silent := 0
		for _, call := range w.feedCalls {
			if call.feeder == "feeder" {
				silent++
				require.Zero(t, call.wait, "a feeder that did not answer is asked without a wait")
			}
		}
		require.LessOrEqual(t, silent, 7, "the feeder is tried again every 3 s")
	})
}

// Guards against followers that read everything from the store because their feeder does
// not have the history that they need.
func TestFollowerReadsEverythingFromAFeeder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatcherWorld()
		w.feeds["feeder"] = func(after Revision) (FeedResponse, error) {
			switch {
			case after == 0:
				return FeedResponse{Snapshot: &Snapshot{Revision: 50}, Next: 50, Age: time.Second}, nil
			case after < 40:
				return FeedResponse{Unavailable: true}, nil
			}
			return FeedResponse{Next: after}, nil
		}
		w.watcher.SetSource(ChangeSource{Feeder: "feeder"})
		w.run(t, func() { time.Sleep(10 * time.Second) })
		require.Equal(t, 1, w.snapshots)
		require.Empty(t, w.watchWaits())
		snapshots := delivered[StoreSnapshot](w)
		require.Len(t, snapshots, 2)
		require.EqualValues(t, 50, snapshots[1].Snapshot.Revision)
		require.False(t, snapshots[1].AsOf.After(time.Now().Add(-10*time.Second)), "the age counts")
		require.EqualValues(t, 50, w.feedCalls[len(w.feedCalls)-1].after)
	})
}

// Guards against a feeder that is behind and takes an instance back to older records.
func TestOlderSnapshotOfAFeederIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatcherWorld()
		w.feeds["feeder"] = func(after Revision) (FeedResponse, error) {
			if after == 0 {
				return FeedResponse{Snapshot: &Snapshot{Revision: 4}, Next: 4}, nil
			}
			return FeedResponse{Unavailable: true}, nil
		}
		w.watcher.SetSource(ChangeSource{Feeder: "feeder"})
		w.run(t, func() { time.Sleep(3 * time.Second) })
		require.Len(t, delivered[StoreSnapshot](w), 1)
		require.Len(t, delivered[FeederFailed](w), 1, "the store is read instead")
		require.Zero(t, w.watchWaits()[0], "at once")
	})
}

// Guards against changes that count as newer than they are, or as older by the time that the
// feeder held the request, which would add up from feeder to feeder.
func TestNewsOfAFeederAreAsOldAsItSays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatcherWorld()
		const age = 700 * time.Millisecond
		w.feeds["feeder"] = func(after Revision) (FeedResponse, error) {
			return FeedResponse{Next: after + 1, Changes: []Change{{Revision: after + 1, RemovedHome: "a"}}, Age: age, Held: time.Hour}, nil
		}
		w.watcher.SetSource(ChangeSource{Feeder: "feeder"})
		began := time.Now()
		w.run(t, func() { time.Sleep(time.Second) })
		changes := delivered[StoreChanges](w)
		require.NotEmpty(t, changes)
		require.Equal(t, began.Add(-age), changes[0].AsOf, "the first request was answered at once")
	})
}

// Guards against an instance that takes the changes of a feeder as a sign that it reaches the
// store itself, after a check of the store failed: whether it does decides whether it is
// isolated.
func TestFailedCheckOfTheStoreNeedsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatcherWorld()
		w.feeds["feeder"] = func(after Revision) (FeedResponse, error) {
			if after == 0 {
				return FeedResponse{Snapshot: &Snapshot{Revision: 50}, Next: 50}, nil
			}
			return FeedResponse{Next: after}, nil
		}
		w.watcher.SetSource(ChangeSource{Feeder: "feeder"})
		setStore := func(err error) {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.storeErr = err
		}
		w.run(t, func() {
			time.Sleep(2500 * time.Millisecond)
			w.watcher.RereadStore()
			time.Sleep(time.Second)
			require.Equal(t, []time.Duration{0}, w.watchWaits(), "a check is one call that does not wait")
			require.Empty(t, delivered[StoreUnavailable](w))
			setStore(ErrUnavailable)
			w.watcher.RereadStore()
			time.Sleep(4 * time.Second)
			require.NotEmpty(t, delivered[StoreUnavailable](w))
			require.Len(t, delivered[StoreSnapshot](w), 1)
			setStore(nil)
			time.Sleep(time.Second)
			require.Len(t, delivered[StoreSnapshot](w), 2)
			require.EqualValues(t, 5, delivered[StoreSnapshot](w)[1].Snapshot.Revision)
		})
	})
}

// Guards against delays that do not grow or are not spread, and against one that grows
// beyond the time within which a returned store must be read.
func TestRetryDelays(t *testing.T) {
	w := newWatcherWorld().watcher
	w.random = func(limit int64) int64 { return limit - 1 }
	for _, want := range []time.Duration{100, 200, 400, 800, 800, 800} {
		require.Equal(t, want*time.Millisecond, w.retryDelay(ErrUnavailable))
	}
	w.random = func(int64) int64 { return 0 }
	require.Equal(t, time.Nanosecond, w.retryDelay(ErrUnavailable), "from nothing to the limit")
	require.Equal(t, 100*time.Millisecond+time.Nanosecond, w.retryDelay(ErrOverloaded), "at least half of the limit")
	require.Equal(t, 200*time.Millisecond+time.Nanosecond, w.retryDelay(ErrOverloaded))
}

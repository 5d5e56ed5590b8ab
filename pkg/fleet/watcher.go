package fleet

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Feeder reads the store's changes through another instance. Only one thread uses
// it.
type Feeder interface {
	// Feed waits up to the given time for changes after a revision. It returns
	// ErrUnavailable, wrapped, if no response comes in time.
	Feed(ctx context.Context, feeder session.PeerAddress, after Revision, wait time.Duration) (FeedResponse, error)
}

// Watcher reads the store on a thread of its own, directly or through a feeder. It
// reads a snapshot, then follows the changes, and starts over when it may have
// missed some.
type Watcher struct {
	store  Source
	feeder Feeder
	bounds WatcherBounds
	// assignments are the sources set by SetSource. assigned is the latest one taken
	// from the ring.
	assignments *ring.Ring[ChangeSource]
	assigned    ChangeSource
	deliver     func(Input) bool
	ctx         context.Context
	cancel      context.CancelFunc
	// cancelCall cancels the call in progress. rechecking is set when RereadStore has
	// cancelled it, reassigned when SetSource has.
	cancelCall atomic.Pointer[context.CancelFunc]
	rechecking atomic.Bool
	reassigned atomic.Bool
	// backoff counts the consecutive failures that indicated an overloaded store.
	backoff int
	// asOf is when the store was last known to hold nothing newer than what was
	// delivered.
	asOf time.Time
}

// WatcherBounds are the time limits of a Watcher.
type WatcherBounds struct {
	// Wait is how long a watch of the store waits for changes. Feed replaces it on
	// feeders and is the wait of their followers.
	Wait time.Duration
	Feed time.Duration
	// ResponseTimeout limits the time of a call beyond its wait.
	ResponseTimeout time.Duration
	// RetryInterval is the delay between attempts while the store fails.
	RetryInterval time.Duration
	// BatchDelay is the delay after changes that are not urgent, so that the many
	// changes at a start of instances and members are read in batches.
	BatchDelay time.Duration
}

// NewWatcher returns a watcher. deliver hands an input to the fleet duty and
// returns false once the instance stops.
func NewWatcher(source Source, feeder Feeder, bounds WatcherBounds, deliver func(Input) bool) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watcher{
		store: source, feeder: feeder, bounds: bounds, deliver: deliver, ctx: ctx, cancel: cancel,
		assignments: ring.New[ChangeSource](assignmentRingCapacity, ring.NewSignal()),
	}
}

// assignmentRingCapacity is the number of assignments that can wait while a call is
// in progress. An assignment follows each change of the instances.
const assignmentRingCapacity = 256

// SetSource sets the source of changes and cancels the wait in progress. It returns
// false if the ring had no free space.
func (w *Watcher) SetSource(source ChangeSource) bool {
	if !w.assignments.TryPush(source) {
		return false
	}
	if cancel := w.cancelCall.Load(); cancel != nil {
		w.reassigned.Store(true)
		(*cancel)()
	}
	return true
}

// Start starts the watcher's thread in g.
func (w *Watcher) Start(g *duty.Group) {
	g.Start("store-watch", w.run)
}

// Stop ends the thread.
func (w *Watcher) Stop() {
	w.cancel()
}

// RereadStore cancels the wait in progress so that the store is read at once. An
// unresponsive store is then noticed within the time limit of a read.
func (w *Watcher) RereadStore() {
	if cancel := w.cancelCall.Load(); cancel != nil {
		w.rechecking.Store(true)
		(*cancel)()
	}
}

func (w *Watcher) run() {
	for w.ctx.Err() == nil {
		after, err := w.readSnapshot()
		if err == nil {
			err = w.followChanges(after)
		}
		if w.ctx.Err() != nil {
			return
		}
		if !w.rechecking.Swap(false) && !eris.Is(err, ErrCompacted) {
			w.deliver(StoreUnavailable{Reason: err.Error()})
			w.updateBackoff(err)
			w.pause(w.retryDelay())
		}
	}
}

// updateBackoff raises the backoff after an overload error and resets it after
// other errors. Without the backoff, many instances that read everything again
// would keep the store overloaded.
func (w *Watcher) updateBackoff(err error) {
	if !eris.Is(err, ErrOverloaded) {
		w.backoff = 0
		return
	}
	w.backoff = min(w.backoff+1, maxBackoff)
}

// maxBackoff limits how often the delay and the response timeout are doubled.
const maxBackoff = 4

// retryDelay returns the delay before the next attempt. It doubles with each
// backoff level and is then randomized, so that instances that failed together do
// not retry together.
func (w *Watcher) retryDelay() time.Duration {
	delay := w.bounds.RetryInterval << w.backoff
	if w.backoff == 0 {
		return delay
	}
	return delay/2 + rand.N(delay)
}

// readSnapshot reads and delivers everything and returns the revision to follow
// from.
func (w *Watcher) readSnapshot() (Revision, error) {
	ctx, cancel := context.WithTimeout(w.ctx, w.bounds.ResponseTimeout<<w.backoff)
	defer cancel()
	sentAt := clock.Now()
	snapshot, err := w.store.Snapshot(ctx)
	if err != nil {
		return 0, err
	}
	w.deliver(StoreSnapshot{Snapshot: snapshot, Since: w.asOf, AsOf: sentAt})
	w.asOf = sentAt
	w.backoff = 0
	return snapshot.Revision, nil
}

// followChanges delivers the changes after the revision. It returns the error that
// ended the watch.
func (w *Watcher) followChanges(after Revision) error {
	for w.ctx.Err() == nil {
		w.takeAssignments()
		changes, err := w.nextChanges(after)
		if err != nil && w.reassigned.Swap(false) && !w.rechecking.Load() {
			continue
		}
		if err != nil {
			return err
		}
		after = changes.Next
		changes.Since = w.asOf
		if (len(changes.Changes) > 0 || w.assigned.Feeding) && !w.deliver(changes) {
			return w.ctx.Err()
		}
		w.asOf = changes.AsOf
		if w.assigned.Feeder == "" && len(changes.Changes) > 0 && !anyUrgent(changes.Changes) {
			w.pause(w.bounds.BatchDelay)
		}
	}
	return w.ctx.Err()
}

// takeAssignments applies the latest assignment.
func (w *Watcher) takeAssignments() {
	for {
		source, ok := w.assignments.Pop()
		if !ok {
			return
		}
		w.assigned = source
	}
}

// nextChanges waits for the next changes. If the feeder fails, it reports that and
// asks the store instead.
func (w *Watcher) nextChanges(after Revision) (StoreChanges, error) {
	if w.assigned.Feeder != "" {
		changes, err := w.nextFromFeeder(after)
		if err == nil || w.ctx.Err() != nil || w.rechecking.Load() || w.reassigned.Load() {
			return changes, err
		}
		w.deliver(FeederFailed{Feeder: w.assigned.Feeder, Reason: err.Error()})
		w.assigned = ChangeSource{}
	}
	wait := w.bounds.Wait
	if w.assigned.Feeding {
		wait = w.bounds.Feed
	}
	ctx, cancel := w.callContext(wait)
	defer cancel()
	sentAt := clock.Now()
	changes, next, err := w.store.Watch(ctx, after, wait)
	return StoreChanges{Changes: changes, Next: next, AsOf: sentAt}, err
}

// nextFromFeeder asks the feeder. AsOf counts from before the request, because the
// transfer time of the response is unknown.
func (w *Watcher) nextFromFeeder(after Revision) (StoreChanges, error) {
	ctx, cancel := w.callContext(w.bounds.Feed)
	defer cancel()
	sentAt := clock.Now()
	response, err := w.feeder.Feed(ctx, w.assigned.Feeder, after, w.bounds.Feed)
	switch {
	case err != nil:
		return StoreChanges{}, err
	case response.Unavailable:
		return StoreChanges{}, eris.Wrap(ErrUnavailable, "the feeder has not got the changes")
	case response.Age > 2*w.bounds.Feed+w.bounds.ResponseTimeout:
		// The age counts from the beginning of a watch that has ended.
		return StoreChanges{}, eris.Wrap(ErrUnavailable, "the feeder's news are old")
	}
	return StoreChanges{Changes: response.Changes, Next: max(after, response.Next), AsOf: sentAt.Add(-response.Age)}, nil
}

// callContext returns a context for a call that waits; RereadStore and
// SetSource can cancel it.
func (w *Watcher) callContext(wait time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(w.ctx, wait+w.bounds.ResponseTimeout)
	w.cancelCall.Store(&cancel)
	return ctx, func() {
		w.cancelCall.Store(nil)
		cancel()
	}
}

func anyUrgent(changes []Change) bool {
	for i := range changes {
		if changes[i].isUrgent() {
			return true
		}
	}
	return false
}

func anyAffectsMembers(changes []Change) bool {
	for i := range changes {
		if changes[i].affectsMembers() {
			return true
		}
	}
	return false
}

func (w *Watcher) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.ctx.Done():
	}
}

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
	// ErrUnavailable, wrapped, if no response begins soon after that or it stops arriving.
	Feed(ctx context.Context, feeder session.PeerAddress, after Revision, wait time.Duration) (FeedResponse, error)
}

// Watcher reads the store on a thread of its own, directly or through feeders. It
// reads a snapshot, then follows the changes, and starts over when it may have
// missed some.
type Watcher struct {
	store  Source
	feeder Feeder
	bounds WatcherBounds
	// assignments are the sources set by SetSource. assigned is the latest one taken
	// from the ring. assignment gets a value with each, which ends pauseUntilAssigned.
	assignments *ring.Ring[ChangeSource]
	assigned    ChangeSource
	assignment  chan struct{}
	deliver     func(Input) bool
	ctx         context.Context
	cancel      context.CancelFunc
	// cancelCall cancels the call in progress. rechecking is set when RereadStore has
	// requested a read, reassigned when SetSource has cancelled a call.
	cancelCall atomic.Pointer[context.CancelFunc]
	rechecking atomic.Bool
	reassigned atomic.Bool
	// overloads counts the consecutive failures that indicated an overloaded store, and
	// failures the others since the last complete read. retryDelay limits both.
	overloads int
	failures  int
	// after is the revision up to which everything was delivered, 0 before the first
	// snapshot. asOf is when the store was last known to hold nothing newer.
	after Revision
	asOf  time.Time
	// feeders holds what is known of the assigned feeders. checkFailed is set when a
	// read of the store that the engine requested failed, until the store is read:
	// whether this instance itself reaches the store decides whether it is isolated.
	feeders     feederHealth
	checkFailed bool
	// refresh is set when the next read of the store must not wait: this instance has
	// become a feeder or has left its own, and does not know how old its records are.
	refresh bool
	// now and random are the clock and a random number below a limit; tests replace
	// them.
	now    func() time.Time
	random func(limit int64) int64
}

// WatcherBounds are the time limits of a Watcher.
type WatcherBounds struct {
	// Wait is how long a watch of the store waits for changes. Feed replaces it on
	// feeders and is the wait of their followers.
	Wait time.Duration
	Feed time.Duration
	// ResponseTimeout limits the time beyond a call's wait until its response begins, and
	// then the time between two parts of it.
	ResponseTimeout time.Duration
	// RetryInterval limits the delay before the second attempt while the store fails.
	// The limit doubles with each failure, up to MaxRetryDelay.
	RetryInterval time.Duration
	MaxRetryDelay time.Duration
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
		assignments: ring.New[ChangeSource](assignmentRingCapacity, ring.NewSignal()), assignment: make(chan struct{}, 1),
		now: clock.Now, random: rand.Int64N,
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
	select {
	case w.assignment <- struct{}{}:
	default:
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

func (w *Watcher) run() {
	for w.ctx.Err() == nil {
		err := w.readAll()
		if err == nil {
			err = w.followChanges()
		}
		switch {
		case w.ctx.Err() != nil, err == nil:
			// Without an error the fleet duty has stopped taking changes.
			return
		case eris.Is(err, ErrCompacted):
			// All instances that read the store notice this at the same time.
			w.pause(w.jitter(w.bounds.BatchDelay))
		default:
			w.deliver(StoreUnavailable{Reason: err.Error()})
			w.pause(w.retryDelay(err))
		}
	}
}

// readAll reads and delivers everything, the first time from the store and later from a
// feeder if one is assigned.
func (w *Watcher) readAll() error {
	w.takeAssignments()
	if w.after > 0 && w.assigned.Feeder != "" && !w.checkFailed {
		err := w.readFromFeeders()
		if err == nil || !w.mayTryStore() {
			return err
		}
	}
	return w.readSnapshot()
}

// deliverSnapshot delivers a snapshot that holds everything up to a time. It was read from
// the feeder, or from the store if that is empty.
func (w *Watcher) deliverSnapshot(snapshot *Snapshot, asOf time.Time, feeder session.PeerAddress) {
	w.deliver(StoreSnapshot{Snapshot: snapshot, Since: w.asOf, AsOf: asOf, Feeder: feeder})
	w.after, w.asOf = snapshot.Revision, asOf
	w.overloads, w.failures = 0, 0
	w.feeders.storeLost = false
}

// followChanges delivers the changes after what was delivered. It returns the error that
// ended this.
func (w *Watcher) followChanges() error {
	for w.ctx.Err() == nil {
		w.takeAssignments()
		if w.rechecking.Swap(false) {
			if err := w.checkStore(); err != nil {
				return err
			}
			continue
		}
		fromStore := w.assigned.Feeder == ""
		changes, err := w.nextChanges()
		switch {
		case err == nil:
		case w.rechecking.Load(), w.reassigned.Swap(false), eris.Is(err, errFeederNotReady):
			continue
		default:
			return err
		}
		if !w.deliverChanges(changes, w.assigned.Feeding) {
			return w.ctx.Err()
		}
		if fromStore && len(changes.Changes) > 0 && !anyUrgent(changes.Changes) {
			w.pauseUntilAssigned(w.bounds.BatchDelay)
		}
	}
	return w.ctx.Err()
}

// deliverChanges delivers changes, and none only if evenNone is set. It returns false once
// the instance stops.
func (w *Watcher) deliverChanges(changes StoreChanges, evenNone bool) bool {
	changes.Since = w.asOf
	w.after = changes.Next
	w.asOf = clock.Later(w.asOf, changes.AsOf)
	return len(changes.Changes) == 0 && !evenNone || w.deliver(changes)
}

// takeAssignments applies the latest assignment.
func (w *Watcher) takeAssignments() {
	for {
		source, ok := w.assignments.Pop()
		if !ok {
			return
		}
		w.reassigned.Store(false)
		select {
		case <-w.assignment:
		default:
		}
		if source.Feeding && !w.assigned.Feeding {
			w.refresh, w.feeders.answered = true, ""
		}
		if source.Feeder != w.assigned.Feeder {
			w.feeders = feederHealth{storeLost: w.feeders.storeLost, storeAttemptAt: w.feeders.storeAttemptAt}
		}
		w.assigned = source
	}
}

// nextChanges waits for the next changes. If no feeder delivers them, it reports that
// and asks the store instead.
func (w *Watcher) nextChanges() (StoreChanges, error) {
	if w.assigned.Feeder == "" {
		return w.nextFromStore()
	}
	changes, err := w.nextFromFeeders()
	if err == nil || w.ctx.Err() != nil || w.rechecking.Load() || w.reassigned.Load() {
		return changes, err
	}
	feeding := w.assigned.Feeding
	if !feeding {
		switch {
		case eris.Is(err, errFeederLostStore):
			w.feedersLostStore()
			return changes, err
		case eris.Is(err, errFeederNotReady) && w.awaitFeeder():
			return changes, err
		}
	}
	w.leaveFeeders(err.Error())
	if !feeding {
		// All followers of the feeders may notice their failure at the same time.
		w.pause(w.jitter(fallbackSpread))
	}
	return w.nextFromStore()
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

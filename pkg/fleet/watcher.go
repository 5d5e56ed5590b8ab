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

// Feeder asks another instance for news. It is used by one thread.
type Feeder interface {
	// Feed waits up to the given time for changes after a revision. It returns
	// ErrUnavailable, wrapped, when no answer comes in time.
	Feed(ctx context.Context, feeder session.PeerAddress, after Revision, wait time.Duration) (FeedAnswer, error)
}

// Watcher follows the store on a thread of its own, itself or through another
// instance: it reads everything, waits for changes, and starts over after a gap.
type Watcher struct {
	source Source
	feeder Feeder
	bounds WatchBounds
	// orders tell where to have the news from, from is the newest of them.
	orders  *ring.Ring[NewsFrom]
	from    NewsFrom
	deliver func(Input) bool
	ctx     context.Context
	cancel  context.CancelFunc
	// endWait ends the call under way; checking is set when Check has ended it,
	// ordered when Follow has.
	endWait  atomic.Pointer[context.CancelFunc]
	checking atomic.Bool
	ordered  atomic.Bool
	// strain counts the failures in a row that showed an overloaded store.
	strain int
	// current is when the store was last known to have nothing newer.
	current time.Time
}

// WatchBounds bound the calls of a Watcher.
type WatchBounds struct {
	// Wait is how long a watch waits for changes; Feed is that of an instance which
	// feeds others, and of its followers.
	Wait time.Duration
	Feed time.Duration
	// Answer bounds the time of a call beyond its wait.
	Answer time.Duration
	// Pause is the time between two attempts while the store fails.
	Pause time.Duration
	// Gather is the pause after changes that nobody waits for, which come in
	// numbers when instances and members start.
	Gather time.Duration
}

// NewWatcher returns a watcher. deliver hands an input to the fleet duty and
// reports false once the instance stops.
func NewWatcher(source Source, feeder Feeder, bounds WatchBounds, deliver func(Input) bool) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watcher{
		source: source, feeder: feeder, bounds: bounds, deliver: deliver, ctx: ctx, cancel: cancel,
		orders: ring.New[NewsFrom](newsRing, ring.NewSignal()),
	}
}

// newsRing is the number of orders that can wait while a call is under way; each
// follows a change of the instances.
const newsRing = 256

// Follow tells where to have the news from, ends the wait under way, and reports
// whether there was room for the order.
func (w *Watcher) Follow(from NewsFrom) bool {
	if !w.orders.TryPush(from) {
		return false
	}
	if end := w.endWait.Load(); end != nil {
		w.ordered.Store(true)
		(*end)()
	}
	return true
}

// Start starts the thread in g.
func (w *Watcher) Start(g *duty.Group) {
	g.Start("store-watch", w.run)
}

// Stop ends the thread.
func (w *Watcher) Stop() {
	w.cancel()
}

// Check ends the wait for changes, so that the store is read at once and a
// silent one is noticed within the bound of a read.
func (w *Watcher) Check() {
	if end := w.endWait.Load(); end != nil {
		w.checking.Store(true)
		(*end)()
	}
}

func (w *Watcher) run() {
	for w.ctx.Err() == nil {
		after, err := w.read()
		if err == nil {
			err = w.follow(after)
		}
		if w.ctx.Err() != nil {
			return
		}
		if !w.checking.Swap(false) && !eris.Is(err, ErrCompacted) {
			w.deliver(StoreLost{Reason: err.Error()})
			w.noteStrain(err)
			w.pause(w.retryPause())
		}
	}
}

// noteStrain counts failures of an overloaded store, which many instances that
// read everything again would keep so.
func (w *Watcher) noteStrain(err error) {
	if !eris.Is(err, ErrOverloaded) {
		w.strain = 0
		return
	}
	w.strain = min(w.strain+1, maxStrain)
}

// maxStrain bounds the doublings of the pause and of the time for an answer.
const maxStrain = 4

// retryPause doubles with the strain. Instances that failed together do not try
// again together.
func (w *Watcher) retryPause() time.Duration {
	pause := w.bounds.Pause << w.strain
	if w.strain == 0 {
		return pause
	}
	return pause/2 + rand.N(pause)
}

func (w *Watcher) read() (Revision, error) {
	ctx, cancel := context.WithTimeout(w.ctx, w.bounds.Answer<<w.strain)
	defer cancel()
	asked := clock.Now()
	snapshot, err := w.source.Snapshot(ctx)
	if err != nil {
		return 0, err
	}
	w.deliver(StoreSeen{Snapshot: snapshot, Since: w.current, Current: asked})
	w.current = asked
	w.strain = 0
	return snapshot.Revision, nil
}

// follow returns the error that ends the watch.
func (w *Watcher) follow(after Revision) error {
	for w.ctx.Err() == nil {
		w.takeOrders()
		news, err := w.next(after)
		if err != nil && w.ordered.Swap(false) && !w.checking.Load() {
			continue
		}
		if err != nil {
			return err
		}
		after = news.Next
		news.Since = w.current
		if (len(news.Changes) > 0 || w.from.Feeding) && !w.deliver(news) {
			return w.ctx.Err()
		}
		w.current = news.Current
		if w.from.Feeder == "" && len(news.Changes) > 0 && !anyUrgent(news.Changes) {
			w.pause(w.bounds.Gather)
		}
	}
	return w.ctx.Err()
}

func (w *Watcher) takeOrders() {
	for {
		from, ok := w.orders.Pop()
		if !ok {
			return
		}
		w.from = from
	}
}

// next waits for the next changes. A feeder that has none in time is reported,
// and the store is asked in its place.
func (w *Watcher) next(after Revision) (StoreChanged, error) {
	if w.from.Feeder != "" {
		news, err := w.nextFed(after)
		if err == nil || w.ctx.Err() != nil || w.checking.Load() || w.ordered.Load() {
			return news, err
		}
		w.deliver(FeedFailed{Feeder: w.from.Feeder, Reason: err.Error()})
		w.from = NewsFrom{}
	}
	wait := w.bounds.Wait
	if w.from.Feeding {
		wait = w.bounds.Feed
	}
	ctx, end := w.bounded(wait)
	defer end()
	asked := clock.Now()
	changes, next, err := w.source.Watch(ctx, after, wait)
	return StoreChanged{Changes: changes, Next: next, Current: asked}, err
}

// nextFed asks the feeder. Its news count from before the question, because the
// time of the answer on the way is not known.
func (w *Watcher) nextFed(after Revision) (StoreChanged, error) {
	ctx, end := w.bounded(w.bounds.Feed)
	defer end()
	asked := clock.Now()
	a, err := w.feeder.Feed(ctx, w.from.Feeder, after, w.bounds.Feed)
	switch {
	case err != nil:
		return StoreChanged{}, err
	case a.Unfit:
		return StoreChanged{}, eris.Wrap(ErrUnavailable, "the feeder has not got the changes")
	case a.Age > 2*w.bounds.Feed+w.bounds.Answer:
		// The age counts from the beginning of a watch that has ended.
		return StoreChanged{}, eris.Wrap(ErrUnavailable, "the feeder's news are old")
	}
	return StoreChanged{Changes: a.Changes, Next: max(after, a.Next), Current: asked.Add(-a.Age)}, nil
}

// bounded returns a context for a call that waits, which Check may end.
func (w *Watcher) bounded(wait time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(w.ctx, wait+w.bounds.Answer)
	w.endWait.Store(&cancel)
	return ctx, func() {
		w.endWait.Store(nil)
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

func anyConcernsMembers(changes []Change) bool {
	for i := range changes {
		if changes[i].concernsMembers() {
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

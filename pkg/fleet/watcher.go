package fleet

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
)

// Watcher follows the store on a thread of its own: it reads everything, waits
// for changes, and starts over after a gap.
type Watcher struct {
	source  Source
	bounds  WatchBounds
	deliver func(Input) bool
	ctx     context.Context
	cancel  context.CancelFunc
	// endWait ends the call under way; checking is set when Check has ended it.
	endWait  atomic.Pointer[context.CancelFunc]
	checking atomic.Bool
	// strain counts the failures in a row that showed an overloaded store.
	strain int
	// current is when the store was last known to have nothing newer.
	current time.Time
}

// WatchBounds bound the calls of a Watcher.
type WatchBounds struct {
	// Wait is how long a watch waits for changes.
	Wait time.Duration
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
func NewWatcher(source Source, bounds WatchBounds, deliver func(Input) bool) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watcher{source: source, bounds: bounds, deliver: deliver, ctx: ctx, cancel: cancel}
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
	w.deliver(StoreSeen{Snapshot: snapshot, Since: w.current})
	w.current = asked
	w.strain = 0
	return snapshot.Revision, nil
}

// follow returns the error that ends the watch.
func (w *Watcher) follow(after Revision) error {
	for {
		asked := clock.Now()
		ctx, cancel := context.WithTimeout(w.ctx, w.bounds.Wait+w.bounds.Answer)
		w.endWait.Store(&cancel)
		changes, next, err := w.source.Watch(ctx, after, w.bounds.Wait)
		w.endWait.Store(nil)
		cancel()
		if err != nil {
			return err
		}
		after = next
		if len(changes) > 0 && !w.deliver(StoreChanged{Changes: changes, Since: w.current}) {
			return w.ctx.Err()
		}
		w.current = asked
		if len(changes) > 0 && !anyUrgent(changes) {
			w.pause(w.bounds.Gather)
		}
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

package fleet

import (
	"context"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/progress"
)

// The watcher's own reads of the store.

// maxTransferTime bounds the transfer of a response that arrives slowly: the longest one, all
// records with a configuration of 1 MB, over a fifth of a link of 10 Mbit/s.
const maxTransferTime = 8 * time.Second

// readSnapshot reads everything from the store and delivers it.
func (w *Watcher) readSnapshot() error {
	ctx, cancel := progress.WithLimits(w.ctx, w.readLimits(w.bounds.ResponseTimeout<<w.overloads))
	defer cancel()
	sentAt := w.now()
	snapshot, err := w.store.Snapshot(ctx)
	if err != nil {
		w.storeAttemptFailed()
		return err
	}
	if w.followsLostFeeder() {
		w.leaveFeeders("the feeder has lost the store")
	}
	first := w.after == 0 && w.assigned == ChangeSource{}
	w.checkFailed = false
	w.deliverSnapshot(snapshot, sentAt, "")
	if first {
		// Instances that start together register now, and the engine may assign a feeder.
		w.pauseUntilAssigned(w.bounds.BatchDelay)
	}
	return nil
}

// nextFromStore waits for the next changes from the store.
func (w *Watcher) nextFromStore() (StoreChanges, error) {
	wait := w.bounds.Wait
	switch {
	case w.refresh:
		wait = 0
	case w.assigned.Feeding:
		wait = w.bounds.Feed
	}
	changes, err := w.watchStore(wait)
	w.refresh = w.refresh && err != nil
	return changes, err
}

// watchStore asks the store for the changes and waits for them up to the given time.
func (w *Watcher) watchStore(wait time.Duration) (StoreChanges, error) {
	ctx, cancel := w.callContext(progress.WithLimits(w.ctx, w.readLimits(wait+w.bounds.ResponseTimeout)))
	defer cancel()
	sentAt := w.now()
	changes, next, err := w.store.Watch(ctx, w.after, wait)
	return StoreChanges{Changes: changes, Next: next, AsOf: sentAt}, err
}

// checkStore reads the changes from the store at once and delivers them, also none: the
// engine needs to know that the store was read.
func (w *Watcher) checkStore() error {
	changes, err := w.watchStore(0)
	w.checkFailed = err != nil
	if err == nil {
		w.deliverChanges(changes, true)
	}
	return err
}

// readLimits returns the limits of a read of the store whose response begins within the given
// time.
func (w *Watcher) readLimits(first time.Duration) progress.Limits {
	return progress.Limits{First: first, Idle: w.bounds.ResponseTimeout, Total: first + maxTransferTime}
}

// callContext returns the context of a call that waits, which RereadStore and SetSource can
// cancel from now on, and the function that ends it.
func (w *Watcher) callContext(ctx context.Context, cancel context.CancelFunc) (context.Context, func()) {
	w.cancelCall.Store(&cancel)
	return ctx, func() {
		w.cancelCall.Store(nil)
		cancel()
	}
}

// RereadStore cancels the wait in progress so that the store is read at once, without
// a feeder. An unresponsive store is then noticed within the time limit of a read.
func (w *Watcher) RereadStore() {
	if cancel := w.cancelCall.Load(); cancel != nil {
		w.rechecking.Store(true)
		(*cancel)()
	}
}

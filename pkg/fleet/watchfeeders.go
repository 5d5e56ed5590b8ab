package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// A follower requests the store's changes from its feeder and, when that fails, from a
// second one, the standby. Only when both fail does it read the store itself. When they
// have lost the store, the follower tries the store rarely, and returns as soon as a
// feeder can read it again.

const (
	// fallbackSpread is the time over which the followers of failed feeders spread
	// their first reads of the store. Two unresponsive feeders are noticed after
	// 1.55 s and 0.3 s, so that a configuration is still found within 3 s.
	fallbackSpread = 300 * time.Millisecond
	// lostStoreSpread is the time over which the followers of feeders that have lost
	// the store spread their first reads of it. Feeders notice an unresponsive store
	// after 1.5 s, so that a configuration is found within 3 s if only they lost it.
	lostStoreSpread = 800 * time.Millisecond
	// feederPollInterval limits the delay between two requests to feeders that cannot
	// serve.
	feederPollInterval = 250 * time.Millisecond
	// minFeederReadyTime and maxFeederReadyTime limit how long a follower waits for a
	// feeder that responds and does not serve. The instances learn of each other's start
	// or stop within about half a second. The time is random: of instances that wait
	// for each other, because each knows another part of the registrations, the first
	// one to read the store ends the wait of all.
	minFeederReadyTime = 200 * time.Millisecond
	maxFeederReadyTime = 1200 * time.Millisecond
	// followerRetryFactor is how many times longer than MaxRetryDelay a follower waits
	// at most between two reads of a store that its feeders have lost too. The feeders
	// retry meanwhile, so that the limit does not have to grow from a short one.
	followerRetryFactor = 5
)

var (
	// errFeederLostStore means that the feeder responds and cannot read the store.
	errFeederLostStore = eris.New("the feeder has lost the store")
	// errFeederNotReady means that the feeder responds and is not a feeder, or does
	// not have the changes.
	errFeederNotReady = eris.New("the feeder has not got the changes")
)

// feederHealth is what a follower knows of its feeders.
type feederHealth struct {
	// answered is the instance that answered the last request, empty if that failed.
	answered session.PeerAddress
	// standbyUntil is the time until which the standby is asked first, because the
	// feeder failed.
	standbyUntil time.Time
	// readyUntil is the time until which feeders that are not ready are asked again,
	// zero if they serve.
	readyUntil time.Time
	// storeLost is set while the feeders cannot read the store. The follower itself
	// tries to read it at storeAttemptAt.
	storeLost      bool
	storeAttemptAt time.Time
}

// feedersLostStore records that the feeders cannot read the store.
func (w *Watcher) feedersLostStore() {
	w.feeders.storeLost = true
	w.feeders.storeAttemptAt = w.now().Add(w.jitter(lostStoreSpread))
}

// followsLostFeeder reports whether this instance follows feeders that cannot read the
// store.
func (w *Watcher) followsLostFeeder() bool {
	return w.feeders.storeLost && w.assigned.Feeder != "" && !w.assigned.Feeding && !w.checkFailed
}

// mayTryStore reports whether this instance may read the store although it has feeders.
func (w *Watcher) mayTryStore() bool {
	return !w.followsLostFeeder() || !w.now().Before(w.feeders.storeAttemptAt)
}

// storeAttemptFailed sets the time of a follower's next read of the store.
func (w *Watcher) storeAttemptFailed() {
	if !w.followsLostFeeder() {
		return
	}
	w.feeders.storeAttemptAt = w.now().Add(w.jitter(w.bounds.MaxRetryDelay * followerRetryFactor))
}

// leaveFeeders reports that the feeders failed. The store is read until the engine
// assigns another source.
func (w *Watcher) leaveFeeders(reason string) {
	w.deliver(FeederFailed{Feeder: w.assigned.Feeder, Reason: reason})
	w.assigned = ChangeSource{Feeding: w.assigned.Feeding}
	w.feeders = feederHealth{}
	w.refresh = true
}

// awaitFeeder pauses before the next request to feeders that are not ready. It returns
// false if they have not been ready for too long.
func (w *Watcher) awaitFeeder() bool {
	if w.feeders.readyUntil.IsZero() {
		w.feeders.readyUntil = w.now().Add(minFeederReadyTime + w.jitter(maxFeederReadyTime-minFeederReadyTime))
	}
	if !w.now().Before(w.feeders.readyUntil) {
		return false
	}
	w.pauseUntilAssigned(w.jitter(feederPollInterval))
	return true
}

// nextFromFeeders waits for the next changes from the feeder or the standby.
func (w *Watcher) nextFromFeeders() (StoreChanges, error) {
	return w.askFeeders(func(feeder session.PeerAddress, wait time.Duration) (StoreChanges, error) {
		changes, err := w.changesFrom(feeder, wait)
		if eris.Is(err, errFeederNotReady) {
			return w.everythingFrom(feeder)
		}
		return changes, err
	})
}

// readFromFeeders reads everything from the feeder or the standby and delivers it.
func (w *Watcher) readFromFeeders() error {
	_, err := w.askFeeders(func(feeder session.PeerAddress, _ time.Duration) (StoreChanges, error) {
		return w.everythingFrom(feeder)
	})
	return err
}

// askFeeders asks the feeder and, if that fails, the standby, or first the standby if the
// feeder failed shortly before. The second one is asked without a wait, so that the
// failure of both is noticed in time.
func (w *Watcher) askFeeders(ask func(feeder session.PeerAddress, wait time.Duration) (StoreChanges, error)) (StoreChanges, error) {
	first, second := w.assigned.Feeder, w.assigned.Standby
	standbyFirst := second != "" && w.now().Before(w.feeders.standbyUntil)
	if standbyFirst {
		first, second = second, first
	}
	// A feeder that did not answer the last request is asked without a wait: the
	// followers of this instance wait for its answer meanwhile.
	wait := time.Duration(0)
	if first == w.feeders.answered {
		wait = w.feedWait()
	}
	changes, err := ask(first, wait)
	if err == nil || second == "" || w.ctx.Err() != nil || w.rechecking.Load() || w.reassigned.Load() {
		w.noteAnswer(first, err)
		return changes, err
	}
	changes, secondErr := ask(second, 0)
	w.noteAnswer(second, secondErr)
	switch {
	case eris.Is(secondErr, errFeederLostStore):
		return changes, secondErr
	case secondErr != nil:
		return changes, err
	}
	w.feeders.standbyUntil = time.Time{}
	if !standbyFirst {
		w.feeders.standbyUntil = w.now().Add(feederRetryDelay)
	}
	return changes, nil
}

// noteAnswer notes whether a feeder serves.
func (w *Watcher) noteAnswer(feeder session.PeerAddress, err error) {
	if err != nil {
		w.feeders.answered = ""
		return
	}
	w.feeders.answered, w.feeders.readyUntil = feeder, time.Time{}
}

// feedWait returns how long a feeder may hold a request. It is longer than the feeder's
// own watch of the store, and random: if requests ended just before that watch, the next
// ones would miss its result each time.
func (w *Watcher) feedWait() time.Duration {
	return w.bounds.Feed*9/8 + w.jitter(w.bounds.Feed/8)
}

// changesFrom waits for changes from a feeder.
func (w *Watcher) changesFrom(feeder session.PeerAddress, wait time.Duration) (StoreChanges, error) {
	response, asOf, err := w.callFeeder(feeder, w.after, wait)
	if err != nil {
		return StoreChanges{}, err
	}
	return StoreChanges{Changes: response.Changes, Next: max(w.after, response.Next), AsOf: asOf, Feeder: feeder}, nil
}

// everythingFrom reads everything from a feeder and delivers it. It returns that there
// are no changes after that. What a feeder knows may be older than what this instance
// knows; it is not used then.
func (w *Watcher) everythingFrom(feeder session.PeerAddress) (StoreChanges, error) {
	response, asOf, err := w.callFeeder(feeder, 0, 0)
	if err != nil {
		return StoreChanges{}, err
	}
	if response.Snapshot == nil || response.Snapshot.Revision < w.after {
		return StoreChanges{}, errFeederNotReady
	}
	w.deliverSnapshot(response.Snapshot, asOf, feeder)
	return StoreChanges{Next: w.after, AsOf: asOf, Feeder: feeder}, nil
}

// callFeeder sends a request to a feeder. It returns the response and the time at which
// the store held nothing newer. The error is that of Feeder.Feed, errFeederLostStore,
// errFeederNotReady or ErrUnavailable, wrapped, for a response that is too old.
func (w *Watcher) callFeeder(feeder session.PeerAddress, after Revision, wait time.Duration) (FeedResponse, time.Time, error) {
	ctx, cancel := w.callContext(context.WithTimeout(w.ctx, wait+w.bounds.ResponseTimeout+maxTransferTime))
	defer cancel()
	sentAt := w.now()
	response, err := w.feeder.Feed(ctx, feeder, after, wait)
	switch {
	case err != nil:
		return response, sentAt, err
	case response.StoreLost:
		return response, sentAt, errFeederLostStore
	case response.Unavailable:
		return response, sentAt, errFeederNotReady
	case response.Age > 2*w.bounds.Feed+w.bounds.ResponseTimeout:
		// The age counts from the beginning of the last watch of the store that has ended.
		return response, sentAt, eris.Wrap(ErrUnavailable, "the feeder's news are old")
	}
	// The transfer took the time that the feeder did not hold the request, at most.
	held := min(response.Held, w.now().Sub(sentAt))
	return response, sentAt.Add(held - response.Age), nil
}

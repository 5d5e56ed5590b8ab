package fleet

import (
	"time"

	"github.com/rotisserie/eris"
)

// maxOverloads limits how often the delay and the response timeout are doubled for an
// overloaded store.
const maxOverloads = 4

// maxFailures limits how often the delay is doubled for a store that cannot be reached,
// so that the doubling does not overflow. MaxRetryDelay is reached earlier.
const maxFailures = 16

// jitter returns a random duration above zero and up to the limit, zero without a limit.
func (w *Watcher) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(w.random(int64(limit))) + 1
}

// retryDelay counts the failure and returns the delay before the next attempt. Its limit
// doubles with each failure, and the delay is random, so that instances that failed
// together do not retry together. At an overloaded store it is at least half of the doubled
// interval: with shorter delays, many instances that read everything again would keep the
// store overloaded. A follower of feeders that have lost the store asks these instead.
func (w *Watcher) retryDelay(err error) time.Duration {
	if w.followsLostFeeder() {
		return w.jitter(feederPollInterval)
	}
	if eris.Is(err, ErrOverloaded) {
		w.overloads = min(w.overloads+1, maxOverloads)
		delay := w.bounds.RetryInterval << w.overloads
		return delay/2 + w.jitter(delay)
	}
	w.overloads = 0
	longest := max(w.bounds.MaxRetryDelay, w.bounds.RetryInterval)
	delay := w.jitter(min(w.bounds.RetryInterval<<w.failures, longest))
	w.failures = min(w.failures+1, maxFailures)
	return delay
}

func (w *Watcher) pause(d time.Duration) {
	w.pauseUntil(d, nil)
}

// pauseUntilAssigned pauses until the time is over or a source is assigned.
func (w *Watcher) pauseUntilAssigned(d time.Duration) {
	w.pauseUntil(d, w.assignment)
}

// pauseUntil pauses until the time is over, the event occurs or the watcher stops.
func (w *Watcher) pauseUntil(d time.Duration, event <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-event:
	case <-w.ctx.Done():
	}
}

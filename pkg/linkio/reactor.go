package linkio

import (
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire/outbox"
)

// drainBatch bounds the ring items handled between two polls, so that a burst
// of commands does not starve the sockets.
const drainBatch = 256

// reactor is the loop of a socket duty: commands from a ring, events from
// sockets, deadlines, and events for session that wait for room in its ring.
type reactor[In any] struct {
	loop     *netloop.Loop
	ring     *ring.Ring[In]
	outbox   *outbox.Outbox
	timers   timerq.Queue[func()]
	stalled  []func()
	handle   func(In)
	finished func() bool
	stopping atomic.Bool
	// stopBy ends a stop that waits for output; zero until the stop is seen.
	stopBy time.Time
}

func newReactor[In any](capacity int, session outbox.SessionRing, handle func(In)) (*reactor[In], error) {
	loop, err := netloop.New()
	if err != nil {
		return nil, &ConfigError{Reason: "cannot create the event loop", Err: err}
	}
	r := &reactor[In]{
		loop:   loop,
		ring:   ring.New[In](capacity, loop),
		outbox: outbox.New(session, loop),
		handle: handle,
	}
	r.finished = r.stopping.Load
	return r, nil
}

// stop ends run. It is safe for concurrent use.
func (r *reactor[In]) stop() {
	r.stopping.Store(true)
	r.loop.Wake()
}

// run returns after stop, or with an error when the event loop fails.
func (r *reactor[In]) run() error {
	defer r.loop.Close()
	for !r.finished() {
		r.drainRing()
		r.resumeStalled()
		r.fireTimers(clock.Now())
		if err := r.wait(); err != nil {
			return err
		}
	}
	return nil
}

func (r *reactor[In]) wait() error {
	if !r.ring.Park() {
		return r.loop.Poll(0)
	}
	defer r.ring.Unpark()
	next, armed := r.timers.Next()
	if !r.stopBy.IsZero() && (!armed || r.stopBy.Before(next)) {
		next, armed = r.stopBy, true
	}
	if !armed {
		return r.loop.Poll(-1)
	}
	return r.loop.Poll(max(next.Sub(clock.Now()), 0))
}

func (r *reactor[In]) fireTimers(now time.Time) {
	for {
		item, due := r.timers.PopDue(now)
		if !due {
			return
		}
		item.Value()
	}
}

func (r *reactor[In]) drainRing() {
	for range drainBatch {
		in, ok := r.ring.Pop()
		if !ok {
			return
		}
		r.handle(in)
	}
}

// stall runs resume once the session ring has taken every waiting event.
func (r *reactor[In]) stall(resume func()) {
	r.stalled = append(r.stalled, resume)
}

func (r *reactor[In]) resumeStalled() {
	if r.outbox.Blocked() && !r.outbox.Flush() {
		return
	}
	for len(r.stalled) > 0 && !r.outbox.Blocked() {
		last := len(r.stalled) - 1
		resume := r.stalled[last]
		r.stalled[last] = nil
		r.stalled = r.stalled[:last]
		resume()
	}
}

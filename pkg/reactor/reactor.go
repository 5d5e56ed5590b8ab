// Package reactor is the loop of the duties that own sockets: commands from a
// ring, events from sockets, deadlines, and events for session that wait for
// room in its ring.
package reactor

import (
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire/outbox"
)

// drainBatch bounds the ring items handled between two polls, so that a burst
// of commands does not starve the sockets.
const drainBatch = 256

// Config configures a Reactor.
type Config[In any] struct {
	// Capacity is that of the ring, in items.
	Capacity int
	// Session takes the events.
	Session outbox.SessionRing
	// Handle carries out one command.
	Handle func(In)
	// Now is the clock of the deadlines.
	Now func() time.Time
}

// Reactor belongs to the thread that calls Run; only Stop and the producer side
// of Commands are safe for concurrent use.
type Reactor[In any] struct {
	Loop     *netloop.Loop
	Commands *ring.Ring[In]
	Outbox   *outbox.Outbox
	Timers   timerq.Queue[func()]
	// Lingers reports whether a stop has to wait, for output that is not sent; it
	// waits for LingerTime at most. Nil means that a stop ends at once.
	Lingers    func() bool
	LingerTime time.Duration

	handle   func(In)
	now      func() time.Time
	stalled  []func()
	stopping atomic.Bool
	// stopBy ends a stop that lingers; zero until the stop is seen.
	stopBy time.Time
}

// New returns a reactor. It returns a *netloop.OpError when the kernel refuses
// the descriptors.
func New[In any](c Config[In]) (*Reactor[In], error) {
	loop, err := netloop.New()
	if err != nil {
		return nil, err
	}
	return &Reactor[In]{
		Loop:     loop,
		Commands: ring.New[In](c.Capacity, loop),
		Outbox:   outbox.New(c.Session, loop),
		handle:   c.Handle,
		now:      c.Now,
	}, nil
}

// Stop ends Run, after the output that Lingers reports was sent or LingerTime
// has passed.
func (r *Reactor[In]) Stop() {
	r.stopping.Store(true)
	r.Loop.Wake()
}

// Run serves the sockets until Stop. It returns an error when the event loop
// fails.
func (r *Reactor[In]) Run() error {
	defer r.Loop.Close()
	for !r.finished() {
		r.drainRing()
		r.resumeStalled()
		r.fireTimers(r.now())
		if err := r.wait(); err != nil {
			return err
		}
	}
	return nil
}

// finished reports whether a requested stop is complete.
func (r *Reactor[In]) finished() bool {
	if !r.stopping.Load() {
		return false
	}
	if r.Lingers == nil {
		return true
	}
	now := r.now()
	if r.stopBy.IsZero() {
		r.stopBy = now.Add(r.LingerTime)
		r.Loop.CloseListeners()
	}
	return !now.Before(r.stopBy) || r.Commands.Len() == 0 && !r.Lingers()
}

func (r *Reactor[In]) wait() error {
	if !r.Commands.Park() {
		return r.Loop.Poll(0)
	}
	defer r.Commands.Unpark()
	next, armed := r.Timers.Next()
	if !r.stopBy.IsZero() && (!armed || r.stopBy.Before(next)) {
		next, armed = r.stopBy, true
	}
	if !armed {
		return r.Loop.Poll(-1)
	}
	return r.Loop.Poll(max(next.Sub(r.now()), 0))
}

func (r *Reactor[In]) fireTimers(now time.Time) {
	for {
		item, due := r.Timers.PopDue(now)
		if !due {
			return
		}
		item.Value()
	}
}

func (r *Reactor[In]) drainRing() {
	for range drainBatch {
		in, ok := r.Commands.Pop()
		if !ok {
			return
		}
		r.handle(in)
	}
}

// Stall runs resume once the session ring has taken every waiting event. The
// caller has stopped reading its socket.
func (r *Reactor[In]) Stall(resume func()) {
	r.stalled = append(r.stalled, resume)
}

func (r *Reactor[In]) resumeStalled() {
	if r.Outbox.Blocked() && !r.Outbox.Flush() {
		return
	}
	for len(r.stalled) > 0 && !r.Outbox.Blocked() {
		last := len(r.stalled) - 1
		resume := r.stalled[last]
		r.stalled[last] = nil
		r.stalled = r.stalled[:last]
		resume()
	}
}

// Package reactor provides the event loop of the duties that own sockets. It handles
// commands from a ring, socket events and timers, and queues events for the session
// duty while its ring is full.
package reactor

import (
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire/outbox"
)

// commandBatchSize is the maximum number of commands handled between two polls, so
// that a burst of commands does not starve the sockets.
const commandBatchSize = 256

// Config configures a Reactor.
type Config[In any] struct {
	// Capacity is the capacity of the command ring, in commands.
	Capacity int
	// Session receives the events.
	Session outbox.SessionRing
	// Handle carries out one command.
	Handle func(In)
	// Now is the clock of the timers.
	Now func() time.Time
}

// Reactor is the event loop of one duty. It belongs to the thread that calls Run; only
// Stop and the producer side of Commands are safe for concurrent use.
type Reactor[In any] struct {
	Loop     *netloop.Loop
	Commands *ring.Ring[In]
	Outbox   *outbox.Outbox
	Timers   timerq.Queue[func()]
	// OutputPending reports whether a connection still has to deliver something. A stop
	// waits for it, for FlushTimeout at most, and handles the commands that came before its
	// end. Nil means that a stop does not wait and drops the commands that are left: a request
	// must not be sent when nobody waits for its answer.
	OutputPending func() bool
	FlushTimeout  time.Duration
	// OnStop is called when Run notices the stop, and OnEnd before Run closes the sockets.
	// Both may be nil; OnStop is not called without OutputPending.
	OnStop func()
	OnEnd  func()

	handle          func(In)
	now             func() time.Time
	resumeCallbacks []func()
	stopping        atomic.Bool
	// stopDeadline ends a stop that waits for unsent output; zero until Run notices
	// the stop.
	stopDeadline time.Time
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

// Stop makes Run return once OutputPending reports false or FlushTimeout has passed.
func (r *Reactor[In]) Stop() {
	r.stopping.Store(true)
	r.Loop.Wake()
}

// Run handles commands, sockets and timers until Stop. It returns the error of a
// failed poll.
func (r *Reactor[In]) Run() error {
	defer r.end()
	for {
		r.handleCommands()
		r.runResumeCallbacks()
		r.fireTimers(r.now())
		// The commands above may have ended what a stop waits for.
		if r.finished() {
			return nil
		}
		if err := r.poll(); err != nil {
			return err
		}
	}
}

// end handles the commands that are left, unless a stop drops them, and closes the sockets.
func (r *Reactor[In]) end() {
	if r.OutputPending != nil {
		// Commands that arrive meanwhile are not waited for, which bounds the loop.
		for left := r.Commands.Len(); left > 0; left -= commandBatchSize {
			r.handleCommands()
		}
	}
	if r.OnEnd != nil {
		r.OnEnd()
	}
	r.Loop.Close()
}

// finished reports whether a stop was requested and Run may return. If the stop may
// have to wait, the first call after the request closes the listeners.
func (r *Reactor[In]) finished() bool {
	if !r.stopping.Load() {
		return false
	}
	if r.OutputPending == nil {
		return true
	}
	now := r.now()
	if r.stopDeadline.IsZero() {
		r.stopDeadline = now.Add(r.FlushTimeout)
		r.Loop.CloseListeners()
		if r.OnStop != nil {
			r.OnStop()
		}
	}
	return !now.Before(r.stopDeadline) || r.Commands.Len() == 0 && !r.OutputPending()
}

// poll waits for sockets, commands or the next timer.
func (r *Reactor[In]) poll() error {
	if !r.Commands.Park() {
		return r.Loop.Poll(0)
	}
	defer r.Commands.Unpark()
	next, armed := r.Timers.Next()
	if !r.stopDeadline.IsZero() && (!armed || r.stopDeadline.Before(next)) {
		next, armed = r.stopDeadline, true
	}
	if !armed {
		return r.Loop.Poll(-1)
	}
	return r.Loop.Poll(max(next.Sub(r.now()), 0))
}

// fireTimers runs the timers that are due.
func (r *Reactor[In]) fireTimers(now time.Time) {
	for {
		item, due := r.Timers.PopDue(now)
		if !due {
			return
		}
		item.Value()
	}
}

// handleCommands handles up to commandBatchSize commands.
func (r *Reactor[In]) handleCommands() {
	for range commandBatchSize {
		in, ok := r.Commands.Pop()
		if !ok {
			return
		}
		r.handle(in)
	}
}

// ResumeLater registers resume to be called once the session ring has accepted
// all queued events. The caller must have paused reading its socket.
func (r *Reactor[In]) ResumeLater(resume func()) {
	r.resumeCallbacks = append(r.resumeCallbacks, resume)
}

// runResumeCallbacks flushes the outbox and calls the registered callbacks until one
// of them fills the session ring again.
func (r *Reactor[In]) runResumeCallbacks() {
	if r.Outbox.Blocked() && !r.Outbox.Flush() {
		return
	}
	for len(r.resumeCallbacks) > 0 && !r.Outbox.Blocked() {
		last := len(r.resumeCallbacks) - 1
		resume := r.resumeCallbacks[last]
		r.resumeCallbacks[last] = nil
		r.resumeCallbacks = r.resumeCallbacks[:last]
		resume()
	}
}

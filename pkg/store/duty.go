package store

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
)

// Capacities of the input rings, in calls. The watch ring needs room for one
// watch per watched prefix only.
const (
	CallRingCapacity  = 256
	WatchRingCapacity = 8
)

// idleWait is the longest wait of an idle thread; a push ends it earlier.
const idleWait = time.Minute

// Output tells the duty where results go.
type Output struct {
	// Deliver reports false when the consumer has no room.
	Deliver func(Result) bool
	// CallRoom and WatchRoom are woken when Deliver may succeed again, one for
	// each thread.
	CallRoom  *ring.Signal
	WatchRoom *ring.Signal
}

// Duty runs the calls on one thread and the watches on another.
type Duty struct {
	store   Store
	output  Output
	calls   *worker
	watches *worker
}

type worker struct {
	ring    *ring.Ring[Call]
	signal  *ring.Signal
	room    *ring.Signal
	ctx     context.Context
	cancel  context.CancelFunc
	stopped atomic.Bool
}

type callContext struct {
	ctx   context.Context
	store Store
}

// NewDuty returns a duty that is not yet started.
func NewDuty(store Store, output Output) *Duty {
	return &Duty{
		store:   store,
		output:  output,
		calls:   newWorker(CallRingCapacity, output.CallRoom),
		watches: newWorker(WatchRingCapacity, output.WatchRoom),
	}
}

func newWorker(capacity int, room *ring.Signal) *worker {
	signal := ring.NewSignal()
	ctx, cancel := context.WithCancel(context.Background())
	return &worker{ring: ring.New[Call](capacity, signal), signal: signal, room: room, ctx: ctx, cancel: cancel}
}

// Start starts both threads in g.
func (d *Duty) Start(g *duty.Group) {
	g.Start("platform-calls", func() { d.loop(d.calls) })
	g.Start("platform-watch", func() { d.loop(d.watches) })
}

// Calls returns the input ring of the calls.
func (d *Duty) Calls() *ring.Ring[Call] {
	return d.calls.ring
}

// Watches returns the input ring of the watches.
func (d *Duty) Watches() *ring.Ring[Call] {
	return d.watches.ring
}

// Stop ends both threads after the current call, which is cancelled. Calls
// still in the rings are dropped.
func (d *Duty) Stop() {
	for _, w := range []*worker{d.calls, d.watches} {
		w.stopped.Store(true)
		w.cancel()
		w.signal.Wake()
		w.room.Wake()
	}
}

func (d *Duty) loop(w *worker) {
	for !w.stopped.Load() {
		call, ok := w.ring.Pop()
		if !ok {
			w.park()
			continue
		}
		d.deliver(w, d.run(w, call))
	}
}

func (w *worker) park() {
	if !w.ring.Park() {
		return
	}
	if !w.stopped.Load() {
		w.signal.Wait(idleWait)
	}
	w.ring.Unpark()
}

func (d *Duty) run(w *worker, call Call) Result {
	ctx, cancel := context.WithTimeout(w.ctx, call.timeout())
	defer cancel()
	result := Result{Tag: call.Tag, Op: call.Op, Sent: time.Now()}
	result.Value, result.Err = call.Op.run(callContext{ctx: ctx, store: d.store})
	result.Received = time.Now()
	if result.Err != nil {
		result.Value = nil
	}
	return result
}

func (c Call) timeout() time.Duration {
	if watch, ok := c.Op.(WatchOp); ok {
		return c.Timeout + watch.Timeout
	}
	return c.Timeout
}

func (d *Duty) deliver(w *worker, result Result) {
	for !d.output.Deliver(result) {
		if w.stopped.Load() {
			return
		}
		w.room.Wait(-1)
	}
}

// IsUnknown reports whether err leaves open whether a change took effect.
func IsUnknown(err error) bool {
	var unknown *UnknownOutcomeError
	return errors.As(err, &unknown)
}

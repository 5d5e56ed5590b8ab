package store

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/progress"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
)

// Capacities of the input rings in calls. The ring of the watches needs space for
// one watch per watched prefix only.
const (
	CallRingCapacity  = 256
	WatchRingCapacity = 8
)

// maxIdleWait is the longest wait of an idle thread, which a push ends earlier.
const maxIdleWait = time.Minute

// Output is the consumer of a Duty's results.
type Output struct {
	// Deliver reports false if the consumer has no free space.
	Deliver func(Result) bool
	// CallSpace and WatchSpace are woken by the consumer when it has free space
	// again, one for each thread of the duty.
	CallSpace  *ring.Signal
	WatchSpace *ring.Signal
}

// Duty carries out calls on one thread and watches on another.
type Duty struct {
	store   Store
	output  Output
	calls   *worker
	watches *worker
}

// worker is the state of one thread.
type worker struct {
	// ring has the calls to carry out. signal is woken when one is pushed.
	ring   *ring.Ring[Call]
	signal *ring.Signal
	// space is woken when the consumer of the results has free space again.
	space   *ring.Signal
	ctx     context.Context
	cancel  context.CancelFunc
	stopped atomic.Bool
}

// callContext holds the arguments with which an operation runs.
type callContext struct {
	ctx   context.Context
	store Store
}

// NewDuty returns a duty that is not started yet.
func NewDuty(store Store, output Output) *Duty {
	return &Duty{
		store:   store,
		output:  output,
		calls:   newWorker(CallRingCapacity, output.CallSpace),
		watches: newWorker(WatchRingCapacity, output.WatchSpace),
	}
}

func newWorker(capacity int, space *ring.Signal) *worker {
	signal := ring.NewSignal()
	ctx, cancel := context.WithCancel(context.Background())
	return &worker{ring: ring.New[Call](capacity, signal), signal: signal, space: space, ctx: ctx, cancel: cancel}
}

// Start starts both threads in g.
func (d *Duty) Start(g *duty.Group) {
	g.Start("platform-calls", func() { d.runWorker(d.calls) })
	g.Start("platform-watch", func() { d.runWorker(d.watches) })
}

// Calls returns the input ring for calls other than watches.
func (d *Duty) Calls() *ring.Ring[Call] {
	return d.calls.ring
}

// Watches returns the input ring for watches.
func (d *Duty) Watches() *ring.Ring[Call] {
	return d.watches.ring
}

// Stop cancels the current call of both threads and ends them. Calls that are
// still in the rings are dropped.
func (d *Duty) Stop() {
	for _, w := range []*worker{d.calls, d.watches} {
		w.stopped.Store(true)
		w.cancel()
		w.signal.Wake()
		w.space.Wake()
	}
}

// runWorker carries out the calls of one ring until the duty is stopped.
func (d *Duty) runWorker(w *worker) {
	for !w.stopped.Load() {
		call, ok := w.ring.Pop()
		if !ok {
			w.park()
			continue
		}
		d.deliver(w, d.execute(w, call))
	}
}

// park blocks the thread until a call is pushed or the duty is stopped.
func (w *worker) park() {
	if !w.ring.Park() {
		return
	}
	if !w.stopped.Load() {
		w.signal.Wait(maxIdleWait)
	}
	w.ring.Unpark()
}

// execute runs the call's operation and returns its result.
func (d *Duty) execute(w *worker, call Call) Result {
	ctx, cancel := progress.WithLimits(w.ctx, call.limits())
	defer cancel()
	result := Result{Tag: call.Tag, Op: call.Op, SentAt: time.Now()}
	result.Value, result.Err = call.Op.run(callContext{ctx: ctx, store: d.store})
	result.Received = time.Now()
	if result.Err != nil {
		result.Value = nil
	}
	return result
}

// maxTransferTimeouts is how many more timeouts a read may take while its response arrives. It
// is small because lease renewals wait behind the other calls.
const maxTransferTimeouts = 3

// writeRate is the rate, in bytes per second, at which a value is expected to reach the platform
// at least: under half of a link of 10 Mbit/s. The progress of a write cannot be seen, because the
// kernel takes all of it at once.
const writeRate = 512 << 10

// limits returns the limits of the call. A change has one limit for everything, which grows with
// its value: its caller waits for the outcome no longer than that.
func (c Call) limits() progress.Limits {
	limits := progress.Limits{First: c.Timeout, Idle: c.Timeout, Total: c.Timeout}
	switch op := c.Op.(type) {
	case PutOp:
		transfer := time.Second * time.Duration(len(op.Value)) / writeRate
		limits.First += transfer
		limits.Total += transfer
	case WatchOp:
		limits.First += op.WatchRequest.Timeout
		limits.Total = limits.First + maxTransferTimeouts*c.Timeout
	case GetOp, InstancesOp:
		limits.Total += maxTransferTimeouts * c.Timeout
	}
	return limits
}

// deliver passes the result to the consumer and waits while it has no free space.
func (d *Duty) deliver(w *worker, result Result) {
	for !d.output.Deliver(result) {
		if w.stopped.Load() {
			return
		}
		w.space.Wait(-1)
	}
}

// IsUnknownOutcome reports whether err is an *UnknownOutcomeError.
func IsUnknownOutcome(err error) bool {
	var unknown *UnknownOutcomeError
	return errors.As(err, &unknown)
}

package instance

import (
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
)

// inputBatchSize is the number of inputs handled between two checks of the engine's
// deadline.
const inputBatchSize = 64

// stopFlushTimeout bounds the wait at a stop for space in the output rings, whose duties may
// have ended already. It fits into hostedShutdownTimeout.
const stopFlushTimeout = 500 * time.Millisecond

// engine is single-threaded decision logic without I/O. One duty drives it and
// passes in the time.
type engine[In any] interface {
	Handle(now time.Time, in In)
	Tick(now time.Time)
	NextDeadline() (time.Time, bool)
}

// decisionDuty runs an engine on one thread: it passes the inputs of one ring to the
// engine, fires the engine's deadlines and writes its outputs to the rings of other
// duties.
type decisionDuty[In any] struct {
	input    *ring.Ring[In]
	signal   *ring.Signal
	engine   engine[In]
	writers  []outputWriter
	now      func() time.Time
	stopping atomic.Bool
	// ended is called when run returns, with the numbers of unhandled inputs and unsent
	// outputs; nil for nothing.
	ended func(inputs, outputs int)
}

func newDecisionDuty[In any](capacity int) *decisionDuty[In] {
	signal := ring.NewSignal()
	return &decisionDuty[In]{input: ring.New[In](capacity, signal), signal: signal, now: time.Now}
}

// run handles inputs and deadlines until stop is called, and then sends what is decided.
func (d *decisionDuty[In]) run() {
	for !d.stopping.Load() {
		if !d.flush() {
			d.waitForSpace()
			continue
		}
		if !d.handleBatch() {
			d.park()
		}
	}
	d.flushAtStop()
	if d.ended != nil {
		d.ended(d.input.Len(), d.unsent())
	}
}

// flushAtStop writes the backlogs and waits for space in full rings, for stopFlushTimeout at
// most.
func (d *decisionDuty[In]) flushAtStop() {
	deadline := d.now().Add(stopFlushTimeout)
	for !d.flush() {
		left := deadline.Sub(d.now())
		if left <= 0 {
			return
		}
		if d.notifySpace() {
			d.signal.Wait(left)
		}
	}
}

// unsent returns the number of outputs that their rings have not accepted.
func (d *decisionDuty[In]) unsent() int {
	outputs := 0
	for _, w := range d.writers {
		outputs += w.unsent()
	}
	return outputs
}

func (d *decisionDuty[In]) stop() {
	d.stopping.Store(true)
	d.signal.Wake()
}

// flush writes the backlogs of all outputs and reports whether they are empty.
func (d *decisionDuty[In]) flush() bool {
	done := true
	for _, w := range d.writers {
		done = w.flush() && done
	}
	return done
}

// waitForSpace blocks until a full output ring has free space. The consumer of that ring
// must not wait for this duty in turn, or the wait would never end; I/O duties never do.
func (d *decisionDuty[In]) waitForSpace() {
	if d.notifySpace() && !d.stopping.Load() {
		d.signal.Wait(-1)
	}
}

// notifySpace requests a wake-up for each full output ring and reports whether there is one.
func (d *decisionDuty[In]) notifySpace() bool {
	full := false
	for _, w := range d.writers {
		full = w.notifySpace(d.signal) || full
	}
	return full
}

// handleBatch handles up to inputBatchSize inputs and a due deadline. It reports
// whether it handled an input or stopped early because an output ring is full. It
// reads the clock for each input: a process that is paused in the middle of a batch
// must not decide with the time from before the pause, when its share was still
// valid.
func (d *decisionDuty[In]) handleBatch() bool {
	handled := 0
	for handled < inputBatchSize {
		in, ok := d.input.Pop()
		if !ok {
			break
		}
		d.engine.Handle(d.now(), in)
		handled++
		if !d.flush() {
			return true
		}
	}
	if at, armed := d.engine.NextDeadline(); armed {
		if now := d.now(); !at.After(now) {
			d.engine.Tick(now)
		}
	}
	return handled > 0
}

// park blocks until there is an input, the engine's deadline is due or the duty is stopped.
func (d *decisionDuty[In]) park() {
	if !d.input.Park() {
		return
	}
	if d.stopping.Load() {
		d.input.Unpark()
		return
	}
	wait := time.Duration(-1)
	if at, armed := d.engine.NextDeadline(); armed {
		wait = max(at.Sub(d.now()), 0)
	}
	d.signal.Wait(wait)
	d.input.Unpark()
}

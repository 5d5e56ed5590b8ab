package instance

import (
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
)

// inputBatch is the number of inputs handled between two looks at the deadline.
const inputBatch = 64

// engine is a decision module that one duty drives.
type engine[In any] interface {
	Handle(now time.Time, in In)
	Tick(now time.Time)
	NextDeadline() (time.Time, bool)
}

// decisionDuty feeds an engine from one ring on one thread.
type decisionDuty[In any] struct {
	input    *ring.Ring[In]
	signal   *ring.Signal
	engine   engine[In]
	outlets  []outlet
	now      func() time.Time
	stopping atomic.Bool
}

func newDecisionDuty[In any](capacity int) *decisionDuty[In] {
	signal := ring.NewSignal()
	return &decisionDuty[In]{input: ring.New[In](capacity, signal), signal: signal, now: time.Now}
}

// run returns after stop.
func (d *decisionDuty[In]) run() {
	for !d.stopping.Load() {
		if !d.flush() {
			d.awaitRoom()
			continue
		}
		if !d.handleBatch() {
			d.park()
		}
	}
	d.flush()
}

func (d *decisionDuty[In]) stop() {
	d.stopping.Store(true)
	d.signal.Wake()
}

func (d *decisionDuty[In]) flush() bool {
	done := true
	for _, o := range d.outlets {
		done = o.flush() && done
	}
	return done
}

// awaitRoom parks until a full ring has room. Its consumer is an I/O duty that
// never waits for this duty, so the wait ends.
func (d *decisionDuty[In]) awaitRoom() {
	wait := false
	for _, o := range d.outlets {
		wait = o.awaitRoom(d.signal) || wait
	}
	if wait && !d.stopping.Load() {
		d.signal.Wait(-1)
	}
}

// handleBatch takes the time anew for each input: a process that was paused in
// the middle of a batch must not decide with the time before the pause, at
// which its share was still valid.
func (d *decisionDuty[In]) handleBatch() bool {
	handled := 0
	for handled < inputBatch {
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

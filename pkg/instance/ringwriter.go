package instance

import "github.com/sassafrasshunt/sassafrasshunt/lib/ring"

// ringWriter writes the outputs of a duty to the ring of another duty. Outputs that do
// not fit go to a backlog. A decision duty handles no further input until the backlog
// is empty, which bounds it by the outputs of one input.
type ringWriter[T any] struct {
	ring    *ring.Ring[T]
	backlog []T
}

// send pushes v into the ring, or appends it to the backlog when the ring is full.
func (w *ringWriter[T]) send(v T) {
	if len(w.backlog) > 0 || !w.ring.TryPush(v) {
		w.backlog = append(w.backlog, v)
	}
}

// flush writes the backlog to the ring and reports whether it is empty.
func (w *ringWriter[T]) flush() bool {
	sent := 0
	for sent < len(w.backlog) && w.ring.TryPush(w.backlog[sent]) {
		sent++
	}
	if sent == 0 {
		return len(w.backlog) == 0
	}
	w.backlog = append(w.backlog[:0], w.backlog[sent:]...)
	return len(w.backlog) == 0
}

// pending reports whether outputs wait for space in the ring.
func (w *ringWriter[T]) pending() bool { return len(w.backlog) > 0 }

// unsent returns the number of outputs that wait for space in the ring.
func (w *ringWriter[T]) unsent() int { return len(w.backlog) }

// notifySpace requests a wake-up of waker when the ring has free space. It reports whether
// the duty has to wait: the backlog is not empty and the ring is still full.
func (w *ringWriter[T]) notifySpace(waker ring.Waker) bool {
	return len(w.backlog) > 0 && w.ring.NotifySpace(waker)
}

// outputWriter is a ringWriter of any element type.
type outputWriter interface {
	flush() bool
	unsent() int
	notifySpace(ring.Waker) bool
	destination() any
}

// pushOrNotify pushes v into r. It returns false when r is full; r then wakes waker once
// it has free space.
func pushOrNotify[T any](r *ring.Ring[T], v T, waker ring.Waker) bool {
	for !r.TryPush(v) {
		if r.NotifySpace(waker) {
			return false
		}
	}
	return true
}

// destination identifies the ring that the writer fills.
func (w *ringWriter[T]) destination() any { return w.ring }

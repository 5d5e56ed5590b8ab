package instance

import "github.com/sassafrasshunt/sassafrasshunt/lib/ring"

// ringWriter writes the outputs of a decision duty to the ring of another duty.
// Outputs that do not fit go to a backlog, and the duty handles no further input
// until the backlog is empty. The backlog is therefore bounded by the outputs of
// one input.
type ringWriter[T any] struct {
	ring    *ring.Ring[T]
	backlog []T
}

// send pushes v into the ring, or appends it to the backlog when the ring is full.
func (p *ringWriter[T]) send(v T) {
	if len(p.backlog) > 0 || !p.ring.TryPush(v) {
		p.backlog = append(p.backlog, v)
	}
}

// flush writes the backlog to the ring and reports whether it is empty.
func (p *ringWriter[T]) flush() bool {
	sent := 0
	for sent < len(p.backlog) && p.ring.TryPush(p.backlog[sent]) {
		sent++
	}
	p.backlog = append(p.backlog[:0], p.backlog[sent:]...)
	return len(p.backlog) == 0
}

// notifySpace requests a wake-up of w when the ring has free space. It reports whether
// the duty has to wait: the backlog is not empty and the ring is still full.
func (p *ringWriter[T]) notifySpace(w ring.Waker) bool {
	return len(p.backlog) > 0 && p.ring.NotifySpace(w)
}

// outputWriter is a ringWriter of any element type.
type outputWriter interface {
	flush() bool
	notifySpace(ring.Waker) bool
}

// pushOrNotify pushes v into r. It returns false when r is full, and then wakes w
// once r has free space.
func pushOrNotify[T any](r *ring.Ring[T], v T, w ring.Waker) bool {
	for !r.TryPush(v) {
		if r.NotifySpace(w) {
			return false
		}
	}
	return true
}

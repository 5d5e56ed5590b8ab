package instance

import "github.com/sassafrasshunt/sassafrasshunt/lib/ring"

// port sends the outputs of a decision duty into the ring of another duty. What
// finds no room stays in a backlog, and the duty handles no further input until
// the backlog is sent; so the backlog holds the outputs of one input at most.
type port[T any] struct {
	ring    *ring.Ring[T]
	backlog []T
	// keep bounds the backlog of a port that the duty does not wait for; the
	// oldest outputs are dropped beyond it. Zero means that the duty waits.
	keep int
}

func (p *port[T]) send(v T) {
	if len(p.backlog) == 0 && p.ring.TryPush(v) {
		return
	}
	if p.keep > 0 && len(p.backlog) >= p.keep {
		p.backlog = append(p.backlog[:0], p.backlog[1:]...)
	}
	p.backlog = append(p.backlog, v)
}

// flush sends the backlog and reports whether the duty may go on.
func (p *port[T]) flush() bool {
	sent := 0
	for sent < len(p.backlog) && p.ring.TryPush(p.backlog[sent]) {
		sent++
	}
	p.backlog = append(p.backlog[:0], p.backlog[sent:]...)
	return len(p.backlog) == 0 || p.keep > 0
}

// waiting reports whether outputs wait for room.
func (p *port[T]) waiting() bool {
	return len(p.backlog) > 0
}

// blocks reports whether the duty has to wait for room.
func (p *port[T]) blocks() bool {
	return p.waiting() && p.keep == 0
}

// notifyRoom asks for a wake-up when there is room; it reports false when there
// is some now.
func (p *port[T]) notifyRoom(w ring.Waker) bool {
	return p.ring.NotifyRoom(w)
}

// outlet is a port of any type.
type outlet interface {
	flush() bool
	waiting() bool
	blocks() bool
	notifyRoom(ring.Waker) bool
}

// deliver pushes v, or asks for a wake-up when there is room and reports false.
func deliver[T any](r *ring.Ring[T], v T, w ring.Waker) bool {
	for !r.TryPush(v) {
		if r.NotifyRoom(w) {
			return false
		}
	}
	return true
}

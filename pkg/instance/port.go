package instance

import "github.com/sassafrasshunt/sassafrasshunt/lib/ring"

// port sends the outputs of a decision duty into the ring of another duty. What
// finds no room stays in a backlog, and the duty handles no further input until
// the backlog is sent; so the backlog holds the outputs of one input at most.
type port[T any] struct {
	ring    *ring.Ring[T]
	backlog []T
}

func (p *port[T]) send(v T) {
	if len(p.backlog) > 0 || !p.ring.TryPush(v) {
		p.backlog = append(p.backlog, v)
	}
}

// flush sends the backlog and reports whether the duty may go on.
func (p *port[T]) flush() bool {
	sent := 0
	for sent < len(p.backlog) && p.ring.TryPush(p.backlog[sent]) {
		sent++
	}
	p.backlog = append(p.backlog[:0], p.backlog[sent:]...)
	return len(p.backlog) == 0
}

// awaitRoom asks for a wake-up and reports whether the duty has to wait.
func (p *port[T]) awaitRoom(w ring.Waker) bool {
	return len(p.backlog) > 0 && p.ring.NotifyRoom(w)
}

// outlet is a port of any type.
type outlet interface {
	flush() bool
	awaitRoom(ring.Waker) bool
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

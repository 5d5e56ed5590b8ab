// Package outbox delivers the events of an I/O duty to the session duty. While the
// session ring is full it queues events in their order. The owner stops reading its
// sockets while events are queued, which bounds the queue.
package outbox

import (
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// SessionRing is the producer side of the session duty's ring.
type SessionRing interface {
	// TryPush reports false when the ring is full.
	TryPush(session.Input) bool
	// NotifySpace requests one wake-up when the ring has free space. It reports
	// false when there is free space already, and then does not wake.
	NotifySpace(ring.Waker) bool
}

// Outbox is the event queue of one I/O duty. It must be used by one thread only.
type Outbox struct {
	destination SessionRing
	waker       ring.Waker
	pending     []session.Input
}

// New returns an outbox that delivers to destination. It wakes its owner through
// waker when a full ring has free space again.
func New(destination SessionRing, waker ring.Waker) *Outbox {
	return &Outbox{destination: destination, waker: waker}
}

// Push delivers input, or queues it when the ring is full.
func (o *Outbox) Push(input session.Input) {
	if len(o.pending) == 0 && o.destination.TryPush(input) {
		return
	}
	o.pending = append(o.pending, input)
	if len(o.pending) == 1 {
		o.Flush()
	}
}

// Blocked reports whether events are queued.
func (o *Outbox) Blocked() bool {
	return len(o.pending) > 0
}

// Pending returns the number of queued events.
func (o *Outbox) Pending() int {
	return len(o.pending)
}

// Flush delivers queued events and reports whether the queue is empty. If it is not,
// the owner is woken when the ring has free space.
func (o *Outbox) Flush() bool {
	for {
		o.pushPending()
		if len(o.pending) == 0 {
			return true
		}
		if o.destination.NotifySpace(o.waker) {
			return false
		}
	}
}

// pushPending delivers as many queued events as the ring accepts.
func (o *Outbox) pushPending() {
	sent := 0
	for sent < len(o.pending) && o.destination.TryPush(o.pending[sent]) {
		sent++
	}
	if sent == len(o.pending) {
		o.pending = nil
		return
	}
	rest := copy(o.pending, o.pending[sent:])
	clear(o.pending[rest:])
	o.pending = o.pending[:rest]
}

// Package outbox delivers the events of an I/O duty to the session duty and
// keeps those that a full ring refused, in order. The owner stops reading its
// sockets while events wait, which bounds the outbox.
package outbox

import (
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// SessionRing is the producer side of the session duty's ring.
type SessionRing interface {
	// TryPush reports false when the ring is full.
	TryPush(session.Input) bool
	// NotifyRoom asks for one wake-up when the ring has room. It reports
	// false when there is room now, and then does not wake.
	NotifyRoom(ring.Waker) bool
}

// Outbox belongs to one thread.
type Outbox struct {
	target SessionRing
	waker  ring.Waker
	held   []session.Input
}

// New returns an outbox that delivers to target and wakes its owner by waker
// when a full ring has room again.
func New(target SessionRing, waker ring.Waker) *Outbox {
	return &Outbox{target: target, waker: waker}
}

// Push delivers input, or keeps it when the ring is full.
func (o *Outbox) Push(input session.Input) {
	if len(o.held) == 0 && o.target.TryPush(input) {
		return
	}
	o.held = append(o.held, input)
	if len(o.held) == 1 {
		o.Flush()
	}
}

// Blocked reports whether events wait for room.
func (o *Outbox) Blocked() bool {
	return len(o.held) > 0
}

// Held returns the number of waiting events.
func (o *Outbox) Held() int {
	return len(o.held)
}

// Flush delivers waiting events and reports whether none is left. If some are
// left, the owner is woken when there is room.
func (o *Outbox) Flush() bool {
	for {
		o.deliver()
		if len(o.held) == 0 {
			return true
		}
		if o.target.NotifyRoom(o.waker) {
			return false
		}
	}
}

func (o *Outbox) deliver() {
	sent := 0
	for sent < len(o.held) && o.target.TryPush(o.held[sent]) {
		sent++
	}
	if sent == len(o.held) {
		o.held = nil
		return
	}
	rest := copy(o.held, o.held[sent:])
	clear(o.held[rest:])
	o.held = o.held[:rest]
}

package faultproxy

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
)

// maxHeld bounds the bytes that one direction holds; beyond it the proxy stops
// reading.
const maxHeld = 256 << 10

// pipe is one direction of a pair and the handler of the socket it reads.
type pipe struct {
	pair      *pair
	direction *direction
	from      *netloop.Conn
	to        *netloop.Conn
	// peer is the other direction, which writes to from.
	peer  *pipe
	queue []chunk
	held  int
	timer timer
	// finished is set when from has ended; the end is forwarded like bytes.
	finished bool
}

type chunk struct {
	bytes []byte
	due   time.Time
}

// Opened implements netloop.Handler for the socket to the target.
func (p *pipe) Opened(*netloop.Conn) {
	p.pair.fire(p.pair.link.proxy.pairs.opened)
}

// Data implements netloop.Handler.
func (p *pipe) Data(c *netloop.Conn) {
	bytes := append([]byte(nil), c.Buffered()...)
	c.Discard(len(bytes))
	p.queue = append(p.queue, chunk{bytes: bytes, due: time.Now().Add(p.direction.delay)})
	p.held += len(bytes)
	p.pump()
}

// Drained implements netloop.Handler: from takes bytes of the other direction.
func (p *pipe) Drained(*netloop.Conn) {
	p.peer.pump()
}

// Closed implements netloop.Handler.
func (p *pipe) Closed(*netloop.Conn, error) {
	p.finish()
}

func (p *pipe) finish() {
	p.finished = true
	p.pump()
}

func (p *pipe) timedOut() {
	p.pump()
}

// pump forwards what is due, unless the direction is cut or the target does
// not read.
func (p *pipe) pump() {
	if p.direction.cut {
		p.hold()
		return
	}
	now := time.Now()
	for len(p.queue) > 0 && p.ready() && !p.queue[0].due.After(now) {
		p.forward(p.queue[0])
		p.queue = p.queue[1:]
	}
	if len(p.queue) == 0 && p.finished {
		p.pair.fire(p.pair.link.proxy.pairs.ended)
		return
	}
	p.hold()
	if len(p.queue) > 0 && p.ready() {
		p.pair.link.proxy.timers.Arm(&p.timer, p.queue[0].due)
	}
}

// ready reports whether the receiving side is connected and keeps up.
func (p *pipe) ready() bool {
	return p.to != nil && p.to.Pending() < maxHeld
}

func (p *pipe) forward(c chunk) {
	p.held -= len(c.bytes)
	p.direction.bytes += uint64(len(c.bytes))
	p.to.Write(c.bytes)
}

// hold stops reading while the direction holds too much.
func (p *pipe) hold() {
	if p.from == nil || p.finished {
		return
	}
	if p.held >= maxHeld {
		p.from.PauseRead()
		return
	}
	p.from.ResumeRead()
}

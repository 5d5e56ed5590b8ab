package faultproxy

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
)

// maxQueuedBytes limits the bytes queued in one direction of a pair. The proxy stops
// reading when the limit is reached.
const maxQueuedBytes = 256 << 10

// pipe is one direction of a pair and the handler of the socket that it reads.
type pipe struct {
	pair      *pair
	direction *direction
	from      *netloop.Conn
	to        *netloop.Conn
	// reverse is the other direction, which writes to from.
	reverse     *pipe
	queue       []chunk
	queuedBytes int
	timer       timer
	// sourceClosed is set when from has been closed. The target is closed after
	// the queued bytes have been forwarded.
	sourceClosed bool
}

// chunk holds bytes that may be forwarded when due.
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
	p.queuedBytes += len(bytes)
	p.forwardPending()
}

// Flushed implements netloop.Handler: from accepts bytes of the other direction
// again.
func (p *pipe) Flushed(*netloop.Conn) {
	p.reverse.forwardPending()
}

// Closed implements netloop.Handler.
func (p *pipe) Closed(*netloop.Conn, error) {
	p.handleSourceClosed()
}

func (p *pipe) handleSourceClosed() {
	p.sourceClosed = true
	p.forwardPending()
}

func (p *pipe) timedOut() {
	p.forwardPending()
}

// forwardPending forwards the chunks that are due, unless the direction is cut or
// the receiver does not read.
func (p *pipe) forwardPending() {
	if p.direction.cut {
		p.limitReading()
		return
	}
	now := time.Now()
	for len(p.queue) > 0 && p.canWrite() && !p.queue[0].due.After(now) {
		p.writeChunk(p.queue[0])
		p.queue = p.queue[1:]
	}
	if len(p.queue) == 0 && p.sourceClosed {
		p.pair.fire(p.pair.link.proxy.pairs.ended)
		return
	}
	p.limitReading()
	if len(p.queue) > 0 && p.canWrite() {
		p.pair.link.proxy.timers.Arm(&p.timer, p.queue[0].due)
	}
}

// canWrite reports whether the receiver is connected and has less than maxQueuedBytes
// unsent.
func (p *pipe) canWrite() bool {
	return p.to != nil && p.to.Pending() < maxQueuedBytes
}

func (p *pipe) writeChunk(c chunk) {
	p.queuedBytes -= len(c.bytes)
	p.direction.bytes += uint64(len(c.bytes))
	p.to.Write(c.bytes)
}

// limitReading pauses reading while maxQueuedBytes are queued.
func (p *pipe) limitReading() {
	if p.from == nil || p.sourceClosed {
		return
	}
	if p.queuedBytes >= maxQueuedBytes {
		p.from.PauseRead()
		return
	}
	p.from.ResumeRead()
}

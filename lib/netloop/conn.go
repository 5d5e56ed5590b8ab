package netloop

import (
	"errors"
	"io"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketState is the state of the socket itself, not of a life cycle: the
// kernel decides its order.
type socketState uint8

const (
	connecting socketState = iota
	open
	closed
)

// Conn is a TCP connection of a Loop.
type Conn struct {
	loop    *Loop
	handler Handler
	fd      int
	state   socketState
	remote  netip.AddrPort
	in      []byte
	out     []byte
	events  uint32
	paused  bool
	// closing is set when the connection closes once the output is sent.
	closing bool
}

// Remote returns the peer's address.
func (c *Conn) Remote() netip.AddrPort {
	return c.remote
}

func (c *Conn) register(events uint32) error {
	c.events = events
	if err := c.loop.control(unix.EPOLL_CTL_ADD, c.fd, events); err != nil {
		return err
	}
	c.loop.conns[c.fd] = c
	// Nagle's algorithm would delay small answers by up to 40 ms.
	_ = unix.SetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return nil
}

func (c *Conn) ready(events uint32) {
	if c.state == connecting {
		c.finishConnect()
		return
	}
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && c.paused {
		c.fail(c.socketError())
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.flush(true)
	}
	if events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR) != 0 && c.state == open {
		c.read()
	}
}

func (c *Conn) socketError() error {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return opError("getsockopt", err)
	}
	if code == 0 {
		return io.EOF
	}
	return opError("socket", syscall.Errno(code))
}

func (c *Conn) finishConnect() {
	if err := c.socketError(); !errors.Is(err, io.EOF) {
		c.fail(err)
		return
	}
	c.state = open
	c.interest()
	c.handler.Opened(c)
}

func (c *Conn) read() {
	if c.paused {
		return
	}
	n, err := unix.Read(c.fd, c.loop.scratch[:])
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return
	}
	if err != nil {
		c.fail(opError("read", err))
		return
	}
	if n == 0 {
		c.fail(io.EOF)
		return
	}
	c.in = append(c.in, c.loop.scratch[:n]...)
	c.handler.Data(c)
}

// Buffered returns the bytes that were read and not discarded. The slice is
// valid until the handler returns or Discard is called.
func (c *Conn) Buffered() []byte {
	return c.in
}

// Discard drops the first n buffered bytes.
func (c *Conn) Discard(n int) {
	if n == len(c.in) {
		c.in = releaseLarge(c.in)
		return
	}
	c.in = c.in[:copy(c.in, c.in[n:])]
}

// releaseLarge empties b and gives its memory back when it grew beyond one
// read, so that idle connections hold little memory.
func releaseLarge(b []byte) []byte {
	if cap(b) > readSize {
		return nil
	}
	return b[:0]
}

// Write sends b or buffers what the socket does not take at once. It never
// fails; an error of the socket is reported by Closed after the current event.
func (c *Conn) Write(b []byte) {
	if c.state == closed || c.closing {
		return
	}
	c.out = append(c.out, b...)
	if c.state == open {
		c.flush(false)
	}
}

// Pending returns the number of bytes that wait to be sent.
func (c *Conn) Pending() int {
	return len(c.out)
}

func (c *Conn) flush(ready bool) {
	waited := c.events&unix.EPOLLOUT != 0
	if waited && !ready {
		return
	}
	if len(c.out) > 0 {
		n, err := unix.SendmsgN(c.fd, c.out, nil, nil, unix.MSG_NOSIGNAL)
		if err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR) {
			c.failLater()
			return
		}
		c.consumeOutput(max(n, 0))
	}
	c.interest()
	if len(c.out) > 0 {
		return
	}
	if c.closing {
		c.fail(nil)
		return
	}
	if waited {
		c.handler.Drained(c)
	}
}

func (c *Conn) consumeOutput(n int) {
	if n == len(c.out) {
		c.out = releaseLarge(c.out)
		return
	}
	c.out = c.out[:copy(c.out, c.out[n:])]
}

// failLater lets the next poll report a write error, so that Write never calls
// Closed while its caller still uses the connection.
func (c *Conn) failLater() {
	c.out = nil
	c.paused = false
	_ = unix.Shutdown(c.fd, unix.SHUT_RDWR)
	c.interest()
}

func (c *Conn) interest() {
	events := uint32(0)
	if !c.paused {
		events |= unix.EPOLLIN
	}
	if len(c.out) > 0 {
		events |= unix.EPOLLOUT
	}
	if events == c.events || c.state == closed {
		return
	}
	c.events = events
	_ = c.loop.control(unix.EPOLL_CTL_MOD, c.fd, events)
}

// PauseRead stops reading the socket until ResumeRead.
func (c *Conn) PauseRead() {
	c.paused = true
	if c.state == open {
		c.interest()
	}
}

// ResumeRead undoes PauseRead. Bytes that are already buffered do not cause a
// call of Data.
func (c *Conn) ResumeRead() {
	c.paused = false
	if c.state == open {
		c.interest()
	}
}

// Close closes the connection at once. Closed is called with a nil error
// before Close returns.
func (c *Conn) Close() {
	c.fail(nil)
}

// CloseAfterFlush closes the connection when the buffered output is sent.
func (c *Conn) CloseAfterFlush() {
	if c.state == closed {
		return
	}
	if len(c.out) == 0 || c.state == connecting {
		c.fail(nil)
		return
	}
	c.closing = true
}

func (c *Conn) fail(err error) {
	if c.state == closed {
		return
	}
	c.state = closed
	_ = c.loop.control(unix.EPOLL_CTL_DEL, c.fd, 0)
	// The descriptor is closed after the poll, so that a later event of the
	// same poll cannot reach a new connection with the same number.
	c.loop.dead = append(c.loop.dead, c)
	c.in, c.out = nil, nil
	c.handler.Closed(c, err)
}

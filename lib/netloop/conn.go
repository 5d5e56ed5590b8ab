package netloop

import (
	"errors"
	"io"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketState is the state of a socket. It is not a state chart because the kernel
// determines the transitions.
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
	input   []byte
	output  []byte
	events  uint32
	paused  bool
	// closing is set when the connection is to close once the output has been sent.
	closing bool
	// finishing is set by Finish. peerFinished is set when the peer has ended its output
	// before the output of a finishing connection was sent.
	finishing    bool
	peerFinished bool
	// droppedInput and droppedOutput count the buffered bytes that a closed connection
	// has dropped.
	droppedInput, droppedOutput int
}

// Remote returns the peer's address.
func (c *Conn) Remote() netip.AddrPort {
	return c.remote
}

func (c *Conn) register(events uint32) error {
	c.events = events
	if err := c.loop.epollControl(unix.EPOLL_CTL_ADD, c.fd, events); err != nil {
		return err
	}
	c.loop.conns[c.fd] = c
	// Nagle's algorithm would delay small answers by up to 40 ms.
	_ = unix.SetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return nil
}

func (c *Conn) handleEvents(events uint32) {
	if c.state == connecting {
		c.finishConnect()
		return
	}
	if c.finishing {
		c.handleFinishingEvents(events)
		return
	}
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && c.paused {
		c.closeWith(c.socketError())
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
		c.closeWith(err)
		return
	}
	c.state = open
	c.updateInterest()
	c.handler.Opened(c)
}

func (c *Conn) read() {
	if c.paused {
		return
	}
	n, err := unix.Read(c.fd, c.loop.readBuffer[:])
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return
	}
	if err != nil {
		c.closeWith(opError("read", err))
		return
	}
	if n == 0 {
		c.closeWith(io.EOF)
		return
	}
	c.input = append(c.input, c.loop.readBuffer[:n]...)
	c.handler.Data(c)
}

// Buffered returns the bytes that were read and not discarded. The slice is
// valid until the handler returns or Discard is called.
func (c *Conn) Buffered() []byte {
	return c.input
}

// Discard drops the first n buffered bytes.
func (c *Conn) Discard(n int) {
	if n == len(c.input) {
		c.input = resetBuffer(c.input)
		return
	}
	c.input = c.input[:copy(c.input, c.input[n:])]
}

// resetBuffer empties b. It releases the memory of a buffer that grew beyond one
// read, so that idle connections use little memory.
func resetBuffer(b []byte) []byte {
	if cap(b) > readSize {
		return nil
	}
	return b[:0]
}

// Write sends b and buffers what the socket does not accept immediately. It never
// fails; a socket error is reported by Closed after the current event.
func (c *Conn) Write(b []byte) {
	if c.state == closed || c.closing || c.finishing {
		return
	}
	c.output = append(c.output, b...)
	if c.state == open {
		c.flush(false)
	}
}

// Pending returns the number of bytes that are buffered for sending.
func (c *Conn) Pending() int {
	return len(c.output)
}

// flush sends buffered output. While the socket is not writable, it sends only after
// epoll has reported it as writable.
func (c *Conn) flush(writable bool) {
	wasWaiting := c.events&unix.EPOLLOUT != 0
	if wasWaiting && !writable {
		return
	}
	if len(c.output) > 0 {
		n, err := unix.SendmsgN(c.fd, c.output, nil, nil, unix.MSG_NOSIGNAL)
		if err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR) {
			c.shutdownAfterError()
			return
		}
		c.consumeOutput(max(n, 0))
	}
	c.updateInterest()
	if len(c.output) > 0 {
		return
	}
	if c.closing {
		c.closeWith(nil)
		return
	}
	if c.finishing {
		c.finishOutput()
	}
	if wasWaiting && c.state == open {
		c.handler.Flushed(c)
	}
}

func (c *Conn) consumeOutput(n int) {
	if n == len(c.output) {
		c.output = resetBuffer(c.output)
		return
	}
	c.output = c.output[:copy(c.output, c.output[n:])]
}

// shutdownAfterError leaves the report of a write error to the next poll, so that
// Write never calls Closed while its caller still uses the connection.
func (c *Conn) shutdownAfterError() {
	c.droppedOutput += len(c.output)
	c.output = nil
	c.paused = false
	_ = unix.Shutdown(c.fd, unix.SHUT_RDWR)
	c.updateInterest()
}

// updateInterest sets the epoll events that the connection waits for.
func (c *Conn) updateInterest() {
	events := uint32(0)
	if c.finishing {
		events = c.finishingInterest()
	} else if !c.paused {
		events = unix.EPOLLIN
	}
	if len(c.output) > 0 {
		events |= unix.EPOLLOUT
	}
	if events == c.events || c.state == closed {
		return
	}
	c.events = events
	_ = c.loop.epollControl(unix.EPOLL_CTL_MOD, c.fd, events)
}

// PauseRead stops reading from the socket until ResumeRead. It has no effect after Finish.
func (c *Conn) PauseRead() {
	if c.finishing {
		return
	}
	c.paused = true
	if c.state == open {
		c.updateInterest()
	}
}

// ResumeRead undoes PauseRead. Bytes that are already buffered do not cause a
// call of Data.
func (c *Conn) ResumeRead() {
	c.paused = false
	if c.state == open {
		c.updateInterest()
	}
}

// Close closes the connection immediately. Closed is called with a nil error
// before Close returns.
func (c *Conn) Close() {
	c.closeWith(nil)
}

// CloseAfterFlush closes the connection when the kernel has accepted the buffered output.
// It closes a connection without output, or one that is not established, immediately. Unread
// input, and input that arrives later, make the kernel reset the connection and drop what it
// has not sent; Finish avoids that.
func (c *Conn) CloseAfterFlush() {
	if c.state == closed {
		return
	}
	if len(c.output) == 0 || c.state == connecting {
		c.closeWith(nil)
		return
	}
	c.closing = true
}

// closeWith closes the connection and reports err to the handler.
func (c *Conn) closeWith(err error) {
	if c.state == closed {
		return
	}
	c.state = closed
	_ = c.loop.epollControl(unix.EPOLL_CTL_DEL, c.fd, 0)
	// The descriptor is closed after the poll, so that a later event of the same
	// poll cannot be delivered to a new connection with the same descriptor.
	c.loop.closedConns = append(c.loop.closedConns, c)
	c.droppedInput += len(c.input)
	c.droppedOutput += len(c.output)
	c.input, c.output = nil, nil
	c.handler.Closed(c, err)
}

package netloop

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

// Finish sends the buffered output, shuts down the sending side and closes the connection
// when the peer has closed it too. Until then the kernel does not drop output that it has
// accepted. Input is discarded while output is unsent, because a full receive buffer holds up
// the acknowledgements of the output; later input stays in the kernel, unread. Write has no
// effect. Flushed is called as usual. A peer
// may never close, so the owner has to call Close after a bounded time. A connection that is
// not established is closed immediately.
func (c *Conn) Finish() {
	if c.state == closed || c.finishing {
		return
	}
	if c.state == connecting {
		c.closeWith(nil)
		return
	}
	c.finishing, c.closing, c.paused = true, false, false
	c.droppedInput += len(c.input)
	c.input = nil
	c.updateInterest()
	if len(c.output) == 0 {
		c.finishOutput()
	}
}

// handleFinishingEvents sends output and waits for the peer to close. A peer that has ended
// only its own output may still read what is sent.
func (c *Conn) handleFinishingEvents(events uint32) {
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		c.closeWith(c.socketError())
		return
	}
	if events&unix.EPOLLRDHUP != 0 {
		c.peerFinished = true
		c.updateInterest()
	}
	if events&unix.EPOLLIN != 0 && len(c.output) > 0 {
		c.discardInput()
	}
	if events&unix.EPOLLOUT != 0 && c.state == open {
		c.flush(true)
	}
	if c.peerFinished && len(c.output) == 0 {
		c.closeWith(io.EOF)
	}
}

// finishingInterest returns the epoll events that a finishing connection waits for, besides
// EPOLLOUT.
func (c *Conn) finishingInterest() uint32 {
	switch {
	case c.peerFinished:
		return 0
	case len(c.output) > 0:
		return unix.EPOLLIN | unix.EPOLLRDHUP
	}
	return unix.EPOLLRDHUP
}

// discardInput reads once and drops what was read.
func (c *Conn) discardInput() {
	n, err := unix.Read(c.fd, c.loop.readBuffer[:])
	if err == nil {
		c.droppedInput += n
		return
	}
	if !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR) {
		c.closeWith(opError("read", err))
	}
}

// finishOutput tells the peer that no output follows. An error is left to the next poll,
// which reports it.
func (c *Conn) finishOutput() {
	_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	if c.peerFinished {
		c.closeWith(nil)
	}
}

// ReadArrived handles input that has arrived since the last poll, as Poll does: it may call Data
// and Closed. It has no effect while reading is paused.
func (c *Conn) ReadArrived() {
	if c.state == open && !c.closing && !c.finishing {
		c.read()
	}
}

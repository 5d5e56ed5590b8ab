package netloop

import "golang.org/x/sys/unix"

// Finish sends the buffered output, shuts down the sending side and closes the connection
// when the peer has closed it too. Until then the kernel does not drop output that it has
// accepted. Input is read and discarded without calls of Data, and Write has no effect.
// Flushed is called as usual. A peer may never close, so the owner has to call Close after a
// bounded time. A connection that is not established is closed immediately.
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

package netloop

import "golang.org/x/sys/unix"

// Residue counts the bytes of a connection that have not reached their receiver.
type Residue struct {
	// Buffered bytes were read from the socket and not discarded; Unread bytes are in
	// the kernel's receive buffer.
	Buffered int
	Unread   int
	// Unsent bytes were not accepted by the kernel yet; Unacknowledged bytes were, but
	// the peer's kernel has not confirmed them.
	Unsent         int
	Unacknowledged int
}

// Residue returns the current counts. In Closed, it returns the counts at the close. It
// must not be called later, because the descriptor may then belong to another socket.
func (c *Conn) Residue() Residue {
	return Residue{
		Buffered: c.droppedInput + len(c.input), Unread: c.socketQueue(unix.TIOCINQ),
		Unsent: c.droppedOutput + len(c.output), Unacknowledged: c.socketQueue(unix.TIOCOUTQ),
	}
}

// socketQueue returns the length of a queue of the socket in bytes, or 0 if the kernel does
// not tell it.
func (c *Conn) socketQueue(request uint) int {
	n, err := unix.IoctlGetInt(c.fd, request)
	if err != nil {
		return 0
	}
	return n
}

package netloop

import "golang.org/x/sys/unix"

// ShutdownWrite ends the output of an established connection whose output is sent: the
// peer reads the end of the stream after it. The input is still read. The caller must
// not write to the connection afterwards.
func (c *Conn) ShutdownWrite() {
	if c.state == open {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

// AcceptPending accepts the connections that wait in the queues of the listeners. The
// kernel resets those that are still there when a listener is closed.
func (l *Loop) AcceptPending() {
	for fd, accept := range l.listeners {
		for before := -1; before != len(l.conns); {
			before = len(l.conns)
			l.accept(fd, accept)
		}
	}
}

// Package netloop is an epoll reactor for one thread.
//
// Every method of Loop and Conn except Loop.Wake must be called on the thread that
// calls Poll. Handlers run on that thread and must not block. Unlike common
// event-loop libraries it can pause reading from a socket, which is how a full ring
// applies back-pressure to a peer.
package netloop

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readSize is the size of one read in bytes.
	readSize = 32 << 10
	// maxEvents is the maximum number of readiness events per poll.
	maxEvents = 256
	// acceptBatch is the maximum number of connections accepted per listener and
	// poll, so that many new connections do not starve the open ones.
	acceptBatch = 64
)

// Handler receives the events of one connection.
type Handler interface {
	// Opened is called once when an outgoing connection is established.
	Opened(c *Conn)
	// Data is called when more bytes are buffered.
	Data(c *Conn)
	// Flushed is called when the output buffer has become empty after Write could
	// not send everything immediately.
	Flushed(c *Conn)
	// Closed is called once, also for a connection that was never established. err
	// is nil after Close, and io.EOF when the peer closed the connection.
	Closed(c *Conn, err error)
}

// OpError reports a failed system call of the loop.
type OpError struct {
	Op  string
	Err error
}

func (e *OpError) Error() string {
	return "netloop: " + e.Op + ": " + e.Err.Error()
}

func (e *OpError) Unwrap() error {
	return e.Err
}

func opError(op string, err error) error {
	return &OpError{Op: op, Err: err}
}

// Loop owns an epoll instance and its connections.
type Loop struct {
	epoll      int
	wake       int
	conns      map[int]*Conn
	listeners  map[int]func(*Conn) Handler
	events     [maxEvents]unix.EpollEvent
	readBuffer [readSize]byte
	// closedConns are closed connections whose descriptors are still open.
	closedConns []*Conn
	// reserveFD is a descriptor that is closed temporarily to refuse a connection
	// when the process has no other one left; -1 if it could not be opened.
	reserveFD int
	refused   uint64
}

// New returns a loop. It returns an *OpError when a descriptor cannot be created.
func New() (*Loop, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, opError("epoll_create1", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		unix.Close(epoll)
		return nil, opError("eventfd", err)
	}
	l := &Loop{epoll: epoll, wake: wake, conns: map[int]*Conn{}, listeners: map[int]func(*Conn) Handler{}}
	l.reserveFD = openReserveFD()
	if err := l.epollControl(unix.EPOLL_CTL_ADD, wake, unix.EPOLLIN); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Loop) epollControl(op, fd int, events uint32) error {
	event := unix.EpollEvent{Events: events, Fd: int32(fd)}
	if err := unix.EpollCtl(l.epoll, op, fd, &event); err != nil {
		return opError("epoll_ctl", err)
	}
	return nil
}

// Wake ends the current or the next Poll. It is safe for concurrent use and
// implements ring.Waker.
func (l *Loop) Wake() {
	one := [8]byte{1}
	// A full counter means that a wake-up is already pending.
	_, _ = unix.Write(l.wake, one[:])
}

// Poll waits for events for at most timeout and calls their handlers. A negative
// timeout waits indefinitely. It returns an *OpError when epoll fails.
func (l *Loop) Poll(timeout time.Duration) error {
	// Connections that were closed since the last poll must not stay open while this one
	// waits.
	l.closeDescriptors()
	n, err := unix.EpollWait(l.epoll, l.events[:], milliseconds(timeout))
	if errors.Is(err, unix.EINTR) {
		return nil
	}
	if err != nil {
		return opError("epoll_wait", err)
	}
	for _, event := range l.events[:n] {
		l.dispatch(int(event.Fd), event.Events)
	}
	l.closeDescriptors()
	return nil
}

// milliseconds rounds d up, so that the thread does not spin when a deadline is
// less than 1 ms away.
func milliseconds(d time.Duration) int {
	if d < 0 {
		return -1
	}
	return int((d + time.Millisecond - 1) / time.Millisecond)
}

func (l *Loop) dispatch(fd int, events uint32) {
	if fd == l.wake {
		l.clearWakeup()
		return
	}
	if accept, ok := l.listeners[fd]; ok {
		l.accept(fd, accept)
		return
	}
	if c, ok := l.conns[fd]; ok && c.state != closed {
		c.handleEvents(events)
	}
}

func (l *Loop) clearWakeup() {
	var counter [8]byte
	// EAGAIN means that the counter has been cleared already.
	_, _ = unix.Read(l.wake, counter[:])
}

func (l *Loop) closeDescriptors() {
	for i, c := range l.closedConns {
		unix.Close(c.fd)
		if l.conns[c.fd] == c {
			delete(l.conns, c.fd)
		}
		l.closedConns[i] = nil
	}
	l.closedConns = l.closedConns[:0]
}

// Listen accepts connections on address (IP:port). accept returns the handler of a
// new connection, or nil to refuse it; the loop then closes the connection. accept
// must not close it itself, because there is no handler yet that Closed could be
// reported to. Listen returns the bound address, or an *OpError when the address is
// invalid or in use.
func (l *Loop) Listen(address string, accept func(*Conn) Handler) (netip.AddrPort, error) {
	bound, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{}, opError("listen", err)
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(bound))
	if err != nil {
		return netip.AddrPort{}, opError("listen", err)
	}
	local := listener.Addr().(*net.TCPAddr).AddrPort()
	fd, err := detachDescriptor(listener)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if err := l.epollControl(unix.EPOLL_CTL_ADD, fd, unix.EPOLLIN); err != nil {
		unix.Close(fd)
		return netip.AddrPort{}, err
	}
	l.listeners[fd] = accept
	return local, nil
}

// detachDescriptor closes the listener and returns a non-blocking duplicate of its
// descriptor, which is not registered with the runtime's poller.
func detachDescriptor(listener *net.TCPListener) (int, error) {
	defer listener.Close()
	file, err := listener.File()
	if err != nil {
		return -1, opError("listen", err)
	}
	defer file.Close()
	return duplicate(file)
}

func duplicate(file *os.File) (int, error) {
	fd, err := unix.FcntlInt(file.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, opError("fcntl", err)
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		unix.Close(fd)
		return -1, opError("fcntl", err)
	}
	return fd, nil
}

// CloseListeners stops accepting; open connections stay.
func (l *Loop) CloseListeners() {
	for fd := range l.listeners {
		_ = l.epollControl(unix.EPOLL_CTL_DEL, fd, 0)
		unix.Close(fd)
	}
	clear(l.listeners)
}

func (l *Loop) accept(listener int, accept func(*Conn) Handler) {
	for range acceptBatch {
		fd, peer, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) {
			l.refuseConnection(listener)
			return
		}
		if err != nil {
			return
		}
		c := &Conn{loop: l, fd: fd, state: open, remote: addrPort(peer)}
		if err := c.register(unix.EPOLLIN); err != nil {
			unix.Close(fd)
			return
		}
		l.attach(c, accept(c))
	}
}

// attach sets the handler of an accepted connection. Without a handler the
// connection is closed.
func (l *Loop) attach(c *Conn, h Handler) {
	if h == nil {
		c.handler = noHandler{}
		c.Close()
		return
	}
	c.handler = h
}

// noHandler is the handler of connections that their listener refused.
type noHandler struct{}

func (noHandler) Opened(*Conn)        {}
func (noHandler) Data(*Conn)          {}
func (noHandler) Flushed(*Conn)       {}
func (noHandler) Closed(*Conn, error) {}

// refuseConnection accepts and closes a connection when no descriptor is left. In
// the accept queue it would keep the listener readable and make the thread spin.
func (l *Loop) refuseConnection(listener int) {
	if l.reserveFD < 0 {
		return
	}
	unix.Close(l.reserveFD)
	fd, _, err := unix.Accept4(listener, unix.SOCK_CLOEXEC)
	if err == nil {
		unix.Close(fd)
		l.refused++
	}
	l.reserveFD = openReserveFD()
}

func openReserveFD() int {
	fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		return -1
	}
	return fd
}

// Refused returns the number of connections that were closed immediately because
// the process had no descriptor left.
func (l *Loop) Refused() uint64 {
	return l.refused
}

// Connect starts a connection to address (IP:port) without waiting for it; the
// handler's Opened or Closed follows. It returns an *OpError when the address is
// invalid or the attempt fails immediately.
func (l *Loop) Connect(address string, h Handler) (*Conn, error) {
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, opError("connect", err)
	}
	family := unix.AF_INET
	if remote.Addr().Is6() && !remote.Addr().Is4In6() {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, opError("socket", err)
	}
	err = unix.Connect(fd, socketAddress(remote))
	if err != nil && !errors.Is(err, unix.EINPROGRESS) {
		unix.Close(fd)
		return nil, opError("connect", err)
	}
	c := &Conn{loop: l, fd: fd, state: connecting, remote: remote, handler: h}
	if err := c.register(unix.EPOLLOUT); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return c, nil
}

// Close closes every connection and listener without calling handlers, and then
// the loop itself.
func (l *Loop) Close() {
	l.CloseListeners()
	l.closeDescriptors()
	for fd := range l.conns {
		unix.Close(fd)
	}
	clear(l.conns)
	unix.Close(l.wake)
	unix.Close(l.epoll)
	if l.reserveFD >= 0 {
		unix.Close(l.reserveFD)
	}
}

// Conns returns the number of connections, including those being established.
func (l *Loop) Conns() int {
	return len(l.conns)
}

func socketAddress(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is4() || a.Addr().Is4In6() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().Unmap().As4()}
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

func addrPort(s unix.Sockaddr) netip.AddrPort {
	switch a := s.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}

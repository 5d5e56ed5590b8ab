package rpc

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

// commandBatchSize is the maximum number of commands handled between two polls, so
// that a full ring does not starve the sockets.
const commandBatchSize = 512

// Config holds the limits and timeouts of the duty.
type Config struct {
	// RingCapacity is the capacity of the command ring, in commands.
	RingCapacity int
	// IdleTimeout is how long an outgoing connection without calls stays open.
	IdleTimeout time.Duration
	// TransferIdle is how long a response that is arriving may stop before calls that wait
	// for it, or behind it, time out.
	TransferIdle time.Duration
	// MaxCallsPerConn limits the unanswered calls on one connection, outgoing or
	// incoming.
	MaxCallsPerConn int
	// MaxOutputBytes limits the unsent bytes of one connection.
	MaxOutputBytes int
	// MaxIncoming limits the incoming connections; further ones are closed.
	MaxIncoming int
	// MaxPendingEvents limits the events that wait because the consumer is full.
	// Further events are dropped and counted.
	MaxPendingEvents int
	// FlushTimeout bounds a stop: the replies to accepted requests, the remaining output
	// and the wait until the peers have closed their connections.
	FlushTimeout time.Duration
}

// DefaultConfig returns limits for an instance with 1,000 databases.
func DefaultConfig() Config {
	return Config{
		RingCapacity:     8192,
		IdleTimeout:      time.Minute,
		TransferIdle:     500 * time.Millisecond,
		MaxCallsPerConn:  1024,
		MaxOutputBytes:   2 * MaxMessageBytes,
		MaxIncoming:      256,
		MaxPendingEvents: 65536,
		FlushTimeout:     time.Second,
	}
}

// Duty makes outgoing calls and receives incoming requests, on the thread that calls
// Run. Only Commands, Send, Wake and Dropped are safe for concurrent use.
type Duty struct {
	config   Config
	loop     *netloop.Loop
	commands *ring.Ring[Command]
	deliver  func(Event) bool

	timers     timerq.Queue[func()]
	linkChart  *chart.Table[*link]
	linkEvents linkEvents
	// outConns holds the outgoing connection that takes new calls to an address.
	outConns map[string]*outConn
	// conns holds every open connection, including draining ones.
	conns      map[readableConn]struct{}
	inConns    map[ConnID]*inConn
	lastConnID ConnID
	lastCallID int64
	// pending holds the events that the consumer has not accepted yet. While there
	// are any, no socket is read.
	pending      []Event
	stopping     bool
	stopDeadline time.Time

	dropped atomic.Uint64
}

// readableConn is an incoming or outgoing connection.
type readableConn interface {
	socket() *netloop.Conn
	// fire applies an event of the chart "peer_link".
	fire(chart.Event)
	// decode handles buffered messages until none is complete or the duty is blocked.
	decode()
}

// New returns a duty that is not running yet. It returns a *netloop.OpError
// when the kernel refuses the descriptors, and the errors of the chart loader for a
// chart that does not match the code.
func New(config Config) (*Duty, error) {
	links, err := loadLinkChart(config.FlushTimeout)
	if err != nil {
		return nil, err
	}
	loop, err := netloop.New()
	if err != nil {
		return nil, err
	}
	d := &Duty{
		config:     config,
		loop:       loop,
		linkChart:  links,
		linkEvents: resolveLinkEvents(links),
		outConns:   map[string]*outConn{},
		conns:      map[readableConn]struct{}{},
		inConns:    map[ConnID]*inConn{},
	}
	d.commands = ring.New[Command](config.RingCapacity, loop)
	return d, nil
}

// Commands returns the duty's command ring.
func (d *Duty) Commands() *ring.Ring[Command] {
	return d.commands
}

// Send pushes a command into the ring and reports false when the ring is full.
func (d *Duty) Send(c Command) bool {
	return d.commands.TryPush(c)
}

// Wake makes the duty offer its pending events to the consumer again. It implements
// ring.Waker.
func (d *Duty) Wake() {
	d.loop.Wake()
}

// Dropped returns how many events were dropped because more than MaxPendingEvents
// waited for the consumer.
func (d *Duty) Dropped() uint64 {
	return d.dropped.Load()
}

// Listen accepts connections on address (IP:port) and returns the bound address. It
// must be called before Run. It returns the error of netloop.Loop.Listen.
func (d *Duty) Listen(address string) (netip.AddrPort, error) {
	return d.loop.Listen(address, d.accept)
}

// Run handles commands and sockets until a Stop command. It passes the events to
// deliver, which returns false when the consumer is full; Wake must then be called
// once the consumer has free space.
//
// Commands are handled even while events are pending, because the consumer itself may
// be waiting for free space in the command ring.
func (d *Duty) Run(deliver func(Event) bool) {
	d.deliver = deliver
	defer d.loop.Close()
	for {
		d.handleCommands()
		d.fireTimers()
		d.flushPending()
		if d.finished() || d.poll() != nil {
			return
		}
	}
}

// poll waits for sockets, commands or the next timer.
func (d *Duty) poll() error {
	timeout := d.timeout()
	if !d.commands.Park() {
		timeout = 0
	}
	err := d.loop.Poll(timeout)
	d.commands.Unpark()
	return err
}

// timeout returns the time until the next timer or the deadline of a stop; -1 for none.
func (d *Duty) timeout() time.Duration {
	next, ok := d.timers.Next()
	if d.stopping && (!ok || d.stopDeadline.Before(next)) {
		next, ok = d.stopDeadline, true
	}
	if !ok {
		return -1
	}
	return max(time.Until(next), 0)
}

// handleCommands handles up to commandBatchSize commands.
func (d *Duty) handleCommands() {
	for range commandBatchSize {
		command, ok := d.commands.Pop()
		if !ok {
			return
		}
		switch c := command.(type) {
		case Call:
			d.call(c)
		case Reply:
			d.reply(c)
		case Stop:
			d.stop()
		}
	}
}

// fireTimers runs the timers that are due.
func (d *Duty) fireTimers() {
	now := time.Now()
	for {
		item, ok := d.timers.PopDue(now)
		if !ok {
			return
		}
		item.Value()
	}
}

// deliverEvent passes an event to the consumer. When the consumer is full, it queues
// the event and pauses reading all sockets.
func (d *Duty) deliverEvent(e Event) {
	if len(d.pending) == 0 && d.deliver(e) {
		return
	}
	if len(d.pending) >= d.config.MaxPendingEvents {
		d.dropped.Add(1)
		return
	}
	d.pending = append(d.pending, e)
	if len(d.pending) == 1 {
		d.forEachConn(func(c readableConn) { c.socket().PauseRead() })
	}
}

// blocked reports whether events are pending.
func (d *Duty) blocked() bool {
	return len(d.pending) > 0
}

// flushPending offers the pending events to the consumer again. When it has accepted
// all of them, the messages left in the input buffers are handled and the sockets are
// read again.
func (d *Duty) flushPending() {
	if !d.blocked() {
		return
	}
	taken := 0
	for taken < len(d.pending) && d.deliver(d.pending[taken]) {
		taken++
	}
	d.pending = d.pending[:copy(d.pending, d.pending[taken:])]
	if d.blocked() {
		return
	}
	d.pending = nil
	d.forEachConn(d.resumeReading)
}

// resumeReading reads a socket again and handles its buffered input, unless the duty
// is blocked again.
func (d *Duty) resumeReading(c readableConn) {
	if d.blocked() {
		return
	}
	c.socket().ResumeRead()
	c.decode()
}

// forEachConn calls visit for each open connection. A visit may close connections;
// those are skipped.
func (d *Duty) forEachConn(visit func(readableConn)) {
	list := make([]readableConn, 0, len(d.conns))
	for c := range d.conns {
		list = append(list, c)
	}
	for _, c := range list {
		if _, ok := d.conns[c]; ok {
			visit(c)
		}
	}
}

// addConn registers a connection; it is not read while the duty is blocked.
func (d *Duty) addConn(c readableConn) {
	d.conns[c] = struct{}{}
	if d.blocked() {
		c.socket().PauseRead()
	}
}

// stop ends the acceptance of connections and requests. Connections that wait in the
// listener's queue are accepted first, so that their peers are told that no request on
// them is run.
func (d *Duty) stop() {
	if d.stopping {
		return
	}
	d.stopping = true
	d.stopDeadline = time.Now().Add(d.config.FlushTimeout)
	d.loop.AcceptPending()
	d.loop.CloseListeners()
	d.forEachConn(func(c readableConn) { c.fire(d.linkEvents.drain) })
}

// finished reports whether a stop was requested and every connection is closed and
// every event and command handled, or FlushTimeout has passed.
func (d *Duty) finished() bool {
	if !d.stopping {
		return false
	}
	done := len(d.conns) == 0 && !d.blocked() && d.commands.Len() == 0
	return done || !time.Now().Before(d.stopDeadline)
}

// DeliverTo returns a deliver function for Run that pushes into r and has w woken
// when r has free space again.
func DeliverTo[T any](r *ring.Ring[T], w ring.Waker, wrap func(Event) T) func(Event) bool {
	return func(e Event) bool {
		item := wrap(e)
		for !r.TryPush(item) {
			if r.NotifySpace(w) {
				return false
			}
		}
		return true
	}
}

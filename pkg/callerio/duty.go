package callerio

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/reactor"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// Duty owns the caller sockets. Run and everything below it work on one thread.
type Duty struct {
	*reactor.Reactor[Input]
	config   Config
	note     func(Note)
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
	scratch   []byte
	counts    counters
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
	d := &Duty{
		config:    config,
		note:      deps.Note,
		startup:   startup,
		scram:     wire.NewScramServer(),
		attempts:  newAttempts(config.BaseDelay, config.MaxDelay),
		texts:     newLibrary(),
		callers:   map[session.CallerID]*caller{},
		processes: map[uint32]*caller{},
	}
	d.Reactor, err = reactor.New(reactor.Config[Input]{
		Capacity: config.RingCapacity, Session: deps.Session, Handle: d.handle, Now: time.Now,
	})
	if err != nil {
		return nil, &ConfigError{Reason: "cannot create the event loop", Err: err}
	}
	d.Lingers, d.LingerTime = d.outputWaits, config.LingerTimeout
	d.address, err = d.Loop.Listen(config.Address, d.accept)
	if err != nil {
		d.Loop.Close()
		return nil, &ConfigError{Reason: "cannot listen on " + config.Address, Err: err}
	}
	return d, nil
}

// Ring returns the input ring of the duty.
func (d *Duty) Ring() *ring.Ring[Input] {
	return d.Commands
}

// Address returns the bound address.
func (d *Duty) Address() netip.AddrPort {
	return d.address
}

// Transitions returns how often each transition of the startup chart was taken.
func (d *Duty) Transitions() map[string]uint64 {
	return d.startup.table.Taken()
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
		d.Loop.CloseListeners()
	}
}

// outputWaits reports answers that are not sent yet. Events for session do not
// count: it may have stopped before.
func (d *Duty) outputWaits() bool {
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
	c.timeout.Value = c.timedOut
	c.delay.Value = c.delayOver
	c.linger.Value = c.lingerOver
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

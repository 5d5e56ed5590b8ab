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

// Duty owns the caller sockets. Run and everything that it calls use one thread;
// Ring, Stop, Stats and Transitions are safe for concurrent use.
type Duty struct {
	*reactor.Reactor[Input]
	config       Config
	log          func(LogEvent)
	address      netip.AddrPort
	startup      *startupChart
	scram        *wire.ScramServer
	authFailures *authFailures
	statements   *statementInterner
	callers      map[session.CallerID]*caller
	// byProcessID finds the caller that a CancelRequest names.
	byProcessID map[uint32]*caller
	// lastID is the ID of the last accepted caller.
	lastID session.CallerID
	// catalogue is the current one, nil until the first arrives.
	catalogue *catalogue.Catalogue
	// scratch is the buffer in which responses are assembled.
	scratch []byte
	counts  counters
	// stopping is set once the duty has noticed that it is to stop.
	stopping bool
}

// New opens the listening socket and returns the duty. It returns a *ConfigError
// if the address or the chart is invalid, or the event loop cannot be created.
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
		config:       config,
		log:          deps.Log,
		startup:      startup,
		scram:        wire.NewScramServer(),
		authFailures: newAuthFailures(config.BaseFailureDelay, config.MaxFailureDelay),
		statements:   newStatementInterner(),
		callers:      map[session.CallerID]*caller{},
		byProcessID:  map[uint32]*caller{},
	}
	d.Reactor, err = reactor.New(reactor.Config[Input]{
		Capacity: config.RingCapacity, Session: deps.Session, Handle: d.handleInput, Now: time.Now,
	})
	if err != nil {
		return nil, &ConfigError{Reason: "cannot create the event loop", Err: err}
	}
	d.OutputPending, d.FlushTimeout = d.outputPending, config.FlushTimeout
	d.OnStop = d.beginStop
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

// Address returns the listening address.
func (d *Duty) Address() netip.AddrPort {
	return d.address
}

// Transitions returns the number of times that each transition of the startup
// chart was taken.
func (d *Duty) Transitions() map[string]uint64 {
	return d.startup.table.TransitionCounts()
}

// handleInput processes one item of the input ring.
func (d *Duty) handleInput(input Input) {
	if input.Command != nil {
		d.handleCommand(input.Command)
		return
	}
	switch control := input.Control.(type) {
	case CatalogueUpdate:
		d.catalogue = control.Catalogue
	case StopAccepting:
		d.Loop.CloseListeners()
	}
}

// beginStop closes the connections without a request under way.
func (d *Duty) beginStop() {
	d.stopping = true
	for _, c := range d.callers {
		if c.closing {
			c.armFlushTimer()
		} else if !c.busy {
			c.closeAfterOutput()
		}
	}
}

// outputPending reports whether responses are not sent yet, or callers have not closed a
// connection that is closing. Events for session are ignored, because that duty may already
// have stopped.
func (d *Duty) outputPending() bool {
	for _, c := range d.callers {
		if c.closing || c.conn.Pending() > 0 {
			return true
		}
	}
	return false
}

// accept creates the caller of a new connection.
func (d *Duty) accept(conn *netloop.Conn) netloop.Handler {
	d.lastID++
	c := &caller{duty: d, conn: conn, id: d.lastID, state: d.startup.table.Initial(), txStatus: txIdle}
	c.stateTimer.Value = c.stateTimedOut
	c.failureTimer.Value = c.failureDelayElapsed
	c.flushTimer.Value = c.flushTimedOut
	d.callers[c.id] = c
	d.counts.accepted.Add(1)
	d.counts.open.Add(1)
	c.armStateTimer()
	return c
}

// logEvent passes an event of c to the log.
func (d *Duty) logEvent(c *caller, kind LogEventKind, reason string) {
	if d.log == nil {
		return
	}
	d.log(LogEvent{Kind: kind, Remote: c.conn.Remote(), Account: c.account, Entry: c.entry, Reason: reason})
}

// counters are the values behind Stats; other threads read them.
type counters struct {
	accepted   atomic.Uint64
	open       atomic.Int64
	wrongKeys  atomic.Uint64
	violations atomic.Uint64
	requests   atomic.Uint64
}

// Stats holds the counters of the duty. Open is the number of open connections;
// the other fields are totals since the start.
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

package targetio

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/reactor"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// Duty owns the target connections. Run and everything that it calls use one
// thread; Ring, Stop, Stats and Transitions are safe for concurrent use.
type Duty struct {
	*reactor.Reactor[Input]
	config  Config
	startup *startupChart
	scram   *wire.ScramClient
	targets map[session.TargetID]*target
	counts  counters
}

// counters are the values behind Stats; other threads read them.
type counters struct {
	opened   atomic.Uint64
	open     atomic.Int64
	refused  atomic.Uint64
	requests atomic.Uint64
	cancels  atomic.Uint64
}

// Stats holds the counters of the duty. Open is the number of current connections;
// the other fields are totals since the start. Refused counts connections that
// ended before their startup was complete.
type Stats struct {
	Opened   uint64 `json:"opened"`
	Open     int64  `json:"open"`
	Refused  uint64 `json:"refused"`
	Requests uint64 `json:"requests"`
	Cancels  uint64 `json:"cancels"`
}

// New returns the duty. It returns a *ConfigError if the chart or the credentials
// are invalid, or the event loop cannot be created.
func New(config Config, deps Deps) (*Duty, error) {
	if deps.Session == nil || deps.Chart == nil {
		return nil, &ConfigError{Reason: "session ring and chart are required"}
	}
	config = config.withDefaults()
	startup, err := compileStartup(deps.Chart, config)
	if err != nil {
		return nil, err
	}
	client, err := wire.NewScramClient(config.User, config.Password)
	if err != nil {
		return nil, &ConfigError{Reason: "cannot create the SCRAM client", Err: err}
	}
	d := &Duty{
		config:  config,
		startup: startup,
		scram:   client,
		targets: map[session.TargetID]*target{},
	}
	d.Reactor, err = reactor.New(reactor.Config[Input]{
		Capacity: config.RingCapacity, Session: deps.Session, Now: time.Now,
		Handle: func(in Input) { d.handleCommand(in.Command) },
	})
	if err != nil {
		return nil, &ConfigError{Reason: "cannot create the event loop", Err: err}
	}
	return d, nil
}

// Ring returns the input ring of the duty.
func (d *Duty) Ring() *ring.Ring[Input] {
	return d.Commands
}

// Transitions returns the number of times that each transition of the startup
// chart was taken.
func (d *Duty) Transitions() map[string]uint64 {
	return d.startup.table.TransitionCounts()
}

// Stats returns the counters. It is safe for concurrent use.
func (d *Duty) Stats() Stats {
	return Stats{
		Opened:   d.counts.opened.Load(),
		Open:     d.counts.open.Load(),
		Refused:  d.counts.refused.Load(),
		Requests: d.counts.requests.Load(),
		Cancels:  d.counts.cancels.Load(),
	}
}

// handleCommand executes one command of the session duty. A command for a closed
// connection is dropped, because TargetClosed has already been sent.
func (d *Duty) handleCommand(command session.TargetCommand) {
	switch m := command.(type) {
	case session.TargetOpen:
		d.openTarget(m)
	case session.TargetSend:
		d.withTarget(m.Target, func(t *target) { t.handleSend(m) })
	case session.TargetClose:
		d.withTarget(m.Target, (*target).terminate)
	case session.TargetCancel:
		d.withTarget(m.Target, (*target).sendCancel)
	case session.TargetPause:
		d.withTarget(m.Target, func(t *target) { t.setPaused(true) })
	case session.TargetResume:
		d.withTarget(m.Target, func(t *target) { t.setPaused(false) })
	}
}

// withTarget calls fn with the connection that has this ID, if it is open.
func (d *Duty) withTarget(id session.TargetID, fn func(*target)) {
	if t := d.targets[id]; t != nil {
		fn(t)
	}
}

// openTarget starts a connection. An immediate failure is reported in the same way
// as a later one.
func (d *Duty) openTarget(m session.TargetOpen) {
	t := &target{duty: d, id: m.Target, address: m.Address, database: m.Database, state: d.startup.table.Initial()}
	t.stateTimer.Value = t.stateTimedOut
	if strings.ContainsRune(string(m.Database), 0) {
		// Names in the StartupMessage are terminated by a zero byte.
		d.reportRefused(t.id, "the database name contains a zero byte")
		return
	}
	conn, err := d.Loop.Connect(m.Address, t)
	if err != nil {
		d.reportRefused(t.id, err.Error())
		return
	}
	t.conn = conn
	d.targets[t.id] = t
	d.counts.open.Add(1)
	t.armStateTimer()
}

// reportRefused reports a connection that could not be started.
func (d *Duty) reportRefused(id session.TargetID, reason string) {
	d.counts.refused.Add(1)
	d.Outbox.Push(session.TargetClosed{Target: id, Unsent: true, Refused: true, Reason: reason})
}

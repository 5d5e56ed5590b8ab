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

// Duty owns the target connections. Run and everything below it work on one thread.
type Duty struct {
	*reactor.Reactor[Input]
	config  Config
	startup *startupChart
	scram   *wire.ScramClient
	targets map[session.TargetID]*target
	counts  counters
}

// counters are read by the metrics page.
type counters struct {
	opened   atomic.Uint64
	open     atomic.Int64
	refused  atomic.Uint64
	requests atomic.Uint64
	cancels  atomic.Uint64
}

// Stats describes the duty for the metrics page.
type Stats struct {
	Opened   uint64 `json:"opened"`
	Open     int64  `json:"open"`
	Refused  uint64 `json:"refused"`
	Requests uint64 `json:"requests"`
	Cancels  uint64 `json:"cancels"`
}

// New returns the duty. It returns a *ConfigError for a chart or credentials
// that cannot be used.
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
		return nil, &ConfigError{Reason: "credentials", Err: err}
	}
	d := &Duty{
		config:  config,
		startup: startup,
		scram:   client,
		targets: map[session.TargetID]*target{},
	}
	d.Reactor, err = reactor.New(reactor.Config[Input]{
		Capacity: config.RingCapacity, Session: deps.Session, Now: time.Now,
		Handle: func(in Input) { d.command(in.Command) },
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

// Transitions returns how often each transition of the startup chart was taken.
func (d *Duty) Transitions() map[string]uint64 {
	return d.startup.table.Taken()
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

// command carries out one command of the session duty. A command for a
// connection that is gone is dropped: TargetClosed is on its way.
func (d *Duty) command(command session.TargetCommand) {
	switch m := command.(type) {
	case session.TargetOpen:
		d.open(m)
	case session.TargetSend:
		d.withTarget(m.Target, func(t *target) { t.send(m) })
	case session.TargetClose:
		d.withTarget(m.Target, (*target).terminate)
	case session.TargetCancel:
		d.withTarget(m.Target, (*target).cancel)
	case session.TargetPause:
		d.withTarget(m.Target, func(t *target) { t.setPaused(true) })
	case session.TargetResume:
		d.withTarget(m.Target, func(t *target) { t.setPaused(false) })
	}
}

func (d *Duty) withTarget(id session.TargetID, do func(*target)) {
	if t := d.targets[id]; t != nil {
		do(t)
	}
}

// open starts a connection. An attempt that fails at once is reported like
// one that fails later.
func (d *Duty) open(m session.TargetOpen) {
	t := &target{duty: d, id: m.Target, address: m.Address, database: m.Database, state: d.startup.table.Initial()}
	t.timeout.Value = t.timedOut
	if strings.ContainsRune(string(m.Database), 0) {
		// The startup message cannot carry such a name.
		d.refuse(t.id, "the database name holds a zero byte")
		return
	}
	conn, err := d.Loop.Connect(m.Address, t)
	if err != nil {
		d.refuse(t.id, err.Error())
		return
	}
	t.conn = conn
	d.targets[t.id] = t
	d.counts.open.Add(1)
	t.armTimeout()
}

func (d *Duty) refuse(id session.TargetID, reason string) {
	d.counts.refused.Add(1)
	d.Outbox.Push(session.TargetClosed{Target: id, Unsent: true, Refused: true, Reason: reason})
}

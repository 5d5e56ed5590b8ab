package linkio

import (
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/reactor"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire/outbox"
)

// TargetConfig configures the duty of the target sockets.
type TargetConfig struct {
	RingCapacity int
	// Connect and Startup bound the two steps of opening a connection.
	Connect time.Duration
	Startup time.Duration
	// NewCodec returns the codec of a new connection.
	NewCodec func() TargetCodec
}

// Targets owns the target sockets. Run and everything below it work on one thread.
type Targets struct {
	*reactor.Reactor[session.TargetCommand]
	config TargetConfig
	chart  *chart.Table[*targetLink]
	on     targetEvents
	links  map[session.TargetID]*targetLink
	open   atomic.Int64
	opened atomic.Uint64
}

type targetEvents struct {
	connected, accepted, refused, sent, answered, dismissed, lost, timedOut chart.Event
}

// NewTargets returns the duty. It returns a *ConfigError for a chart that
// cannot be used.
func NewTargets(config TargetConfig, definition *chart.Definition, to outbox.SessionRing) (*Targets, error) {
	d := &Targets{config: config, links: map[session.TargetID]*targetLink{}}
	var err error
	if d.chart, err = chart.Compile(definition, d.registry()); err != nil {
		return nil, &ConfigError{Reason: "chart", Err: err}
	}
	e := d.chart.Event
	d.on = targetEvents{
		connected: e("connected"), accepted: e("accepted"), refused: e("refused"), sent: e("sent"),
		answered: e("answered"), dismissed: e("dismissed"), lost: e("lost"), timedOut: e(chart.TimeoutEvent),
	}
	if d.Reactor, err = newReactor(config.RingCapacity, to, d.take); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Targets) registry() chart.Registry[*targetLink] {
	return chart.Registry[*targetLink]{
		Actions: map[string]func(*targetLink){
			"send_startup":  (*targetLink).sendStartup,
			"report_opened": (*targetLink).reportOpened,
			"say_goodbye":   func(l *targetLink) { l.conn.Write(l.codec.Quit()) },
			"close":         func(l *targetLink) { l.conn.Close() },
		},
		Timeouts: map[string]time.Duration{
			"connect": d.config.Connect,
			"startup": d.config.Startup,
			"idle":    idleRearm,
		},
	}
}

// Open returns the number of connections. It is safe for concurrent use.
func (d *Targets) Open() int64 { return d.open.Load() }

// Opened returns how many connections were started. It is safe for concurrent use.
func (d *Targets) Opened() uint64 { return d.opened.Load() }

// take carries out one command. A command for a connection that is gone is
// dropped: TargetClosed is on its way.
func (d *Targets) take(command session.TargetCommand) {
	switch m := command.(type) {
	case session.TargetOpen:
		d.start(m)
	case session.TargetSend:
		d.with(m.Target, func(l *targetLink) { l.send(m) })
	case session.TargetProbe:
		d.with(m.Target, func(l *targetLink) { l.begin(l.codec.Probe()) })
	case session.TargetClose:
		d.with(m.Target, (*targetLink).dismiss)
	}
}

func (d *Targets) with(id session.TargetID, do func(*targetLink)) {
	if l := d.links[id]; l != nil {
		do(l)
	}
}

func (d *Targets) start(m session.TargetOpen) {
	l := &targetLink{duty: d, id: m.Target, open: m, codec: d.config.NewCodec()}
	l.enter(l, d.chart, &d.Timers, l.late)
	d.opened.Add(1)
	conn, err := d.Loop.Connect(m.Address, l)
	if err != nil {
		d.Outbox.Push(session.TargetClosed{Target: m.Target, Unsent: true, Refused: true, Reason: err.Error()})
		return
	}
	l.conn = conn
	d.links[l.id] = l
	d.open.Add(1)
	l.arm()
}

// targetLink is one connection to a target.
type targetLink struct {
	life[*targetLink]
	duty  *Targets
	conn  *netloop.Conn
	id    session.TargetID
	open  session.TargetOpen
	codec TargetCodec
	// accepted is set once the startup is complete, sent while a request may
	// have reached the member.
	accepted bool
	sent     bool
	full     bool
	// reason is why the connection ends, for logs.
	reason string
}

// Opened implements netloop.Handler.
func (l *targetLink) Opened(*netloop.Conn) { l.fire(l.duty.on.connected) }

// Drained implements netloop.Handler.
func (l *targetLink) Drained(*netloop.Conn) {}

// Data implements netloop.Handler.
func (l *targetLink) Data(*netloop.Conn) { l.process() }

// Closed implements netloop.Handler.
func (l *targetLink) Closed(_ *netloop.Conn, err error) {
	l.gone = true
	l.fire(l.duty.on.lost)
	l.end()
	delete(l.duty.links, l.id)
	l.duty.open.Add(-1)
	if l.reason == "" && err != nil {
		l.reason = err.Error()
	}
	l.duty.Outbox.Push(session.TargetClosed{
		Target: l.id, Unsent: !l.sent, Reason: l.reason, Refused: !l.accepted, Full: l.full,
	})
}

// late closes a connection whose opening takes too long.
func (l *targetLink) late() {
	l.reason = "timeout while " + l.duty.chart.StateName(l.state)
	if l.expire(l.duty.on.timedOut) {
		l.reason = ""
	}
}

func (l *targetLink) sendStartup() {
	l.conn.Write(l.codec.Start(l.open))
}

func (l *targetLink) reportOpened() {
	l.accepted = true
	l.duty.Outbox.Push(session.TargetOpened{Target: l.id})
}

// send writes a request unless its time has passed; a connection whose request
// was not written is closed, which tells session that nothing ran.
func (l *targetLink) send(m session.TargetSend) {
	if !m.NotAfter.IsZero() && clock.Now().After(m.NotAfter) {
		l.reason = "the request expired before it was written"
		l.conn.Close()
		return
	}
	l.begin(l.codec.Send(m))
}

func (l *targetLink) begin(b []byte) {
	l.sent = true
	l.fire(l.duty.on.sent)
	l.conn.Write(b)
}

func (l *targetLink) dismiss() {
	l.reason = "closed by the proxy"
	l.fire(l.duty.on.dismissed)
}

// process decodes buffered messages.
func (l *targetLink) process() {
	for !l.gone {
		if l.duty.Outbox.Blocked() {
			l.stall(l.conn, l.duty.Stall, l.process)
			return
		}
		message, n, err := l.codec.Decode(l.conn.Buffered())
		if err != nil {
			l.reason = err.Error()
			l.conn.Close()
			return
		}
		if n == 0 {
			return
		}
		l.conn.Discard(n)
		l.take(message)
	}
}

func (l *targetLink) take(message TargetMessage) {
	switch m := message.(type) {
	case Accepted:
		l.fire(l.duty.on.accepted)
	case Refused:
		l.reason = m.Reason
		l.full = m.Full
		l.fire(l.duty.on.refused)
	case Answered:
		l.sent = false
		l.fire(l.duty.on.answered)
		m.Ready.Target = l.id
		l.duty.Outbox.Push(m.Ready)
	case Progress:
		if len(m.Send) > 0 {
			l.conn.Write(m.Send)
		}
	}
}

var _ netloop.Handler = (*targetLink)(nil)

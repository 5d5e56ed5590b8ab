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

// TargetConfig configures the duty that owns the target sockets.
type TargetConfig struct {
	// RingCapacity is the capacity of the command ring, in commands.
	RingCapacity int
	// Connect and Startup are the timeouts of the two steps of opening a connection:
	// the TCP connection, and the startup exchange.
	Connect time.Duration
	Startup time.Duration
	// NewCodec returns the codec of a new connection.
	NewCodec func() TargetCodec
}

// Targets is the duty that owns the target sockets. All its connections are handled
// on the thread that calls Run.
type Targets struct {
	*reactor.Reactor[session.TargetCommand]
	config TargetConfig
	chart  *chart.Table[*targetConn]
	events targetEvents
	conns  map[session.TargetID]*targetConn
	open   atomic.Int64
	opened atomic.Uint64
}

// targetEvents holds the compiled events of the chart.
type targetEvents struct {
	connected, accepted, refused, sent, answered, dismissed, lost, timedOut chart.Event
}

// NewTargets returns the duty. It returns a *ConfigError for a chart that
// cannot be used.
func NewTargets(config TargetConfig, definition *chart.Definition, to outbox.SessionRing) (*Targets, error) {
	d := &Targets{config: config, conns: map[session.TargetID]*targetConn{}}
	var err error
	if d.chart, err = chart.Compile(definition, d.registry()); err != nil {
		return nil, &ConfigError{Reason: "cannot compile the state chart", Err: err}
	}
	e := d.chart.Event
	d.events = targetEvents{
		connected: e("connected"), accepted: e("accepted"), refused: e("refused"), sent: e("sent"),
		answered: e("answered"), dismissed: e("dismissed"), lost: e("lost"), timedOut: e(chart.TimeoutEvent),
	}
	if d.Reactor, err = newReactor(config.RingCapacity, to, d.handleCommand); err != nil {
		return nil, err
	}
	return d, nil
}

// registry returns the actions and timeouts that the chart names.
func (d *Targets) registry() chart.Registry[*targetConn] {
	return chart.Registry[*targetConn]{
		Actions: map[string]func(*targetConn){
			"send_startup":  (*targetConn).sendStartup,
			"report_opened": (*targetConn).reportOpened,
			"send_quit":     func(c *targetConn) { c.socket.Write(c.codec.Quit()) },
			"close":         func(c *targetConn) { c.socket.Close() },
		},
		Timeouts: map[string]time.Duration{
			"connect": d.config.Connect,
			"startup": d.config.Startup,
			"idle":    idleTimerPeriod,
		},
	}
}

// Open returns the number of open connections. It is safe for concurrent use.
func (d *Targets) Open() int64 { return d.open.Load() }

// Opened returns how many connection attempts were made. It is safe for concurrent use.
func (d *Targets) Opened() uint64 { return d.opened.Load() }

// handleCommand carries out one command of the session duty. A command for a closed
// connection is dropped: its TargetClosed has already been queued.
func (d *Targets) handleCommand(command session.TargetCommand) {
	switch m := command.(type) {
	case session.TargetOpen:
		d.start(m)
	case session.TargetSend:
		d.withConn(m.Target, func(c *targetConn) { c.send(m) })
	case session.TargetProbe:
		d.withConn(m.Target, (*targetConn).probe)
	case session.TargetClose:
		d.withConn(m.Target, (*targetConn).dismiss)
	}
}

// withConn calls do with a connection if it is still open.
func (d *Targets) withConn(id session.TargetID, do func(*targetConn)) {
	if c := d.conns[id]; c != nil {
		do(c)
	}
}

// start begins to open a connection.
func (d *Targets) start(m session.TargetOpen) {
	c := &targetConn{duty: d, id: m.Target, open: m, codec: d.config.NewCodec()}
	c.start(c, d.chart, &d.Timers, c.handleTimeout)
	d.opened.Add(1)
	socket, err := d.Loop.Connect(m.Address, c)
	if err != nil {
		d.Outbox.Push(session.TargetClosed{Target: m.Target, Unsent: true, Refused: true, Reason: err.Error()})
		return
	}
	c.socket = socket
	d.conns[c.id] = c
	d.open.Add(1)
	c.armTimer()
}

// targetConn is one connection to a target.
type targetConn struct {
	lifecycle[*targetConn]
	duty   *Targets
	socket *netloop.Conn
	id     session.TargetID
	open   session.TargetOpen
	codec  TargetCodec
	// accepted is set once the startup is complete, requestPending while a request
	// is unanswered that may have reached the member.
	accepted       bool
	requestPending bool
	// notAfter is the time after which no part of the request may be written, zero if
	// there is no limit.
	notAfter time.Time
	// connectionLimit is set when the member rejected the startup because of
	// its connection limit.
	connectionLimit bool
	// closeReason is why the connection ends, for logs.
	closeReason string
}

// Opened implements netloop.Handler.
func (c *targetConn) Opened(*netloop.Conn) { c.fire(c.duty.events.connected) }

// Flushed implements netloop.Handler.
func (c *targetConn) Flushed(*netloop.Conn) {}

// Data implements netloop.Handler.
func (c *targetConn) Data(*netloop.Conn) { c.processInput() }

// Closed implements netloop.Handler.
func (c *targetConn) Closed(_ *netloop.Conn, err error) {
	c.closed = true
	c.fire(c.duty.events.lost)
	c.stopTimer()
	delete(c.duty.conns, c.id)
	c.duty.open.Add(-1)
	if c.closeReason == "" && err != nil {
		c.closeReason = err.Error()
	}
	c.duty.Outbox.Push(session.TargetClosed{
		Target: c.id, Unsent: !c.requestPending || !c.codec.RequestSent(), Reason: c.closeReason, Refused: !c.accepted, ConnectionLimit: c.connectionLimit,
	})
}

// handleTimeout closes a connection whose opening takes too long. In the states of an
// open connection it only sets the timer again.
func (c *targetConn) handleTimeout() {
	c.closeReason = "timeout while " + c.duty.chart.StateName(c.state)
	if c.fireTimeout(c.duty.events.timedOut) {
		c.closeReason = ""
	}
}

// sendStartup sends the startup message.
func (c *targetConn) sendStartup() {
	c.socket.Write(c.codec.Start(c.open))
}

// reportOpened tells the session duty that the connection can be used.
func (c *targetConn) reportOpened() {
	c.accepted = true
	c.duty.Outbox.Push(session.TargetOpened{Target: c.id})
}

// send writes a request. When its deadline has passed, it closes the connection
// instead, which tells the session duty that the request did not run.
func (c *targetConn) send(m session.TargetSend) {
	c.notAfter = m.NotAfter
	if c.expired() {
		c.closeExpired()
		return
	}
	c.startExchange(c.codec.Send(m))
}

// expired reports whether the request must not be written any more.
func (c *targetConn) expired() bool {
	return !c.notAfter.IsZero() && clock.Now().After(c.notAfter)
}

// closeExpired closes the connection of a request that was not written in time.
func (c *targetConn) closeExpired() {
	c.closeReason = "the request expired before it was written"
	c.requestPending = false
	c.socket.Close()
}

// continueRequest writes the next part of the request once the member has answered what
// precedes it, such as the setup of the session.
func (c *targetConn) continueRequest(b []byte) {
	if len(b) == 0 {
		return
	}
	if c.expired() {
		c.closeExpired()
		return
	}
	c.socket.Write(b)
}

// probe sends a probe, which has no deadline of its own.
func (c *targetConn) probe() {
	c.notAfter = time.Time{}
	c.startExchange(c.codec.Probe())
}

// startExchange sends a request or a probe and waits for its answer.
func (c *targetConn) startExchange(b []byte) {
	c.requestPending = true
	c.fire(c.duty.events.sent)
	c.socket.Write(b)
}

// dismiss closes the connection on the session duty's command.
func (c *targetConn) dismiss() {
	c.closeReason = "closed by the proxy"
	c.fire(c.duty.events.dismissed)
}

// processInput decodes the buffered messages, and pauses reading while the session
// ring is full.
func (c *targetConn) processInput() {
	for !c.closed {
		if c.duty.Outbox.Blocked() {
			c.pauseForRing(c.socket, c.duty.ResumeLater, c.processInput)
			return
		}
		message, n, err := c.codec.Decode(c.socket.Buffered())
		if err != nil {
			c.closeReason = err.Error()
			c.socket.Close()
			return
		}
		if n == 0 {
			return
		}
		c.socket.Discard(n)
		c.handleMessage(message)
	}
}

// handleMessage fires the event of a decoded message and reports its result to the
// session duty.
func (c *targetConn) handleMessage(message TargetMessage) {
	switch m := message.(type) {
	case Accepted:
		c.fire(c.duty.events.accepted)
	case Refused:
		c.closeReason = m.Reason
		c.connectionLimit = m.ConnectionLimit
		c.fire(c.duty.events.refused)
	case Completed:
		c.requestPending = false
		c.fire(c.duty.events.answered)
		m.Ready.Target = c.id
		c.duty.Outbox.Push(m.Ready)
		if m.Close {
			c.closeReason = "the connection is in an unknown state"
			c.socket.Close()
		}
	case Continue:
		c.continueRequest(m.Send)
	}
}

var _ netloop.Handler = (*targetConn)(nil)

package linkio

import (
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/reactor"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire/outbox"
)

// CallerConfig configures the duty that owns the caller sockets.
type CallerConfig struct {
	// Address is the IP:port to listen on.
	Address string
	// RingCapacity is the capacity of the command ring, in commands.
	RingCapacity int
	// MaxCallers limits the connections; further ones are closed at once.
	MaxCallers int
	// MaxInputBytes limits the buffered input of a caller, in bytes.
	MaxInputBytes int
	// Startup bounds the wait for the first message and Admission the wait for the
	// session duty to admit the caller. When a session has ended, Flush bounds sending its
	// last output, and PeerClose the wait for the caller to close its side after that.
	// FlushTimeout bounds both for all sessions at a stop.
	Startup      time.Duration
	Admission    time.Duration
	Flush        time.Duration
	PeerClose    time.Duration
	FlushTimeout time.Duration
	// NewCodec returns the codec of a new connection.
	NewCodec func() CallerCodec
	// Log logs an event; nil drops the events. It runs on the duty's thread and must not
	// block.
	Log func(CallerLog)
}

// Callers is the duty that owns the caller sockets. All its connections are handled
// on the thread that calls Run.
type Callers struct {
	*reactor.Reactor[session.CallerCommand]
	config  CallerConfig
	address netip.AddrPort
	chart   *chart.Table[*callerConn]
	events  callerEvents
	// startupState and idleState are the states in which messages are decoded.
	startupState chart.State
	idleState    chart.State
	// waitingState is the state with an unanswered request, and endedStates are those of a
	// session that has ended while its connection is still open.
	waitingState chart.State
	endedStates  [2]chart.State
	conns        map[session.CallerID]*callerConn
	nextID       session.CallerID
	open         atomic.Int64
	refused      atomic.Uint64
	closes       closeCounters
	// stopNoticed is when the duty noticed the stop, zero before it; openAtStop are the
	// connections at that time.
	stopNoticed time.Time
	openAtStop  openCounts
}

// callerEvents holds the compiled events of the chart.
type callerEvents struct {
	started, admitted, request, local, answered, dismissed, quit, violated, stopped, flushed, lost, timedOut chart.Event
}

// idleTimerPeriod is the interval at which the timer of an open connection is set
// again. It does not close the connection: the session duty closes idle sessions.
const idleTimerPeriod = 10 * time.Minute

// NewCallers binds the listening socket and returns the duty. It returns a
// *ConfigError for an address or chart that cannot be used.
func NewCallers(config CallerConfig, definition *chart.Definition, to outbox.SessionRing) (*Callers, error) {
	d := &Callers{config: config, conns: map[session.CallerID]*callerConn{}}
	var err error
	if d.chart, err = chart.Compile(definition, d.registry()); err != nil {
		return nil, &ConfigError{Reason: "cannot compile the state chart", Err: err}
	}
	d.startupState, d.idleState = d.chart.StateID("startup"), d.chart.StateID("idle")
	d.waitingState = d.chart.StateID("waiting")
	d.endedStates = [2]chart.State{d.chart.StateID("flushing"), d.chart.StateID("finished")}
	e := d.chart.Event
	d.events = callerEvents{
		started: e("started"), admitted: e("admitted"), request: e("request"), local: e("local"),
		answered: e("answered"), dismissed: e("dismissed"), quit: e("quit"), violated: e("violated"),
		stopped: e("stopped"), flushed: e("flushed"), lost: e("lost"), timedOut: e(chart.TimeoutEvent),
	}
	if d.Reactor, err = newReactor(config.RingCapacity, to, d.handleCommand); err != nil {
		return nil, err
	}
	d.OutputPending, d.FlushTimeout = d.outputPending, config.FlushTimeout
	d.OnStop, d.OnEnd = d.beginStop, d.logDutyEnd
	if d.address, err = d.Loop.Listen(config.Address, d.accept); err != nil {
		d.Loop.Close()
		return nil, &ConfigError{Reason: "cannot listen on " + config.Address, Err: err}
	}
	return d, nil
}

// registry returns the actions and timeouts that the chart names.
func (d *Callers) registry() chart.Registry[*callerConn] {
	return chart.Registry[*callerConn]{
		Guards: map[string]func(*callerConn) bool{
			"stopping": func(*callerConn) bool { return !d.stopNoticed.IsZero() },
		},
		Actions: map[string]func(*callerConn){
			"report_opened":      (*callerConn).reportOpened,
			"send_startup_reply": (*callerConn).sendStartupReply,
			"forward_request":    (*callerConn).forwardRequest,
			"send_local_reply":   (*callerConn).sendLocalReply,
			"send_violation":     (*callerConn).sendViolation,
			"send_refusal":       (*callerConn).sendRefusal,
			"report_closed":      (*callerConn).reportClosed,
			"finish":             (*callerConn).finish,
			"close":              func(c *callerConn) { c.socket.CloseAfterFlush() },
			"abort":              func(c *callerConn) { c.socket.Close() },
		},
		Timeouts: map[string]time.Duration{
			"startup":    d.config.Startup,
			"admission":  d.config.Admission,
			"idle":       idleTimerPeriod,
			"flush":      d.config.Flush,
			"peer_close": d.config.PeerClose,
		},
	}
}

// Address returns the bound address.
func (d *Callers) Address() netip.AddrPort { return d.address }

// Open returns the number of open connections. It is safe for concurrent use.
func (d *Callers) Open() int64 { return d.open.Load() }

// Refused returns how many connections were refused because there were MaxCallers
// already. It is safe for concurrent use.
func (d *Callers) Refused() uint64 { return d.refused.Load() }

// accept registers a new connection, or refuses it when there are MaxCallers already.
func (d *Callers) accept(socket *netloop.Conn) netloop.Handler {
	if len(d.conns) >= d.config.MaxCallers {
		d.refused.Add(1)
		return nil
	}
	d.nextID++
	c := &callerConn{
		duty: d, socket: socket, id: d.nextID, codec: d.config.NewCodec(), txStatus: session.TxIdle,
	}
	c.start(c, d.chart, &d.Timers, c.timeOut)
	d.conns[c.id] = c
	d.open.Add(1)
	c.armTimer()
	return c
}

// handleCommand carries out one command of the session duty. A command for a closed
// connection is dropped.
func (d *Callers) handleCommand(command session.CallerCommand) {
	d.countLateAnswer(command)
	switch m := command.(type) {
	case session.CallerAdmitted:
		d.withConn(m.Caller, func(c *callerConn) {
			c.fire(d.events.admitted)
			c.processInput()
		})
	case session.CallerWrite:
		d.withConn(m.Caller, func(c *callerConn) { c.writeResult(m) })
	case session.CallerError:
		d.withConn(m.Caller, func(c *callerConn) { c.completeRequest(m.TxStatus, c.codec.RequestError(m.Refusal, m.TxStatus)) })
	case session.CallerReply:
		d.withConn(m.Caller, func(c *callerConn) { c.completeRequest(m.TxStatus, c.codec.EmptyResult(m.TxStatus)) })
	case session.CallerClose:
		d.withConn(m.Caller, (*callerConn).readArrived)
		d.withConn(m.Caller, func(c *callerConn) { c.dismiss(m.Refusal) })
	}
}

// withConn calls do with the connection of a caller if it is still open.
func (d *Callers) withConn(id session.CallerID, do func(*callerConn)) {
	if c := d.conns[id]; c != nil {
		do(c)
	}
}

// callerConn is one caller connection.
type callerConn struct {
	lifecycle[*callerConn]
	duty     *Callers
	socket   *netloop.Conn
	id       session.CallerID
	codec    CallerCodec
	txStatus byte
	// message, violation and refusal are the arguments of the chart's actions: they
	// belong to the event that is fired next.
	message   CallerMessage
	violation *ViolationError
	refusal   *core.Refusal
	// last and ending are for the log.
	last   lastRequest
	ending ending
}

// Opened implements netloop.Handler; the loop does not call it for accepted connections.
func (c *callerConn) Opened(*netloop.Conn) {}

// Flushed implements netloop.Handler.
func (c *callerConn) Flushed(*netloop.Conn) { c.fire(c.duty.events.flushed) }

// Data implements netloop.Handler.
func (c *callerConn) Data(*netloop.Conn) { c.processInput() }

// Closed implements netloop.Handler.
func (c *callerConn) Closed(_ *netloop.Conn, err error) {
	c.logEnd(ClosedByPeer, err)
	c.closed = true
	c.fire(c.duty.events.lost)
	c.stopTimer()
	delete(c.duty.conns, c.id)
	c.duty.open.Add(-1)
}

// processInput decodes buffered messages as long as the state allows, and pauses
// reading while the session ring is full.
func (c *callerConn) processInput() {
	for !c.closed && c.acceptsInput() {
		if c.duty.Outbox.Blocked() {
			c.pauseForRing(c.socket, c.duty.ResumeLater, c.processInput)
			return
		}
		if !c.decodeNext() {
			return
		}
	}
	c.applyBackpressure()
}

// acceptsInput reports whether a message may be decoded in the current state.
func (c *callerConn) acceptsInput() bool {
	return c.state == c.duty.startupState || c.state == c.duty.idleState
}

// applyBackpressure pauses reading a caller that pipelines more than MaxInputBytes
// of requests ahead of its answers.
func (c *callerConn) applyBackpressure() {
	if !c.closed && len(c.socket.Buffered()) > c.duty.config.MaxInputBytes {
		c.socket.PauseRead()
	}
}

// decodeNext decodes the next message and fires its event. It reports false when
// there is no complete message or the input is invalid.
func (c *callerConn) decodeNext() bool {
	message, n, err := c.codec.Decode(c.socket.Buffered(), c.txStatus)
	if err != nil {
		c.handleViolation(err)
		return false
	}
	if n == 0 {
		return false
	}
	c.socket.Discard(n)
	c.message = message
	if _, quit := message.(Quit); quit {
		c.attributeEnd(ClosedByQuit, "")
	}
	c.fire(c.eventOf(message))
	c.keepEnding()
	return true
}

// eventOf returns the chart event of a decoded message.
func (c *callerConn) eventOf(m CallerMessage) chart.Event {
	switch m.(type) {
	case Startup:
		return c.duty.events.started
	case Request:
		return c.duty.events.request
	case LocalReply:
		return c.duty.events.local
	}
	return c.duty.events.quit
}

// handleViolation fires the event of invalid input; err says what is wrong with it.
func (c *callerConn) handleViolation(err error) {
	if !errors.As(err, &c.violation) {
		c.violation = &ViolationError{Reason: err.Error()}
	}
	c.attributeEnd(ClosedByViolation, "")
	c.fire(c.duty.events.violated)
	c.keepEnding()
}

// timeOut fires the timeout of the current state.
func (c *callerConn) timeOut() {
	c.attributeEnd(ClosedByTimeout, "")
	c.fireTimeout(c.duty.events.timedOut)
	c.keepEnding()
}

// reportOpened reports the caller to the session duty, which admits or dismisses it.
func (c *callerConn) reportOpened() {
	m := c.message.(Startup)
	c.duty.Outbox.Push(session.CallerOpened{Caller: c.id, Entry: m.Entry, Key: m.Key})
}

// sendStartupReply tells the caller that its session is open.
func (c *callerConn) sendStartupReply() {
	c.socket.Write(c.codec.StartupReply())
	c.socket.ResumeRead()
}

// forwardRequest passes the decoded request to the session duty.
func (c *callerConn) forwardRequest() {
	m := c.message.(Request)
	m.Request.Arrived = clock.Now()
	c.noteRequest(m.Request)
	c.duty.Outbox.Push(session.CallerRequest{Caller: c.id, Request: m.Request})
}

// sendLocalReply sends the codec's own reply to a message.
func (c *callerConn) sendLocalReply() {
	c.socket.Write(c.message.(LocalReply).Reply)
}

// writeResult sends result frames. The last ones complete the request.
func (c *callerConn) writeResult(m session.CallerWrite) {
	if !m.Done {
		c.socket.Write(m.Frames)
		c.last.written += len(m.Frames)
		return
	}
	c.completeRequest(m.TxStatus, append(m.Frames, c.codec.ResultEnd(m.TxStatus)...))
}

// completeRequest sends the last bytes of an answer and continues with the next
// buffered message.
func (c *callerConn) completeRequest(txStatus byte, last []byte) {
	c.txStatus = txStatus
	c.socket.Write(last)
	c.noteAnswer(len(last))
	if c.closed {
		return
	}
	c.fire(c.duty.events.answered)
	c.socket.ResumeRead()
	c.processInput()
}

// reportClosed tells the session duty that the session has ended.
func (c *callerConn) reportClosed() {
	c.duty.Outbox.Push(session.CallerClosed{Caller: c.id})
}

var _ netloop.Handler = (*callerConn)(nil)

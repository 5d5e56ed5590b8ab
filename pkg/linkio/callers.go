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

// CallerConfig configures the duty of the caller sockets.
type CallerConfig struct {
	// Address is IP:port.
	Address      string
	RingCapacity int
	// MaxCallers bounds the connections; further ones are closed at once.
	MaxCallers int
	// MaxInput bounds the unread input of a caller, in bytes.
	MaxInput int
	// Startup bounds the wait for the first message, Admission the wait for
	// session, and Linger the sending of the last answers at a stop.
	Startup   time.Duration
	Admission time.Duration
	Linger    time.Duration
	// NewCodec returns the codec of a new connection.
	NewCodec func() CallerCodec
}

// Callers owns the caller sockets. Run and everything below it work on one thread.
type Callers struct {
	*reactor.Reactor[session.CallerCommand]
	config  CallerConfig
	address netip.AddrPort
	chart   *chart.Table[*callerLink]
	on      callerEvents
	// startupState and idleState are the states in which messages are decoded.
	startupState chart.State
	idleState    chart.State
	links        map[session.CallerID]*callerLink
	nextID       session.CallerID
	open         atomic.Int64
}

type callerEvents struct {
	started, admitted, request, local, answered, dismissed, quit, violated, lost, timedOut chart.Event
}

// idleRearm is how often an idle connection's timer is set anew; session bounds
// idle sessions.
const idleRearm = 10 * time.Minute

// NewCallers binds the listening socket and returns the duty. It returns a
// *ConfigError for an address or chart that cannot be used.
func NewCallers(config CallerConfig, definition *chart.Definition, to outbox.SessionRing) (*Callers, error) {
	d := &Callers{config: config, links: map[session.CallerID]*callerLink{}}
	var err error
	if d.chart, err = chart.Compile(definition, d.registry()); err != nil {
		return nil, &ConfigError{Reason: "chart", Err: err}
	}
	d.startupState, d.idleState = d.chart.StateID("startup"), d.chart.StateID("idle")
	e := d.chart.Event
	d.on = callerEvents{
		started: e("started"), admitted: e("admitted"), request: e("request"), local: e("local"),
		answered: e("answered"), dismissed: e("dismissed"), quit: e("quit"), violated: e("violated"),
		lost: e("lost"), timedOut: e(chart.TimeoutEvent),
	}
	if d.Reactor, err = newReactor(config.RingCapacity, to, d.take); err != nil {
		return nil, err
	}
	d.Lingers, d.LingerTime = d.outputWaits, config.Linger
	if d.address, err = d.Loop.Listen(config.Address, d.accept); err != nil {
		d.Loop.Close()
		return nil, &ConfigError{Reason: "cannot listen on " + config.Address, Err: err}
	}
	return d, nil
}

func (d *Callers) registry() chart.Registry[*callerLink] {
	return chart.Registry[*callerLink]{
		Actions: map[string]func(*callerLink){
			"announce":       (*callerLink).announce,
			"greet":          (*callerLink).greet,
			"deliver":        (*callerLink).deliver,
			"answer_local":   (*callerLink).answerLocal,
			"tell_violation": (*callerLink).tellViolation,
			"tell_refusal":   (*callerLink).tellRefusal,
			"report_closed":  (*callerLink).reportClosed,
			"close":          (*callerLink).close,
		},
		Timeouts: map[string]time.Duration{
			"startup":   d.config.Startup,
			"admission": d.config.Admission,
			"idle":      idleRearm,
		},
	}
}

// Address returns the bound address.
func (d *Callers) Address() netip.AddrPort { return d.address }

// Open returns the number of open connections. It is safe for concurrent use.
func (d *Callers) Open() int64 { return d.open.Load() }

// outputWaits reports answers that are not sent yet.
func (d *Callers) outputWaits() bool {
	for _, l := range d.links {
		if l.conn.Pending() > 0 {
			return true
		}
	}
	return false
}

func (d *Callers) accept(conn *netloop.Conn) netloop.Handler {
	d.nextID++
	l := &callerLink{
		duty: d, conn: conn, id: d.nextID, codec: d.config.NewCodec(), txStatus: session.TxIdle,
	}
	l.enter(l, d.chart, &d.Timers, func() { l.expire(d.on.timedOut) })
	d.links[l.id] = l
	d.open.Add(1)
	if len(d.links) > d.config.MaxCallers {
		conn.Close()
		return l
	}
	l.arm()
	return l
}

// take carries out one command. A command for a caller that is gone is dropped.
func (d *Callers) take(command session.CallerCommand) {
	switch m := command.(type) {
	case session.CallerAdmitted:
		d.with(m.Caller, func(l *callerLink) {
			l.fire(d.on.admitted)
			l.process()
		})
	case session.CallerWrite:
		d.with(m.Caller, func(l *callerLink) { l.answer(m) })
	case session.CallerFail:
		d.with(m.Caller, func(l *callerLink) { l.finish(m.TxStatus, l.codec.Fail(m.Refusal, m.TxStatus)) })
	case session.CallerReply:
		d.with(m.Caller, func(l *callerLink) { l.finish(m.TxStatus, l.codec.Reply(m.TxStatus)) })
	case session.CallerClose:
		d.with(m.Caller, func(l *callerLink) { l.dismiss(m.Refusal) })
	}
}

func (d *Callers) with(id session.CallerID, do func(*callerLink)) {
	if l := d.links[id]; l != nil {
		do(l)
	}
}

// callerLink is one caller connection.
type callerLink struct {
	life[*callerLink]
	duty     *Callers
	conn     *netloop.Conn
	id       session.CallerID
	codec    CallerCodec
	txStatus byte
	// message, violation and refusal are what the next event is about.
	message   CallerMessage
	violation *ViolationError
	refusal   *core.Refusal
}

// Opened implements netloop.Handler; it is not called for accepted connections.
func (l *callerLink) Opened(*netloop.Conn) {}

// Drained implements netloop.Handler.
func (l *callerLink) Drained(*netloop.Conn) {}

// Data implements netloop.Handler.
func (l *callerLink) Data(*netloop.Conn) { l.process() }

// Closed implements netloop.Handler.
func (l *callerLink) Closed(*netloop.Conn, error) {
	l.gone = true
	l.fire(l.duty.on.lost)
	l.end()
	delete(l.duty.links, l.id)
	l.duty.open.Add(-1)
}

// process decodes buffered messages while the connection can take them.
func (l *callerLink) process() {
	for !l.gone && l.takesInput() {
		if l.duty.Outbox.Blocked() {
			l.stall(l.conn, l.duty.Stall, l.process)
			return
		}
		if !l.next() {
			return
		}
	}
	l.pushBack()
}

// takesInput reports whether a message may be decoded in the present state.
func (l *callerLink) takesInput() bool {
	return l.state == l.duty.startupState || l.state == l.duty.idleState
}

// pushBack stops reading a caller that sends far ahead of its answers.
func (l *callerLink) pushBack() {
	if !l.gone && len(l.conn.Buffered()) > l.duty.config.MaxInput {
		l.conn.PauseRead()
	}
}

func (l *callerLink) next() bool {
	message, n, err := l.codec.Decode(l.conn.Buffered(), l.txStatus)
	if err != nil {
		l.violate(err)
		return false
	}
	if n == 0 {
		return false
	}
	l.conn.Discard(n)
	l.message = message
	l.fire(l.eventOf(message))
	return true
}

func (l *callerLink) eventOf(m CallerMessage) chart.Event {
	switch m.(type) {
	case Startup:
		return l.duty.on.started
	case Request:
		return l.duty.on.request
	case Local:
		return l.duty.on.local
	}
	return l.duty.on.quit
}

func (l *callerLink) violate(err error) {
	if !errors.As(err, &l.violation) {
		l.violation = &ViolationError{Reason: err.Error()}
	}
	l.fire(l.duty.on.violated)
}

func (l *callerLink) announce() {
	m := l.message.(Startup)
	l.duty.Outbox.Push(session.CallerOpened{Caller: l.id, Entry: m.Entry, Key: m.Key})
}

func (l *callerLink) greet() {
	l.conn.Write(l.codec.Greet())
	l.conn.ResumeRead()
}

func (l *callerLink) deliver() {
	m := l.message.(Request)
	m.Request.Arrived = clock.Now()
	l.duty.Outbox.Push(session.CallerRequest{Caller: l.id, Request: m.Request})
}

func (l *callerLink) answerLocal() {
	l.conn.Write(l.message.(Local).Answer)
}

// answer forwards result frames and, with the last ones, ends the answer.
func (l *callerLink) answer(m session.CallerWrite) {
	if !m.Done {
		l.conn.Write(m.Frames)
		return
	}
	l.finish(m.TxStatus, append(m.Frames, l.codec.Finish(m.TxStatus)...))
}

func (l *callerLink) finish(txStatus byte, last []byte) {
	l.txStatus = txStatus
	l.conn.Write(last)
	if l.gone {
		return
	}
	l.fire(l.duty.on.answered)
	l.conn.ResumeRead()
	l.process()
}

func (l *callerLink) dismiss(r *core.Refusal) {
	l.refusal = r
	l.fire(l.duty.on.dismissed)
}

func (l *callerLink) tellRefusal() {
	if l.refusal != nil {
		l.conn.Write(l.codec.Refuse(l.refusal))
	}
	l.conn.CloseAfterFlush()
}

func (l *callerLink) tellViolation() {
	l.conn.Write(l.violation.Answer)
	l.conn.CloseAfterFlush()
}

func (l *callerLink) reportClosed() {
	l.duty.Outbox.Push(session.CallerClosed{Caller: l.id})
}

func (l *callerLink) close() {
	l.conn.CloseAfterFlush()
}

var _ netloop.Handler = (*callerLink)(nil)

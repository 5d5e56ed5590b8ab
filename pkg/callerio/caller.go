package callerio

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

const (
	// maxAuthMessage bounds a SASL message in bytes; real ones are below 1 KB.
	maxAuthMessage = 8 << 10
	// secretSize is the size in bytes of the cancel secret of protocol 3.0.
	secretSize = 4
	// txIdle is the transaction status outside a transaction.
	txIdle = 'I'
)

// SQLSTATEs of PostgreSQL that only this package raises.
const (
	stateTooMany       = "53300"
	stateCannotConnect = "57P03"
	stateNoStatement   = "26000"
	stateNoPortal      = "34000"
	stateLimit         = "54000"
)

// caller is one caller connection.
type caller struct {
	duty  *Duty
	conn  *netloop.Conn
	id    session.CallerID
	state chart.State
	// gone is set once the socket is closed.
	gone bool
	// ending is set once the connection only sends what is buffered.
	ending bool
	// unread is set when the caller may still be sending. The socket is then
	// closed by the caller or the linger timeout: closing it with unread input
	// resets it, and the caller would lose the error that it was sent.
	unread  bool
	timeout timerq.Item[func()]
	delay   timerq.Item[func()]
	linger  timerq.Item[func()]

	account     core.AccountName
	entry       core.EntryName
	application string
	trace       string
	carried     core.Position
	exchange    *wire.ScramExchange
	accepted    bool
	reply       string
	key         core.KeyID
	fault       wire.Failure
	// announced is set once session knows the caller.
	announced     bool
	process32     uint32
	secret        [secretSize]byte
	cancelProcess uint32
	cancelSecret  []byte

	statements map[string]*statement
	portals    map[string]*statement
	batch      batch
	// busy is set while a delivered request is unanswered.
	busy    bool
	running running
	// skipping drops input up to the next Sync, after an error in a batch
	// that a Flush ended.
	skipping bool
	txStatus byte
	// blocked is set between CallerBlocked and CallerDrained.
	blocked bool
	// stalled is set while the socket waits for room in the session ring.
	stalled bool
}

// running is what the answer to the delivered request depends on.
type running struct {
	simple bool
	steps  []step
	// hideReady is set when a Flush ended the batch: the caller does not
	// expect ReadyForQuery.
	hideReady bool
	// failed is set when the answer held an ErrorResponse; it is kept only
	// with hideReady.
	failed bool
}

// Opened implements netloop.Handler; it is not called for accepted connections.
func (c *caller) Opened(*netloop.Conn) {}

// Data implements netloop.Handler.
func (c *caller) Data(*netloop.Conn) {
	c.process()
}

// Drained implements netloop.Handler.
func (c *caller) Drained(*netloop.Conn) {
	if c.blocked {
		c.blocked = false
		c.duty.Outbox.Push(session.CallerDrained{Caller: c.id})
	}
}

// Closed implements netloop.Handler.
func (c *caller) Closed(*netloop.Conn, error) {
	c.gone = true
	d := c.duty
	c.fire(d.startup.lost)
	d.Timers.Disarm(&c.timeout)
	d.Timers.Disarm(&c.delay)
	d.Timers.Disarm(&c.linger)
	delete(d.callers, c.id)
	if d.processes[c.process32] == c {
		delete(d.processes, c.process32)
	}
	c.releaseStatements()
	d.counts.open.Add(-1)
	if c.announced {
		d.Outbox.Push(session.CallerClosed{Caller: c.id})
	}
}

// process consumes the buffered input as far as it can be handled now.
func (c *caller) process() {
	if c.duty.Outbox.Blocked() {
		c.stall()
		return
	}
	buf := c.conn.Buffered()
	used := 0
	for !c.gone && !c.busy && !c.ending {
		read := c.duty.startup.readers[c.state]
		if read == nil {
			break
		}
		n := read(c, buf[used:])
		if n == 0 {
			break
		}
		used += n
	}
	if c.gone {
		return
	}
	if c.ending {
		used = len(c.conn.Buffered())
	}
	if used > 0 {
		c.conn.Discard(used)
	}
	c.balanceInput()
}

// stall stops reading until the session ring has room.
func (c *caller) stall() {
	c.conn.PauseRead()
	if !c.stalled {
		c.stalled = true
		c.duty.Stall(c.resume)
	}
}

// resume reads the socket again once the session ring has room.
func (c *caller) resume() {
	c.stalled = false
	if !c.gone {
		c.process()
	}
}

// balanceInput bounds the input that is buffered while it cannot be handled.
func (c *caller) balanceInput() {
	waiting := c.busy || c.duty.startup.readers[c.state] == nil
	if waiting && len(c.conn.Buffered()) >= c.duty.config.InputMark {
		c.conn.PauseRead()
		return
	}
	c.conn.ResumeRead()
}

// write sends b and reports a caller that does not read its answers.
func (c *caller) write(b []byte) {
	c.conn.Write(b)
	if !c.blocked && c.conn.Pending() > c.duty.config.OutputMark {
		c.blocked = true
		c.duty.Outbox.Push(session.CallerBlocked{Caller: c.id})
	}
}

func (c *caller) closeNow() {
	c.conn.Close()
}

// violate ends the connection because of invalid input.
func (c *caller) violate(reason string) {
	c.duty.counts.violations.Add(1)
	c.duty.report(c, NoteViolation, reason)
	c.unread = true
	c.fault = wire.Failure{
		Severity: wire.SeverityFatal,
		SQLState: SQLState(core.ReasonProtocolViolation),
		Message:  reason,
	}
	if c.serving() {
		c.sendFault()
		return
	}
	c.fire(c.duty.startup.violated)
}

// serving reports whether the startup has ended with an admitted caller.
func (c *caller) serving() bool {
	return c.state == c.duty.startup.serving
}

// sendFault sends c.fault, if any, and closes the connection after it.
func (c *caller) sendFault() {
	if c.fault.SQLState != "" {
		c.conn.Write(wire.AppendFailure(nil, c.fault))
	}
	c.end()
}

// end closes the connection when its output is sent, at the latest after
// LingerTimeout.
func (c *caller) end() {
	if c.gone || c.ending {
		return
	}
	c.ending = true
	if !c.unread {
		c.conn.CloseAfterFlush()
	}
	if !c.gone {
		c.duty.Timers.Arm(&c.linger, time.Now().Add(c.duty.config.LingerTimeout))
	}
}

func (c *caller) lingerOver() {
	c.conn.Close()
}

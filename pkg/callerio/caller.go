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
	// maxAuthMessageBytes limits the size of a SASL message; valid ones are below 1 KB.
	maxAuthMessageBytes = 8 << 10
	// secretSize is the size in bytes of the cancel secret of protocol 3.0.
	secretSize = 4
	// txIdle is the transaction status of ReadyForQuery outside a transaction.
	txIdle = 'I'
)

// SQLSTATEs of PostgreSQL that only this package raises, under PostgreSQL's names.
const (
	sqlStateTooManyConnections   = "53300"
	sqlStateCannotConnectNow     = "57P03"
	sqlStateInvalidStatementName = "26000"
	sqlStateInvalidCursorName    = "34000"
	sqlStateProgramLimitExceeded = "54000"
)

// caller is one caller connection.
type caller struct {
	duty *Duty
	conn *netloop.Conn
	id   session.CallerID
	// state is the current state of the startup chart.
	state chart.State
	// closed is set once the socket is closed.
	closed bool
	// closing is set once the connection only sends its buffered output and then
	// closes; further input is discarded.
	closing bool
	// mayBeSending is set when the caller may be in the middle of a long message. It reads the
	// error response after that.
	mayBeSending bool
	// stateTimer is the timeout of the startup chart's current state.
	stateTimer timerq.Item[func()]
	// failureTimer delays the error response to a failed authentication.
	failureTimer timerq.Item[func()]
	// flushTimer limits how long a closing connection sends its output, and then how long
	// the caller takes to close it.
	flushTimer timerq.Item[func()]

	// The parameters of the StartupMessage.
	account         core.AccountName
	entry           core.EntryName
	application     string
	traceparent     string
	initialPosition core.Position

	// exchange is the SCRAM exchange in progress, nil before and after it.
	exchange *wire.ScramServerExchange
	// credentialsAccepted is the result of the last SASL message.
	credentialsAccepted bool
	// scramReply is the next SCRAM message to the caller.
	scramReply string
	key        core.KeyID
	// closingError is sent before the connection closes, unless it is empty.
	closingError wire.Failure
	// admissionRequested is set once CallerOpened was sent to session.
	admissionRequested bool
	// processID and secret authenticate a CancelRequest for this caller.
	processID uint32
	secret    [secretSize]byte
	// cancelProcessID and cancelSecret are the content of a CancelRequest that
	// arrived on this connection.
	cancelProcessID uint32
	cancelSecret    []byte

	// statements and portals map the caller's names to the statements.
	statements map[string]*statement
	portals    map[string]*statement
	batch      batch
	// busy is set while session has a request of this caller without a complete
	// response.
	busy    bool
	request requestState
	// ignoreTillSync drops input up to the next Sync, after an error in a batch
	// that a Flush ended.
	ignoreTillSync bool
	txStatus       byte
	// outputBlocked is set between CallerBlocked and CallerWritable.
	outputBlocked bool
	// pausedByRing is set while reading is paused because the session ring is full.
	pausedByRing bool
}

// requestState is the state on which the response to the current request depends.
type requestState struct {
	simple bool
	steps  []step
	// suppressReady is set when a Flush ended the batch: the caller does not
	// expect ReadyForQuery.
	suppressReady bool
	// failed is set when the response contained an ErrorResponse; results of
	// targets are checked for it only if suppressReady is set.
	failed bool
}

// Opened implements netloop.Handler; it is not called for accepted connections.
func (c *caller) Opened(*netloop.Conn) {}

// Data implements netloop.Handler.
func (c *caller) Data(*netloop.Conn) {
	c.processInput()
}

// Flushed implements netloop.Handler: all buffered output was sent.
func (c *caller) Flushed(*netloop.Conn) {
	if c.outputBlocked {
		c.outputBlocked = false
		c.duty.Outbox.Push(session.CallerWritable{Caller: c.id})
	}
	if c.closing {
		c.armFlushTimer()
	}
}

// Closed implements netloop.Handler.
func (c *caller) Closed(*netloop.Conn, error) {
	c.closed = true
	d := c.duty
	c.fire(d.startup.lost)
	d.Timers.Disarm(&c.stateTimer)
	d.Timers.Disarm(&c.failureTimer)
	d.Timers.Disarm(&c.flushTimer)
	delete(d.callers, c.id)
	if d.byProcessID[c.processID] == c {
		delete(d.byProcessID, c.processID)
	}
	c.releaseStatements()
	d.counts.open.Add(-1)
	if c.admissionRequested {
		d.Outbox.Push(session.CallerClosed{Caller: c.id})
	}
}

// processInput handles buffered input until it is incomplete, a request waits
// for its response, or the state of the startup takes no input.
func (c *caller) processInput() {
	if c.duty.Outbox.Blocked() {
		c.pauseForRing()
		return
	}
	buf := c.conn.Buffered()
	used := 0
	for !c.closed && !c.busy && !c.closing {
		read := c.duty.startup.inputReaders[c.state]
		if read == nil {
			break
		}
		n := read(c, buf[used:])
		if n == 0 {
			break
		}
		used += n
	}
	if c.closed {
		return
	}
	if c.closing {
		used = len(c.conn.Buffered())
	}
	if used > 0 {
		c.conn.Discard(used)
	}
	c.limitBufferedInput()
}

// pauseForRing pauses reading until the session ring has free space.
func (c *caller) pauseForRing() {
	c.conn.PauseRead()
	if !c.pausedByRing {
		c.pausedByRing = true
		c.duty.ResumeLater(c.resumeFromRing)
	}
}

// resumeFromRing resumes reading once the session ring has free space.
func (c *caller) resumeFromRing() {
	c.pausedByRing = false
	if !c.closed {
		c.processInput()
	}
}

// limitBufferedInput pauses reading when InputHighWaterBytes or more are buffered
// and cannot be handled yet, and resumes it otherwise.
func (c *caller) limitBufferedInput() {
	waiting := c.busy || c.duty.startup.inputReaders[c.state] == nil
	if waiting && len(c.conn.Buffered()) >= c.duty.config.InputHighWaterBytes {
		c.conn.PauseRead()
		return
	}
	c.conn.ResumeRead()
}

// write sends buf. It reports CallerBlocked when more than OutputHighWaterBytes
// are unsent, because the caller does not read its responses.
func (c *caller) write(buf []byte) {
	c.conn.Write(buf)
	if !c.outputBlocked && c.conn.Pending() > c.duty.config.OutputHighWaterBytes {
		c.outputBlocked = true
		c.duty.Outbox.Push(session.CallerBlocked{Caller: c.id})
	}
}

// closeConn closes the connection without sending buffered output.
func (c *caller) closeConn() {
	c.conn.Close()
}

// closeOnViolation closes the connection because of invalid input; reason is
// sent to the caller.
func (c *caller) closeOnViolation(reason string) {
	c.duty.counts.violations.Add(1)
	c.duty.logEvent(c, LogProtocolViolation, reason)
	c.mayBeSending = true
	c.closingError = wire.Failure{
		Severity: wire.SeverityFatal,
		SQLState: SQLState(core.ReasonProtocolViolation),
		Message:  reason,
	}
	if c.serving() {
		c.sendErrorAndClose()
		return
	}
	c.fire(c.duty.startup.violated)
}

// serving reports whether the caller is admitted and its startup complete.
func (c *caller) serving() bool {
	return c.state == c.duty.startup.serving
}

// sendErrorAndClose sends c.closingError, if any, and closes the connection.
func (c *caller) sendErrorAndClose() {
	if c.closingError.SQLState != "" {
		c.conn.Write(wire.AppendFailure(nil, c.closingError))
	}
	c.closeAfterOutput()
}

// closeAfterOutput sends the output and closes the connection once the caller has closed it, or
// when FlushTimeout or PeerCloseTimeout has passed.
func (c *caller) closeAfterOutput() {
	if c.closed || c.closing {
		return
	}
	c.closing = true
	c.conn.Finish()
	c.armFlushTimer()
}

// closeAfterQuit closes the connection when its output is sent, or after FlushTimeout. The
// caller has announced that it sends nothing more.
func (c *caller) closeAfterQuit() {
	if c.closed || c.closing {
		return
	}
	c.closing = true
	c.conn.CloseAfterFlush()
	if !c.closed {
		c.armFlushTimer()
	}
}

// armFlushTimer sets the bound of the current step of a closing connection. A caller that may
// still be sending gets as long as for reading the output, except at a stop.
func (c *caller) armFlushTimer() {
	bound := c.duty.config.FlushTimeout
	if c.conn.Pending() == 0 && (!c.mayBeSending || c.duty.stopping) {
		bound = c.duty.config.PeerCloseTimeout
	}
	c.duty.Timers.Arm(&c.flushTimer, time.Now().Add(bound))
}

func (c *caller) flushTimedOut() {
	c.conn.Close()
}

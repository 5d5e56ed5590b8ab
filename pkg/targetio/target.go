package targetio

import (
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// target is one connection to a member.
type target struct {
	duty     *Duty
	conn     *netloop.Conn
	id       session.TargetID
	address  string
	database core.DatabaseName
	// state is the current state of the startup chart.
	state chart.State
	// stateTimer is the timeout of that state.
	stateTimer timerq.Item[func()]
	// closed is set once the socket is closed.
	closed bool
	// closeReason says why the proxy closes the connection, empty if it does not.
	closeReason string

	// offeredMechanisms are the SASL mechanisms that the member offered.
	offeredMechanisms []string
	// scram is the SCRAM exchange, nil before it and once the connection is open.
	scram *wire.ScramClientExchange
	// stepAccepted is the result of the last SCRAM step, for a guard of the chart.
	stepAccepted bool
	// scramReply is the next SCRAM message to the member.
	scramReply string
	// processID and cancelSecret identify the connection in a CancelRequest.
	processID    uint32
	cancelSecret []byte

	statements statementSet
	// request is the request in progress, nil on an idle connection.
	request *requestState
	// pendingCancels counts the open connections for a CancelRequest. The next
	// request waits until they are closed, because a late CancelRequest would
	// cancel it.
	pendingCancels int
	// deferredSend is the request that waits for pendingCancels.
	deferredSend *session.TargetSend
	// pausedBySession is set between TargetPause and TargetResume.
	pausedBySession bool
	// pausedByRing is set while reading is paused because the session ring is full.
	pausedByRing bool
}

// Opened implements netloop.Handler.
func (t *target) Opened(*netloop.Conn) {
	t.fire(t.duty.startup.connected)
}

// Flushed implements netloop.Handler.
func (t *target) Flushed(*netloop.Conn) {}

// Data implements netloop.Handler.
func (t *target) Data(*netloop.Conn) {
	t.processInput()
}

// Closed implements netloop.Handler: it reports the end of the connection.
func (t *target) Closed(_ *netloop.Conn, err error) {
	started := t.state == t.duty.startup.open
	t.closed = true
	t.fire(t.duty.startup.lost)
	t.duty.Timers.Disarm(&t.stateTimer)
	delete(t.duty.targets, t.id)
	t.duty.counts.open.Add(-1)
	if !started {
		t.duty.counts.refused.Add(1)
	}
	t.duty.Outbox.Push(session.TargetClosed{
		Target:  t.id,
		Unsent:  t.request == nil || !t.request.written,
		Reason:  t.describeClose(err),
		Refused: !started,
	})
}

// describeClose returns the reason of a closed connection for the log.
func (t *target) describeClose(err error) string {
	if t.closeReason != "" {
		return t.closeReason
	}
	if err == nil || err == io.EOF {
		return "the member closed the connection"
	}
	return err.Error()
}

// closeConn closes the connection and records the reason.
func (t *target) closeConn(reason string) {
	if t.closed {
		return
	}
	t.closeReason = reason
	t.conn.Close()
}

// terminate closes the connection on behalf of session. An idle member is sent a
// Terminate message, so that it does not log a lost connection.
func (t *target) terminate() {
	if t.state == t.duty.startup.open && t.request == nil {
		t.conn.Write(wire.Append(nil, &pgproto3.Terminate{}))
	}
	t.closeConn("closed by the proxy")
}

// processInput handles all complete frames in the input buffer, unless reading is
// paused.
func (t *target) processInput() {
	if t.duty.Outbox.Blocked() {
		t.pauseForRing()
		return
	}
	if t.closed || t.pausedBySession {
		return
	}
	buf := t.conn.Buffered()
	used := 0
	for !t.closed {
		frame, complete, err := wire.Next(buf[used:], t.duty.config.MaxMessageBytes)
		if err != nil {
			t.flushResults()
			t.closeConn(err.Error())
			return
		}
		if !complete {
			break
		}
		used += len(frame.Raw)
		t.handleFrame(frame)
	}
	if t.closed {
		return
	}
	t.flushResults()
	if used > 0 {
		t.conn.Discard(used)
	}
}

// handleFrame handles one frame according to the state of the connection.
func (t *target) handleFrame(f wire.Frame) {
	if t.state != t.duty.startup.open {
		t.handleStartupFrame(f)
		return
	}
	if t.request == nil {
		// Notices and parameter changes on an idle connection belong to no request.
		return
	}
	t.handleResponseFrame(f)
}

// flushResults sends the result frames collected so far to session.
func (t *target) flushResults() {
	if t.request == nil || len(t.request.frames) == 0 {
		return
	}
	frames := t.request.frames
	t.request.frames = nil
	t.duty.Outbox.Push(session.TargetData{Target: t.id, Frames: frames})
}

// pauseForRing pauses reading until the session ring has free space.
func (t *target) pauseForRing() {
	if t.closed || t.pausedByRing {
		return
	}
	t.pausedByRing = true
	t.duty.ResumeLater(t.resumeFromRing)
	t.updateReading()
}

// resumeFromRing resumes reading once the session ring has free space.
func (t *target) resumeFromRing() {
	t.pausedByRing = false
	t.updateReading()
	t.processInput()
}

// setPaused pauses or resumes reading on behalf of session.
func (t *target) setPaused(paused bool) {
	t.pausedBySession = paused
	t.updateReading()
	if !paused {
		t.processInput()
	}
}

// updateReading reads the socket only if neither session nor the full ring pauses
// it.
func (t *target) updateReading() {
	if t.closed {
		return
	}
	if t.pausedBySession || t.pausedByRing {
		t.conn.PauseRead()
		return
	}
	t.conn.ResumeRead()
}

package callerio

import (
	"math"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

const (
	// readyForQuerySize is the size of a ReadyForQuery message in bytes.
	readyForQuerySize = wire.HeaderSize + 1
	// positionParameter is the parameter that reports the log position of each
	// write to the caller.
	positionParameter = "sassafrasshunt.position"
	// textOID is PostgreSQL's OID of the type text.
	textOID = 25
)

// errorHints maps the reason of an error that the proxy raises to the hint that
// the caller receives with it.
var errorHints = map[core.Reason]string{
	core.ReasonUncertain:       "Check whether the statement took effect before repeating it.",
	core.ReasonRateExceeded:    "Send fewer statements, or retry after a pause.",
	core.ReasonDeadline:        "Retry later, or raise the deadline of the entry.",
	core.ReasonNoPrimary:       "Retry after a few seconds.",
	core.ReasonNoMember:        "Retry after a few seconds.",
	core.ReasonOverloaded:      "Retry after a pause.",
	core.ReasonDatabaseLeaving: "The database is being removed; use another entry.",
	core.ReasonStopping:        "Reconnect; another instance takes the connection.",
	core.ReasonKeyRevoked:      "Connect with a key that is still valid.",
	core.ReasonNotSupported:    "Use INSERT and SELECT statements instead.",
	core.ReasonReadOnlyEntry:   "Use an entry that allows writes.",
}

// outcomeDetail returns the detail text of an error that states the outcome of
// the request.
func outcomeDetail(o core.Outcome) string {
	return "outcome: " + string(o)
}

// errorFromRefusal returns the error response that reports r to the caller.
func errorFromRefusal(r *core.Refusal, severity string) wire.Failure {
	e := wire.Failure{Severity: severity, SQLState: SQLState(r.Reason), Message: r.Message, Hint: errorHints[r.Reason]}
	if r.Outcome != "" {
		e.Detail = outcomeDetail(r.Outcome)
	}
	return e
}

// handleCommand executes one command of the session duty. A command for a
// caller that is already closed or closing is dropped.
func (d *Duty) handleCommand(command session.CallerCommand) {
	switch m := command.(type) {
	case session.CallerAdmitted:
		d.withCaller(m.Caller, func(c *caller) { c.handleAdmitted() })
	case session.CallerWrite:
		d.withCaller(m.Caller, func(c *caller) { c.forwardResult(m) })
	case session.CallerError:
		d.withCaller(m.Caller, func(c *caller) { c.sendFailure(m) })
	case session.CallerReply:
		d.withCaller(m.Caller, func(c *caller) { c.handleReply(m) })
	case session.CallerClose:
		d.withCaller(m.Caller, func(c *caller) { c.closeBySession(m.Refusal) })
	}
}

// withCaller calls fn with the caller that has this ID, unless its connection
// is closed or closing.
func (d *Duty) withCaller(id session.CallerID, fn func(*caller)) {
	if c := d.callers[id]; c != nil && !c.closing {
		fn(c)
	}
}

// handleAdmitted completes the startup of a caller that session admitted.
func (c *caller) handleAdmitted() {
	c.fire(c.duty.startup.admitted)
	c.processInput()
}

// closeBySession closes the connection on behalf of session; refusal, if not
// nil, is sent as a fatal error before.
func (c *caller) closeBySession(refusal *core.Refusal) {
	c.closingError = wire.Failure{}
	if refusal != nil {
		c.closingError = errorFromRefusal(refusal, wire.SeverityFatal)
	}
	if !c.serving() {
		c.fire(c.duty.startup.dismissed)
		return
	}
	c.sendErrorAndClose()
}

// closeStopping closes the connection of a caller without a request under way at a stop.
func (c *caller) closeStopping() {
	c.closeBySession(core.NotRun(core.ReasonStopping, "this instance is stopping, please reconnect"))
}

// forwardResult forwards result frames to the caller. Done marks the last frames
// of the response: the log position, if any, is inserted before ReadyForQuery,
// and ReadyForQuery is removed after a Flush.
func (c *caller) forwardResult(m session.CallerWrite) {
	if !c.busy {
		return
	}
	if c.request.suppressReady && !c.request.failed {
		c.request.failed = containsError(m.Frames)
	}
	if !m.Done {
		c.write(m.Frames)
		return
	}
	body := c.trimReady(m.Frames)
	if m.Position.IsZero() && !c.request.suppressReady {
		c.write(m.Frames)
		c.finishRequest()
		return
	}
	out := c.duty.scratch[:0]
	if len(body) > maxScratchBytes {
		c.write(body)
	} else {
		out = append(out, body...)
	}
	if !m.Position.IsZero() {
		out = wire.Append(out, &pgproto3.ParameterStatus{Name: positionParameter, Value: m.Position.String()})
	}
	if !c.request.suppressReady {
		out = append(out, m.Frames[len(body):]...)
	}
	c.write(out)
	c.duty.reuseScratch(out)
	c.finishRequest()
}

// trimReady returns frames without the ReadyForQuery at their end and stores
// the transaction status that it reports.
func (c *caller) trimReady(frames []byte) []byte {
	readyOffset := len(frames) - readyForQuerySize
	if readyOffset < 0 || frames[readyOffset] != 'Z' {
		return frames
	}
	c.setTxStatus(frames[len(frames)-1])
	return frames[:readyOffset]
}

// maxScratchBytes limits the buffer that is kept for assembling responses.
const maxScratchBytes = 64 << 10

// reuseScratch keeps buf for the next response unless it has grown too large.
func (d *Duty) reuseScratch(buf []byte) {
	if cap(buf) <= maxScratchBytes {
		d.scratch = buf[:0]
	}
}

// containsError reports whether one of the frames is an ErrorResponse.
func containsError(frames []byte) bool {
	for len(frames) > 0 {
		frame, complete, err := wire.Next(frames, math.MaxInt32)
		if err != nil || !complete {
			return false
		}
		if frame.Type == 'E' {
			return true
		}
		frames = frames[len(frame.Raw):]
	}
	return false
}

// setTxStatus stores the transaction status of the caller's session.
func (c *caller) setTxStatus(status byte) {
	c.txStatus = status
	if status == txIdle {
		// Portals are closed at the end of the transaction.
		clear(c.portals)
	}
}

// finishRequest ends the current request and continues with pipelined input. At a stop it
// closes the connection.
func (c *caller) finishRequest() {
	c.busy = false
	c.ignoreTillSync = c.request.suppressReady && c.request.failed
	c.request = requestState{}
	if c.duty.stopping {
		c.closeStopping()
		return
	}
	c.processInput()
}

// sendReady sends the ReadyForQuery of a request that the proxy answered itself,
// or suppresses it after a Flush.
func (c *caller) sendReady(request requestState) {
	if request.suppressReady {
		c.ignoreTillSync = request.failed
		return
	}
	c.write(wire.Append(nil, &pgproto3.ReadyForQuery{TxStatus: c.txStatus}))
}

// sendFailure answers the current request with an error; a fatal one closes the
// connection.
func (c *caller) sendFailure(m session.CallerError) {
	if !c.busy {
		return
	}
	if m.Refusal.Fatal {
		c.closeBySession(m.Refusal)
		return
	}
	c.setTxStatus(m.TxStatus)
	c.request.failed = true
	c.write(wire.AppendFailure(nil, errorFromRefusal(m.Refusal, wire.SeverityError)))
	c.sendReady(c.request)
	c.finishRequest()
}

// handleReply answers the current request with a result that session produced.
func (c *caller) handleReply(m session.CallerReply) {
	if !c.busy {
		return
	}
	c.writeReply(m)
	c.finishRequest()
}

// writeReply encodes a result that the proxy produced: one response message for
// each step of a batch, or row description and result for a simple query.
func (c *caller) writeReply(m session.CallerReply) {
	c.setTxStatus(m.TxStatus)
	out := c.duty.scratch[:0]
	if c.request.simple {
		out = appendDescription(out, m)
		out = appendResult(out, m)
	}
	for _, s := range c.request.steps {
		out = appendStepResponse(out, s, m)
	}
	c.write(out)
	c.duty.reuseScratch(out)
	c.sendReady(c.request)
}

// appendStepResponse appends the response to one message of a batch.
func appendStepResponse(out []byte, s step, m session.CallerReply) []byte {
	switch s {
	case stepParse:
		return wire.Append(out, &pgproto3.ParseComplete{})
	case stepBind:
		return wire.Append(out, &pgproto3.BindComplete{})
	case stepClose:
		return wire.Append(out, &pgproto3.CloseComplete{})
	case stepDescribeStatement:
		out = wire.Append(out, &pgproto3.ParameterDescription{})
		return appendDescriptionOrNone(out, m)
	case stepDescribePortal:
		return appendDescriptionOrNone(out, m)
	}
	return appendResult(out, m)
}

// appendDescriptionOrNone appends the row description of the result, or NoData
// if it has no column.
func appendDescriptionOrNone(out []byte, m session.CallerReply) []byte {
	if m.Column == "" {
		return wire.Append(out, &pgproto3.NoData{})
	}
	return appendDescription(out, m)
}

func appendDescription(out []byte, m session.CallerReply) []byte {
	if m.Column == "" {
		return out
	}
	return wire.Append(out, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(m.Column),
		DataTypeOID:  textOID,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}})
}

// appendResult appends the row of the result, if any, and the message that ends
// it: CommandComplete, or EmptyQueryResponse without a command tag.
func appendResult(out []byte, m session.CallerReply) []byte {
	if m.Column != "" {
		out = wire.Append(out, &pgproto3.DataRow{Values: [][]byte{[]byte(m.Value)}})
	}
	if m.Tag == "" {
		return wire.Append(out, &pgproto3.EmptyQueryResponse{})
	}
	return wire.Append(out, &pgproto3.CommandComplete{CommandTag: []byte(m.Tag)})
}

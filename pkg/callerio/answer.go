package callerio

import (
	"math"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

const (
	// readySize is the size in bytes of ReadyForQuery.
	readySize = wire.HeaderSize + 1
	// positionParameter is reported after each write.
	positionParameter = "sassafrasshunt.position"
	// textType is the OID of the type text.
	textType = 25
)

// hints tell what a caller can do about an error of the proxy.
var hints = map[core.Reason]string{
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

func outcomeDetail(o core.Outcome) string {
	return "outcome: " + string(o)
}

func failureOf(r *core.Refusal, severity string) wire.Failure {
	f := wire.Failure{Severity: severity, SQLState: SQLState(r.Reason), Message: r.Message, Hint: hints[r.Reason]}
	if r.Outcome != "" {
		f.Detail = outcomeDetail(r.Outcome)
	}
	return f
}

// command carries out one command of the session duty. A command for a caller
// that is gone is dropped.
func (d *Duty) command(command session.CallerCommand) {
	switch m := command.(type) {
	case session.CallerAdmitted:
		d.withCaller(m.Caller, func(c *caller) { c.admit() })
	case session.CallerWrite:
		d.withCaller(m.Caller, func(c *caller) { c.answer(m) })
	case session.CallerFail:
		d.withCaller(m.Caller, func(c *caller) { c.answerFailure(m) })
	case session.CallerReply:
		d.withCaller(m.Caller, func(c *caller) { c.answerReply(m) })
	case session.CallerClose:
		d.withCaller(m.Caller, func(c *caller) { c.dismiss(m.Refusal) })
	}
}

func (d *Duty) withCaller(id session.CallerID, do func(*caller)) {
	if c := d.callers[id]; c != nil && !c.ending {
		do(c)
	}
}

func (c *caller) admit() {
	c.fire(c.duty.startup.admitted)
	c.process()
}

// dismiss closes the connection after an optional error.
func (c *caller) dismiss(refusal *core.Refusal) {
	c.fault = wire.Failure{}
	if refusal != nil {
		c.fault = failureOf(refusal, wire.SeverityFatal)
	}
	if !c.serving() {
		c.fire(c.duty.startup.dismissed)
		return
	}
	c.sendFault()
}

// answer forwards result frames.
func (c *caller) answer(m session.CallerWrite) {
	if !c.busy {
		return
	}
	if c.running.hideReady && !c.running.failed {
		c.running.failed = holdsError(m.Frames)
	}
	if !m.Done {
		c.write(m.Frames)
		return
	}
	body := c.splitReady(m.Frames)
	if m.Position.IsZero() && !c.running.hideReady {
		c.write(m.Frames)
		c.finish()
		return
	}
	out := c.duty.scratch[:0]
	if len(body) > maxScratch {
		c.write(body)
	} else {
		out = append(out, body...)
	}
	if !m.Position.IsZero() {
		out = wire.Append(out, &pgproto3.ParameterStatus{Name: positionParameter, Value: m.Position.String()})
	}
	if !c.running.hideReady {
		out = append(out, m.Frames[len(body):]...)
	}
	c.write(out)
	c.duty.keepScratch(out)
	c.finish()
}

// splitReady returns frames without the ReadyForQuery at their end and takes
// over the transaction status that it reports.
func (c *caller) splitReady(frames []byte) []byte {
	at := len(frames) - readySize
	if at < 0 || frames[at] != 'Z' {
		return frames
	}
	c.setStatus(frames[len(frames)-1])
	return frames[:at]
}

// maxScratch bounds the buffer that is kept for assembling answers, in bytes.
const maxScratch = 64 << 10

func (d *Duty) keepScratch(b []byte) {
	if cap(b) <= maxScratch {
		d.scratch = b[:0]
	}
}

func holdsError(frames []byte) bool {
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

func (c *caller) setStatus(status byte) {
	c.txStatus = status
	if status == txIdle {
		// Portals end with the transaction.
		clear(c.portals)
	}
}

// finish ends the running request and goes on with pipelined input.
func (c *caller) finish() {
	c.busy = false
	c.skipping = c.running.hideReady && c.running.failed
	c.running = running{}
	c.process()
}

// ready sends ReadyForQuery for a request that was answered here, or hides it
// after a Flush.
func (c *caller) ready(r running) {
	if r.hideReady {
		c.skipping = r.failed
		return
	}
	c.write(wire.Append(nil, &pgproto3.ReadyForQuery{TxStatus: c.txStatus}))
}

func (c *caller) answerFailure(m session.CallerFail) {
	if !c.busy {
		return
	}
	if m.Refusal.Fatal {
		c.dismiss(m.Refusal)
		return
	}
	c.setStatus(m.TxStatus)
	c.running.failed = true
	c.write(wire.AppendFailure(nil, failureOf(m.Refusal, wire.SeverityError)))
	c.ready(c.running)
	c.finish()
}

func (c *caller) answerReply(m session.CallerReply) {
	if !c.busy {
		return
	}
	c.replyWith(m)
	c.finish()
}

// replyWith answers the running request with a result that the proxy made.
func (c *caller) replyWith(m session.CallerReply) {
	c.setStatus(m.TxStatus)
	out := c.duty.scratch[:0]
	if c.running.simple {
		out = appendDescription(out, m)
		out = appendResult(out, m)
	}
	for _, s := range c.running.steps {
		out = appendStep(out, s, m)
	}
	c.write(out)
	c.duty.keepScratch(out)
	c.ready(c.running)
}

func appendStep(out []byte, s step, m session.CallerReply) []byte {
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
		DataTypeOID:  textType,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}})
}

func appendResult(out []byte, m session.CallerReply) []byte {
	if m.Column != "" {
		out = wire.Append(out, &pgproto3.DataRow{Values: [][]byte{[]byte(m.Value)}})
	}
	if m.Tag == "" {
		return wire.Append(out, &pgproto3.EmptyQueryResponse{})
	}
	return wire.Append(out, &pgproto3.CommandComplete{CommandTag: []byte(m.Tag)})
}

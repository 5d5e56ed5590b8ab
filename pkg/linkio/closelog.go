package linkio

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Closer is the side that ended a caller connection.
type Closer uint8

// The closers of a caller connection.
const (
	// ClosedByPeer is a connection that the caller closed or reset.
	ClosedByPeer Closer = iota
	// ClosedByQuit is the caller's message that ends the session.
	ClosedByQuit
	// ClosedBySession is a command of the session duty.
	ClosedBySession
	// ClosedByRefusal is such a command whose refusal was sent as the answer to the request.
	ClosedByRefusal
	// ClosedByViolation is invalid input.
	ClosedByViolation
	// ClosedByTimeout is a timeout of the connection's chart.
	ClosedByTimeout
	// ClosedByStop is the end of the duty, which closes the connections that are left.
	ClosedByStop
	closers
)

var closerNames = [closers]string{"peer", "quit", "session", "refusal", "violation", "timeout", "stop"}

func (c Closer) String() string { return closerNames[c] }

// cutsOff reports whether the caller neither ended the connection nor got a refusal.
func (c Closer) cutsOff() bool {
	return c != ClosedByPeer && c != ClosedByQuit && c != ClosedByRefusal
}

// Events of CallerLog.
const (
	// EventRequestUnanswered is a connection that ended before its request was answered.
	EventRequestUnanswered = "request_unanswered"
	// EventCallerDataLost is a connection without an unanswered request that ended with
	// unsent output or unread input.
	EventCallerDataLost = "caller_data_lost"
	// EventCallerSocketsClosed is the end of the duty.
	EventCallerSocketsClosed = "caller_sockets_closed"
)

// CallerLog is an event for the log. Durations in Fields are in milliseconds.
type CallerLog struct {
	Event   string
	Message string
	// Warning is set unless the caller ended the connection or got a refusal.
	Warning bool
	Fields  map[string]any
}

// CloseCounts are the totals of connections that ended before everything was delivered.
type CloseCounts struct {
	// Unanswered and DataLost have one count for each Closer, by its name.
	Unanswered map[string]uint64
	DataLost   map[string]uint64
	// LateAnswers counts answers that arrived after their connection had closed.
	LateAnswers uint64
}

// closeCounters are the values behind CloseCounts; other threads read them.
type closeCounters struct {
	unanswered  [closers]atomic.Uint64
	dataLost    [closers]atomic.Uint64
	lateAnswers atomic.Uint64
}

// CloseCounts returns the totals since the start. It is safe for concurrent use.
func (d *Callers) CloseCounts() CloseCounts {
	counts := CloseCounts{Unanswered: map[string]uint64{}, DataLost: map[string]uint64{}, LateAnswers: d.closes.lateAnswers.Load()}
	for i, name := range closerNames {
		counts.Unanswered[name] = d.closes.unanswered[i].Load()
		counts.DataLost[name] = d.closes.dataLost[i].Load()
	}
	return counts
}

// lastRequest is the newest request of a connection.
type lastRequest struct {
	id      string
	arrived time.Time
	// unanswered is set from the request's arrival until its whole answer was written.
	unanswered bool
	// written counts the bytes of an incomplete answer.
	written int
}

// ending is why a connection closes. state is the chart state in which that was decided.
type ending struct {
	decided bool
	by      Closer
	state   string
	reason  string
	at      time.Time
}

// noteRequest remembers a request that is passed to the session duty.
func (c *callerConn) noteRequest(r *session.Request) {
	c.last = lastRequest{arrived: r.Arrived, unanswered: true}
	if r.Payload != nil {
		c.last.id = r.Payload.ID
	}
}

// noteAnswer remembers that the last n bytes of an answer were written. A connection that is
// closing writes nothing.
func (c *callerConn) noteAnswer(n int) {
	if c.ending.decided {
		return
	}
	c.last.unanswered = false
	c.last.written += n
}

// attributeEnd records who ends the connection if the event that is fired next ends it.
func (c *callerConn) attributeEnd(by Closer, reason string) {
	if !c.ending.decided {
		c.ending = ending{decided: true, by: by, reason: reason, state: c.stateName(), at: clock.Now()}
	}
}

// keepEnding removes the attribution when the event did not end the connection.
func (c *callerConn) keepEnding() {
	if c.ending.decided && !c.sessionEnded() && !c.table.Final(c.state) {
		c.ending = ending{}
	}
}

func (c *callerConn) stateName() string { return c.table.StateName(c.state) }

// logEnd logs the end of a connection if a request is unanswered or data was not delivered.
// err is the error with which the socket closed; by is used unless an earlier event ended
// the connection.
func (c *callerConn) logEnd(by Closer, err error) {
	residue := c.socket.Residue()
	end := c.ending
	if !end.decided {
		end = ending{by: by, state: c.stateName(), at: clock.Now()}
	}
	event, message := EventRequestUnanswered, "the connection ended before the request was answered"
	counts := &c.duty.closes.unanswered
	if !c.last.unanswered {
		if residue.Unsent == 0 && residue.Buffered == 0 && residue.Unread == 0 {
			return
		}
		event, message = EventCallerDataLost, "the connection ended with unsent output or unread input"
		counts = &c.duty.closes.dataLost
	}
	counts[end.by].Add(1)
	fields := c.endFields(end, residue)
	if err != nil && !errors.Is(err, io.EOF) {
		fields["error"] = err.Error()
	}
	if by == ClosedByStop {
		fields["open_at_end"] = true
	}
	c.duty.log(CallerLog{Event: event, Message: message, Warning: end.by.cutsOff(), Fields: fields})
}

// endFields returns the fields of the log line about the end of a connection.
func (c *callerConn) endFields(end ending, residue netloop.Residue) map[string]any {
	now := clock.Now()
	fields := map[string]any{
		"caller": uint64(c.id), "closed_by": end.by.String(), "state": end.state, "closing_ms": now.Sub(end.at).Milliseconds(),
		"unsent_bytes": residue.Unsent, "unacknowledged_bytes": residue.Unacknowledged,
		"buffered_bytes": residue.Buffered, "unread_bytes": residue.Unread,
		"session_events_queued": c.duty.Outbox.Pending(), "commands_queued": c.duty.Commands.Len(),
	}
	if end.reason != "" {
		fields["reason"] = end.reason
	}
	if c.last.id != "" {
		fields["request"] = c.last.id
		fields["since_request_ms"] = now.Sub(c.last.arrived).Milliseconds()
		fields["answer_bytes"] = c.last.written
	}
	if !c.duty.stopNoticed.IsZero() {
		fields["since_stop_ms"] = c.duty.sinceStop().Milliseconds()
	}
	return fields
}

// countLateAnswer counts the last part of an answer whose connection has closed.
func (d *Callers) countLateAnswer(command session.CallerCommand) {
	id := session.CallerID(0)
	switch m := command.(type) {
	case session.CallerWrite:
		if m.Done {
			id = m.Caller
		}
	case session.CallerError:
		id = m.Caller
	case session.CallerReply:
		id = m.Caller
	}
	if id != 0 && d.conns[id] == nil {
		d.closes.lateAnswers.Add(1)
	}
}

// log passes a log line on.
func (d *Callers) log(l CallerLog) {
	if d.config.Log != nil {
		d.config.Log(l)
	}
}

// openCounts counts the open connections and what they have not delivered.
type openCounts struct {
	connections, unanswered, unsent, unread int
}

func (d *Callers) countOpen() openCounts {
	counts := openCounts{connections: len(d.conns)}
	for _, c := range d.conns {
		residue := c.socket.Residue()
		if c.last.unanswered {
			counts.unanswered++
		}
		if residue.Unsent > 0 {
			counts.unsent++
		}
		if residue.Buffered > 0 || residue.Unread > 0 {
			counts.unread++
		}
	}
	return counts
}

// sinceStop returns how long ago the duty noticed the stop, 0 before it.
func (d *Callers) sinceStop() time.Duration {
	if d.stopNoticed.IsZero() {
		return 0
	}
	return clock.Now().Sub(d.stopNoticed)
}

// logDutyEnd logs what is not delivered when the sockets are about to be closed.
func (d *Callers) logDutyEnd() {
	for _, c := range d.conns {
		c.logEnd(ClosedByStop, nil)
	}
	left := d.countOpen()
	d.log(CallerLog{
		Event: EventCallerSocketsClosed, Message: "the caller sockets are closed",
		Warning: left.unanswered > 0 || left.unsent > 0,
		Fields: map[string]any{
			"open_at_stop": d.openAtStop.connections, "unanswered_at_stop": d.openAtStop.unanswered,
			"unsent_at_stop": d.openAtStop.unsent, "unread_at_stop": d.openAtStop.unread,
			"open": left.connections, "unanswered": left.unanswered, "unsent": left.unsent, "unread": left.unread,
			"flush_ms": d.sinceStop().Milliseconds(), "commands_queued": d.Commands.Len(),
			"session_events_queued": d.Outbox.Pending(), "late_answers": d.closes.lateAnswers.Load(),
		},
	})
}

package rpc

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
	"syscall"
	"time"

	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

// pendingCall is a call whose response has not arrived.
type pendingCall struct {
	call   Call
	sentAt time.Time
	timer  timerq.Item[func()]
}

// outConn is an outgoing connection with its unanswered calls.
type outConn struct {
	link
	address string
	// attemptedAt is when the connection attempt began. It is the time of a refused
	// call: a refusal proves that the peer is dead, and this proof must not look newer
	// than the attempt.
	attemptedAt time.Time
	opened      bool
	// draining is set when the connection takes no further calls. It is closed after
	// the last one.
	draining  bool
	calls     map[int64]*pendingCall
	idleTimer timerq.Item[func()]
	// receivedAt is when bytes last arrived.
	receivedAt time.Time
}

// call sends a call on the open connection to its address, or on a new one.
func (d *Duty) call(c Call) {
	now := time.Now()
	frame, id, err := d.encode(c)
	if err != nil {
		d.fail(c, now, err)
		return
	}
	out, err := d.connTo(c.Address)
	if err != nil {
		d.fail(c, now, connectError(c.Address, err))
		return
	}
	if len(out.calls) >= d.config.MaxCallsPerConn || out.conn.Pending()+len(frame) > d.config.MaxOutputBytes {
		d.fail(c, now, &OverloadError{Address: c.Address})
		return
	}
	out.addCall(id, c, now)
	out.conn.Write(frame)
	if d.stopping {
		out.fire(d.linkEvents.drain)
	}
}

// encode returns the encoded request of a call and its ID. IDs are unique within the
// duty, so that a request can be encoded before its connection is chosen.
func (d *Duty) encode(c Call) ([]byte, int64, error) {
	d.lastCallID++
	request, err := jsonrpc2.NewCall(jsonrpc2.Int64ID(d.lastCallID), c.Method, c.Params)
	if err != nil {
		return nil, 0, &EncodeError{Method: c.Method, Reason: err.Error()}
	}
	frame, err := Append(nil, request)
	if err != nil {
		return nil, 0, &EncodeError{Method: c.Method, Reason: err.Error()}
	}
	return frame, d.lastCallID, nil
}

// fail delivers the failed result of a call.
func (d *Duty) fail(c Call, sentAt time.Time, err error) {
	d.deliverEvent(Result{Tag: c.Tag, Err: err, SentAt: sentAt, CompletedAt: time.Now()})
}

// connTo returns the connection for calls to address, and opens it if there is none.
func (d *Duty) connTo(address string) (*outConn, error) {
	if out, ok := d.outConns[address]; ok {
		return out, nil
	}
	out := &outConn{address: address, attemptedAt: time.Now(), calls: map[int64]*pendingCall{}}
	conn, err := d.loop.Connect(address, out)
	if err != nil {
		return nil, err
	}
	out.start(d, conn, out)
	out.idleTimer.Value = out.closeIdle
	d.outConns[address] = out
	d.addConn(out)
	return out, nil
}

// addCall registers a call and its timeout.
func (out *outConn) addCall(id int64, c Call, now time.Time) {
	p := &pendingCall{call: c, sentAt: now}
	p.timer.Value = func() { out.callTimedOut(id) }
	out.calls[id] = p
	out.duty.timers.Disarm(&out.idleTimer)
	out.duty.timers.Arm(&p.timer, now.Add(c.Timeout))
}

// removeCall removes a call and its timer and returns it; nil when it is not pending.
func (out *outConn) removeCall(id int64) *pendingCall {
	p, ok := out.calls[id]
	if !ok {
		return nil
	}
	delete(out.calls, id)
	out.duty.timers.Disarm(&p.timer)
	return p
}

// callTimedOut fails a call and drains its connection, so that further calls open a
// new one: after a network failure, TCP retransmits on the old connection with growing
// delays, while a new connection works at once. A call with Call.Transfer goes on while a
// response arrives.
func (out *outConn) callTimedOut(id int64) {
	if p := out.calls[id]; out.extend(p) {
		return
	}
	p := out.removeCall(id)
	out.startDraining()
	out.duty.fail(p.call, p.sentAt, &TimeoutError{Address: out.address, Timeout: p.call.Timeout})
	out.closeOrIdle()
}

// extend arms the timer of a call again while a response arrives, and reports whether it did.
// Responses arrive one after the other, so the call's own may be behind another one.
func (out *outConn) extend(p *pendingCall) bool {
	now := time.Now()
	idleAt := out.receivedAt.Add(out.duty.config.TransferIdle)
	ends := p.sentAt.Add(p.call.Timeout + p.call.Transfer)
	if len(out.conn.Buffered()) == 0 || !idleAt.After(now) || !ends.After(now) {
		return false
	}
	out.duty.timers.Arm(&p.timer, clock.Earlier(idleAt, ends))
	return true
}

// startDraining makes further calls to the address open a new connection.
func (out *outConn) startDraining() {
	out.draining = true
	if out.duty.outConns[out.address] == out {
		delete(out.duty.outConns, out.address)
	}
}

// closeOrIdle closes a draining connection without calls, and starts the idle timeout
// of any other connection without calls.
func (out *outConn) closeOrIdle() {
	if len(out.calls) > 0 {
		return
	}
	if out.draining {
		out.conn.Close()
		return
	}
	out.duty.timers.Arm(&out.idleTimer, time.Now().Add(out.duty.config.IdleTimeout))
}

// closeIdle closes the connection after IdleTimeout.
func (out *outConn) closeIdle() {
	out.conn.Close()
}

// Opened implements netloop.Handler.
func (out *outConn) Opened(*netloop.Conn) {
	out.opened = true
}

// Flushed implements netloop.Handler.
func (out *outConn) Flushed(*netloop.Conn) {
	out.fire(out.duty.linkEvents.flushed)
}

// Data implements netloop.Handler.
func (out *outConn) Data(*netloop.Conn) {
	out.receivedAt = time.Now()
	out.decode()
}

func (out *outConn) decode() {
	for !out.duty.blocked() {
		message, n, err := Decode(out.conn.Buffered())
		if err != nil {
			out.conn.Close()
			return
		}
		if n == 0 {
			return
		}
		out.conn.Discard(n)
		response, ok := message.(*jsonrpc2.Response)
		if !ok {
			out.conn.Close()
			return
		}
		out.handleResponse(response)
	}
}

// awaitsReplies implements linkHandler.
func (out *outConn) awaitsReplies() bool {
	return false
}

// announceClose implements linkHandler. The end of the output tells the peer that no further
// call follows; calls that are made after it use a new connection.
func (out *outConn) announceClose() {
	out.startDraining()
}

// acceptRequest and rejectRequest implement linkHandler; no requests arrive on an outgoing
// connection.
func (out *outConn) acceptRequest() {}
func (out *outConn) rejectRequest() {}

// discardInput implements linkHandler. The responses to calls are still delivered.
func (out *outConn) discardInput() {}

// handleGoAway fails the calls that the peer has not accepted. The connection is closed
// after the responses to the others; further calls use a new one.
func (out *outConn) handleGoAway(g goAway) {
	out.startDraining()
	for _, id := range slices.Sorted(maps.Keys(out.calls)) {
		if id > g.LastAccepted {
			p := out.removeCall(id)
			out.duty.fail(p.call, p.sentAt, &NotAcceptedError{Address: out.address})
		}
	}
	out.closeOrIdle()
}

// handleResponse delivers the result of a call. A response to a call that has timed out
// is dropped.
func (out *outConn) handleResponse(r *jsonrpc2.Response) {
	if g, ok := decodeGoAway(r); ok {
		out.handleGoAway(g)
		return
	}
	id, _ := r.ID.Raw().(int64)
	p := out.removeCall(id)
	if p == nil {
		return
	}
	result := Result{Tag: p.call.Tag, SentAt: p.sentAt, CompletedAt: time.Now()}
	if r.Error != nil {
		result.Err = remoteError(r.Error)
	} else {
		result.Raw = r.Result
	}
	out.duty.deliverEvent(result)
	out.closeOrIdle()
}

// remoteError converts the error of a jsonrpc2 response through its JSON form, because
// jsonrpc2 does not export its type.
func remoteError(err error) *RemoteError {
	remote := &RemoteError{}
	text, encodeErr := json.Marshal(err)
	if encodeErr != nil || json.Unmarshal(text, remote) != nil {
		return &RemoteError{Code: CodeInternal, Message: err.Error()}
	}
	return remote
}

// Closed implements netloop.Handler: every pending call fails.
func (out *outConn) Closed(_ *netloop.Conn, err error) {
	delete(out.duty.conns, out)
	out.startDraining()
	out.fire(out.duty.linkEvents.lost)
	out.duty.timers.Disarm(&out.idleTimer)
	reason := out.closeError(err)
	for _, id := range slices.Sorted(maps.Keys(out.calls)) {
		p := out.removeCall(id)
		out.duty.fail(p.call, out.failedCallTime(p), reason)
	}
}

// failedCallTime returns the time of a call that failed with the connection: when it
// was sent, or when the connection was attempted if it was never opened.
func (out *outConn) failedCallTime(p *pendingCall) time.Time {
	if out.opened {
		return p.sentAt
	}
	return out.attemptedAt
}

// closeError returns the error of the calls on a connection that was closed by err.
func (out *outConn) closeError(err error) error {
	if out.opened {
		return &ClosedError{Address: out.address, Reason: closeReason(err)}
	}
	return connectError(out.address, err)
}

// connectError returns a *RefusedError for a refused connection, and a *ClosedError for
// any other failure to connect.
func connectError(address string, err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return &RefusedError{Address: address}
	}
	return &ClosedError{Address: address, Reason: closeReason(err)}
}

// closeReason describes why a connection was closed. A nil error means that the duty
// closed it because of invalid input.
func closeReason(err error) string {
	if err == nil {
		return "invalid input"
	}
	if errors.Is(err, io.EOF) {
		return "closed by the other side"
	}
	return err.Error()
}

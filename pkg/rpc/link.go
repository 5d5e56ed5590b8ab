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

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

// pendingCall is a call without a result.
type pendingCall struct {
	call  Call
	asked time.Time
	timer timerq.Item[func()]
}

// link is an outgoing connection with its unanswered calls.
type link struct {
	duty    *Duty
	address string
	// began is when the connection attempt began. A refused call counts from
	// there: a proof of death must not look newer than the attempt.
	began  time.Time
	conn   *netloop.Conn
	opened bool
	// retired links take no further calls and close with their last one.
	retired bool
	calls   map[int64]*pendingCall
	idle    timerq.Item[func()]
}

// call sends a call on the open connection to its address, or on a new one.
func (d *Duty) call(c Call) {
	now := time.Now()
	frame, id, err := d.encode(c)
	if err != nil {
		d.fail(c, now, err)
		return
	}
	l, err := d.link(c.Address)
	if err != nil {
		d.fail(c, now, connectError(c.Address, err))
		return
	}
	if len(l.calls) >= d.config.MaxCallsPerConn || l.conn.Pending()+len(frame) > d.config.MaxOutput {
		d.fail(c, now, &OverloadError{Address: c.Address})
		return
	}
	l.add(id, c, now)
	l.conn.Write(frame)
}

// encode returns the frame of a call. Call ids are unique in the duty, so that
// a frame can be made before its connection is chosen.
func (d *Duty) encode(c Call) ([]byte, int64, error) {
	d.lastID++
	request, err := jsonrpc2.NewCall(jsonrpc2.Int64ID(d.lastID), c.Method, c.Params)
	if err != nil {
		return nil, 0, &EncodeError{Method: c.Method, Reason: err.Error()}
	}
	frame, err := Append(nil, request)
	if err != nil {
		return nil, 0, &EncodeError{Method: c.Method, Reason: err.Error()}
	}
	return frame, d.lastID, nil
}

func (d *Duty) fail(c Call, asked time.Time, err error) {
	d.emit(Result{Tag: c.Tag, Err: err, Asked: asked, Answered: time.Now()})
}

// link returns the connection that takes calls to address.
func (d *Duty) link(address string) (*link, error) {
	if l, ok := d.links[address]; ok {
		return l, nil
	}
	l := &link{duty: d, address: address, began: time.Now(), calls: map[int64]*pendingCall{}}
	conn, err := d.loop.Connect(address, l)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	l.idle.Value = l.idleTooLong
	d.links[address] = l
	d.addReader(l)
	return l, nil
}

func (l *link) add(id int64, c Call, now time.Time) {
	p := &pendingCall{call: c, asked: now}
	p.timer.Value = func() { l.timedOut(id) }
	l.calls[id] = p
	l.duty.timers.Disarm(&l.idle)
	l.duty.timers.Arm(&p.timer, now.Add(c.Timeout))
}

// take removes a call and its timer; nil when it is not pending.
func (l *link) take(id int64) *pendingCall {
	p, ok := l.calls[id]
	if !ok {
		return nil
	}
	delete(l.calls, id)
	l.duty.timers.Disarm(&p.timer)
	return p
}

// timedOut fails a call and retires its connection: after a cut, TCP would
// retransmit on the old one with growing delays, while a new one works at once.
func (l *link) timedOut(id int64) {
	p := l.take(id)
	l.retire()
	l.duty.fail(p.call, p.asked, &TimeoutError{Address: l.address, Timeout: p.call.Timeout})
	l.rest()
}

func (l *link) retire() {
	l.retired = true
	if l.duty.links[l.address] == l {
		delete(l.duty.links, l.address)
	}
}

// rest closes a retired connection without calls and lets another one idle.
func (l *link) rest() {
	if len(l.calls) > 0 {
		return
	}
	if l.retired {
		l.conn.Close()
		return
	}
	l.duty.timers.Arm(&l.idle, time.Now().Add(l.duty.config.IdleTimeout))
}

func (l *link) idleTooLong() {
	l.conn.Close()
}

func (l *link) socket() *netloop.Conn {
	return l.conn
}

// Opened implements netloop.Handler.
func (l *link) Opened(*netloop.Conn) {
	l.opened = true
}

// Drained implements netloop.Handler.
func (l *link) Drained(*netloop.Conn) {}

// Data implements netloop.Handler.
func (l *link) Data(*netloop.Conn) {
	l.decode()
}

func (l *link) decode() {
	for !l.duty.blocked() {
		message, n, err := Decode(l.conn.Buffered())
		if err != nil {
			l.conn.Close()
			return
		}
		if n == 0 {
			return
		}
		l.conn.Discard(n)
		response, ok := message.(*jsonrpc2.Response)
		if !ok {
			l.conn.Close()
			return
		}
		l.answered(response)
	}
}

// answered delivers the result of a call. The answer to a call that timed out
// before is dropped.
func (l *link) answered(r *jsonrpc2.Response) {
	id, _ := r.ID.Raw().(int64)
	p := l.take(id)
	if p == nil {
		return
	}
	result := Result{Tag: p.call.Tag, Asked: p.asked, Answered: time.Now()}
	if r.Error != nil {
		result.Err = remoteError(r.Error)
	} else {
		result.Raw = r.Result
	}
	l.duty.emit(result)
	l.rest()
}

// remoteError converts the codec's error, whose type is not exported, by its
// JSON form.
func remoteError(err error) *RemoteError {
	remote := &RemoteError{}
	text, encodeErr := json.Marshal(err)
	if encodeErr != nil || json.Unmarshal(text, remote) != nil {
		return &RemoteError{Message: err.Error()}
	}
	return remote
}

// Closed implements netloop.Handler: every pending call fails.
func (l *link) Closed(_ *netloop.Conn, err error) {
	delete(l.duty.all, l)
	l.retire()
	l.duty.timers.Disarm(&l.idle)
	reason := l.closeError(err)
	for _, id := range slices.Sorted(maps.Keys(l.calls)) {
		p := l.take(id)
		l.duty.fail(p.call, l.failedSince(p), reason)
	}
}

func (l *link) failedSince(p *pendingCall) time.Time {
	if l.opened {
		return p.asked
	}
	return l.began
}

func (l *link) closeError(err error) error {
	if l.opened {
		return &ClosedError{Address: l.address, Reason: closeReason(err)}
	}
	return connectError(l.address, err)
}

// connectError tells a refused connection from any other failure.
func connectError(address string, err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return &RefusedError{Address: address}
	}
	return &ClosedError{Address: address, Reason: closeReason(err)}
}

func closeReason(err error) string {
	if err == nil {
		return "invalid input"
	}
	if errors.Is(err, io.EOF) {
		return "closed by the other side"
	}
	return err.Error()
}

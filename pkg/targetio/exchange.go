package targetio

import (
	"bytes"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// positionParameter is the ParameterStatus that carries the commit position.
const positionParameter = "log_position"

// SQLSTATEs after which a prepared statement on the connection is in doubt.
const (
	stateNoStatement = "26000"
	// stateNotSupported is what PostgreSQL raises for "cached plan must not
	// change result type".
	stateNotSupported = "0A000"
	// stateReadOnly is what a fenced member answers to a write.
	stateReadOnly = "25006"
)

// exchange is one request on a connection.
type exchange struct {
	request session.TargetSend
	// prelude is set while the answer to the prelude is awaited. The request
	// follows when the prelude has succeeded.
	prelude bool
	// written is set once a byte of the request was handed to the socket.
	written bool
	// expected are the awaited ParseComplete and CloseComplete messages.
	expected []expectation
	gathered []byte
	position core.Position
	state    string
}

// expectation is one ParseComplete ('1') or CloseComplete ('3') to come.
type expectation struct {
	kind byte
	// name is the statement that ParseComplete confirms.
	name string
	// swallow is set for the answer to a message that the proxy added.
	swallow bool
}

// send starts a request on an idle connection.
func (t *target) send(m session.TargetSend) {
	if t.state != t.duty.startup.open || t.exchange != nil || t.deferred != nil {
		t.fail("a request was sent on a connection that is not idle")
		return
	}
	if t.cancels > 0 {
		t.deferred = &m
		return
	}
	t.start(m)
}

func (t *target) start(m session.TargetSend) {
	t.duty.counts.requests.Add(1)
	t.exchange = &exchange{request: m}
	if m.Prelude == "" {
		t.writeRequest()
		return
	}
	if t.expired() {
		return
	}
	t.exchange.prelude = true
	t.conn.Write(wire.Append(nil, &pgproto3.Query{String: m.Prelude}))
}

// expired closes the connection when the request must not be written any more.
func (t *target) expired() bool {
	limit := t.exchange.request.NotAfter
	if limit.IsZero() || !time.Now().After(limit) {
		return false
	}
	t.fail("the request expired before it was written")
	return true
}

func (t *target) writeRequest() {
	out := t.assemble(t.exchange.request.Payload)
	if t.expired() {
		return
	}
	t.exchange.written = true
	t.conn.Write(out)
}

// assemble returns the frames of the request with the messages that create
// missing statements in front. A Parse of the caller for a statement that the
// connection has is replaced by wire.EmptyParse, so that it is not created twice.
func (t *target) assemble(p *session.Payload) []byte {
	if t.hasAll(p.Prepared) {
		return p.Frames
	}
	a := assembly{target: t, payload: p, created: map[string]bool{}}
	for _, statement := range p.Prepared {
		if !statement.Explicit && !t.statements.has(statement.Name) && !a.created[statement.Name] {
			a.create(statement.Name, statement.ParseFrame, true)
		}
	}
	a.copyFrames(p.Frames)
	return a.out
}

// hasAll reports whether the frames of a request can be sent as they are.
func (t *target) hasAll(prepared []session.PreparedStatement) bool {
	for _, statement := range prepared {
		if statement.Explicit || !t.statements.has(statement.Name) {
			return false
		}
	}
	return true
}

// assembly builds the messages of one request.
type assembly struct {
	target  *target
	payload *session.Payload
	created map[string]bool
	out     []byte
}

// create adds Close and Parse. Close makes the Parse succeed when an earlier
// answer left in doubt whether the statement exists; closing an absent
// statement is not an error.
func (a *assembly) create(name string, parseFrame []byte, swallow bool) {
	if old, evicted := a.target.statements.evict(a.target.duty.config.MaxStatements, a.needed); evicted {
		a.close(old)
	}
	a.close(name)
	a.out = append(a.out, parseFrame...)
	a.target.exchange.expect(expectation{kind: '1', name: name, swallow: swallow})
	a.created[name] = true
}

func (a *assembly) needed(name string) bool {
	for _, statement := range a.payload.Prepared {
		if statement.Name == name {
			return true
		}
	}
	return false
}

func (a *assembly) close(name string) {
	a.out = wire.AppendFrame(a.out, 'C', []byte{'S'}, []byte(name), []byte{0})
	a.target.exchange.expect(expectation{kind: '3', swallow: true})
}

func (a *assembly) copyFrames(frames []byte) {
	for len(frames) > 0 {
		frame, complete, err := wire.Next(frames, len(frames))
		if err != nil || !complete {
			// callerio only delivers complete frames; anything else is left to the member.
			a.out = append(a.out, frames...)
			return
		}
		a.copyFrame(frame)
		frames = frames[len(frame.Raw):]
	}
}

func (a *assembly) copyFrame(f wire.Frame) {
	switch f.Type {
	case 'P':
		a.copyParse(f)
		return
	case 'C':
		a.target.exchange.expect(expectation{kind: '3'})
	}
	a.out = append(a.out, f.Raw...)
}

func (a *assembly) copyParse(f wire.Frame) {
	text, _, _ := wire.CString(f.Body)
	name := string(text)
	if a.target.statements.has(name) || a.created[name] {
		a.out = append(a.out, wire.EmptyParse...)
		a.target.exchange.expect(expectation{kind: '1'})
		return
	}
	a.create(name, f.Raw, false)
}

func (e *exchange) expect(x expectation) {
	e.expected = append(e.expected, x)
}

// exchangeFrame handles one frame of the answer. Rows and everything else
// without a handler are passed on as they are.
func (t *target) exchangeFrame(f wire.Frame) {
	if t.exchange.prelude {
		if handle := preludeFrames[f.Type]; handle != nil {
			handle(t, f)
		}
		return
	}
	handle := answerFrames[f.Type]
	if handle == nil || handle(t, f) {
		t.exchange.gathered = append(t.exchange.gathered, f.Raw...)
	}
}

// answerFrames maps the type byte of an answer to its handler, which reports
// whether the frame is passed on.
var answerFrames = [256]func(*target, wire.Frame) bool{
	'1': (*target).expectedAnswer,
	'3': (*target).expectedAnswer,
	'C': (*target).commandComplete,
	'E': (*target).errorResponse,
	'G': (*target).refuseCopy,
	'S': (*target).parameterStatus,
	'Z': (*target).ready,
}

// preludeFrames are the answers to a prelude that matter; none is passed on.
var preludeFrames = [256]func(*target, wire.Frame) bool{
	'C': (*target).commandComplete,
	'E': (*target).preludeFailed,
	'G': (*target).refuseCopy,
	'Z': (*target).preludeDone,
}

func (t *target) expectedAnswer(f wire.Frame) bool {
	e := t.exchange
	if len(e.expected) == 0 || e.expected[0].kind != f.Type {
		return true
	}
	x := e.expected[0]
	e.expected = e.expected[1:]
	if x.name != "" {
		t.statements.add(x.name)
	}
	return !x.swallow
}

// commandComplete notices the commands that drop prepared statements.
func (t *target) commandComplete(f wire.Frame) bool {
	if bytes.HasPrefix(f.Body, []byte("DISCARD")) || bytes.HasPrefix(f.Body, []byte("DEALLOCATE")) {
		t.statements.forgetAll()
	}
	return true
}

// errorResponse forgets the statements that the error leaves in doubt. The
// member skips the rest of the request, so nothing more is expected.
func (t *target) errorResponse(f wire.Frame) bool {
	e := t.exchange
	e.state = wire.ErrorState(f.Body)
	e.expected = nil
	if e.state == stateNoStatement || e.state == stateNotSupported {
		for _, statement := range e.request.Payload.Prepared {
			t.statements.forget(statement.Name)
		}
	}
	return true
}

// refuseCopy ends a COPY FROM STDIN that classification did not refuse.
func (t *target) refuseCopy(wire.Frame) bool {
	t.conn.Write(wire.Append(nil, &pgproto3.CopyFail{Message: "COPY is not supported"}))
	return false
}

// parameterStatus keeps the log position, which is not passed on.
func (t *target) parameterStatus(f wire.Frame) bool {
	name, rest, ok := wire.CString(f.Body)
	if !ok || string(name) != positionParameter {
		return true
	}
	value, _, _ := wire.CString(rest)
	if position, err := core.ParsePosition(string(value)); err == nil {
		t.exchange.position = position
	}
	return false
}

func (t *target) ready(f wire.Frame) bool {
	if len(f.Body) != 1 {
		t.fail("invalid ReadyForQuery")
		return false
	}
	e := t.exchange
	t.exchange = nil
	t.duty.Outbox.Push(session.TargetReady{
		Target:     t.id,
		Frames:     append(e.gathered, f.Raw...),
		TxStatus:   f.Body[0],
		Position:   e.position,
		ErrorState: e.state,
		ReadOnly:   e.state == stateReadOnly,
	})
	return false
}

// preludeFailed closes the connection: the request would run without what the
// prelude sets up. No byte of it was written.
func (t *target) preludeFailed(f wire.Frame) bool {
	t.fail("the prelude failed with SQLSTATE " + wire.ErrorState(f.Body))
	return false
}

func (t *target) preludeDone(wire.Frame) bool {
	t.exchange.prelude = false
	t.writeRequest()
	return false
}

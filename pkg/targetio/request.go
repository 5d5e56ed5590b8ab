package targetio

import (
	"bytes"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// positionParameter is the parameter in which a member reports the log position of
// a commit.
const positionParameter = "log_position"

// SQLSTATEs of members, under PostgreSQL's names.
const (
	// sqlStateInvalidStatementName is raised for a prepared statement that does not
	// exist on the connection.
	sqlStateInvalidStatementName = "26000"
	// sqlStateFeatureNotSupported is raised for a prepared statement whose result
	// type has changed ("cached plan must not change result type").
	sqlStateFeatureNotSupported = "0A000"
	// sqlStateReadOnlyTransaction is raised by a fenced member for a write.
	sqlStateReadOnlyTransaction = "25006"
)

// requestState is a request in progress.
type requestState struct {
	send session.TargetSend
	// awaitingPrelude is set until the prelude has succeeded; the request is written
	// after it.
	awaitingPrelude bool
	// written is set before the request is passed to the socket.
	written bool
	// expected lists the ParseComplete and CloseComplete messages that are still to
	// arrive, in order.
	expected []expectedResponse
	// frames are the result frames that were not sent to session yet.
	frames []byte
	// position is the log position that the member reported, zero if none.
	position core.Position
	// errorCode is the SQLSTATE of the last ErrorResponse, empty if there was none.
	errorCode string
}

// expectedResponse is a ParseComplete ('1') or CloseComplete ('3') that is still to
// arrive.
type expectedResponse struct {
	frameType byte
	// name is the statement that ParseComplete confirms, empty if it creates none.
	name string
	// suppress is set for the response to a message that the proxy added; it is not
	// forwarded to the caller.
	suppress bool
}

// handleSend starts a request on an idle connection, or defers it until the cancel
// requests for the previous one are processed.
func (t *target) handleSend(send session.TargetSend) {
	if t.state != t.duty.startup.open || t.request != nil || t.deferredSend != nil {
		t.closeConn("a request was sent on a connection that is not idle")
		return
	}
	if t.pendingCancels > 0 {
		t.deferredSend = &send
		return
	}
	t.startRequest(send)
}

// startRequest writes the prelude, or the request if it has none.
func (t *target) startRequest(send session.TargetSend) {
	t.duty.counts.requests.Add(1)
	t.request = &requestState{send: send}
	if send.Prelude == "" {
		t.writeRequest()
		return
	}
	if t.closeIfExpired() {
		return
	}
	t.request.awaitingPrelude = true
	t.conn.Write(wire.Append(nil, &pgproto3.Query{String: send.Prelude}))
}

// closeIfExpired closes the connection and returns true if the time until which the
// request may be written has passed.
func (t *target) closeIfExpired() bool {
	deadline := t.request.send.NotAfter
	if deadline.IsZero() || !time.Now().After(deadline) {
		return false
	}
	t.closeConn("the request expired before it was written")
	return true
}

// writeRequest writes the frames of the request.
func (t *target) writeRequest() {
	out := t.buildFrames(t.request.send.Payload)
	if t.closeIfExpired() {
		return
	}
	t.request.written = true
	t.conn.Write(out)
}

// buildFrames returns the frames of the request, preceded by messages that create
// missing statements. A Parse from the caller for a statement that exists on the
// connection is replaced by wire.EmptyParse, because creating it twice fails.
func (t *target) buildFrames(payload *session.Payload) []byte {
	if t.canSendUnchanged(payload.Prepared) {
		return payload.Frames
	}
	b := frameBuilder{target: t, payload: payload, created: map[string]bool{}}
	for _, statement := range payload.Prepared {
		if !statement.Explicit && !t.statements.has(statement.Name) && !b.created[statement.Name] {
			b.createStatement(statement.Name, statement.ParseFrame, true)
		}
	}
	b.copyFrames(payload.Frames)
	return b.out
}

// canSendUnchanged reports whether the frames of a request can be sent without
// changes: they contain no Parse and all statements exist.
func (t *target) canSendUnchanged(prepared []session.PreparedStatement) bool {
	for _, statement := range prepared {
		if statement.Explicit || !t.statements.has(statement.Name) {
			return false
		}
	}
	return true
}

// frameBuilder builds the messages of one request.
type frameBuilder struct {
	target  *target
	payload *session.Payload
	// created holds the names of the statements that the request creates.
	created map[string]bool
	out     []byte
}

// createStatement adds a Close and a Parse. The Close lets the Parse succeed if an
// earlier error left it uncertain whether the statement exists; closing a statement
// that does not exist is not an error. If MaxStatements is reached, the oldest
// statement that the request does not need is closed.
func (b *frameBuilder) createStatement(name string, parseFrame []byte, suppress bool) {
	if evictedName, evicted := b.target.statements.evict(b.target.duty.config.MaxStatements, b.needed); evicted {
		b.close(evictedName)
	}
	b.close(name)
	b.out = append(b.out, parseFrame...)
	b.target.request.expect(expectedResponse{frameType: '1', name: name, suppress: suppress})
	b.created[name] = true
}

// needed reports whether the request refers to the statement.
func (b *frameBuilder) needed(name string) bool {
	for _, statement := range b.payload.Prepared {
		if statement.Name == name {
			return true
		}
	}
	return false
}

// close adds a Close of a statement, whose response is not forwarded.
func (b *frameBuilder) close(name string) {
	b.out = wire.AppendFrame(b.out, 'C', []byte{'S'}, []byte(name), []byte{0})
	b.target.request.expect(expectedResponse{frameType: '3', suppress: true})
}

// copyFrames adds the frames of the request.
func (b *frameBuilder) copyFrames(frames []byte) {
	for len(frames) > 0 {
		frame, complete, err := wire.Next(frames, len(frames))
		if err != nil || !complete {
			// callerio submits complete frames only; the member rejects anything else.
			b.out = append(b.out, frames...)
			return
		}
		b.copyFrame(frame)
		frames = frames[len(frame.Raw):]
	}
}

func (b *frameBuilder) copyFrame(f wire.Frame) {
	switch f.Type {
	case 'P':
		b.copyParse(f)
		return
	case 'C':
		b.target.request.expect(expectedResponse{frameType: '3'})
	}
	b.out = append(b.out, f.Raw...)
}

func (b *frameBuilder) copyParse(f wire.Frame) {
	text, _, _ := wire.CString(f.Body)
	name := string(text)
	if b.target.statements.has(name) || b.created[name] {
		b.out = append(b.out, wire.EmptyParse...)
		b.target.request.expect(expectedResponse{frameType: '1'})
		return
	}
	b.createStatement(name, f.Raw, false)
}

// expect adds a response that is still to arrive.
func (r *requestState) expect(response expectedResponse) {
	r.expected = append(r.expected, response)
}

// handleResponseFrame handles one frame of the response. Rows and all other frames
// without a handler are forwarded unchanged.
func (t *target) handleResponseFrame(f wire.Frame) {
	if t.request.awaitingPrelude {
		if handle := preludeHandlers[f.Type]; handle != nil {
			handle(t, f)
		}
		return
	}
	handle := responseHandlers[f.Type]
	if handle == nil || handle(t, f) {
		t.request.frames = append(t.request.frames, f.Raw...)
	}
}

// responseHandlers maps the type byte of a response frame to its handler, which
// reports whether the frame is forwarded.
var responseHandlers = [256]func(*target, wire.Frame) bool{
	'1': (*target).handleExpected,
	'3': (*target).handleExpected,
	'C': (*target).handleCommandComplete,
	'E': (*target).handleError,
	'G': (*target).rejectCopy,
	'S': (*target).handleParameterStatus,
	'Z': (*target).finishRequest,
}

// preludeHandlers maps the type byte of a frame in the response to a prelude to its
// handler. These frames are never forwarded.
var preludeHandlers = [256]func(*target, wire.Frame) bool{
	'C': (*target).handleCommandComplete,
	'E': (*target).handlePreludeError,
	'G': (*target).rejectCopy,
	'Z': (*target).handlePreludeReady,
}

// handleExpected matches a ParseComplete or CloseComplete with the expected ones. A
// ParseComplete confirms that the statement exists on the connection.
func (t *target) handleExpected(f wire.Frame) bool {
	request := t.request
	if len(request.expected) == 0 || request.expected[0].frameType != f.Type {
		return true
	}
	next := request.expected[0]
	request.expected = request.expected[1:]
	if next.name != "" {
		t.statements.add(next.name)
	}
	return !next.suppress
}

// handleCommandComplete forgets all statements after a command that drops prepared
// statements.
func (t *target) handleCommandComplete(f wire.Frame) bool {
	if bytes.HasPrefix(f.Body, []byte("DISCARD")) || bytes.HasPrefix(f.Body, []byte("DEALLOCATE")) {
		t.statements.forgetAll()
	}
	return true
}

// handleError records the SQLSTATE. After an error about a prepared statement it
// forgets the statements of the request, so that they are created again. The member
// ignores the rest of the request, so no further response is expected.
func (t *target) handleError(f wire.Frame) bool {
	request := t.request
	request.errorCode = wire.ErrorSQLState(f.Body)
	request.expected = nil
	if request.errorCode == sqlStateInvalidStatementName || request.errorCode == sqlStateFeatureNotSupported {
		for _, statement := range request.send.Payload.Prepared {
			t.statements.forget(statement.Name)
		}
	}
	return true
}

// rejectCopy makes a COPY FROM STDIN fail that classification did not refuse.
func (t *target) rejectCopy(wire.Frame) bool {
	t.conn.Write(wire.Append(nil, &pgproto3.CopyFail{Message: "COPY is not supported"}))
	return false
}

// handleParameterStatus records the log position, which is not forwarded.
func (t *target) handleParameterStatus(f wire.Frame) bool {
	name, rest, ok := wire.CString(f.Body)
	if !ok || string(name) != positionParameter {
		return true
	}
	value, _, _ := wire.CString(rest)
	if position, err := core.ParsePosition(string(value)); err == nil {
		t.request.position = position
	}
	return false
}

// finishRequest reports the end of the request to session.
func (t *target) finishRequest(f wire.Frame) bool {
	if len(f.Body) != 1 {
		t.closeConn("invalid ReadyForQuery")
		return false
	}
	request := t.request
	t.request = nil
	t.duty.Outbox.Push(session.TargetReady{
		Target:    t.id,
		Frames:    append(request.frames, f.Raw...),
		TxStatus:  f.Body[0],
		Position:  request.position,
		ErrorCode: request.errorCode,
		ReadOnly:  request.errorCode == sqlStateReadOnlyTransaction,
	})
	return false
}

// handlePreludeError closes the connection, because the request must not run without
// its prelude. Nothing of the request was written.
func (t *target) handlePreludeError(f wire.Frame) bool {
	t.closeConn("the prelude failed with SQLSTATE " + wire.ErrorSQLState(f.Body))
	return false
}

// handlePreludeReady writes the request after its prelude has succeeded.
func (t *target) handlePreludeReady(wire.Frame) bool {
	t.request.awaitingPrelude = false
	t.writeRequest()
	return false
}

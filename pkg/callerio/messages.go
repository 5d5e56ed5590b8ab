package callerio

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// messageHandlers maps the type byte of a frontend message to its handler, which
// returns false when the body is invalid. A type without a handler is a protocol
// violation.
var messageHandlers = [256]func(*caller, wire.Frame) bool{
	'Q': (*caller).query,
	'P': (*caller).parse,
	'B': (*caller).bind,
	'D': (*caller).describe,
	'E': (*caller).execute,
	'C': (*caller).closeObject,
	'S': (*caller).sync,
	'H': (*caller).flush,
	'X': (*caller).terminate,
	'F': (*caller).functionCall,
	// COPY is not supported, so copy data is dropped, as a server does after a
	// failed COPY.
	'd': (*caller).drop,
	'c': (*caller).drop,
	'f': (*caller).drop,
}

// ignoredTillSync marks the messages that a server drops between an error in the
// extended protocol and the next Sync.
var ignoredTillSync = [256]bool{'P': true, 'B': true, 'D': true, 'E': true, 'C': true, 'H': true, 'Q': true, 'F': true}

// readMessage handles the first message in buf and returns its size, or 0 when it
// is incomplete or the connection closes because of a protocol violation.
func (c *caller) readMessage(buf []byte) int {
	frame, complete, err := wire.Next(buf, c.duty.config.MaxInputBytes)
	if err != nil {
		c.closeOnViolation(err.Error())
		return 0
	}
	if !complete {
		return 0
	}
	handler := messageHandlers[frame.Type]
	if handler == nil {
		c.closeOnViolation("unknown message type")
		return 0
	}
	if c.ignoreTillSync && ignoredTillSync[frame.Type] {
		return len(frame.Raw)
	}
	if !handler(c, frame) {
		c.closeOnViolation((&wire.ProtocolError{Message: frame.Type, Reason: "invalid body"}).Error())
		return 0
	}
	if len(c.batch.frames) > c.duty.config.MaxInputBytes {
		c.closeOnViolation((&wire.SizeError{Size: len(c.batch.frames), Limit: c.duty.config.MaxInputBytes}).Error())
		return 0
	}
	return len(frame.Raw)
}

// drop ignores a message.
func (c *caller) drop(wire.Frame) bool {
	return true
}

func (c *caller) terminate(wire.Frame) bool {
	c.closeAfterQuit()
	return true
}

// query submits a simple query.
func (c *caller) query(f wire.Frame) bool {
	text, rest, ok := wire.CString(f.Body)
	if !ok || len(rest) > 0 || !c.batch.empty() {
		return false
	}
	c.submit(requestState{simple: true}, &session.Request{
		Texts:   []string{string(text)},
		Simple:  true,
		Payload: &session.Payload{Frames: append([]byte(nil), f.Raw...)},
	})
	return true
}

// functionCall refuses the function call protocol.
func (c *caller) functionCall(wire.Frame) bool {
	if !c.batch.empty() {
		return false
	}
	out := wire.AppendFailure(nil, wire.Failure{
		Severity: wire.SeverityError,
		SQLState: SQLState(core.ReasonNotSupported),
		Message:  "the function call protocol is not supported",
		Detail:   outcomeDetail(core.OutcomeNotRun),
		Hint:     errorHints[core.ReasonNotSupported],
	})
	c.write(wire.Append(out, &pgproto3.ReadyForQuery{TxStatus: c.txStatus}))
	return true
}

// parse defines a statement of the caller. The batch gets a Parse under the
// statement's name on targets, or an empty Parse if it already refers to the
// statement: creating it twice would fail.
func (c *caller) parse(f wire.Frame) bool {
	name, rest, ok := wire.CString(f.Body)
	if !ok {
		return false
	}
	text, types, ok := wire.CString(rest)
	if !ok || !validTypes(types) {
		return false
	}
	if c.batch.failure != nil {
		return true
	}
	s := c.statements[string(name)]
	if s == nil || !s.matches(rest) {
		s = c.duty.statements.acquire(text, types)
		if !c.setStatement(string(name), s) {
			c.batch.fail(sqlStateProgramLimitExceeded, "too many prepared statements")
			return true
		}
	}
	c.batch.addStep(stepParse, true)
	if c.batch.require(s, true) {
		c.batch.frames = append(c.batch.frames, s.parseFrame...)
	} else {
		c.batch.frames = append(c.batch.frames, wire.EmptyParse...)
	}
	return true
}

// validTypes reports whether types is a valid list of parameter types, as at the
// end of a Parse message: a 16-bit count and a 32-bit OID for each.
func validTypes(types []byte) bool {
	return len(types) >= 2 && len(types) == 2+4*(int(types[0])<<8|int(types[1]))
}

// bind adds a Bind with the statement's name on targets.
func (c *caller) bind(f wire.Frame) bool {
	portal, rest, ok := wire.CString(f.Body)
	if !ok {
		return false
	}
	name, values, ok := wire.CString(rest)
	if !ok {
		return false
	}
	if c.batch.failure != nil {
		return true
	}
	s, exists := c.statements[string(name)]
	if !exists {
		c.batch.fail(sqlStateInvalidStatementName, "the prepared statement does not exist")
		return true
	}
	if !c.openPortal(string(portal), s) {
		c.batch.fail(sqlStateProgramLimitExceeded, "too many portals")
		return true
	}
	c.batch.addStep(stepBind, true)
	c.batch.require(s, false)
	c.batch.frames = wire.AppendFrame(c.batch.frames, 'B', portal, nul, []byte(s.name), nul, values)
	return true
}

// openPortal stores the statement of a portal. It returns false when the caller
// has MaxStatements portals.
func (c *caller) openPortal(name string, s *statement) bool {
	if c.portals == nil {
		c.portals = map[string]*statement{}
	}
	_, exists := c.portals[name]
	if !exists && len(c.portals) >= c.duty.config.MaxStatements {
		return false
	}
	c.portals[name] = s
	return true
}

// execute adds an Execute and marks the portal's statement as executed.
func (c *caller) execute(f wire.Frame) bool {
	portal, rest, ok := wire.CString(f.Body)
	if !ok || len(rest) != 4 {
		return false
	}
	if c.batch.failure != nil {
		return true
	}
	s, exists := c.portals[string(portal)]
	if !exists {
		c.batch.fail(sqlStateInvalidCursorName, "the portal does not exist")
		return true
	}
	c.batch.addStep(stepExecute, true)
	c.batch.ref(s).executed = true
	c.batch.frames = append(c.batch.frames, f.Raw...)
	return true
}

// splitObject splits the body of a Describe or Close into the kind, 'S' for a
// statement or 'P' for a portal, and the name.
func splitObject(f wire.Frame) (kind byte, name []byte, ok bool) {
	if len(f.Body) < 2 || (f.Body[0] != 'S' && f.Body[0] != 'P') {
		return 0, nil, false
	}
	name, rest, ok := wire.CString(f.Body[1:])
	return f.Body[0], name, ok && len(rest) == 0
}

// describe adds a Describe of a statement or portal.
func (c *caller) describe(f wire.Frame) bool {
	kind, name, ok := splitObject(f)
	if !ok {
		return false
	}
	if c.batch.failure != nil {
		return true
	}
	if kind == 'P' {
		c.describePortal(f, string(name))
		return true
	}
	s, exists := c.statements[string(name)]
	if !exists {
		c.batch.fail(sqlStateInvalidStatementName, "the prepared statement does not exist")
		return true
	}
	c.batch.addStep(stepDescribeStatement, true)
	c.batch.require(s, false)
	c.batch.frames = wire.AppendFrame(c.batch.frames, 'D', []byte{'S'}, []byte(s.name), nul)
	return true
}

func (c *caller) describePortal(f wire.Frame, name string) {
	s, exists := c.portals[name]
	if !exists {
		c.batch.fail(sqlStateInvalidCursorName, "the portal does not exist")
		return
	}
	c.batch.addStep(stepDescribePortal, true)
	c.batch.ref(s)
	c.batch.frames = append(c.batch.frames, f.Raw...)
}

// closeObject removes a statement or portal of the caller.
func (c *caller) closeObject(f wire.Frame) bool {
	kind, name, ok := splitObject(f)
	if !ok {
		return false
	}
	if c.batch.failure != nil {
		return true
	}
	if kind == 'P' {
		c.closePortal(f, string(name))
		return true
	}
	c.removeStatement(string(name))
	c.batch.addStep(stepClose, false)
	// Other callers may use the statement, so the target is told to close one that
	// does not exist. Its CloseComplete arrives in the right order.
	c.batch.frames = wire.AppendFrame(c.batch.frames, 'C', []byte{'S'}, []byte(absentStatement), nul)
	return true
}

func (c *caller) closePortal(f wire.Frame, name string) {
	s, exists := c.portals[name]
	delete(c.portals, name)
	if exists {
		c.batch.ref(s)
	}
	c.batch.addStep(stepClose, exists)
	c.batch.frames = append(c.batch.frames, f.Raw...)
}

// sync ends the batch, or the input that is ignored after an error.
func (c *caller) sync(f wire.Frame) bool {
	if len(f.Body) > 0 {
		return false
	}
	if c.ignoreTillSync {
		c.ignoreTillSync = false
		c.sendReady(requestState{})
		return true
	}
	c.finishBatch(false)
	return true
}

// flush ends the batch, because the caller waits for the responses to the messages
// sent so far. The batch ends with a Sync from the proxy, whose ReadyForQuery is
// not forwarded.
func (c *caller) flush(f wire.Frame) bool {
	if len(f.Body) > 0 {
		return false
	}
	if !c.batch.empty() {
		c.finishBatch(true)
	}
	return true
}

// finishBatch submits the batch to session, or answers it if it failed or needs no
// target.
func (c *caller) finishBatch(suppressReady bool) {
	b := c.batch
	c.batch = batch{}
	state := requestState{steps: b.steps, suppressReady: suppressReady}
	if b.failure != nil {
		state.failed = true
		c.write(wire.AppendFailure(nil, *b.failure))
		c.sendReady(state)
		return
	}
	if b.answeredByProxy() {
		c.request = state
		c.writeReply(session.CallerReply{TxStatus: c.txStatus})
		c.request = requestState{}
		return
	}
	c.submit(state, &session.Request{
		Texts:        b.classifiableTexts(),
		PreparesOnly: b.preparesOnly(),
		Payload:      &session.Payload{Frames: wire.Append(b.frames, &pgproto3.Sync{}), Prepared: b.prepared()},
	})
}

// submit sends a complete request to session.
func (c *caller) submit(state requestState, request *session.Request) {
	c.busy = true
	c.request = state
	request.Arrived = time.Now()
	c.duty.counts.requests.Add(1)
	c.duty.Outbox.Push(session.CallerRequest{Caller: c.id, Request: request})
}

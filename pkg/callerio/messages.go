package callerio

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// messages maps the type byte of a frontend message to its handler. A type
// without a handler is a protocol violation.
var messages = [256]func(*caller, wire.Frame) bool{
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
	// Copy data outside a copy is dropped, as a server does after a failed COPY.
	'd': (*caller).drop,
	'c': (*caller).drop,
	'f': (*caller).drop,
}

// extended are the messages that a server drops after an error up to Sync.
var extended = [256]bool{'P': true, 'B': true, 'D': true, 'E': true, 'C': true, 'H': true, 'Q': true, 'F': true}

// readMessage handles the first frame of buf and returns its size, 0 when it
// is incomplete.
func (c *caller) readMessage(buf []byte) int {
	frame, complete, err := wire.Next(buf, c.duty.config.MaxInput)
	if err != nil {
		c.violate(err.Error())
		return 0
	}
	if !complete {
		return 0
	}
	handler := messages[frame.Type]
	if handler == nil {
		c.violate("unknown message type")
		return 0
	}
	if c.skipping && extended[frame.Type] {
		return len(frame.Raw)
	}
	if !handler(c, frame) {
		c.violate((&wire.ProtocolError{Message: frame.Type, Reason: "invalid body"}).Error())
		return 0
	}
	if len(c.batch.frames) > c.duty.config.MaxInput {
		c.violate((&wire.SizeError{Size: len(c.batch.frames), Limit: c.duty.config.MaxInput}).Error())
		return 0
	}
	return len(frame.Raw)
}

func (c *caller) drop(wire.Frame) bool {
	return true
}

func (c *caller) terminate(wire.Frame) bool {
	c.closeNow()
	return true
}

func (c *caller) query(f wire.Frame) bool {
	text, rest, ok := wire.CString(f.Body)
	if !ok || len(rest) > 0 || !c.batch.empty() {
		return false
	}
	c.deliver(running{simple: true}, &session.Request{
		Texts:   []string{string(text)},
		Simple:  true,
		Payload: &session.Payload{Frames: append([]byte(nil), f.Raw...)},
	})
	return true
}

func (c *caller) functionCall(wire.Frame) bool {
	if !c.batch.empty() {
		return false
	}
	out := wire.AppendFailure(nil, wire.Failure{
		Severity: wire.SeverityError,
		SQLState: SQLState(core.ReasonNotSupported),
		Message:  "the function call protocol is not supported",
		Detail:   outcomeDetail(core.OutcomeNotRun),
		Hint:     hints[core.ReasonNotSupported],
	})
	c.write(wire.Append(out, &pgproto3.ReadyForQuery{TxStatus: c.txStatus}))
	return true
}

func (c *caller) parse(f wire.Frame) bool {
	name, rest, ok := wire.CString(f.Body)
	if !ok {
		return false
	}
	text, types, ok := wire.CString(rest)
	if !ok || !validTypes(types) {
		return false
	}
	if c.batch.fault != nil {
		return true
	}
	s := c.statements[string(name)]
	if s == nil || !s.is(rest) {
		s = c.duty.texts.acquire(text, types)
		if !c.define(string(name), s) {
			c.batch.fail(stateLimit, "too many prepared statements")
			return true
		}
	}
	c.batch.add(stepParse, true)
	if c.batch.require(s, true) {
		c.batch.frames = append(c.batch.frames, s.parse...)
	} else {
		c.batch.frames = append(c.batch.frames, wire.EmptyParse...)
	}
	return true
}

// validTypes checks the parameter types at the end of a Parse message: a
// 16-bit count and 32 bits for each.
func validTypes(types []byte) bool {
	return len(types) >= 2 && len(types) == 2+4*(int(types[0])<<8|int(types[1]))
}

func (c *caller) bind(f wire.Frame) bool {
	portal, rest, ok := wire.CString(f.Body)
	if !ok {
		return false
	}
	name, values, ok := wire.CString(rest)
	if !ok {
		return false
	}
	if c.batch.fault != nil {
		return true
	}
	s, exists := c.statements[string(name)]
	if !exists {
		c.batch.fail(stateNoStatement, "the prepared statement does not exist")
		return true
	}
	if !c.openPortal(string(portal), s) {
		c.batch.fail(stateLimit, "too many portals")
		return true
	}
	c.batch.add(stepBind, true)
	c.batch.require(s, false)
	c.batch.frames = wire.AppendFrame(c.batch.frames, 'B', portal, zero, []byte(s.name), zero, values)
	return true
}

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

func (c *caller) execute(f wire.Frame) bool {
	portal, rest, ok := wire.CString(f.Body)
	if !ok || len(rest) != 4 {
		return false
	}
	if c.batch.fault != nil {
		return true
	}
	s, exists := c.portals[string(portal)]
	if !exists {
		c.batch.fail(stateNoPortal, "the portal does not exist")
		return true
	}
	c.batch.add(stepExecute, true)
	c.batch.refer(s).executed = true
	c.batch.frames = append(c.batch.frames, f.Raw...)
	return true
}

// object splits the body of Describe and Close into kind and name.
func object(f wire.Frame) (kind byte, name []byte, ok bool) {
	if len(f.Body) < 2 || (f.Body[0] != 'S' && f.Body[0] != 'P') {
		return 0, nil, false
	}
	name, rest, ok := wire.CString(f.Body[1:])
	return f.Body[0], name, ok && len(rest) == 0
}

func (c *caller) describe(f wire.Frame) bool {
	kind, name, ok := object(f)
	if !ok {
		return false
	}
	if c.batch.fault != nil {
		return true
	}
	if kind == 'P' {
		c.describePortal(f, string(name))
		return true
	}
	s, exists := c.statements[string(name)]
	if !exists {
		c.batch.fail(stateNoStatement, "the prepared statement does not exist")
		return true
	}
	c.batch.add(stepDescribeStatement, true)
	c.batch.require(s, false)
	c.batch.frames = wire.AppendFrame(c.batch.frames, 'D', []byte{'S'}, []byte(s.name), zero)
	return true
}

func (c *caller) describePortal(f wire.Frame, name string) {
	s, exists := c.portals[name]
	if !exists {
		c.batch.fail(stateNoPortal, "the portal does not exist")
		return
	}
	c.batch.add(stepDescribePortal, true)
	c.batch.refer(s)
	c.batch.frames = append(c.batch.frames, f.Raw...)
}

func (c *caller) closeObject(f wire.Frame) bool {
	kind, name, ok := object(f)
	if !ok {
		return false
	}
	if c.batch.fault != nil {
		return true
	}
	if kind == 'P' {
		c.closePortal(f, string(name))
		return true
	}
	c.undefine(string(name))
	c.batch.add(stepClose, false)
	// The target answers at the right place and keeps the shared statement.
	c.batch.frames = wire.AppendFrame(c.batch.frames, 'C', []byte{'S'}, []byte(absentStatement), zero)
	return true
}

func (c *caller) closePortal(f wire.Frame, name string) {
	s, exists := c.portals[name]
	delete(c.portals, name)
	if exists {
		c.batch.refer(s)
	}
	c.batch.add(stepClose, exists)
	c.batch.frames = append(c.batch.frames, f.Raw...)
}

func (c *caller) sync(f wire.Frame) bool {
	if len(f.Body) > 0 {
		return false
	}
	if c.skipping {
		c.skipping = false
		c.ready(running{})
		return true
	}
	c.finishBatch(false)
	return true
}

// flush ends the batch, because the caller waits for the answer to what it
// sent so far. The batch gets a Sync of its own, whose ReadyForQuery is hidden.
func (c *caller) flush(f wire.Frame) bool {
	if len(f.Body) > 0 {
		return false
	}
	if !c.batch.empty() {
		c.finishBatch(true)
	}
	return true
}

func (c *caller) finishBatch(hideReady bool) {
	b := c.batch
	c.batch = batch{}
	r := running{steps: b.steps, hideReady: hideReady}
	if b.fault != nil {
		r.failed = true
		c.write(wire.AppendFailure(nil, *b.fault))
		c.ready(r)
		return
	}
	if b.local() {
		c.running = r
		c.replyWith(session.CallerReply{TxStatus: c.txStatus})
		c.running = running{}
		return
	}
	c.deliver(r, &session.Request{
		Texts:        b.texts(),
		PreparesOnly: b.preparesOnly(),
		Payload:      &session.Payload{Frames: wire.Append(b.frames, &pgproto3.Sync{}), Prepared: b.prepared()},
	})
}

// deliver hands a complete request to session.
func (c *caller) deliver(r running, request *session.Request) {
	c.busy = true
	c.running = r
	request.Arrived = time.Now()
	c.duty.counts.requests.Add(1)
	c.duty.Outbox.Push(session.CallerRequest{Caller: c.id, Request: request})
}

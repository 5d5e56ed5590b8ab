package rpc

import (
	"encoding/json"

	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
)

// inConn is an incoming connection.
type inConn struct {
	link
	id ConnID
	// openRequests is the number of requests without a reply.
	openRequests int
	// request is the request that the event "request" carries.
	request *jsonrpc2.Request
	// lastAccepted is the ID of the last accepted request. hasOtherIDs is set when the
	// peer uses IDs that are not numbers.
	lastAccepted int64
	hasOtherIDs  bool
}

// accept registers an incoming connection, or refuses it when there are MaxIncoming
// already.
func (d *Duty) accept(c *netloop.Conn) netloop.Handler {
	if len(d.inConns) >= d.config.MaxIncoming {
		return nil
	}
	d.lastConnID++
	in := &inConn{id: d.lastConnID}
	in.start(d, c, in)
	d.inConns[in.id] = in
	d.addConn(in)
	return in
}

// Opened implements netloop.Handler; the loop does not call it for incoming connections.
func (in *inConn) Opened(*netloop.Conn) {}

// Flushed implements netloop.Handler.
func (in *inConn) Flushed(*netloop.Conn) {
	in.fire(in.duty.linkEvents.flushed)
}

// Data implements netloop.Handler.
func (in *inConn) Data(*netloop.Conn) {
	in.decode()
}

// Closed implements netloop.Handler.
func (in *inConn) Closed(*netloop.Conn, error) {
	delete(in.duty.conns, in)
	delete(in.duty.inConns, in.id)
	in.fire(in.duty.linkEvents.lost)
}

// atLimit reports whether MaxCallsPerConn requests have no reply.
func (in *inConn) atLimit() bool {
	return in.openRequests >= in.duty.config.MaxCallsPerConn
}

func (in *inConn) decode() {
	if in.outputEnded {
		in.discardInput()
		return
	}
	for !in.duty.blocked() {
		if in.atLimit() {
			in.conn.PauseRead()
			return
		}
		message, n, err := Decode(in.conn.Buffered())
		if err != nil {
			in.conn.Close()
			return
		}
		if n == 0 {
			return
		}
		in.conn.Discard(n)
		request, ok := message.(*jsonrpc2.Request)
		if !ok {
			in.conn.Close()
			return
		}
		in.handleRequest(request)
	}
}

// handleRequest passes a request or notification to the chart.
func (in *inConn) handleRequest(r *jsonrpc2.Request) {
	in.request = r
	in.fire(in.duty.linkEvents.request)
	in.request = nil
}

// awaitsReplies implements linkHandler.
func (in *inConn) awaitsReplies() bool {
	return in.openRequests > 0
}

// acceptRequest implements linkHandler.
func (in *inConn) acceptRequest() {
	r := in.request
	if r.IsCall() {
		in.openRequests++
		in.recordID(r.ID)
	}
	in.duty.deliverEvent(Request{
		Conn: in.id, ID: RequestID{id: r.ID}, Method: r.Method, Params: r.Params, ReceivedAt: clock.Now(),
	})
}

// recordID records the ID of an accepted request.
func (in *inConn) recordID(id jsonrpc2.ID) {
	n, isNumber := id.Raw().(int64)
	if !isNumber {
		in.hasOtherIDs = true
		return
	}
	in.lastAccepted = n
}

// rejectRequest implements linkHandler. It answers peers that do not know the goAway.
func (in *inConn) rejectRequest() {
	if !in.request.IsCall() {
		return
	}
	frame, err := encodeReply(Reply{
		ID: RequestID{id: in.request.ID}, Error: &RemoteError{Code: CodeNotAccepted, Message: "the instance is stopping"},
	})
	if err == nil && in.conn.Pending()+len(frame) <= in.duty.config.MaxOutputBytes {
		in.conn.Write(frame)
	}
}

// announceClose implements linkHandler. The order of IDs that are not numbers is not known,
// so no announcement covers them.
func (in *inConn) announceClose() {
	if in.hasOtherIDs {
		return
	}
	if frame, err := encodeGoAway(goAway{LastAccepted: in.lastAccepted}); err == nil {
		in.conn.Write(frame)
	}
}

// discardInput implements linkHandler. Requests that arrive now are not run.
func (in *inConn) discardInput() {
	in.conn.ResumeRead()
	in.conn.Discard(len(in.conn.Buffered()))
}

// reply sends the reply to a request. It closes the connection of a peer that does not
// read its replies, once MaxOutputBytes are unsent.
func (d *Duty) reply(r Reply) {
	in, ok := d.inConns[r.Conn]
	if !ok || in.outputEnded || r.ID.IsNotification() {
		return
	}
	frame, err := encodeReply(r)
	if err != nil {
		frame, err = encodeReply(Reply{ID: r.ID, Error: &RemoteError{Code: CodeInternal, Message: "the result cannot be encoded"}})
	}
	if err != nil || in.conn.Pending()+len(frame) > d.config.MaxOutputBytes {
		in.conn.Close()
		return
	}
	in.conn.Write(frame)
	wasFull := in.atLimit()
	in.openRequests--
	if wasFull {
		d.resumeReading(in)
	}
	in.fire(d.linkEvents.answered)
}

const (
	// CodeInternal is the JSON-RPC code of an internal error: the request was accepted
	// and may have been executed.
	CodeInternal = -32603
	// CodeNotAccepted is the code of a request that was not executed because the
	// instance is stopping; it is one of the codes that JSON-RPC leaves to the server.
	CodeNotAccepted = -32000
)

// encodeReply returns the encoded response. It returns an *EncodeError for a result that
// cannot be encoded, and a *FrameError for a response that is too large.
func encodeReply(r Reply) ([]byte, error) {
	response, err := jsonrpc2.NewResponse(r.ID.id, r.Result, nil)
	if err != nil {
		return nil, &EncodeError{Reason: err.Error()}
	}
	if r.Error != nil {
		response.Result = nil
		response.Error = wireError(r.Error)
	}
	if response.Result == nil && response.Error == nil {
		response.Result = json.RawMessage("null")
	}
	return Append(nil, response)
}

// wireError converts an error to the type that jsonrpc2 encodes. That type is not
// exported, and its error data can only be set by decoding a message.
func wireError(e *RemoteError) error {
	plain := jsonrpc2.NewError(e.Code, e.Message)
	if e.Data == nil {
		return plain
	}
	text, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": 0, "error": e})
	if err != nil {
		return plain
	}
	message, err := jsonrpc2.DecodeMessage(text)
	if err != nil {
		return plain
	}
	return message.(*jsonrpc2.Response).Error
}

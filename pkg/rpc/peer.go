package rpc

import (
	"encoding/json"

	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
)

// peer is an incoming connection.
type peer struct {
	duty *Duty
	id   ConnID
	conn *netloop.Conn
	// open is the number of requests without a reply.
	open int
}

// acceptPeer registers an incoming connection.
func (d *Duty) acceptPeer(c *netloop.Conn) netloop.Handler {
	d.lastPeer++
	p := &peer{duty: d, id: d.lastPeer, conn: c}
	if len(d.peers) >= d.config.MaxIncoming {
		d.refused = append(d.refused, c)
		return p
	}
	d.peers[p.id] = p
	d.addReader(p)
	return p
}

// closeRefused closes the connections beyond MaxIncoming. A connection cannot
// be closed before its handler is set, so this follows the poll.
func (d *Duty) closeRefused() {
	for _, c := range d.refused {
		c.Close()
	}
	d.refused = nil
}

func (p *peer) socket() *netloop.Conn {
	return p.conn
}

// Opened implements netloop.Handler; it is not called for incoming connections.
func (p *peer) Opened(*netloop.Conn) {}

// Drained implements netloop.Handler.
func (p *peer) Drained(*netloop.Conn) {}

// Data implements netloop.Handler.
func (p *peer) Data(*netloop.Conn) {
	p.decode()
}

// Closed implements netloop.Handler.
func (p *peer) Closed(*netloop.Conn, error) {
	delete(p.duty.all, p)
	delete(p.duty.peers, p.id)
}

// full reports whether the peer has as many requests open as it may.
func (p *peer) full() bool {
	return p.open >= p.duty.config.MaxCallsPerConn
}

func (p *peer) decode() {
	for !p.duty.blocked() {
		if p.full() {
			p.conn.PauseRead()
			return
		}
		message, n, err := Decode(p.conn.Buffered())
		if err != nil {
			p.conn.Close()
			return
		}
		if n == 0 {
			return
		}
		p.conn.Discard(n)
		request, ok := message.(*jsonrpc2.Request)
		if !ok {
			p.conn.Close()
			return
		}
		p.requested(request)
	}
}

func (p *peer) requested(r *jsonrpc2.Request) {
	if r.IsCall() {
		p.open++
	}
	p.duty.emit(Request{Conn: p.id, ID: RequestID{id: r.ID}, Method: r.Method, Params: r.Params})
}

// reply answers a request. A peer that does not read its replies is closed at
// MaxOutput.
func (d *Duty) reply(r Reply) {
	p, ok := d.peers[r.Conn]
	if !ok || r.ID.IsNotification() {
		return
	}
	frame, err := encodeReply(r)
	if err != nil {
		frame, err = encodeReply(Reply{ID: r.ID, Error: &RemoteError{Code: codeInternal, Message: "the result cannot be encoded"}})
	}
	if err != nil || p.conn.Pending()+len(frame) > d.config.MaxOutput {
		p.conn.Close()
		return
	}
	p.conn.Write(frame)
	wasFull := p.full()
	p.open--
	if wasFull {
		d.resume(p)
	}
}

// codeInternal is the JSON-RPC code of an internal error.
const codeInternal = -32603

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

// wireError converts an error to the codec's type, which is not exported and
// takes details only by decoding.
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

// Package endpoint serves JSON-RPC 2.0 with Content-Length framing on the
// thread of a netloop.Loop, and makes single calls for scripts and tests.
package endpoint

import (
	"encoding/json"

	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
)

// Error codes of JSON-RPC 2.0.
const (
	CodeInvalidParams  = -32602
	CodeMethodNotFound = -32601
)

// ParamsError reports invalid parameters of a method.
type ParamsError struct {
	Reason string
}

func (e *ParamsError) Error() string {
	return "invalid parameters: " + e.Reason
}

// Method handles one call. It responds through reply, at once or later, or returns
// the error to send.
type Method func(params json.RawMessage, reply Reply) error

// Typed returns a Method that decodes its parameters into P; absent parameters are
// the zero value.
func Typed[P any](call func(params P, reply Reply) error) Method {
	return func(raw json.RawMessage, reply Reply) error {
		var params P
		if len(raw) > 0 {
			if err := json.Unmarshal(raw, &params); err != nil {
				return &ParamsError{Reason: err.Error()}
			}
		}
		return call(params, reply)
	}
}

// Server dispatches calls to its methods.
type Server struct {
	Methods map[string]Method
	// ConvertError converts a method's error to a JSON-RPC error; nil sends
	// errors unchanged.
	ConvertError func(error) error
	// ConnClosed is called for each closed connection; nil for none.
	ConnClosed func(*Conn)
}

// Conn is one connection to a Server.
type Conn struct {
	server *Server
	conn   *netloop.Conn
	closed bool
}

// Accept handles an accepted connection; pass it to netloop.Loop.Listen.
func (s *Server) Accept(c *netloop.Conn) netloop.Handler {
	return &Conn{server: s, conn: c}
}

// Opened implements netloop.Handler; accepted connections are open already.
func (c *Conn) Opened(*netloop.Conn) {}

// Flushed implements netloop.Handler.
func (c *Conn) Flushed(*netloop.Conn) {}

// Closed implements netloop.Handler.
func (c *Conn) Closed(*netloop.Conn, error) {
	c.closed = true
	if c.server.ConnClosed != nil {
		c.server.ConnClosed(c)
	}
}

// Data implements netloop.Handler. It dispatches every complete request; invalid
// input closes the connection.
func (c *Conn) Data(conn *netloop.Conn) {
	for !c.closed {
		message, n, err := rpc.Decode(conn.Buffered())
		if err != nil {
			conn.Close()
			return
		}
		if message == nil {
			return
		}
		conn.Discard(n)
		if request, ok := message.(*jsonrpc2.Request); ok {
			c.server.dispatch(request, Reply{conn: c, id: request.ID})
		}
	}
}

func (s *Server) dispatch(request *jsonrpc2.Request, reply Reply) {
	method, ok := s.Methods[request.Method]
	if !ok {
		reply.SendError(jsonrpc2.NewError(CodeMethodNotFound, "unknown method "+request.Method))
		return
	}
	if err := method(request.Params, reply); err != nil {
		reply.SendError(err)
	}
}

// Reply identifies a call and sends its response.
type Reply struct {
	conn *Conn
	id   jsonrpc2.ID
}

// Conn returns the connection on which the call was received.
func (r Reply) Conn() *Conn {
	return r.conn
}

// SendResult sends the result. It does nothing for a notification or a closed
// connection.
func (r Reply) SendResult(result any) {
	response, err := jsonrpc2.NewResponse(r.id, result, nil)
	if err != nil {
		r.SendError(err)
		return
	}
	r.write(response)
}

// SendError sends an error: a *ParamsError with the code CodeInvalidParams, any
// other error as Server.ConvertError returns it.
func (r Reply) SendError(err error) {
	if params, ok := err.(*ParamsError); ok {
		err = jsonrpc2.NewError(CodeInvalidParams, params.Error())
	} else if r.conn.server.ConvertError != nil {
		err = r.conn.server.ConvertError(err)
	}
	r.write(&jsonrpc2.Response{ID: r.id, Error: err})
}

func (r Reply) write(response *jsonrpc2.Response) {
	if r.conn.closed || !r.id.IsValid() {
		return
	}
	frame, err := rpc.Append(nil, response)
	if err != nil {
		r.conn.conn.Close()
		return
	}
	r.conn.conn.Write(frame)
}

package member

import (
	"encoding/json"
	"errors"
	"time"

	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/standin/store"
)

// Error codes of the status endpoint.
const (
	// CodeTermTooLow comes with the accepted term in the error's data.
	CodeTermTooLow = 4001
	// CodeWrongRole refuses a command that the role does not allow.
	CodeWrongRole      = 4002
	codeInvalidParams  = -32602
	codeMethodNotFound = -32601
	codeOverloaded     = 4003
)

// Status is the JSON form of the member's status.
type Status struct {
	Member           core.MemberID `json:"member"`
	Role             core.Role     `json:"role"`
	Term             core.Term     `json:"term"`
	LogTerm          core.Term     `json:"log_term"`
	Received         core.LSN      `json:"received"`
	Applied          core.LSN      `json:"applied"`
	PrimarySilenceMS int64         `json:"primary_silence_ms"`
	// TermStarts lists [term, lsn] pairs, oldest first.
	TermStarts [][2]uint64 `json:"term_starts"`
	SlotsBusy  int         `json:"slots_busy"`
}

func (m *Member) status() Status {
	s := m.store.Status(time.Now())
	status := Status{
		Member:           s.Member,
		Role:             s.Role,
		Term:             s.Term,
		LogTerm:          s.LogTerm,
		Received:         s.Received,
		Applied:          s.Applied,
		PrimarySilenceMS: s.PrimarySilence.Milliseconds(),
		TermStarts:       [][2]uint64{},
		SlotsBusy:        m.slots.busy,
	}
	for _, t := range s.Terms {
		status.TermStarts = append(status.TermStarts, [2]uint64{uint64(t.Term), uint64(t.Start)})
	}
	return status
}

// statusConn is one connection to the status endpoint.
type statusConn struct {
	m    *Member
	conn *netloop.Conn
	gone bool
}

func (m *Member) acceptStatus(c *netloop.Conn) netloop.Handler {
	return &statusConn{m: m, conn: c}
}

// Opened implements netloop.Handler; accepted connections are open already.
func (c *statusConn) Opened(*netloop.Conn) {}

// Drained implements netloop.Handler.
func (c *statusConn) Drained(*netloop.Conn) {}

// Closed implements netloop.Handler.
func (c *statusConn) Closed(*netloop.Conn, error) {
	c.gone = true
	c.m.calls.forget(c)
}

// Data implements netloop.Handler.
func (c *statusConn) Data(conn *netloop.Conn) {
	for !c.gone {
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
			c.m.dispatch(request, replyTo{conn: c, id: request.ID})
		}
	}
}

// replyTo names the call that an answer belongs to.
type replyTo struct {
	conn *statusConn
	id   jsonrpc2.ID
}

func (r replyTo) answer(result any) {
	response, err := jsonrpc2.NewResponse(r.id, result, nil)
	if err != nil {
		r.fail(err)
		return
	}
	r.write(response)
}

func (r replyTo) fail(err error) {
	response := &jsonrpc2.Response{ID: r.id, Error: wireError(err)}
	r.write(response)
}

func (r replyTo) write(response *jsonrpc2.Response) {
	if r.conn.gone || !r.id.IsValid() {
		return
	}
	frame, err := rpc.Append(nil, response)
	if err != nil {
		r.conn.conn.Close()
		return
	}
	r.conn.conn.Write(frame)
}

// ParamsError reports parameters that do not fit the method.
type ParamsError struct {
	Reason string
}

func (e *ParamsError) Error() string {
	return "invalid parameters: " + e.Reason
}

// wireError converts the errors of store and member to JSON-RPC errors.
func wireError(err error) error {
	var term *store.TermError
	var role *store.RoleError
	var params *ParamsError
	switch {
	case errors.As(err, &term):
		return termError(term)
	case errors.As(err, &role):
		return jsonrpc2.NewError(CodeWrongRole, err.Error())
	case errors.As(err, &params):
		return jsonrpc2.NewError(codeInvalidParams, err.Error())
	}
	return err
}

func termError(e *store.TermError) error {
	err := jsonrpc2.NewError(CodeTermTooLow, e.Error())
	data, _ := json.Marshal(map[string]any{"data": map[string]any{"term": e.Accepted}})
	// The library's error type is not exported, but its fields are.
	_ = json.Unmarshal(data, err)
	return err
}

package rpc

import (
	"encoding/json"
	"strconv"
	"time"

	"golang.org/x/exp/jsonrpc2"
)

// Command is an item of the rpc duty's ring.
type Command interface {
	rpcCommand()
}

// Call is the command to call a method at an address.
type Call struct {
	// Tag is returned unchanged in the Result.
	Tag any
	// Address is IP:port.
	Address string
	Method  string
	// Params is encoded to JSON; nil for none.
	Params any
	// Timeout bounds the call, counted from when it is popped from the ring.
	Timeout time.Duration
	// Transfer is how much longer the call may take while responses arrive on its
	// connection, for calls with large responses.
	Transfer time.Duration
}

// Reply is the command to answer a Request. A reply to a closed connection is dropped.
type Reply struct {
	Conn ConnID
	ID   RequestID
	// Result is encoded to JSON, unless Error is set.
	Result any
	Error  *RemoteError
}

// Stop is the command to end the duty. No request that has not been accepted yet is
// delivered any more. The duty ends once the replies to the accepted ones are sent and
// the peers have closed their connections, or after Config.FlushTimeout. The consumer
// must go on handling events until then.
type Stop struct{}

func (Call) rpcCommand()  {}
func (Reply) rpcCommand() {}
func (Stop) rpcCommand()  {}

// ConnID identifies an incoming connection; it is unique within one run of the duty.
type ConnID uint64

// RequestID identifies an incoming request on its connection. The zero value
// marks a notification, which takes no reply.
type RequestID struct {
	id jsonrpc2.ID
}

// IsNotification reports whether the request takes no reply.
func (r RequestID) IsNotification() bool {
	return !r.id.IsValid()
}

// Event is an output of the rpc duty: a Result or a Request.
type Event interface {
	rpcEvent()
}

// Result is the outcome of a Call. Each call has exactly one, unless it is dropped
// because the consumer stays full.
type Result struct {
	Tag any
	// Raw is the JSON result when Err is nil.
	Raw json.RawMessage
	// Err is a *RefusedError, *TimeoutError, *ClosedError, *NotAcceptedError,
	// *OverloadError, *EncodeError or *RemoteError.
	Err error
	// SentAt is when the request was sent or the connection was attempted,
	// CompletedAt when the result was known.
	SentAt      time.Time
	CompletedAt time.Time
}

// Request is an incoming request or notification of a peer.
type Request struct {
	Conn   ConnID
	ID     RequestID
	Method string
	Params json.RawMessage
	// ReceivedAt is when the request was received, by clock.Now.
	ReceivedAt time.Time
}

func (Result) rpcEvent()  {}
func (Request) rpcEvent() {}

// RefusedError reports that the host refused the connection, which proves that no
// process listens at the address.
type RefusedError struct {
	Address string
}

func (e *RefusedError) Error() string {
	return "connection to " + e.Address + " refused"
}

// TimeoutError reports a call without a response within its timeout.
type TimeoutError struct {
	Address string
	Timeout time.Duration
}

func (e *TimeoutError) Error() string {
	return "no answer from " + e.Address + " within " + e.Timeout.String()
}

// ClosedError reports a connection that was closed before the response arrived.
type ClosedError struct {
	Address string
	Reason  string
}

func (e *ClosedError) Error() string {
	return "connection to " + e.Address + " closed: " + e.Reason
}

// NotAcceptedError reports a call that the other side has certainly not executed, because
// it stopped before it accepted the call.
type NotAcceptedError struct {
	Address string
}

func (e *NotAcceptedError) Error() string {
	return e.Address + " is stopping and has not accepted the call"
}

// OverloadError reports a call that was not sent because MaxCallsPerConn or MaxOutputBytes
// was reached.
type OverloadError struct {
	Address string
}

func (e *OverloadError) Error() string {
	return "too many unanswered calls or unsent bytes to " + e.Address
}

// EncodeError reports parameters or a result that cannot be encoded.
type EncodeError struct {
	Method string
	Reason string
}

func (e *EncodeError) Error() string {
	return "cannot encode parameters of " + e.Method + ": " + e.Reason
}

// RemoteError is a JSON-RPC error that the other side returned.
type RemoteError struct {
	Code    int64  `json:"code"`
	Message string `json:"message"`
	// Data is optional JSON with details.
	Data json.RawMessage `json:"data,omitempty"`
}

func (e *RemoteError) Error() string {
	return "remote error " + strconv.FormatInt(e.Code, 10) + ": " + e.Message
}

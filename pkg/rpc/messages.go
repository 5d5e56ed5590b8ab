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

// Call asks for a method call at an address.
type Call struct {
	// Tag comes back in the Result.
	Tag any
	// Address is IP:port.
	Address string
	Method  string
	// Params is encoded to JSON; nil for none.
	Params any
	// Timeout bounds the call from the time it is taken from the ring.
	Timeout time.Duration
}

// Reply answers a Request. A reply to a closed connection is dropped.
type Reply struct {
	Conn ConnID
	ID   RequestID
	// Result is encoded to JSON, unless Error is set.
	Result any
	Error  *RemoteError
}

// Stop ends the duty after the output is flushed.
type Stop struct{}

func (Call) rpcCommand()  {}
func (Reply) rpcCommand() {}
func (Stop) rpcCommand()  {}

// ConnID identifies an incoming connection within one run.
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

// Event is an output of the rpc duty.
type Event interface {
	rpcEvent()
}

// Result answers a Call; there is exactly one for each.
type Result struct {
	Tag any
	// Raw is the JSON result when Err is nil.
	Raw json.RawMessage
	// Err is a *RefusedError, *TimeoutError, *ClosedError, *OverloadError,
	// *EncodeError or *RemoteError.
	Err error
	// Asked is when the request was written or the connection was tried,
	// Answered when the result was known.
	Asked    time.Time
	Answered time.Time
}

// Request is an incoming request of a peer.
type Request struct {
	Conn   ConnID
	ID     RequestID
	Method string
	Params json.RawMessage
}

func (Result) rpcEvent()  {}
func (Request) rpcEvent() {}

// RefusedError reports that the host refused the connection, which proves that
// no process listens at the address.
type RefusedError struct {
	Address string
}

func (e *RefusedError) Error() string {
	return "connection to " + e.Address + " refused"
}

// TimeoutError reports a call without an answer in time.
type TimeoutError struct {
	Address string
	Timeout time.Duration
}

func (e *TimeoutError) Error() string {
	return "no answer from " + e.Address + " within " + e.Timeout.String()
}

// ClosedError reports a connection that ended before the answer.
type ClosedError struct {
	Address string
	Reason  string
}

func (e *ClosedError) Error() string {
	return "connection to " + e.Address + " closed: " + e.Reason
}

// OverloadError reports a call that was not sent because a bound was reached.
type OverloadError struct {
	Address string
}

func (e *OverloadError) Error() string {
	return "too many calls or bytes wait for " + e.Address
}

// EncodeError reports parameters that cannot be encoded.
type EncodeError struct {
	Method string
	Reason string
}

func (e *EncodeError) Error() string {
	return "cannot encode parameters of " + e.Method + ": " + e.Reason
}

// RemoteError is an error answered by the other side.
type RemoteError struct {
	Code    int64  `json:"code"`
	Message string `json:"message"`
	// Data is optional JSON with details.
	Data json.RawMessage `json:"data,omitempty"`
}

func (e *RemoteError) Error() string {
	return "remote error " + strconv.FormatInt(e.Code, 10) + ": " + e.Message
}

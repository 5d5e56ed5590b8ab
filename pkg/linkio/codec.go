// Package linkio owns the sockets of callers and targets for protocols whose
// requests and answers are complete messages. The protocol itself is a codec
// behind an interface; this package handles the connections, the order of their
// events and the rings to the session duty.
package linkio

import (
	"fmt"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/reactor"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire/outbox"
)

// CallerMessage is a decoded message of a caller.
type CallerMessage interface {
	callerMessage()
}

// Startup is the message that opens a session.
type Startup struct {
	// Entry is the entry that the caller connects to.
	Entry core.EntryName
	// Key identifies the access key that the caller presented; empty if there was none.
	Key core.KeyID
}

// Request is a request that the session duty runs.
type Request struct {
	Request *session.Request
}

// LocalReply is a message to which the codec replies itself, because it changes
// only state that the proxy keeps for the session.
type LocalReply struct {
	Reply []byte
}

// Quit is the message that ends the session.
type Quit struct{}

func (Startup) callerMessage()    {}
func (Request) callerMessage()    {}
func (LocalReply) callerMessage() {}
func (Quit) callerMessage()       {}

// ViolationError reports input that is not a valid message of the protocol.
type ViolationError struct {
	Reason string
	// Reply is sent before the connection is closed; it may be empty.
	Reply []byte
}

func (e *ViolationError) Error() string {
	return "protocol violation: " + e.Reason
}

// CallerCodec decodes and encodes the messages of one caller connection.
type CallerCodec interface {
	// Decode returns the first message of b and its length, or length 0 if it
	// is not complete. txStatus is the session's transaction status. It returns
	// a *ViolationError for invalid input.
	Decode(b []byte, txStatus byte) (CallerMessage, int, error)
	// StartupReply encodes the answer to an admitted startup.
	StartupReply() []byte
	// ResultEnd encodes the end of an answer whose result frames were sent before.
	ResultEnd(txStatus byte) []byte
	// EmptyResult encodes the complete answer to a request that has no result.
	EmptyResult(txStatus byte) []byte
	// RequestError encodes the complete answer to a refused request.
	RequestError(r *core.Refusal, txStatus byte) []byte
	// SessionError encodes the error that is sent before the session is closed.
	SessionError(r *core.Refusal) []byte
}

// TargetMessage is a decoded message of a target.
type TargetMessage interface {
	targetMessage()
}

// Accepted is a target's message that completes the startup of a connection.
type Accepted struct{}

// Refused is a target's message that rejects the startup of a connection, which the
// target closes next.
type Refused struct {
	Reason string
	// ConnectionLimit is set when the reason is the target's connection limit.
	ConnectionLimit bool
}

// Completed is a target's message that completes a request or a probe. The codec
// leaves Ready.Target unset.
type Completed struct {
	Ready session.TargetReady
	// Close is set if the connection cannot be used for another request.
	Close bool
}

// Continue is a message that completes nothing. Send holds bytes that the codec
// sends in response; it may be empty.
type Continue struct {
	Send []byte
}

func (Accepted) targetMessage()  {}
func (Refused) targetMessage()   {}
func (Completed) targetMessage() {}
func (Continue) targetMessage()  {}

// TargetCodec decodes and encodes the messages of one connection to a target.
type TargetCodec interface {
	// Start encodes the startup message.
	Start(open session.TargetOpen) []byte
	// Send encodes a request and the messages that must precede it.
	Send(send session.TargetSend) []byte
	// RequestSent reports whether a part of the last request may have reached the
	// target, as opposed to the messages that precede it.
	RequestSent() bool
	// Probe encodes a request by which the target proves that it is the primary.
	Probe() []byte
	// Decode returns the first message of b and its length, or length 0 if it
	// is not complete. It returns a *ViolationError for invalid input.
	Decode(b []byte) (TargetMessage, int, error)
	// Quit encodes the message that ends an idle connection.
	Quit() []byte
}

// ConfigError reports a configuration with which a duty cannot start. Err is the
// underlying error; it may be nil.
type ConfigError struct {
	Reason string
	Err    error
}

func (e *ConfigError) Error() string {
	if e.Err == nil {
		return "linkio: " + e.Reason
	}
	return fmt.Sprintf("linkio: %s: %v", e.Reason, e.Err)
}

func (e *ConfigError) Unwrap() error {
	return e.Err
}

// newReactor returns the event loop of a duty. Its clock keeps running while the
// machine is suspended. It returns a *ConfigError when the loop cannot be created.
func newReactor[In any](capacity int, to outbox.SessionRing, handle func(In)) (*reactor.Reactor[In], error) {
	r, err := reactor.New(reactor.Config[In]{Capacity: capacity, Session: to, Handle: handle, Now: clock.Now})
	if err != nil {
		return nil, &ConfigError{Reason: "cannot create the event loop", Err: err}
	}
	return r, nil
}

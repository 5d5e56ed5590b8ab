// Package linkio owns the sockets of callers and targets for protocols whose
// requests and answers are complete messages. The protocol itself is a codec
// behind an interface; this package knows connections, their order of events
// and the rings to the session duty.
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

// Startup opens a session.
type Startup struct {
	Entry core.EntryName
	// Key identifies the presented key; empty if there was none.
	Key core.KeyID
}

// Request is work for session.
type Request struct {
	Request *session.Request
}

// Local is a message that the codec has answered by itself, because it changes
// only what the session keeps.
type Local struct {
	Answer []byte
}

// Quit ends the session.
type Quit struct{}

func (Startup) callerMessage() {}
func (Request) callerMessage() {}
func (Local) callerMessage()   {}
func (Quit) callerMessage()    {}

// ViolationError reports input that is not a message of the protocol.
type ViolationError struct {
	Reason string
	// Answer is sent before the connection closes.
	Answer []byte
}

func (e *ViolationError) Error() string {
	return "protocol violation: " + e.Reason
}

// CallerCodec translates the messages of one caller connection.
type CallerCodec interface {
	// Decode returns the first message of b and its length, or length 0 if it
	// is not complete. txStatus is the session's transaction status. It returns
	// a *ViolationError for input that cannot be understood.
	Decode(b []byte, txStatus byte) (CallerMessage, int, error)
	// Greet encodes the answer to an admitted startup.
	Greet() []byte
	// Finish encodes the end of an answer whose frames were sent.
	Finish(txStatus byte) []byte
	// Reply encodes the whole answer to a request that has no result.
	Reply(txStatus byte) []byte
	// Fail encodes the whole answer to a refused request.
	Fail(r *core.Refusal, txStatus byte) []byte
	// Refuse encodes the error that ends a session.
	Refuse(r *core.Refusal) []byte
}

// TargetMessage is a decoded message of a target.
type TargetMessage interface {
	targetMessage()
}

// Accepted completes the startup of a connection to a target.
type Accepted struct{}

// Refused reports that the target closes a connection that it did not accept.
type Refused struct {
	Reason string
	// Full is set when the target has too many connections.
	Full bool
}

// Answered completes a request or a probe. The codec leaves Target unset.
type Answered struct {
	Ready session.TargetReady
}

// Progress is a message after which the codec has more to send, or nothing to
// report.
type Progress struct {
	Send []byte
}

func (Accepted) targetMessage() {}
func (Refused) targetMessage()  {}
func (Answered) targetMessage() {}
func (Progress) targetMessage() {}

// TargetCodec translates the messages of one connection to a target.
type TargetCodec interface {
	// Start encodes the startup message.
	Start(open session.TargetOpen) []byte
	// Send encodes a request, with what has to precede it.
	Send(send session.TargetSend) []byte
	// Probe encodes a question for proof that the target is the primary.
	Probe() []byte
	// Decode returns the first message of b and its length, or length 0 if it
	// is not complete. It returns a *ViolationError for other input.
	Decode(b []byte) (TargetMessage, int, error)
	// Quit encodes the end of an idle connection.
	Quit() []byte
}

// ConfigError reports a configuration that a duty cannot use.
type ConfigError struct {
	Reason string
	Err    error
}

func (e *ConfigError) Error() string {
	if e.Err == nil {
		return "link duty: " + e.Reason
	}
	return fmt.Sprintf("link duty: %s: %v", e.Reason, e.Err)
}

func (e *ConfigError) Unwrap() error {
	return e.Err
}

// newReactor returns the loop of a duty, on the clock that runs through
// suspensions.
func newReactor[In any](capacity int, to outbox.SessionRing, handle func(In)) (*reactor.Reactor[In], error) {
	r, err := reactor.New(reactor.Config[In]{Capacity: capacity, Session: to, Handle: handle, Now: clock.Now})
	if err != nil {
		return nil, &ConfigError{Reason: "cannot create the event loop", Err: err}
	}
	return r, nil
}

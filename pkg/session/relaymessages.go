package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// The messages between the instance of a caller and the home of its account.

// RelayID matches a home's response to its request.
type RelayID struct {
	Caller   CallerID
	Sequence uint64
}

// RelayRequest is a request that a home runs for a caller of this instance.
type RelayRequest struct {
	ID      RelayID
	Address PeerAddress
	Entry   core.EntryName
	Key     core.KeyID
	// Floor is the log position that the session's reads must see.
	Floor core.Position
	// Version is the configuration version with which the request was accepted.
	Version uint64
	// OutsideTransaction is set for a request outside a transaction. Otherwise
	// TransactionSequence is the sequence number of the request that began the
	// transaction. FirstInTransaction and ReadOnly are set for the first request
	// of a transaction, which carries the deferred BEGIN.
	OutsideTransaction  bool
	FirstInTransaction  bool
	ReadOnly            bool
	TransactionSequence uint64
	// Timeout is the time left until the request's deadline. ShortDeadline is set if that
	// is earlier than the time limit of the entry, which the home would apply.
	Timeout       time.Duration
	ShortDeadline bool
	Request       *Request
}

// RelayEnd tells a home that a session has ended or has left its transaction.
type RelayEnd struct {
	Address PeerAddress
	Caller  CallerID
	// Sequence is the sequence number of the caller's last request. The home does not
	// end later requests, which may overtake the message on another connection.
	Sequence uint64
}

// PeerProbe asks an instance to confirm that it responds.
type PeerProbe struct {
	Address PeerAddress
}

// PeerCommand is an item of the ring to the duty that exchanges messages with
// other instances.
type PeerCommand interface {
	peerCommand()
}

// RelayResult is a home's response to a RelayRequest.
type RelayResult struct {
	ID       RelayID
	Address  PeerAddress
	Response RelayResponse
}

// RelayLost reports a RelayRequest that gets no response.
type RelayLost struct {
	ID      RelayID
	Address PeerAddress
	// Unsent is set when the request certainly did not reach the home.
	Unsent bool
	// Refused is set when the home's host refused the connection.
	Refused bool
}

// PeerProbeReply is the reply to a PeerProbe.
type PeerProbeReply struct {
	Address PeerAddress
}

func (RelayRequest) peerCommand()  {}
func (RelayEnd) peerCommand()      {}
func (PeerProbe) peerCommand()     {}
func (RelayResponse) peerCommand() {}

func (HomesUpdate) sessionInput()    {}
func (RelayResult) sessionInput()    {}
func (RelayLost) sessionInput()      {}
func (PeerProbeReply) sessionInput() {}

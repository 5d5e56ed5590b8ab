package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Remote callers are callers of other instances whose requests run on this
// instance, the home of their account.

// RemoteID identifies a caller of another instance.
type RemoteID struct {
	// Instance identifies one run of the other instance.
	Instance core.InstanceID
	Caller   CallerID
}

// RemoteRequest is a request of a remote caller.
type RemoteRequest struct {
	Caller RemoteID
	// From is the address of the remote caller's instance.
	From PeerAddress
	// ReplyTo identifies the request to the relay; the RelayResponse returns it.
	ReplyTo any
	Entry   core.EntryName
	Key     core.KeyID
	Floor   core.Position
	Version uint64
	// Sequence increases with each request of a remote caller.
	Sequence uint64
	// OutsideTransaction is set for a request outside a transaction. Otherwise
	// TransactionSequence is the sequence number of the request that began the
	// transaction.
	OutsideTransaction  bool
	TransactionSequence uint64
	// FirstInTransaction is set for the first request of a transaction, which
	// carries the deferred BEGIN; ReadOnly is set if the transaction is read-only.
	FirstInTransaction bool
	ReadOnly           bool
	Request            *Request
}

// RemoteClosed reports that a remote caller's session or transaction has ended.
type RemoteClosed struct {
	Caller RemoteID
	// Sequence is the sequence number of the last request that it ends; zero ends
	// every request.
	Sequence uint64
}

func (RemoteRequest) sessionInput() {}
func (RemoteClosed) sessionInput()  {}

// RelayResponse is the response to a RemoteRequest.
type RelayResponse struct {
	// ReplyTo is the value of RemoteRequest.ReplyTo.
	ReplyTo any
	// NotServed is set when this instance does not serve the request, because
	// it is not the home or has another configuration. Nothing was run.
	NotServed bool
	// Version is the version of this instance's configuration, set with
	// NotServed if the versions differ.
	Version  uint64
	Frames   []byte
	TxStatus byte
	// Position is the log position of a commit, zero if there is none.
	Position core.Position
	// PositionProof is the newest position proof that the home has.
	PositionProof PositionProof
	ErrorCode     string
	Refusal       *core.Refusal
	// Closing is set when the session has to end.
	Closing bool
}

// remoteCaller is the state of a remote caller.
type remoteCaller struct {
	id      RemoteID
	replyTo any
	// frames holds the parts of the incomplete response.
	frames   []byte
	lastSeen time.Time
	// lastSequence is the sequence number of the newest request, txSequence
	// that of the newest one outside a transaction.
	lastSequence uint64
	txSequence   uint64
}

const (
	// firstRemote is greater than every ID that the callerio duty assigns to a
	// caller.
	firstRemote CallerID = 1 << 62
	// remoteIdle is how long a remote caller without a transaction is kept
	// without a request, and how long its end is remembered.
	remoteIdle = time.Minute
	// remoteIdleMargin is how much longer than its own callers' transactions those
	// of remote callers may be idle: their instances end them, and count from the
	// time at which their callers got the last answer.
	remoteIdleMargin = time.Second
)

// remoteEnd is the end of a remote caller's session or transaction.
type remoteEnd struct {
	sequence uint64
	at       time.Time
}

// remoteRequest runs a remote caller's request, or responds that it does not.
func (e *Engine) remoteRequest(in RemoteRequest) {
	c := e.callers[e.remotes[in.Caller]]
	if c != nil && in.Sequence <= c.remote.lastSequence {
		// A late request that its instance has already given up.
		return
	}
	if c != nil && in.OutsideTransaction && (c.inTransaction() || c.stmt.active) {
		// The other instance has already given the transaction up.
		e.remoteClosed(RemoteClosed{Caller: in.Caller})
		c = nil
	}
	if !in.OutsideTransaction && (c == nil || !c.inTransaction() || c.remote.txSequence != in.TransactionSequence) {
		refusal := rolledBack("the account's home does not have it any more")
		e.outbox.out.Peer(RelayResponse{ReplyTo: in.ReplyTo, Refusal: refusal, TxStatus: txIdle})
		return
	}
	if in.Sequence <= e.remoteEnds[in.Caller].sequence {
		// Its own end has overtaken the request on another connection.
		e.outbox.out.Peer(RelayResponse{ReplyTo: in.ReplyTo, NotServed: true})
		return
	}
	if in.OutsideTransaction && (in.Version != e.operatorVersion() || e.stopping) {
		e.newerVersionAt(in.From, in.Version)
		e.outbox.out.Peer(RelayResponse{ReplyTo: in.ReplyTo, NotServed: true, Version: e.operatorVersion()})
		return
	}
	if c == nil {
		if c = e.admitRemote(in); c == nil {
			return
		}
	}
	if in.OutsideTransaction && !c.account.unlimited && !e.homes[c.account.name].Local && !c.isForwarded() {
		e.outbox.out.Peer(RelayResponse{ReplyTo: in.ReplyTo, NotServed: true})
		return
	}
	c.remote.replyTo = in.ReplyTo
	c.remote.frames = nil
	c.remote.lastSeen = e.now
	c.remote.lastSequence = in.Sequence
	if in.OutsideTransaction {
		c.remote.txSequence = in.Sequence
	}
	if in.Floor.After(c.floor) {
		c.floor = in.Floor
	}
	if in.FirstInTransaction {
		c.deferredBegin = &deferredBegin{readOnly: in.ReadOnly}
	}
	c.nextRequest = in.Request
	e.origins.RecordMessage(in.Caller.Instance, e.now)
	c.fire(e.charts.onCaller.request)
}

// admitRemote admits a new remote caller, or responds why it is refused and
// returns nil.
func (e *Engine) admitRemote(in RemoteRequest) *caller {
	e.lastRemote++
	id := firstRemote + e.lastRemote
	e.admittingRemote = &remoteCaller{id: in.Caller, replyTo: in.ReplyTo, lastSeen: e.now}
	e.callerOpened(CallerOpened{Caller: id, Entry: in.Entry, Key: in.Key, InitialPosition: in.Floor})
	e.admittingRemote = nil
	c := e.callers[id]
	if c != nil {
		if len(e.remotes) == 0 {
			e.timers.Arm(&e.remoteSweepTimer.item, e.now.Add(remoteIdle))
		}
		e.remotes[in.Caller] = id
	}
	return c
}

// remoteClosed ends the session of a remote caller, unless a later request has begun.
func (e *Engine) remoteClosed(in RemoteClosed) {
	if in.Sequence > e.remoteEnds[in.Caller].sequence {
		e.remoteEnds[in.Caller] = remoteEnd{sequence: in.Sequence, at: e.now}
	}
	id, known := e.remotes[in.Caller]
	if !known {
		return
	}
	if c := e.callers[id]; c != nil && in.Sequence != 0 && in.Sequence < c.remote.lastSequence {
		return
	}
	delete(e.remotes, in.Caller)
	c := e.callers[id]
	e.callerClosed(CallerClosed{Caller: id})
	if c != nil {
		e.answerAbandoned(c.remote)
	}
}

// answerAbandoned responds to the request that its caller's instance has given up, if
// there is one. That instance drops the response; it ends the call between the two.
func (e *Engine) answerAbandoned(r *remoteCaller) {
	if r.replyTo == nil {
		return
	}
	refusal := core.Uncertain("the caller's instance has given the request up")
	e.outbox.out.Peer(RelayResponse{ReplyTo: r.replyTo, Refusal: refusal, TxStatus: txIdle})
	r.replyTo = nil
}

// dropIdleRemotes drops remote callers that have been idle for longer than
// remoteIdle, and forgets ends that are older.
func (e *Engine) dropIdleRemotes() {
	for remote, end := range e.remoteEnds {
		if e.now.Sub(end.at) > remoteIdle {
			delete(e.remoteEnds, remote)
		}
	}
	for remote, id := range e.remotes {
		c := e.callers[id]
		if c == nil {
			delete(e.remotes, remote)
			continue
		}
		if !c.inTransaction() && !c.stmt.active && e.now.Sub(c.remote.lastSeen) > remoteIdle {
			delete(e.remotes, remote)
			c.fire(e.charts.onCaller.closed)
		}
	}
	e.timers.Arm(&e.remoteSweepTimer.item, e.now.Add(remoteIdle))
}

// buildResponse converts a command for a remote caller into the response to
// its request. It returns false while the response is incomplete and for commands
// that are no response.
func (r *remoteCaller) buildResponse(command CallerCommand) (RelayResponse, bool) {
	response := RelayResponse{ReplyTo: r.replyTo, TxStatus: txIdle}
	switch m := command.(type) {
	case CallerWrite:
		r.frames = append(r.frames, m.Frames...)
		if !m.Done {
			return response, false
		}
		response.Frames, response.TxStatus, response.Position = r.frames, m.TxStatus, m.Position
	case CallerError:
		response.Refusal, response.TxStatus = m.Refusal, m.TxStatus
	case CallerReply:
		response.TxStatus = m.TxStatus
	case CallerClose:
		response.Refusal, response.Closing = m.Refusal, true
	default:
		return response, false
	}
	r.replyTo = nil
	return response, response.ReplyTo != nil
}

// toCaller sends a command to a caller of this instance, or the response to
// a remote caller's instance.
func (e *Engine) toCaller(id CallerID, command CallerCommand) {
	if id < firstRemote {
		e.outbox.toCaller(command)
		return
	}
	remote := e.admittingRemote
	if c := e.callers[id]; c != nil {
		remote = c.remote
	}
	if remote == nil {
		return
	}
	if response, complete := remote.buildResponse(command); complete {
		if c := e.callers[id]; c != nil {
			response.PositionProof = c.db.positionProof()
		}
		e.outbox.out.Peer(response)
	}
}

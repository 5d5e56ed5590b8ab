package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// A caller's requests run at the home of its account, another instance, while
// that can be reached. This file is the caller's side; remotecallers.go is the
// home's, and homepeer.go tells whether a home can be reached.

// PeerAddress is where an instance takes messages of other instances, IP:port.
type PeerAddress string

// Home is the home of an account.
type Home struct {
	// Here is set if this instance is the home.
	Here bool
	// Address is the home's.
	Address PeerAddress
}

// HomesInForce publishes the homes of the accounts. Accounts without a home are
// served by every instance from its own share.
type HomesInForce struct {
	Homes map[core.AccountName]Home
	// Open are the homes of callers without an account, by the database of their
	// entry. Callers of other databases are served by every instance.
	Open map[core.DatabaseName]Home
}

// RelayID pairs a request to a home with its answer.
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
	// Floor is the position that the session's reads must see.
	Floor core.Position
	// Version is the configuration with which the request was accepted.
	Version uint64
	// Begins is set for a request outside a transaction; Transaction is otherwise
	// the sequence of the request that began it. Opens and ReadOnly are set for
	// the first request of a transaction.
	Begins      bool
	Opens       bool
	ReadOnly    bool
	Transaction uint64
	// Within is how long the request may still take.
	Within  time.Duration
	Request *Request
}

// RelayEnd tells a home that a session has gone or has left its transaction.
type RelayEnd struct {
	Address PeerAddress
	Caller  CallerID
}

// PeerProbe asks an instance for a sign of life.
type PeerProbe struct {
	Address PeerAddress
}

// PeerCommand is an item of the ring to the duty that talks to other instances.
type PeerCommand interface {
	peerCommand()
}

func (RelayRequest) peerCommand() {}

func (RelayEnd) peerCommand() {}

func (PeerProbe) peerCommand() {}

func (RelayAnswer) peerCommand() {}

// RelayResult is a home's answer to a RelayRequest.
type RelayResult struct {
	ID      RelayID
	Address PeerAddress
	Answer  RelayAnswer
}

// RelayLost reports a RelayRequest without an answer.
type RelayLost struct {
	ID      RelayID
	Address PeerAddress
	// Unsent is set when the request certainly did not reach the home.
	Unsent bool
	// Refused is set when the home's host refused the connection.
	Refused bool
}

// PeerAlive answers a PeerProbe.
type PeerAlive struct {
	Address PeerAddress
}

func (HomesInForce) sessionInput() {}

func (RelayResult) sessionInput() {}

func (RelayLost) sessionInput() {}

func (PeerAlive) sessionInput() {}

// PeerRefused reports that the host of an instance refuses connections, which
// proves that its process is dead.
type PeerRefused struct {
	Address PeerAddress
}

func (PeerRefused) controlReport() {}

// isRelayed reports a request that another instance runs: it is part of a
// transaction there, or begins something and the home is usable.
func (c *caller) isRelayed(r *Request) bool {
	if c.remote != nil || r.Verdict == nil {
		return false
	}
	if c.inTransaction() {
		return c.relayedTo != nil
	}
	if r.Verdict.Kind == KindEnd && c.stmt.deferredBegin == nil {
		return false
	}
	home, known := c.home()
	if !known || home.Here {
		return false
	}
	p := c.e.peer(home.Address)
	p.recordUse()
	if p.lost {
		return false
	}
	c.relayedTo = p
	return true
}

// home returns where the caller's requests are to run, and false if every
// instance runs them.
func (c *caller) home() (Home, bool) {
	if c.account.unlimited {
		home, known := c.e.openHomes[c.db.name]
		return home, known
	}
	home, known := c.e.homes[c.account.name]
	return home, known
}

// sendRelay hands the request to the home.
func (s *statement) sendRelay() {
	c := s.c
	e := c.e
	p := c.relayedTo
	p.recordUse()
	p.relayed[c.id] = s
	s.reason = "the account's home runs it"
	s.sentAt = e.now
	s.unsent = true
	request := RelayRequest{
		ID: RelayID{Caller: c.id, Sequence: s.sequence}, Address: p.address,
		Entry: c.entry.definition.Name, Key: c.key, Floor: c.floor, Version: e.operatorVersion(),
		Begins: !c.inTransaction(), Transaction: c.relayTxSequence,
		Within: s.deadline.Sub(e.now), Request: s.request,
	}
	if s.deferredBegin != nil {
		request.Opens, request.ReadOnly = true, s.deferredBegin.readOnly
	}
	s.deadline = s.deadline.Add(relayMargin)
	s.arm()
	if e.outbox.out.Peer(request) {
		s.unsent = false
		p.lastSent = e.now
		return
	}
	delete(p.relayed, c.id)
	s.fire(e.charts.onStatement.relayLost)
}

func (e *Engine) operatorVersion() uint64 {
	if e.catalogue == nil {
		return 0
	}
	return e.catalogue.OperatorVersion
}

// NewerVersion reports that another instance has a newer configuration.
type NewerVersion struct {
	Address PeerAddress
	Version uint64
}

func (NewerVersion) controlReport() {}

func (e *Engine) newerVersionAt(address PeerAddress, version uint64) {
	if version > e.operatorVersion() {
		e.outbox.out.Control(NewerVersion{Address: address, Version: version})
	}
}

// relayOf returns the statement that an answer of a home is for; nil if it is
// over.
func (e *Engine) takeRelayed(id RelayID, address PeerAddress) *statement {
	c := e.callers[id.Caller]
	if c == nil || !c.stmt.active || c.stmt.sequence != id.Sequence {
		return nil
	}
	p := e.peers[address]
	if p == nil || p.relayed[id.Caller] != &c.stmt {
		return nil
	}
	delete(p.relayed, id.Caller)
	return &c.stmt
}

func (e *Engine) relayResult(in RelayResult) {
	e.peerAlive(in.Address)
	s := e.takeRelayed(in.ID, in.Address)
	if s == nil {
		return
	}
	a := in.Answer
	s.c.db.observeProof(a.Proof, s.sentAt)
	if a.Elsewhere {
		e.newerVersionAt(in.Address, a.Version)
		s.unsent = true
		s.fire(e.charts.onStatement.relayLost)
		return
	}
	s.relayAnswer = a
	if a.Refusal != nil {
		s.fire(e.charts.onStatement.relayRefused)
		return
	}
	s.fire(e.charts.onStatement.relayAnswered)
}

func (e *Engine) relayLost(in RelayLost) {
	if s := e.takeRelayed(in.ID, in.Address); s != nil {
		s.unsent = in.Unsent
		s.fire(e.charts.onStatement.relayLost)
	}
	if in.Refused {
		e.outbox.out.Control(PeerRefused{Address: in.Address})
		p := e.peer(in.Address)
		p.refusedConnection = true
		p.markLost()
	}
}

// finishRelay gives the caller the home's answer.
func (s *statement) finishRelay() {
	c := s.c
	a := &s.relayAnswer
	if !s.startedInTx {
		c.account.homeUsage.add(c.e.now)
	}
	c.applyRelayTxStatus(a.TxStatus)
	if a.Position.After(c.floor) {
		c.floor = a.Position
	}
	c.floorKnown = true
	s.outcome = "answered"
	s.errorCode = a.ErrorState
	c.e.toCaller(c.id, CallerWrite{Caller: c.id, Frames: a.Frames, Done: true, TxStatus: c.txStatus})
	if a.Closing {
		c.endReason = core.NotRun(core.ReasonStopping, "the account's home ended the session")
	}
}

// settleRelay applies the transaction status of the home.
func (c *caller) applyRelayTxStatus(status byte) {
	if !c.inTransaction() {
		c.relayTxSequence = c.stmt.sequence
	}
	c.txStatus = status
	if status == txIdle {
		c.relayedTo = nil
	}
}

// refuseRelay passes the home's refusal on; the home has ended the transaction.
func (s *statement) refuseRelay() {
	c := s.c
	c.applyRelayTxStatus(txIdle)
	s.refuse(s.relayAnswer.Refusal)
}

// endRelay leaves the home, where the request or the transaction may still be.
func (c *caller) endRelay() {
	p := c.relayedTo
	if p == nil {
		return
	}
	delete(p.relayed, c.id)
	c.e.outbox.out.Peer(RelayEnd{Address: p.address, Caller: c.id})
	c.relayedTo = nil
	c.txStatus = txIdle
}

// admitHere runs the statement at this instance after its home was lost.
func (s *statement) admitLocally() {
	c := s.c
	c.relayedTo = nil
	c.txStatus = txIdle
	if !s.unsent {
		s.mayHaveRun = !s.changesNothing()
	}
	s.retries++
	if c.e.tryAdmit(c) {
		s.fire(c.e.charts.onStatement.admitted)
		return
	}
	s.fire(c.e.charts.onStatement.denied)
}

// mayRunHere reports a statement whose home was lost and that may be repeated:
// nothing of it was sent, or it changes nothing.
func (s *statement) mayRunLocally() bool {
	if s.c.inTransaction() || s.c.e.now.After(s.deadline) {
		return false
	}
	return s.unsent || s.changesNothing()
}

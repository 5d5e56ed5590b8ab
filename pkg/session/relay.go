package session

import (
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// A caller's requests run at the home of its account, another instance, while
// that can be reached. This file is the caller's side; remotecallers.go is the
// home's side, and homepeer.go determines whether a home can be reached.

// PeerAddress is the address (IP:port) at which an instance receives messages
// of other instances.
type PeerAddress string

// Home is the home of an account: the instance that admits and runs its
// callers' requests.
type Home struct {
	// Local is set if the home is this instance.
	Local bool
	// Address is the address of the home; not used if Local is set.
	Address PeerAddress
}

// HomesUpdate publishes the current homes of the accounts. Accounts without a
// home are served by every instance from its own share.
type HomesUpdate struct {
	Homes map[core.AccountName]Home
	// Anonymous holds the homes of anonymous callers, by the database of their
	// entry. Anonymous callers of other databases are served by every instance.
	Anonymous map[core.DatabaseName]Home
}

// PeerConnectionRefused reports that the host of an instance refuses
// connections, which proves that the instance's process has ended.
type PeerConnectionRefused struct {
	Address PeerAddress
}

func (PeerConnectionRefused) controlReport() {}

// isRelayed reports whether another instance runs the request: it belongs to a
// transaction there, or it is outside a transaction and the home can be
// reached.
func (c *caller) isRelayed(r *Request) bool {
	if r.Classification == nil {
		return false
	}
	if c.inTransaction() {
		return c.relayedTo != nil
	}
	if r.Classification.Kind == KindEnd && c.stmt.deferredBegin == nil {
		return false
	}
	home, known := c.home()
	if !known || home.Local || c.remote != nil && !c.isForwarded() {
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

// home returns the home that runs the caller's requests, and false if every
// instance runs them.
func (c *caller) home() (Home, bool) {
	if c.account.unlimited {
		home, known := c.e.anonymousHomes[c.db.name]
		return home, known
	}
	home, known := c.e.homes[c.account.name]
	return home, known
}

// sendRelay sends the request to the home.
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
		OutsideTransaction: !c.inTransaction(), TransactionSequence: c.relayTxSequence,
		Timeout: s.deadline.Sub(e.now), ShortDeadline: s.deadline.Before(s.requestDeadline()), Request: s.request,
	}
	if s.deferredBegin != nil {
		request.FirstInTransaction, request.ReadOnly = true, s.deferredBegin.readOnly
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

// operatorVersion returns the version of the operator's configuration, 0 before
// the first catalogue.
func (e *Engine) operatorVersion() uint64 {
	if e.catalogue == nil {
		return 0
	}
	return e.catalogue.OperatorVersion
}

// NewerVersion reports that another instance has a newer version of the
// configuration.
type NewerVersion struct {
	Address PeerAddress
	Version uint64
}

func (NewerVersion) controlReport() {}

// newerVersionAt reports the version of the instance at the address to control
// if it is newer than the version of this instance.
func (e *Engine) newerVersionAt(address PeerAddress, version uint64) {
	if version > e.operatorVersion() {
		e.outbox.out.Control(NewerVersion{Address: address, Version: version})
	}
}

// takeRelayed removes and returns the relayed statement that a home's response
// belongs to; nil if it has ended.
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

// relayResult handles a home's response.
func (e *Engine) relayResult(in RelayResult) {
	if p := e.peers[in.Address]; p != nil {
		p.recordResponse()
	}
	s := e.takeRelayed(in.ID, in.Address)
	if s == nil {
		return
	}
	response := in.Response
	s.c.db.observePositionProof(response.PositionProof, s.sentAt)
	if response.NotServed {
		e.newerVersionAt(in.Address, response.Version)
		s.unsent = true
		s.fire(e.charts.onStatement.relayLost)
		return
	}
	s.relayResponse = response
	if response.Refusal != nil {
		s.fire(e.charts.onStatement.relayRefused)
		return
	}
	s.fire(e.charts.onStatement.relayAnswered)
}

// relayLost handles a request that gets no response. A refused connection marks
// the home as lost. It says nothing about requests on an open connection: a
// stopping home still answers those that it has accepted, and the end of their
// connection is reported for each of them.
func (e *Engine) relayLost(in RelayLost) {
	if s := e.takeRelayed(in.ID, in.Address); s != nil {
		s.unsent = in.Unsent
		s.fire(e.charts.onStatement.relayLost)
	}
	if in.Refused {
		e.outbox.out.Control(PeerConnectionRefused{Address: in.Address})
		p := e.peer(in.Address)
		p.refusedConnection = true
		p.markLost()
	}
}

// finishRelay sends the home's response to the caller.
func (s *statement) finishRelay() {
	c := s.c
	response := &s.relayResponse
	if !s.startedInTx {
		c.account.homeUsage.Add(c.e.now)
	}
	c.applyRelayTxStatus(response.TxStatus)
	if response.Position.After(c.floor) {
		c.floor = response.Position
	}
	c.floorKnown = true
	s.outcome = "answered"
	s.errorCode = response.ErrorCode
	write := CallerWrite{Caller: c.id, Frames: response.Frames, Done: true, TxStatus: c.txStatus}
	if c.remote != nil {
		write.Position = response.Position
	}
	c.e.toCaller(c.id, write)
	if response.Closing {
		c.endReason = core.NotRun(core.ReasonStopping, "the account's home ended the session")
	}
}

// applyRelayTxStatus applies the transaction status that the home reported.
func (c *caller) applyRelayTxStatus(status byte) {
	if !c.inTransaction() {
		c.relayTxSequence = c.stmt.sequence
	}
	c.txStatus = status
	if status == txIdle {
		c.relayedTo = nil
	}
}

// refuseRelay passes the home's refusal on to the caller; the home has ended
// the transaction.
func (s *statement) refuseRelay() {
	c := s.c
	c.applyRelayTxStatus(txIdle)
	if s.relayResponse.Refusal.Reason == core.ReasonRateExceeded {
		c.account.limitedAt = c.e.now
	}
	s.refuse(s.relayResponse.Refusal)
}

// endRelay stops using the home for the caller, and tells it to end the request
// or the transaction.
func (c *caller) endRelay() {
	p := c.relayedTo
	if p == nil {
		return
	}
	delete(p.relayed, c.id)
	c.e.outbox.out.Peer(RelayEnd{Address: p.address, Caller: c.id, Sequence: c.stmt.sequence})
	c.relayedTo = nil
	c.txStatus = txIdle
}

// admitLocally runs the statement on this instance after its home was lost.
func (s *statement) admitLocally() {
	c := s.c
	c.relayedTo = nil
	c.txStatus = txIdle
	s.deadline = s.deadline.Add(-relayMargin)
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

// mayRunLocally reports whether a statement whose home was lost may run on this
// instance: nothing of it was sent, or it changes nothing, and the time limit without
// relayMargin has not passed.
func (s *statement) mayRunLocally() bool {
	if s.c.inTransaction() || s.c.e.now.After(s.deadline.Add(-relayMargin)) {
		return false
	}
	return s.unsent || s.changesNothing()
}

package session

// With AsyncReplication the proxy answers BEGIN itself, and the member receives
// it together with the transaction's first statement. That saves a round trip
// to the member and leaves the connection free while the caller pauses.

// deferredBegin is a BEGIN that was answered to the caller and that no member
// has received yet.
type deferredBegin struct {
	// readOnly is set for a transaction that a replica may run.
	readOnly bool
}

// deferBegin answers a BEGIN that can be deferred, and reports whether it did.
func (c *caller) deferBegin(r *Request) bool {
	if !c.e.cfg.AsyncReplication || r.Classification == nil || r.Classification.Kind != KindBegin {
		return false
	}
	if c.inTransaction() || c.deferredBegin != nil {
		return false
	}
	c.deferredBegin = &deferredBegin{readOnly: r.Classification.ReadOnly}
	c.stmt.answerWithoutMember(r.Classification)
	return true
}

// answerDeferredBegin tells the caller that its transaction is open.
func (s *statement) answerDeferredBegin() {
	s.outcome = "answered by the proxy"
	s.c.e.toCaller(s.c.id, CallerReply{Caller: s.c.id, Tag: "BEGIN", TxStatus: txOpen})
}

// endDeferredTransaction answers the ROLLBACK of a transaction that no member
// has begun, and reports whether it did. A COMMIT is sent to a member
// nevertheless, because only a member's answer says that it succeeded.
func (c *caller) endDeferredTransaction(r *Request) bool {
	if c.deferredBegin == nil || r.Classification == nil || r.Classification.Kind != KindEnd || r.Classification.Commit {
		return false
	}
	c.deferredBegin = nil
	c.stmt.answerWithoutMember(r.Classification)
	return true
}

// answerWithoutMember ends the statement with the proxy's own answer to
// transaction control.
func (s *statement) answerWithoutMember(classification *Classification) {
	s.classification = *classification
	s.fire(s.c.e.charts.onStatement.answeredHere)
}

// takeDeferredBegin makes the statement the first of its transaction if the
// caller's BEGIN was deferred.
func (s *statement) takeDeferredBegin() {
	s.deferredBegin = s.c.deferredBegin
	s.c.deferredBegin = nil
}

// answerTransactionControl answers the BEGIN or ROLLBACK of a deferred
// transaction.
func (s *statement) answerTransactionControl() {
	if s.classification.Kind == KindBegin {
		s.answerDeferredBegin()
		return
	}
	s.answerLocally()
}

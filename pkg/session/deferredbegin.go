package session

// With AsyncReplication the beginning of a transaction is answered here, and the
// member gets it together with the first statement. That spares a round trip to
// the member and keeps the connection free while the caller pauses.

// opening is the beginning of a transaction that no member has yet.
type deferredBegin struct {
	// readOnly is set for a transaction that a replica may run.
	readOnly bool
}

// begins answers the beginning of a transaction and reports that it did.
func (c *caller) deferBegin(r *Request) bool {
	if !c.e.cfg.AsyncReplication || r.Verdict == nil || r.Verdict.Kind != KindBegin {
		return false
	}
	if c.inTransaction() || c.deferredBegin != nil {
		return false
	}
	c.deferredBegin = &deferredBegin{readOnly: r.Verdict.ReadOnly}
	c.stmt.answerWithoutMember(r.Verdict)
	return true
}

// answerBegun tells the caller that its transaction is open.
func (s *statement) answerDeferredBegin() {
	s.outcome = "answered by the proxy"
	s.c.e.toCaller(s.c.id, CallerReply{Caller: s.c.id, Tag: "BEGIN", TxStatus: txOpen})
}

// ends answers the end of a transaction that no member has, and reports that it
// did. A commit goes to a member all the same, because only a member's answer
// says that it succeeded.
func (c *caller) endDeferredTransaction(r *Request) bool {
	if c.deferredBegin == nil || r.Verdict == nil || r.Verdict.Kind != KindEnd || r.Verdict.Commit {
		return false
	}
	c.deferredBegin = nil
	c.stmt.answerWithoutMember(r.Verdict)
	return true
}

func (s *statement) answerWithoutMember(v *Verdict) {
	s.classification = *v
	s.fire(s.c.e.charts.onStatement.answeredHere)
}

// open makes the statement the first of the caller's transaction, if it is.
func (s *statement) takeDeferredBegin() {
	s.deferredBegin = s.c.deferredBegin
	s.c.deferredBegin = nil
}

func (s *statement) answerTransactionControl() {
	if s.classification.Kind == KindBegin {
		s.answerDeferredBegin()
		return
	}
	s.answerLocally()
}

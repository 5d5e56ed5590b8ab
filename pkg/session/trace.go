package session

import (
	"fmt"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
)

// traceState emits the span of a state that the statement has left, for example
// waiting for the classifier, for the floor or for a replica, queued, running
// or waiting for the confirmation.
func (s *statement) traceState(left chart.State, since time.Time) {
	parent := s.traceParent()
	if parent == "" {
		return
	}
	attributes := map[string]string{}
	if s.member != nil {
		attributes["member"] = string(s.member.id)
	}
	s.trace(parent, s.c.e.charts.statement.StateName(left), since, attributes)
}

// trace emits a span that ends now.
func (s *statement) trace(parent, name string, start time.Time, attributes map[string]string) {
	e := s.c.e
	attributes["account"] = string(s.c.account.name)
	e.outbox.out.Span(Span{
		TraceParent: parent, Name: name, Caller: s.c.id, Start: start, End: e.now, Attributes: attributes,
	})
}

// traceParent returns the caller's W3C traceparent, or one generated for this
// statement, or "" when statements are not traced.
func (s *statement) traceParent() string {
	if s.c.traceParent != "" {
		return s.c.traceParent
	}
	seed := s.c.e.cfg.TraceSeed
	if seed == 0 {
		return ""
	}
	return fmt.Sprintf("00-%016x%08x%08x-%016x-01", seed, uint32(s.c.id), uint32(s.sequence), s.sequence|1<<63)
}

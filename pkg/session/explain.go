package session

import (
	"strconv"
	"strings"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// explanation holds the reason for the routing of a statement, and its outcome.
// It refers to constant texts only, so that keeping it costs no allocation.
type explanation struct {
	classification string
	member         core.MemberID
	choice         string
	retries        int
	outcome        string
}

// explanation returns the statement's explanation so far.
func (s *statement) explanation() explanation {
	x := explanation{
		classification: s.classification.Reason,
		choice:         s.reason,
		retries:        s.retries,
		outcome:        s.outcome,
	}
	if s.member != nil {
		x.member = s.member.id
	}
	return x
}

// String returns one line for SHOW sassafrasshunt.explain and for traces.
func (x explanation) String() string {
	var parts []string
	if x.classification != "" {
		parts = append(parts, x.classification)
	}
	if x.member != "" {
		parts = append(parts, "member "+string(x.member))
	}
	if x.choice != "" {
		parts = append(parts, x.choice)
	}
	if x.retries > 0 {
		parts = append(parts, "sent again "+strconv.Itoa(x.retries)+" times")
	}
	if x.outcome != "" {
		parts = append(parts, x.outcome)
	}
	return strings.Join(parts, "; ")
}

// Explain returns why the last statement of a caller was routed as it was;
// empty for an unknown caller or one without a statement.
func (e *Engine) Explain(id CallerID) string {
	c, ok := e.callers[id]
	if !ok {
		return ""
	}
	return c.lastExplanation.String()
}

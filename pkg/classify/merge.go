package classify

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// demand orders the kinds: a batch has the kind with the highest demand.
var demand = map[session.Kind]int{
	session.KindEmpty:      0,
	session.KindOwnShow:    1,
	session.KindOwnSet:     2,
	session.KindRead:       3,
	session.KindSessionSet: 4,
	session.KindEnd:        5,
	session.KindBegin:      6,
	session.KindWrite:      7,
	session.KindRefused:    8,
}

// merge returns the verdict on a batch that has both parts. Two different
// kinds leave a state that cannot be followed from the outside when one of
// them is a session-level change.
func merge(a, b session.Verdict) session.Verdict {
	m, other := a, b
	if demand[b.Kind] > demand[a.Kind] {
		m, other = b, a
	}
	if isOwn(m.Kind) || isOwn(other.Kind) {
		return refuseMix(m, other)
	}
	m.Commit = a.Commit || b.Commit
	m.LeavesState = a.LeavesState || b.LeavesState || mixesSet(a.Kind, b.Kind)
	m.ReadOnly = m.ReadOnly && (other.Kind == session.KindRead || other.ReadOnly)
	m.Name, m.Value = "", ""
	m.Hints = mergeHints(a, b)
	return m
}

func mixesSet(a, b session.Kind) bool {
	return (a == session.KindSessionSet) != (b == session.KindSessionSet)
}

func isOwn(k session.Kind) bool {
	return k == session.KindOwnSet || k == session.KindOwnShow
}

func refuseMix(m, other session.Verdict) session.Verdict {
	if other.Kind == session.KindEmpty {
		return m
	}
	return session.Verdict{
		Kind:   session.KindRefused,
		Hints:  noHints(),
		Reason: "a parameter of the proxy cannot share a request with other statements",
	}
}

func mergeHints(a, b session.Verdict) session.Hints {
	return session.Hints{
		MaxAge:     strictest(a.Hints.MaxAge, b.Hints.MaxAge),
		WriteID:    firstOf(a.Hints.WriteID, b.Hints.WriteID),
		Idempotent: repeatable(a) && repeatable(b),
	}
}

func strictest(a, b time.Duration) time.Duration {
	if a < 0 {
		return b
	}
	if b < 0 {
		return a
	}
	return min(a, b)
}

func firstOf(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func repeatable(v session.Verdict) bool {
	return v.Hints.Idempotent || v.Kind == session.KindRead || v.Kind == session.KindEmpty
}

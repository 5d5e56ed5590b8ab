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

// merge returns the verdict on a batch that has both parts. A change of the
// session's settings is replayed as text on other connections, so it cannot
// share a request with anything else.
func merge(a, b session.Verdict) session.Verdict {
	m, other := a, b
	if demand[b.Kind] > demand[a.Kind] {
		m, other = b, a
	}
	if other.Kind != session.KindEmpty && (standsAlone(m) || standsAlone(other)) && !bothSet(m, other) {
		return refuseMix()
	}
	m.Commit = a.Commit || b.Commit
	m.LeavesState = a.LeavesState || b.LeavesState
	m.ReadOnly = m.ReadOnly && (other.Kind == session.KindRead || other.ReadOnly)
	if other.Kind != session.KindEmpty {
		m.Name, m.Value = "", ""
	}
	m.Hints = mergeHints(a, b)
	return m
}

func standsAlone(v session.Verdict) bool {
	return v.Kind == session.KindOwnSet || v.Kind == session.KindOwnShow || v.Kind == session.KindSessionSet
}

// bothSet reports two changes of plain settings, which are replayed together.
func bothSet(a, b session.Verdict) bool {
	return isPlainSet(a) && isPlainSet(b)
}

func isPlainSet(v session.Verdict) bool {
	return v.Kind == session.KindSessionSet && v.Name != "all" && v.Name != "discard all"
}

func refuseMix() session.Verdict {
	return session.Verdict{
		Kind:   session.KindRefused,
		Hints:  noHints(),
		Reason: "SET, RESET, DISCARD or a parameter of the proxy together with other statements",
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

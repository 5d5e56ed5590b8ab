package classify

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// kindPrecedence orders the kinds: a batch has the kind with the highest
// precedence among its statements.
var kindPrecedence = map[session.Kind]int{
	session.KindEmpty:       0,
	session.KindProxyShow:   1,
	session.KindProxySet:    2,
	session.KindRead:        3,
	session.KindSessionSet:  4,
	session.KindEnd:         5,
	session.KindBegin:       6,
	session.KindWrite:       7,
	session.KindUnsupported: 8,
}

// mergeClassifications returns the classification of a batch that has both parts.
// A change of session settings is replayed as text on other connections, so it
// cannot share a request with other statements.
func mergeClassifications(a, b session.Classification) session.Classification {
	merged, other := a, b
	if kindPrecedence[b.Kind] > kindPrecedence[a.Kind] {
		merged, other = b, a
	}
	if other.Kind != session.KindEmpty && (mustBeAlone(merged) || mustBeAlone(other)) && !bothPlainSets(merged, other) {
		return unsupportedMix()
	}
	merged.Commit = a.Commit || b.Commit
	merged.ChangesSessionState = a.ChangesSessionState || b.ChangesSessionState
	merged.ReadOnly = merged.ReadOnly && (other.Kind == session.KindRead || other.ReadOnly)
	if other.Kind != session.KindEmpty {
		merged.Name, merged.Value = "", ""
	}
	merged.Hints = mergeHints(a, b)
	return merged
}

// mustBeAlone reports whether the part cannot share a request with other
// statements.
func mustBeAlone(c session.Classification) bool {
	return c.Kind == session.KindProxySet || c.Kind == session.KindProxyShow || c.Kind == session.KindSessionSet
}

// bothPlainSets reports whether both parts change plain settings, which are
// replayed together.
func bothPlainSets(a, b session.Classification) bool {
	return isPlainSet(a) && isPlainSet(b)
}

// isPlainSet reports whether the part changes one setting, unlike RESET ALL and
// DISCARD ALL.
func isPlainSet(c session.Classification) bool {
	return c.Kind == session.KindSessionSet && c.Name != "all" && c.Name != "discard all"
}

// unsupportedMix returns the classification of a batch that the proxy does not
// support.
func unsupportedMix() session.Classification {
	return session.Classification{
		Kind:   session.KindUnsupported,
		Hints:  noHints(),
		Reason: "SET, RESET, DISCARD or a parameter of the proxy together with other statements",
	}
}

// mergeHints returns the hints that hold for both parts.
func mergeHints(a, b session.Classification) session.Hints {
	return session.Hints{
		MaxAge:     strictest(a.Hints.MaxAge, b.Hints.MaxAge),
		WriteID:    firstNonEmpty(a.Hints.WriteID, b.Hints.WriteID),
		Idempotent: isIdempotent(a) && isIdempotent(b),
	}
}

// strictest returns the lower accepted age; a negative one means that none is
// given.
func strictest(a, b time.Duration) time.Duration {
	if a < 0 {
		return b
	}
	if b < 0 {
		return a
	}
	return min(a, b)
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// isIdempotent reports whether the part is safe to retry.
func isIdempotent(c session.Classification) bool {
	return c.Hints.Idempotent || c.Kind == session.KindRead || c.Kind == session.KindEmpty
}

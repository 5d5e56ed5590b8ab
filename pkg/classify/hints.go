package classify

import (
	"strconv"
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// noHints returns the hints of a text without hints. A negative MaxAge means that
// none is given.
func noHints() session.Hints {
	return session.Hints{MaxAge: -1}
}

// parseHints parses a leading comment of the form /*+ name=value ... */. Unknown
// names and invalid values are ignored, because the same comment may hold hints
// for the target.
func parseHints(text string) session.Hints {
	hints := noHints()
	rest, found := strings.CutPrefix(strings.TrimSpace(text), "/*+")
	if !found {
		return hints
	}
	body, _, closed := strings.Cut(rest, "*/")
	if !closed {
		return hints
	}
	for _, field := range strings.FieldsFunc(body, isSeparator) {
		name, value, _ := strings.Cut(field, "=")
		applyHint(&hints, strings.ToLower(name), value)
	}
	return hints
}

func isSeparator(r rune) bool {
	return r == ' ' || r == ',' || r == '\t' || r == '\n' || r == '\r'
}

func applyHint(hints *session.Hints, name, value string) {
	switch name {
	case "max_age_ms":
		millis, err := strconv.ParseUint(value, 10, 31)
		if err == nil {
			hints.MaxAge = time.Duration(millis) * time.Millisecond
		}
	case "write_id":
		hints.WriteID = value
	case "idempotent":
		hints.Idempotent = value == "" || value == "true" || value == "1" || value == "on"
	}
}

package classify

import (
	"strconv"
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

func noHints() session.Hints {
	return session.Hints{MaxAge: -1}
}

// parseHints reads a leading comment of the form /*+ name=value ... */. Names
// that are not known and values that do not parse are passed over, because the
// same comment may address the target as well.
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

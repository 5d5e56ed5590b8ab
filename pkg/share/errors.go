package share

import "strings"

// TableError reports an invalid encoded share table.
type TableError struct {
	// Violations describes each problem that was found.
	Violations []string
}

func (e *TableError) Error() string {
	return "invalid share table: " + strings.Join(e.Violations, "; ")
}

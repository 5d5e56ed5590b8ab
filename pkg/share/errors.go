package share

import "strings"

// TableError reports an invalid encoded share table.
type TableError struct {
	// Faults describes each problem that was found.
	Faults []string
}

func (e *TableError) Error() string {
	return "invalid share table: " + strings.Join(e.Faults, "; ")
}

package share

import "strings"

// TableError lists the faults of a share table that was received.
type TableError struct {
	Faults []string
}

func (e *TableError) Error() string {
	return "invalid share table: " + strings.Join(e.Faults, "; ")
}

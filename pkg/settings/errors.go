package settings

import (
	"fmt"
	"strings"
)

// FileError reports a settings file that cannot be read.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string {
	return "settings file " + e.Path + ": " + e.Err.Error()
}

func (e *FileError) Unwrap() error {
	return e.Err
}

// Fault is one error in a settings file.
type Fault struct {
	// Line is 1-based; 0 when the fault has no place, as for a missing value.
	Line   int
	Key    string
	Reason string
}

// FaultsError lists every fault of a settings file.
type FaultsError struct {
	Path   string
	Faults []Fault
}

func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", e.Path, f.Line, f.Key, f.Reason))
	}
	return strings.Join(lines, "\n")
}

package catalogue

import (
	"fmt"
	"strings"
)

// Fault is one rule that a catalogue or an edit breaks.
type Fault struct {
	// Item names what is at fault, for example "account hansen".
	Item string `json:"item"`
	// Rule says what must hold.
	Rule string `json:"rule"`
}

func (f Fault) String() string {
	return f.Item + ": " + f.Rule
}

// CheckError lists all faults of an edit.
type CheckError struct {
	Faults []Fault
}

func (e *CheckError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}

// DecodeError reports bytes that are not a catalogue.
type DecodeError struct {
	Reason string
}

func (e *DecodeError) Error() string {
	return "cannot decode catalogue: " + e.Reason
}

// BusyError reports that too many edits wait on this instance.
type BusyError struct{}

func (e *BusyError) Error() string {
	return "too many configuration edits are waiting"
}

// UnknownAccountError reports an account that the catalogue does not have.
type UnknownAccountError struct {
	Name string
}

func (e *UnknownAccountError) Error() string {
	return fmt.Sprintf("account %q does not exist", e.Name)
}

package catalogue

import (
	"fmt"
	"strings"
)

// Violation describes how a catalogue or an edit breaks one rule.
type Violation struct {
	// Item is the item that breaks the rule, for example "account hansen".
	Item string `json:"item"`
	// Rule is the rule in words.
	Rule string `json:"rule"`
}

func (v Violation) String() string {
	return v.Item + ": " + v.Rule
}

// CheckError lists all violations of a catalogue or an edit.
type CheckError struct {
	Violations []Violation
}

func (e *CheckError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = v.String()
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}

// DecodeError reports text that is not a catalogue or a list of edits.
type DecodeError struct {
	Reason string
}

func (e *DecodeError) Error() string {
	return "cannot decode catalogue: " + e.Reason
}

// BusyError reports that too many edits are pending on this instance.
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

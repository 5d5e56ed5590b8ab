// Package chart loads state charts from TOML files and interprets them.
//
// A chart describes one lifecycle as data. The file names guards, actions and
// timeouts, which are registered in Go under the same names. Compile combines both
// in a table that Fire interprets without allocating memory.
package chart

import (
	"strings"

	"github.com/BurntSushi/toml"
)

// Definition is the content of one chart file.
type Definition struct {
	Name    string            `toml:"name"`
	Initial string            `toml:"initial"`
	Events  []string          `toml:"events"`
	States  []StateDefinition `toml:"state"`
}

// StateDefinition describes one state.
type StateDefinition struct {
	Name string `toml:"name"`
	// Final marks a state that ignores every event.
	Final bool `toml:"final"`
	// Timeout names the duration after which TimeoutEvent fires. Every state that is
	// not final has one.
	Timeout string `toml:"timeout"`
	// Ignored lists the events that have no effect in this state.
	Ignored []string `toml:"ignored"`
	// On lists the transitions out of this state in order of precedence.
	On []TransitionDefinition `toml:"on"`
}

// TransitionDefinition describes one transition out of a state. The transitions on
// one event are tried in file order; the first whose guard holds is taken.
type TransitionDefinition struct {
	Event   string   `toml:"event"`
	Guard   string   `toml:"guard"`
	To      string   `toml:"to"`
	Actions []string `toml:"actions"`
}

// TimeoutEvent is the event that fires when a state's timeout has passed.
const TimeoutEvent = "timed_out"

// Parse decodes and checks a chart file. It returns a *FileError for text that is
// not TOML or has an unknown field, and an *InvalidError that lists every violation
// found in the chart.
func Parse(file string, text []byte) (*Definition, error) {
	var d Definition
	meta, err := toml.Decode(string(text), &d)
	if err != nil {
		return nil, &FileError{File: file, Reason: err.Error()}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, &FileError{File: file, Reason: "unknown field " + unknown[0].String()}
	}
	if violations := d.check(); len(violations) > 0 {
		return nil, &InvalidError{Chart: file, Violations: violations}
	}
	return &d, nil
}

// FileError reports a chart file that cannot be decoded.
type FileError struct {
	File   string
	Reason string
}

func (e *FileError) Error() string {
	return "chart file " + e.File + ": " + e.Reason
}

// InvalidError lists the violations found in a chart.
type InvalidError struct {
	Chart      string
	Violations []string
}

func (e *InvalidError) Error() string {
	return "chart " + e.Chart + ": " + strings.Join(e.Violations, "; ")
}

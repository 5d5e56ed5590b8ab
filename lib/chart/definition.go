// Package chart loads state charts from TOML files and interprets them.
//
// A chart describes one life cycle as data. Guards and actions are named in the
// file and registered in Go under the same names; Compile binds them into a
// dense table that Fire interprets without allocation.
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
	// Final states accept every event and stay.
	Final bool `toml:"final"`
	// Timeout names the duration after which TimeoutEvent fires.
	Timeout string `toml:"timeout"`
	// Ignored lists the events that are dropped without effect.
	Ignored []string               `toml:"ignored"`
	On      []TransitionDefinition `toml:"on"`
}

// TransitionDefinition describes one row of a state. Rows of one event are
// tried in file order; the first whose guard holds is taken.
type TransitionDefinition struct {
	Event   string   `toml:"event"`
	Guard   string   `toml:"guard"`
	To      string   `toml:"to"`
	Actions []string `toml:"actions"`
}

// TimeoutEvent is the event that a state's timeout fires.
const TimeoutEvent = "timed_out"

// Parse decodes a chart file. It returns a *FileError for text that is not
// TOML or has unknown fields, and an *InvalidError for a chart that breaks a
// rule; both list every fault found.
func Parse(file string, text []byte) (*Definition, error) {
	var d Definition
	meta, err := toml.Decode(string(text), &d)
	if err != nil {
		return nil, &FileError{File: file, Reason: err.Error()}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, &FileError{File: file, Reason: "unknown field " + unknown[0].String()}
	}
	if faults := d.check(); len(faults) > 0 {
		return nil, &InvalidError{Chart: file, Faults: faults}
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

// InvalidError lists the rules that a chart breaks.
type InvalidError struct {
	Chart  string
	Faults []string
}

func (e *InvalidError) Error() string {
	return "chart " + e.Chart + ": " + strings.Join(e.Faults, "; ")
}

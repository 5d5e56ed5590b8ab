// Package charts embeds the state charts, one TOML file per lifecycle.
package charts

import (
	"embed"
	"slices"
	"strings"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
)

//go:embed *.toml
var files embed.FS

const suffix = ".toml"

// UnknownError reports a chart name without an embedded file.
type UnknownError struct {
	Name string
}

func (e *UnknownError) Error() string {
	return "no state chart named " + e.Name
}

// Load parses the named chart. It returns an *UnknownError for a name without
// a file, and the errors of chart.Parse.
func Load(name string) (*chart.Definition, error) {
	text, err := files.ReadFile(name + suffix)
	if err != nil {
		return nil, &UnknownError{Name: name}
	}
	return chart.Parse(name+suffix, text)
}

// Names returns the names of the embedded charts in alphabetical order.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), suffix))
	}
	slices.Sort(names)
	return names
}

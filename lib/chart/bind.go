package chart

import (
	"fmt"
	"maps"
	"slices"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// Names lists the guards, actions and timeouts that a chart refers to.
type Names struct {
	Guards   []string
	Actions  []string
	Timeouts []string
}

// Names returns the guards, actions and timeouts that the chart refers to,
// sorted and without repetition.
func (d *Definition) Names() Names {
	guards, actions, timeouts := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, s := range d.States {
		if s.Timeout != "" {
			timeouts[s.Timeout] = true
		}
		for _, t := range s.On {
			if t.Guard != "" {
				guards[t.Guard] = true
			}
			for _, a := range t.Actions {
				actions[a] = true
			}
		}
	}
	return Names{Guards: sortedKeys(guards), Actions: sortedKeys(actions), Timeouts: sortedKeys(timeouts)}
}

// unboundNames returns a violation for every name without a registration and for
// every registration that the chart does not use.
func (d *Definition) unboundNames(guards, actions, timeouts []string) []string {
	used := d.Names()
	var violations []string
	violations = append(violations, compareNames("guard", used.Guards, guards)...)
	violations = append(violations, compareNames("action", used.Actions, actions)...)
	return append(violations, compareNames("timeout", used.Timeouts, timeouts)...)
}

func compareNames(kind string, used, registered []string) []string {
	var violations []string
	for _, name := range used {
		if !slices.Contains(registered, name) {
			violations = append(violations, fmt.Sprintf("%s %q is not registered", kind, name))
		}
	}
	for _, name := range registered {
		if !slices.Contains(used, name) {
			violations = append(violations, fmt.Sprintf("registered %s %q is not used by the chart", kind, name))
		}
	}
	return violations
}

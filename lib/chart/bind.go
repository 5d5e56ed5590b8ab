package chart

import (
	"fmt"
	"maps"
	"slices"
)

func names[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// Names lists what a chart refers to.
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
	return Names{Guards: names(guards), Actions: names(actions), Timeouts: names(timeouts)}
}

func (d *Definition) unbound(guards, actions, timeouts []string) []string {
	used := d.Names()
	var faults []string
	faults = append(faults, compareNames("guard", used.Guards, guards)...)
	faults = append(faults, compareNames("action", used.Actions, actions)...)
	return append(faults, compareNames("timeout", used.Timeouts, timeouts)...)
}

func compareNames(kind string, used, registered []string) []string {
	var faults []string
	for _, name := range used {
		if !slices.Contains(registered, name) {
			faults = append(faults, fmt.Sprintf("%s %q is not registered", kind, name))
		}
	}
	for _, name := range registered {
		if !slices.Contains(used, name) {
			faults = append(faults, fmt.Sprintf("registered %s %q is not used by the chart", kind, name))
		}
	}
	return faults
}

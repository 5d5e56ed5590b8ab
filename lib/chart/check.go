package chart

import (
	"fmt"
	"slices"
)

// check returns every rule that the chart breaks on its own, without the
// registry of guards and actions.
func (d *Definition) check() []string {
	var faults []string
	if d.Name == "" {
		faults = append(faults, "the chart has no name")
	}
	faults = append(faults, d.duplicates()...)
	if d.state(d.Initial) == nil {
		faults = append(faults, fmt.Sprintf("initial state %q is not defined", d.Initial))
	}
	for i := range d.States {
		faults = append(faults, d.checkState(&d.States[i])...)
	}
	return append(faults, d.unreachable()...)
}

func (d *Definition) duplicates() []string {
	var faults []string
	seen := map[string]bool{}
	for _, event := range d.Events {
		if seen["event "+event] {
			faults = append(faults, fmt.Sprintf("event %q is listed twice", event))
		}
		seen["event "+event] = true
	}
	for _, s := range d.States {
		if seen["state "+s.Name] {
			faults = append(faults, fmt.Sprintf("state %q is defined twice", s.Name))
		}
		seen["state "+s.Name] = true
	}
	return faults
}

func (d *Definition) state(name string) *StateDefinition {
	for i := range d.States {
		if d.States[i].Name == name {
			return &d.States[i]
		}
	}
	return nil
}

func (d *Definition) checkState(s *StateDefinition) []string {
	if s.Final {
		return finalFaults(s)
	}
	var faults []string
	if s.Timeout == "" {
		faults = append(faults, fmt.Sprintf("state %q waits without a timeout", s.Name))
	}
	for _, row := range s.On {
		if !slices.Contains(d.Events, row.Event) {
			faults = append(faults, fmt.Sprintf("state %q: unknown event %q", s.Name, row.Event))
		}
		if d.state(row.To) == nil {
			faults = append(faults, fmt.Sprintf("state %q: unknown target state %q", s.Name, row.To))
		}
	}
	for _, event := range s.Ignored {
		if !slices.Contains(d.Events, event) {
			faults = append(faults, fmt.Sprintf("state %q: unknown ignored event %q", s.Name, event))
		}
	}
	for _, event := range d.Events {
		faults = append(faults, s.checkEvent(event)...)
	}
	return faults
}

func finalFaults(s *StateDefinition) []string {
	if len(s.On) > 0 || s.Timeout != "" {
		return []string{fmt.Sprintf("final state %q has transitions or a timeout", s.Name)}
	}
	return nil
}

func (s *StateDefinition) checkEvent(event string) []string {
	rows, unguarded := 0, false
	for _, row := range s.On {
		if row.Event != event {
			continue
		}
		if unguarded {
			return []string{fmt.Sprintf("state %q: a row of event %q is never reached", s.Name, event)}
		}
		rows++
		unguarded = row.Guard == ""
	}
	ignored := slices.Contains(s.Ignored, event)
	switch {
	case rows == 0 && !ignored:
		return []string{fmt.Sprintf("state %q neither handles nor ignores event %q", s.Name, event)}
	case rows > 0 && ignored:
		return []string{fmt.Sprintf("state %q both handles and ignores event %q", s.Name, event)}
	case rows > 0 && !unguarded:
		return []string{fmt.Sprintf("state %q: event %q has no row without a guard", s.Name, event)}
	}
	return nil
}

func (d *Definition) unreachable() []string {
	reached := map[string]bool{d.Initial: true}
	work := []string{d.Initial}
	for len(work) > 0 {
		s := d.state(work[0])
		work = work[1:]
		if s == nil {
			continue
		}
		for _, row := range s.On {
			if !reached[row.To] {
				reached[row.To] = true
				work = append(work, row.To)
			}
		}
	}
	var faults []string
	for _, s := range d.States {
		if !reached[s.Name] {
			faults = append(faults, fmt.Sprintf("state %q cannot be reached", s.Name))
		}
	}
	return faults
}

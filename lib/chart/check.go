package chart

import (
	"fmt"
	"slices"
)

// check returns every violation that can be found without the registry of guards,
// actions and timeouts.
func (d *Definition) check() []string {
	var violations []string
	if d.Name == "" {
		violations = append(violations, "the chart has no name")
	}
	violations = append(violations, d.duplicateNames()...)
	if d.state(d.Initial) == nil {
		violations = append(violations, fmt.Sprintf("initial state %q is not defined", d.Initial))
	}
	for i := range d.States {
		violations = append(violations, d.checkState(&d.States[i])...)
	}
	return append(violations, d.unreachableStates()...)
}

func (d *Definition) duplicateNames() []string {
	var violations []string
	seen := map[string]bool{}
	for _, event := range d.Events {
		if seen["event "+event] {
			violations = append(violations, fmt.Sprintf("event %q is listed twice", event))
		}
		seen["event "+event] = true
	}
	for _, s := range d.States {
		if seen["state "+s.Name] {
			violations = append(violations, fmt.Sprintf("state %q is defined twice", s.Name))
		}
		seen["state "+s.Name] = true
	}
	return violations
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
		return checkFinal(s)
	}
	var violations []string
	if s.Timeout == "" {
		violations = append(violations, fmt.Sprintf("state %q has no timeout", s.Name))
	}
	for _, transition := range s.On {
		if !slices.Contains(d.Events, transition.Event) {
			violations = append(violations, fmt.Sprintf("state %q: unknown event %q", s.Name, transition.Event))
		}
		if d.state(transition.To) == nil {
			violations = append(violations, fmt.Sprintf("state %q: unknown target state %q", s.Name, transition.To))
		}
	}
	for _, event := range s.Ignored {
		if !slices.Contains(d.Events, event) {
			violations = append(violations, fmt.Sprintf("state %q: unknown ignored event %q", s.Name, event))
		}
	}
	for _, event := range d.Events {
		violations = append(violations, s.checkEvent(event)...)
	}
	return violations
}

func checkFinal(s *StateDefinition) []string {
	if len(s.On) > 0 || s.Timeout != "" {
		return []string{fmt.Sprintf("final state %q has transitions or a timeout", s.Name)}
	}
	return nil
}

// checkEvent checks that s either ignores the event or handles it in every case:
// its last transition, and no other, is without a guard.
func (s *StateDefinition) checkEvent(event string) []string {
	count, unguarded := 0, false
	for _, transition := range s.On {
		if transition.Event != event {
			continue
		}
		if unguarded {
			return []string{fmt.Sprintf("state %q: a transition on event %q is never reached", s.Name, event)}
		}
		count++
		unguarded = transition.Guard == ""
	}
	ignored := slices.Contains(s.Ignored, event)
	switch {
	case count == 0 && !ignored:
		return []string{fmt.Sprintf("state %q neither handles nor ignores event %q", s.Name, event)}
	case count > 0 && ignored:
		return []string{fmt.Sprintf("state %q both handles and ignores event %q", s.Name, event)}
	case count > 0 && !unguarded:
		return []string{fmt.Sprintf("state %q: event %q has no unguarded transition", s.Name, event)}
	}
	return nil
}

func (d *Definition) unreachableStates() []string {
	reached := map[string]bool{d.Initial: true}
	queue := []string{d.Initial}
	for len(queue) > 0 {
		s := d.state(queue[0])
		queue = queue[1:]
		if s == nil {
			continue
		}
		for _, transition := range s.On {
			if !reached[transition.To] {
				reached[transition.To] = true
				queue = append(queue, transition.To)
			}
		}
	}
	var violations []string
	for _, s := range d.States {
		if !reached[s.Name] {
			violations = append(violations, fmt.Sprintf("state %q cannot be reached", s.Name))
		}
	}
	return violations
}

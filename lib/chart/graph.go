package chart

import (
	"fmt"
	"strings"
)

// Graph returns the chart as a graph in Graphviz DOT.
func (d *Definition) Graph() string {
	var b strings.Builder
	fmt.Fprintf(&b, "digraph %q {\n\trankdir=LR;\n", d.Name)
	for _, s := range d.States {
		shape := "box"
		if s.Final {
			shape = "doublecircle"
		}
		label := s.Name
		if s.Timeout != "" {
			label += "\\ntimeout: " + s.Timeout
		}
		fmt.Fprintf(&b, "\t%q [shape=%s, label=\"%s\"];\n", s.Name, shape, label)
	}
	for _, s := range d.States {
		for _, t := range s.On {
			fmt.Fprintf(&b, "\t%q -> %q [label=\"%s\"];\n", s.Name, t.To, t.label())
		}
	}
	b.WriteString("}\n")
	return b.String()
}

func (t *TransitionDefinition) label() string {
	label := t.Event
	if t.Guard != "" {
		label += " [" + t.Guard + "]"
	}
	if len(t.Actions) > 0 {
		label += " / " + strings.Join(t.Actions, ", ")
	}
	return label
}

package chart

import (
	"fmt"
	"sync/atomic"
	"time"
)

// State identifies a state of one compiled chart.
type State uint8

// Event identifies an event of one compiled chart.
type Event uint8

// Registry binds the names of a chart to code. S is the subject, usually a
// pointer to the struct whose life cycle the chart describes.
type Registry[S any] struct {
	Guards   map[string]func(S) bool
	Actions  map[string]func(S)
	Timeouts map[string]time.Duration
}

type row[S any] struct {
	guard   func(S) bool
	actions []func(S)
	to      State
	taken   *atomic.Uint64
}

// Table is a compiled chart. It is immutable and safe for concurrent use.
type Table[S any] struct {
	name     string
	initial  State
	states   []string
	events   map[string]Event
	width    int
	rows     [][]row[S]
	final    []bool
	timeouts []time.Duration
	taken    map[string]*atomic.Uint64
}

// Compile binds the definition to the registry. It returns an *InvalidError
// that lists every guard, action or timeout without a registration and every
// registration that the chart does not use.
func Compile[S any](d *Definition, r Registry[S]) (*Table[S], error) {
	if faults := d.unbound(names(r.Guards), names(r.Actions), names(r.Timeouts)); len(faults) > 0 {
		return nil, &InvalidError{Chart: d.Name, Faults: faults}
	}
	t := &Table[S]{
		name:   d.Name,
		events: map[string]Event{},
		width:  len(d.Events),
		rows:   make([][]row[S], len(d.States)*len(d.Events)),
		taken:  map[string]*atomic.Uint64{},
	}
	ids := map[string]State{}
	for i, s := range d.States {
		ids[s.Name] = State(i)
		t.states = append(t.states, s.Name)
		t.final = append(t.final, s.Final)
		t.timeouts = append(t.timeouts, r.Timeouts[s.Timeout])
	}
	for i, e := range d.Events {
		t.events[e] = Event(i)
	}
	t.initial = ids[d.Initial]
	for _, s := range d.States {
		for _, transition := range s.On {
			t.addRow(ids[s.Name], ids[transition.To], s.Name, transition, r)
		}
	}
	return t, nil
}

func (t *Table[S]) addRow(from, to State, fromName string, d TransitionDefinition, r Registry[S]) {
	compiled := row[S]{to: to, taken: new(atomic.Uint64)}
	if d.Guard != "" {
		compiled.guard = r.Guards[d.Guard]
	}
	for _, name := range d.Actions {
		compiled.actions = append(compiled.actions, r.Actions[name])
	}
	key := fmt.Sprintf("%s.%s.%s", fromName, d.Event, d.To)
	if counter, ok := t.taken[key]; ok {
		compiled.taken = counter
	}
	t.taken[key] = compiled.taken
	cell := int(from)*t.width + int(t.events[d.Event])
	t.rows[cell] = append(t.rows[cell], compiled)
}

// Initial returns the state in which a subject starts.
func (t *Table[S]) Initial() State {
	return t.initial
}

// Fire applies event to a subject whose current state is *state. The new state
// is stored before the actions run, so that an action may fire a further event.
// Ignored events and final states leave the subject as it is.
func (t *Table[S]) Fire(subject S, state *State, event Event) {
	rows := t.rows[int(*state)*t.width+int(event)]
	for i := range rows {
		r := &rows[i]
		if r.guard != nil && !r.guard(subject) {
			continue
		}
		*state = r.to
		r.taken.Add(1)
		for _, action := range r.actions {
			action(subject)
		}
		return
	}
}

// Event returns the identifier of a named event. It panics for an unknown
// name: callers resolve their events once at start, next to Compile.
func (t *Table[S]) Event(name string) Event {
	e, ok := t.events[name]
	if !ok {
		panic("chart " + t.name + " has no event " + name)
	}
	return e
}

// StateName returns the name of s.
func (t *Table[S]) StateName(s State) string {
	return t.states[s]
}

// StateID returns the identifier of a named state. It panics for an unknown
// name, like Event.
func (t *Table[S]) StateID(name string) State {
	for i, s := range t.states {
		if s == name {
			return State(i)
		}
	}
	panic("chart " + t.name + " has no state " + name)
}

// Final reports whether s is a final state.
func (t *Table[S]) Final(s State) bool {
	return t.final[s]
}

// Timeout returns how long a subject may stay in s before TimeoutEvent fires;
// zero for a final state.
func (t *Table[S]) Timeout(s State) time.Duration {
	return t.timeouts[s]
}

// Taken returns how often each transition, named "from.event.to", was taken.
func (t *Table[S]) Taken() map[string]uint64 {
	counts := make(map[string]uint64, len(t.taken))
	for key, counter := range t.taken {
		counts[key] = counter.Load()
	}
	return counts
}

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

// Registry binds the names of a chart to code. S is the type of the subject,
// usually a pointer to the struct whose lifecycle the chart describes.
type Registry[S any] struct {
	Guards   map[string]func(S) bool
	Actions  map[string]func(S)
	Timeouts map[string]time.Duration
}

// transition is a compiled transition; count is the number of times it was taken.
type transition[S any] struct {
	guard   func(S) bool
	actions []func(S)
	to      State
	count   *atomic.Uint64
}

// Table is a compiled chart. It is safe for concurrent use: apart from its counters
// it does not change.
type Table[S any] struct {
	name       string
	initial    State
	states     []string
	events     map[string]Event
	eventCount int
	// transitions has one list per state and event, at state*eventCount+event.
	transitions [][]transition[S]
	final       []bool
	timeouts    []time.Duration
	// counters are keyed by "from.event.to".
	counters map[string]*atomic.Uint64
}

// Compile binds the definition to the registry. It returns an *InvalidError that
// lists every guard, action or timeout without a registration and every
// registration that the chart does not use.
func Compile[S any](d *Definition, r Registry[S]) (*Table[S], error) {
	if violations := d.unboundNames(sortedKeys(r.Guards), sortedKeys(r.Actions), sortedKeys(r.Timeouts)); len(violations) > 0 {
		return nil, &InvalidError{Chart: d.Name, Violations: violations}
	}
	t := &Table[S]{
		name:        d.Name,
		events:      map[string]Event{},
		eventCount:  len(d.Events),
		transitions: make([][]transition[S], len(d.States)*len(d.Events)),
		counters:    map[string]*atomic.Uint64{},
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
		for _, def := range s.On {
			t.addTransition(ids[s.Name], ids[def.To], s.Name, def, r)
		}
	}
	return t, nil
}

// addTransition appends a transition. Transitions with the same states and event
// share a counter.
func (t *Table[S]) addTransition(from, to State, fromName string, d TransitionDefinition, r Registry[S]) {
	compiled := transition[S]{to: to, count: new(atomic.Uint64)}
	if d.Guard != "" {
		compiled.guard = r.Guards[d.Guard]
	}
	for _, name := range d.Actions {
		compiled.actions = append(compiled.actions, r.Actions[name])
	}
	key := fmt.Sprintf("%s.%s.%s", fromName, d.Event, d.To)
	if counter, ok := t.counters[key]; ok {
		compiled.count = counter
	}
	t.counters[key] = compiled.count
	index := int(from)*t.eventCount + int(t.events[d.Event])
	t.transitions[index] = append(t.transitions[index], compiled)
}

// Initial returns the state in which a subject starts.
func (t *Table[S]) Initial() State {
	return t.initial
}

// Fire applies event to a subject whose current state is *state. The new state is
// stored before the actions run, so that an action may fire another event. Ignored
// events, and all events in a final state, have no effect.
func (t *Table[S]) Fire(subject S, state *State, event Event) {
	transitions := t.transitions[int(*state)*t.eventCount+int(event)]
	for i := range transitions {
		candidate := &transitions[i]
		if candidate.guard != nil && !candidate.guard(subject) {
			continue
		}
		*state = candidate.to
		candidate.count.Add(1)
		for _, action := range candidate.actions {
			action(subject)
		}
		return
	}
}

// Event returns the identifier of a named event. It panics for an unknown name;
// callers resolve their events once at start, next to Compile.
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

// Timeout returns how long a subject may stay in s before TimeoutEvent fires. It
// is zero for a final state.
func (t *Table[S]) Timeout(s State) time.Duration {
	return t.timeouts[s]
}

// TransitionCounts returns how often each transition, named "from.event.to",
// was taken.
func (t *Table[S]) TransitionCounts() map[string]uint64 {
	counts := make(map[string]uint64, len(t.counters))
	for key, counter := range t.counters {
		counts[key] = counter.Load()
	}
	return counts
}

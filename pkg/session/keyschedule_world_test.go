package session

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// keyWorld runs two engines in virtual time: the home of an account, and an instance whose
// callers' requests are relayed to it. Configurations withdraw and restore keys while
// requests run. It models the callers, the members and the calls between the instances, and
// records each broken guarantee as a violation. The order of Go's maps
// makes two runs with the same seed differ a little.
type keyWorld struct {
	t          testing.TB
	rng        *rand.Rand
	now        time.Time
	events     keyEvents
	order      uint64
	nodes      []*keyNode
	origin     *keyNode
	home       *keyNode
	nextCaller CallerID
	requests   map[string]*keyRequest
	// faults lets connections to members and calls between the instances break.
	faults bool
	// stopping ends the arrival of new requests and callers.
	stopping   bool
	logEnd     core.LSN
	violations []string
	answers    int
	sessions   int
	// ended counts the sessions that a withdrawn key ended, kept the requests during which
	// the key was withdrawn and restored.
	ended int
	kept  int
}

// keyEvent is a step at a point in time.
type keyEvent struct {
	at    time.Time
	order uint64
	run   func()
}

type keyEvents []keyEvent

func (q keyEvents) Len() int { return len(q) }
func (q keyEvents) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q keyEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *keyEvents) Push(x any)   { *q = append(*q, x.(keyEvent)) }
func (q *keyEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// keyRequest is a request of a caller.
type keyRequest struct {
	id     string
	caller *keyCaller
	kind   Classification
	// transaction identifies the transaction of the request, empty outside one.
	transaction string
	// runs counts the attempts that a member has executed, passed those that were sent to
	// one.
	runs, passed int
}

// newKeyWorld returns the world of the seed. Every third seed has faults.
func newKeyWorld(t testing.TB, seed uint64, change func(*Config)) *keyWorld {
	w := &keyWorld{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, requests: map[string]*keyRequest{},
		faults: seed%3 == 2, logEnd: 100,
	}
	w.origin = newKeyNode(w, "origin", change)
	w.home = newKeyNode(w, "home", change)
	w.nodes = []*keyNode{w.origin, w.home}
	return w
}

// violate records a broken guarantee.
func (w *keyWorld) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(startTime))+fmt.Sprintf(format, args...))
}

// after runs the step after the time.
func (w *keyWorld) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, keyEvent{at: w.now.Add(d), order: w.order, run: run})
}

// between returns a random duration.
func (w *keyWorld) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

// chance reports true with the probability.
func (w *keyWorld) chance(p float64) bool { return w.rng.Float64() < p }

// runUntil processes the events and the engines' timers up to the time.
func (w *keyWorld) runUntil(end time.Time) {
	const maxSteps = 200_000
	for range maxSteps {
		next, node := end, (*keyNode)(nil)
		for _, n := range w.nodes {
			if at, ok := n.e.NextDeadline(); ok && at.Before(next) {
				next, node = at, n
			}
		}
		if len(w.events) > 0 && !w.events[0].at.After(next) {
			ev := heap.Pop(&w.events).(keyEvent)
			w.now = ev.at
			ev.run()
			continue
		}
		if node == nil {
			w.now = end
			return
		}
		if next.After(w.now) {
			w.now = next
		}
		node.tick()
	}
	require.FailNow(w.t, "the simulation does not come to an end")
}

// keyStep is one version of the configuration.
type keyStep struct {
	version uint64
	// withdrawn holds the withdrawn keys; accountRemoved withdraws all.
	withdrawn      map[core.KeyID]bool
	accountRemoved bool
}

// valid reports whether the key may be used.
func (s keyStep) valid(key core.KeyID) bool { return !s.accountRemoved && !s.withdrawn[key] }

// publish lets the instances learn of the version: together, or each at a time of its own.
// An instance that learns of it after a newer one ignores it.
func (w *keyWorld) publish(step keyStep) {
	together := w.chance(0.4)
	delay := w.between(0, 30*time.Millisecond)
	for _, n := range w.nodes {
		if !together {
			delay = w.between(0, 120*time.Millisecond)
		}
		if w.chance(0.15) {
			w.after(delay/2, func() { n.learnWithdrawnKeys(step) })
		}
		w.after(delay, func() { n.applyStep(step) })
	}
}

// run plays the schedule of the seed.
func (w *keyWorld) run() {
	first := keyStep{version: 1, withdrawn: map[core.KeyID]bool{}}
	for _, n := range w.nodes {
		w.after(w.between(0, 20*time.Millisecond), func() { n.start(first) })
	}
	for range 8 {
		w.after(w.between(0, 60*time.Millisecond), w.openCaller)
	}
	step, at := first, 60*time.Millisecond
	steps := 4 + w.rng.IntN(12)
	for range steps {
		at += w.between(time.Millisecond, 90*time.Millisecond)
		step = w.changeKeys(step)
		published := step
		w.after(at, func() { w.publish(published) })
	}
	w.runUntil(startTime.Add(at + 250*time.Millisecond))
	w.stopping = true
	w.runUntil(w.now.Add(8 * time.Second))
	w.checkEnd(step)
	w.checkSessionsGoOn()
}

// changeKeys returns the next version, in which some keys are withdrawn or restored.
func (w *keyWorld) changeKeys(last keyStep) keyStep {
	next := keyStep{version: last.version + 1, withdrawn: map[core.KeyID]bool{}}
	for _, key := range []core.KeyID{"k1", "k2"} {
		next.withdrawn[key] = last.withdrawn[key] != w.chance(0.6)
	}
	next.accountRemoved = w.chance(0.1)
	return next
}

// checkEnd checks that every request was answered, and which sessions go on.
func (w *keyWorld) checkEnd(last keyStep) {
	for _, n := range w.nodes {
		for _, c := range n.callers {
			switch {
			case c.running != nil:
				w.violate("request %s was never answered", c.running.id)
			case c.open && !last.valid(c.key):
				w.violate("the session of caller %d goes on with a withdrawn key", c.id)
			case c.open && !c.admitted:
				w.violate("caller %d was neither admitted nor refused", c.id)
			}
		}
	}
	for _, r := range w.requests {
		if !w.faults && r.passed > 1 {
			w.violate("request %s was passed on %d times", r.id, r.passed)
		}
		if r.runs > 1 && r.kind.Kind != KindRead {
			w.violate("request %s ran %d times", r.id, r.runs)
		}
	}
}

// checkSessionsGoOn checks that each session that is left answers another request.
func (w *keyWorld) checkSessionsGoOn() {
	w.faults = false
	var asked []*keyCaller
	for _, n := range w.nodes {
		for _, c := range n.callers {
			if c.open && c.running == nil && c.transaction == "" {
				c.send(write)
				asked = append(asked, c)
			}
		}
	}
	w.runUntil(w.now.Add(time.Second))
	for _, c := range asked {
		if c.running != nil || c.refused {
			w.violate("the session of caller %d does not go on although its key is there", c.id)
		}
	}
}

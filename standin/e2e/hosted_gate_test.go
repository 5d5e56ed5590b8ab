package e2e

import (
	"sync"
	"time"
)

// memberGate holds statements at the members of a group until the test releases them,
// so that the order of events does not depend on the speed of the machine. It records
// when each statement began and ended at a member.
type memberGate struct {
	mutex sync.Mutex
	// held has the statements that wait, or will wait, by their query ids. A channel
	// is closed when its statement is released.
	held map[string]chan struct{}
	runs map[string]memberRun
}

// memberRun is the record of a statement at the members.
type memberRun struct {
	member string
	// began is when a member received the statement for the first time. ended is when
	// it had run, zero before that.
	began, ended time.Time
	// count is the number of times that a member received it.
	count int
}

func newMemberGate() *memberGate {
	return &memberGate{held: map[string]chan struct{}{}, runs: map[string]memberRun{}}
}

// hold makes the members hold the statement with this query id until it is released.
func (g *memberGate) hold(id string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.held[id] = make(chan struct{})
}

// release lets a held statement run.
func (g *memberGate) release(id string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if released := g.held[id]; released != nil {
		close(released)
		delete(g.held, id)
	}
}

// releaseAll lets every held statement run.
func (g *memberGate) releaseAll() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for id, released := range g.held {
		close(released)
		delete(g.held, id)
	}
}

// begin records that a member has received a statement and waits while it is held.
func (g *memberGate) begin(id, member string) {
	g.mutex.Lock()
	run := g.runs[id]
	if run.count == 0 {
		run.member, run.began = member, time.Now()
	}
	run.count++
	g.runs[id] = run
	released := g.held[id]
	g.mutex.Unlock()
	if released != nil {
		<-released
	}
}

// end records that a statement has run.
func (g *memberGate) end(id string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	run := g.runs[id]
	run.ended = time.Now()
	g.runs[id] = run
}

// run returns the record of a statement, which is zero if no member received it.
func (g *memberGate) run(id string) memberRun {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.runs[id]
}

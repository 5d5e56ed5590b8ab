package failover

import (
	"fmt"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// simInstance is one instance: a Group, its calls and its writers.
type simInstance struct {
	sim     *sim
	id      core.InstanceID
	group   *Group
	paused  time.Time
	dead    bool
	tick    int
	pending []simWrite
	view    session.GroupView
	floor   session.FloorAnswer
	calls   map[Method]int
}

func newSimInstance(s *sim, i int) *simInstance {
	in := &simInstance{sim: s, id: core.InstanceID(fmt.Sprintf("i%d", i)), calls: map[Method]int{}}
	d := Database{Name: "db"}
	for _, m := range s.members {
		d.Members = append(d.Members, Member{ID: m.id, StatusAddress: string(m.id)})
	}
	in.group = New(s.rules, d, in.id, in)
	s.after(time.Duration(s.random.Int64N(int64(200*time.Millisecond))), func() {
		in.group.Start(s.now)
		in.schedule()
	})
	return in
}

// input runs f on the instance's thread, after its pause.
func (in *simInstance) input(f func()) {
	if in.dead {
		return
	}
	if in.sim.now.Before(in.paused) {
		in.sim.at(in.paused, func() { in.input(f) })
		return
	}
	f()
	in.schedule()
}

func (in *simInstance) schedule() {
	in.tick++
	tick := in.tick
	in.sim.at(in.group.Next(), func() {
		if tick == in.tick {
			in.input(func() { in.group.Tick(in.sim.now) })
		}
	})
}

func (in *simInstance) Call(c MemberCall) {
	s := in.sim
	in.calls[c.Method]++
	m := s.members[c.Member[1]-'0']
	asked := s.now
	done := false
	finish := func(f func()) {
		s.after(s.delay(), func() {
			if !done && !s.isCut(string(in.id), string(m.id)) {
				done = true
				in.input(f)
			}
		})
	}
	fail := func(failure Failure, accepted core.Term) {
		in.group.MemberFailed(s.now, MemberFailed{Call: c.Call, Failure: failure, Accepted: accepted})
	}
	s.after(c.Timeout, func() {
		if !done {
			done = true
			in.input(func() { fail(FailureSilent, 0) })
		}
	})
	if s.isCut(string(in.id), string(m.id)) {
		return
	}
	answer := func(e *simError) {
		status := m.status()
		if e != nil {
			finish(func() { fail(FailureTermTooLow, e.accepted) })
			return
		}
		finish(func() {
			in.group.MemberAnswered(s.now, MemberAnswered{Call: c.Call, Status: status, Asked: asked, Answered: s.now})
		})
	}
	s.after(s.delay(), func() {
		if !m.alive || s.refuses[string(in.id)+string(m.id)] {
			finish(func() { fail(FailureRefused, 0) })
			return
		}
		s.toMemberNow(m, func() { m.serve(c, answer) })
	})
}

func (m *simMember) serve(c MemberCall, answer func(*simError)) {
	if c.Method == MethodStatus {
		answer(nil)
		return
	}
	if c.Method == MethodWait {
		m.wait(c, answer)
		return
	}
	answer(m.order(c))
}

func (in *simInstance) Swap(c RecordSwap) {
	s := in.sim
	if s.onSwap != nil {
		s.onSwap(c)
	}
	s.after(s.delay(), func() {
		result := s.swap(c)
		if s.loseAnswers > 0 && !s.platformDown {
			s.loseAnswers--
			result = SwapResult{Call: c.Call, Outcome: SwapUnknown}
		}
		s.after(s.delay(), func() { in.input(func() { in.group.SwapResult(s.now, result) }) })
	})
}

func (s *sim) swap(c RecordSwap) SwapResult {
	if s.platformDown {
		return SwapResult{Call: c.Call, Outcome: SwapUnavailable}
	}
	if c.Revision != s.revision {
		return SwapResult{Call: c.Call, Outcome: SwapConflict, Current: s.seen()}
	}
	s.revision++
	s.record = c.Record
	for _, in := range s.instances {
		seen := s.seen()
		s.after(s.delay(), func() { in.input(func() { in.group.RecordSeen(s.now, seen) }) })
	}
	return SwapResult{Call: c.Call, Outcome: SwapWon, Revision: s.revision}
}

func (s *sim) seen() RecordSeen {
	return RecordSeen{Exists: s.revision > 0, Record: s.record, Revision: s.revision}
}

func (in *simInstance) Read(c RecordRead) {
	s := in.sim
	s.after(s.delay(), func() {
		result := ReadResult{Call: c.Call, Failed: s.platformDown, Seen: s.seen()}
		s.after(s.delay(), func() { in.input(func() { in.group.ReadResult(s.now, result) }) })
	})
}

func (in *simInstance) View(v session.GroupView) bool {
	in.view = v
	return true
}

func (in *simInstance) Floor(f session.FloorAnswer) bool {
	in.floor = f
	return true
}

func (in *simInstance) Confirmed(c session.ConfirmedUpTo) bool {
	in.sim.acknowledge(in, c)
	return true
}

func (in *simInstance) Finished(r Report) {
	in.sim.reports = append(in.sim.reports, r)
}

func (in *simInstance) Log(e LogEvent) {
	if e.Name == EventPrimarySuspected {
		in.sim.suspicions++
	}
}

// write sends one write to the primary in view; the answer asks for the
// confirmation of its position.
func (in *simInstance) write() {
	s := in.sim
	if in.dead || in.view.Primary == "" {
		return
	}
	m := s.members[in.view.Primary[1]-'0']
	if s.isCut(string(in.id), string(m.id)) {
		return
	}
	s.toMember(m, func() {
		if m.role != core.RolePrimary {
			return
		}
		s.writes++
		m.log = append(m.log, simEntry{term: m.term, id: s.writes})
		w := simWrite{id: s.writes, position: core.Position{Term: m.term, LSN: core.LSN(len(m.log))}}
		w.afterFence = s.majorityTerm() > m.term
		m.stream()
		s.after(s.delay(), func() {
			if s.isCut(string(in.id), string(m.id)) {
				return
			}
			in.input(func() { in.committed(w) })
		})
	})
}

func (in *simInstance) committed(w simWrite) {
	in.sim.committed = append(in.sim.committed, w)
	in.pending = append(in.pending, w)
	in.group.NeedConfirm(in.sim.now, session.NeedConfirm{Database: "db", Position: w.position})
}

// writeEvery sends writes from the instance until the simulation ends.
func (in *simInstance) writeEvery(period time.Duration) {
	in.write()
	in.sim.after(period, func() { in.writeEvery(period) })
}

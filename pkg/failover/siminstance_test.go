package failover

import (
	"fmt"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// simInstance is one instance: a Group with simulated outputs, and its writes.
type simInstance struct {
	sim        *sim
	id         core.InstanceID
	group      *Group
	paused     time.Time
	stopped    bool
	tickSerial int
	pending    []simWrite
	view       session.GroupView
	floor      session.FloorResult
	calls      map[Method]int
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

// runInput runs f as an input of the instance's group, after its pause.
func (in *simInstance) runInput(f func()) {
	if in.stopped {
		return
	}
	if in.sim.now.Before(in.paused) {
		in.sim.at(in.paused, func() { in.runInput(f) })
		return
	}
	f()
	in.schedule()
}

func (in *simInstance) schedule() {
	in.tickSerial++
	serial := in.tickSerial
	in.sim.at(in.group.Next(), func() {
		if serial == in.tickSerial {
			in.runInput(func() { in.group.Tick(in.sim.now) })
		}
	})
}

func (in *simInstance) CallMember(c MemberCall) {
	s := in.sim
	in.calls[c.Method]++
	m := s.members[c.Member[1]-'0']
	sentAt := s.now
	done := false
	respond := func(handle func()) {
		s.after(s.delay(), func() {
			if !done && !s.isCut(string(in.id), string(m.id)) {
				done = true
				in.runInput(handle)
			}
		})
	}
	fail := func(failure Failure, accepted core.Term) {
		in.group.MemberFailed(s.now, MemberFailed{Call: c.Call, Failure: failure, Accepted: accepted})
	}
	s.after(c.Timeout, func() {
		if !done {
			done = true
			in.runInput(func() { fail(FailureNoResponse, 0) })
		}
	})
	if s.isCut(string(in.id), string(m.id)) {
		return
	}
	complete := func(e *simError) {
		status := m.status()
		if e != nil {
			respond(func() { fail(FailureTermTooLow, e.accepted) })
			return
		}
		respond(func() {
			in.group.MemberResponded(s.now, MemberResponded{Call: c.Call, Status: status, SentAt: sentAt, ReceivedAt: s.now})
		})
	}
	s.after(s.delay(), func() {
		if !m.alive || s.refuses[string(in.id)+string(m.id)] {
			respond(func() { fail(FailureRefused, 0) })
			return
		}
		s.runOnMemberNow(m, func() { m.handleCall(c, complete) })
	})
}

func (m *simMember) handleCall(c MemberCall, complete func(*simError)) {
	if c.Method == MethodStatus {
		complete(nil)
		return
	}
	if c.Method == MethodWait {
		m.startWait(c, complete)
		return
	}
	complete(m.applyCommand(c))
}

func (in *simInstance) SwapRecord(c RecordSwap) {
	s := in.sim
	if s.onSwap != nil {
		s.onSwap(c)
	}
	s.after(s.delay(), func() {
		result := s.applySwap(c)
		if s.loseResponses > 0 && !s.platformDown {
			s.loseResponses--
			result = SwapResult{Call: c.Call, Outcome: SwapUnknown}
		}
		s.after(s.delay(), func() { in.runInput(func() { in.group.SwapResult(s.now, result) }) })
	})
}

func (s *sim) applySwap(c RecordSwap) SwapResult {
	if s.platformDown {
		return SwapResult{Call: c.Call, Outcome: SwapUnavailable}
	}
	if c.Revision != s.revision {
		return SwapResult{Call: c.Call, Outcome: SwapConflict, Current: s.currentRecord()}
	}
	s.revision++
	s.record = c.Record
	for _, in := range s.instances {
		seen := s.currentRecord()
		s.after(s.delay(), func() { in.runInput(func() { in.group.RecordSeen(s.now, seen) }) })
	}
	return SwapResult{Call: c.Call, Outcome: SwapWon, Revision: s.revision}
}

func (s *sim) currentRecord() RecordSeen {
	return RecordSeen{Exists: s.revision > 0, Record: s.record, Revision: s.revision}
}

func (in *simInstance) ReadRecord(c RecordRead) {
	s := in.sim
	s.after(s.delay(), func() {
		result := ReadResult{Call: c.Call, Failed: s.platformDown, Seen: s.currentRecord()}
		s.after(s.delay(), func() { in.runInput(func() { in.group.ReadResult(s.now, result) }) })
	})
}

func (in *simInstance) View(v session.GroupView) bool {
	in.view = v
	return true
}

func (in *simInstance) Floor(f session.FloorResult) bool {
	in.floor = f
	return true
}

func (in *simInstance) Confirmed(c session.ConfirmedUpTo) bool {
	in.sim.acknowledgeWrites(in, c)
	return true
}

func (in *simInstance) ChangeFinished(r Report) {
	in.sim.reports = append(in.sim.reports, r)
}

func (in *simInstance) Log(e LogEvent) {
	if e.Name == EventPrimarySuspected {
		in.sim.suspicions++
	}
}

// write sends one write to the primary of the instance's view and requests the
// confirmation of its commit position.
func (in *simInstance) write() {
	s := in.sim
	if in.stopped || in.view.Primary == "" {
		return
	}
	m := s.members[in.view.Primary[1]-'0']
	if s.isCut(string(in.id), string(m.id)) {
		return
	}
	s.runOnMember(m, func() {
		if m.role != core.RolePrimary {
			return
		}
		s.writes++
		m.log = append(m.log, simLogEntry{term: m.term, id: s.writes})
		w := simWrite{id: s.writes, position: core.Position{Term: m.term, LSN: core.LSN(len(m.log))}}
		w.afterFence = s.majorityTerm() > m.term
		m.sendLog()
		s.after(s.delay(), func() {
			if s.isCut(string(in.id), string(m.id)) {
				return
			}
			in.runInput(func() { in.addPending(w) })
		})
	})
}

func (in *simInstance) addPending(w simWrite) {
	in.sim.committed = append(in.sim.committed, w)
	in.pending = append(in.pending, w)
	in.group.RequestConfirm(in.sim.now, session.ConfirmRequest{Database: "db", Position: w.position})
}

// writeEvery sends writes from the instance until the simulation ends.
func (in *simInstance) writeEvery(period time.Duration) {
	in.write()
	in.sim.after(period, func() { in.writeEvery(period) })
}

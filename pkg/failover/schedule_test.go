package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// faultKinds are the faults of a random schedule. Each takes the number of its
// subject and a duration, after which it is undone.
var faultKinds = []func(s *sim, subject int, d time.Duration){
	func(s *sim, subject int, d time.Duration) {
		m := s.members[subject%3]
		m.alive = false
		s.after(d, func() { m.restart() })
	},
	func(s *sim, subject int, d time.Duration) { s.members[subject%3].paused = s.now.Add(d) },
	func(s *sim, subject int, d time.Duration) { s.instances[subject%3].paused = s.now.Add(d) },
	func(s *sim, subject int, d time.Duration) {
		m := string(s.members[subject%3].id)
		for i, other := range []string{"m0", "m1", "m2", "i0", "i1", "i2"} {
			if other != m && subject&(1<<i) != 0 {
				s.setCut(m, other, true)
				s.after(d, func() { s.setCut(m, other, false) })
			}
		}
	},
	func(s *sim, _ int, d time.Duration) {
		s.platformDown = true
		s.after(d, func() { s.platformDown = false })
	},
	func(s *sim, subject int, _ time.Duration) { s.loseResponses = subject % 4 },
	func(s *sim, subject int, d time.Duration) {
		in := s.instances[subject%3]
		in.runInput(func() { _ = in.group.Switchover(s.now, s.members[subject%2+1].id) })
	},
	func(s *sim, subject int, d time.Duration) {
		s.onSwap = func(c RecordSwap) {
			for _, in := range s.instances {
				if in.id == c.Record.Decider {
					s.after(d/100, func() { in.paused = s.now.Add(d) })
				}
			}
			s.onSwap = nil
		}
	},
}

// restart starts a stopped member again with its log but without the role of a
// primary.
func (m *simMember) restart() {
	m.alive = true
	m.waiters = nil
	if m.role == core.RolePrimary {
		m.role = core.RoleReplica
		m.primary = ""
	}
}

// Guards against two primaries in a term, lost acknowledged writes, confirmed
// writes of a term that is no longer current, and a group that does not recover,
// under random schedules of faults.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), 3)
		s.run(time.Second)
		for _, in := range s.instances {
			in.writeEvery(writePeriod)
		}
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			kind := rapid.IntRange(0, len(faultKinds)-1).Draw(t, "kind")
			subject := rapid.IntRange(0, 63).Draw(t, "subject")
			d := time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
			faultKinds[kind](s, subject, d)
			s.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "gap")) * time.Millisecond)
		}
		s.run(5 * time.Second)
		if !s.runUntil(15*time.Second, func() bool { return s.allServe(1) }) {
			t.Fatalf("no recovery: %s", s.describe())
		}
		s.run(time.Second)
		s.requireSafe(t)
	})
}

func (s *sim) describe() string {
	text := fmt.Sprintf("record %+v rev %d;", s.record, s.revision)
	for _, m := range s.members {
		text += fmt.Sprintf(" %s %s term %d log %d last received %s ago;", m.id, m.role, m.term, len(m.log), s.now.Sub(m.lastReceived))
	}
	for _, in := range s.instances {
		g := in.group
		text += fmt.Sprintf(" %s %s newest term %d term %d view %s command %d;", in.id, g.State(), g.newestTerm, g.term, in.view.Primary, g.command)
	}
	return text
}

// BenchmarkFailoverGap reports the median duration of each step of the write gap
// over 20 simulated crashes of the primary, in virtual milliseconds. It also
// reports the number of lost acknowledged writes, and that of a baseline which
// acknowledges writes at commit on the primary.
func BenchmarkFailoverGap(b *testing.B) {
	const failovers = 20
	parts := map[string][]time.Duration{}
	var lost, lostAtCommit int
	for b.Loop() {
		clear(parts)
		lost, lostAtCommit = 0, 0
		for seed := range uint64(failovers) {
			s := startedSim(b, 1000+seed, 3)
			s.run(time.Duration(seed) * 10 * time.Millisecond)
			s.setCut("m0", "m1", true)
			s.setCut("m0", "m2", true)
			s.run(5 * time.Millisecond)
			crash := s.now
			s.members[0].alive = false
			s.runUntil(4*time.Second, func() bool { return s.currentPrimary() != nil })
			parts["gap"] = append(parts["gap"], s.now.Sub(crash))
			s.runUntil(4*time.Second, func() bool { return len(s.reports) > 0 })
			r := s.reports[0]
			parts["detection"] = append(parts["detection"], r.Detection)
			parts["decision"] = append(parts["decision"], r.Decision)
			parts["fencing"] = append(parts["fencing"], r.Fencing)
			parts["promotion"] = append(parts["promotion"], r.Promotion)
			parts["announcement"] = append(parts["announcement"], r.Announcement)
			lost += s.missing(s.currentPrimary(), s.acked)
			lostAtCommit += s.missing(s.currentPrimary(), s.committed)
		}
	}
	for name, values := range parts {
		slices.Sort(values)
		b.ReportMetric(float64(values[len(values)/2].Microseconds())/1000, name+"-median-ms")
	}
	b.ReportMetric(float64(lost), "acked-lost")
	b.ReportMetric(float64(lostAtCommit), "baseline-acked-lost")
}

// BenchmarkHeartbeat measures one heartbeat of a healthy group: three status
// responses, a tick and the view. An instance runs five heartbeats per second for
// each database.
func BenchmarkHeartbeat(b *testing.B) {
	h := newGroupHarness()
	b.ReportAllocs()
	for b.Loop() {
		h.calls = h.calls[:0]
		h.clock = h.clock.Add(200 * time.Millisecond)
		h.Tick(h.clock)
		h.respondAll(100)
	}
}

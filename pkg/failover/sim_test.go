package failover

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// streamPeriod is the period at which a primary sends its log to the replicas.
const streamPeriod = 20 * time.Millisecond

// simEvent is a function to run at a virtual time. Events of the same time run in
// order of seq.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simWrite is a write with its commit position.
type simWrite struct {
	id       int
	position core.Position
	// afterFence is set if a majority had accepted a newer term before the commit.
	afterFence bool
}

// sim simulates a group's members, several instances and the platform on one
// virtual clock.
type sim struct {
	// refuses lists instance and member pairs whose connections are refused.
	refuses map[string]bool

	now        time.Time
	queue      simQueue
	seq        int
	random     *rand.Rand
	rules      *Rules
	members    []*simMember
	instances  []*simInstance
	cuts       map[string]bool
	violations []string

	record       Record
	revision     uint64
	platformDown bool
	// loseResponses is the number of compare-and-swap responses to lose.
	loseResponses int
	onSwap        func(RecordSwap)

	promoted   map[core.Term]core.MemberID
	termStarts map[core.Term]core.LSN
	writes     int
	committed  []simWrite
	acked      []simWrite
	reports    []Report
	// suspicions counts how often an instance suspected the primary.
	suspicions int
}

func simRules(config Config) *Rules {
	rules, err := NewRules(config, simChart("group"), simChart("member"))
	if err != nil {
		panic(err)
	}
	return rules
}

func simChart(name string) *chart.Definition {
	text, err := os.ReadFile("../../charts/" + name + ".toml")
	if err != nil {
		panic(err)
	}
	d, err := chart.Parse(name, text)
	if err != nil {
		panic(err)
	}
	return d
}

func newSim(seed uint64, instances int) *sim {
	s := &sim{
		now:        time.Unix(1_000_000, 0),
		random:     rand.New(rand.NewPCG(seed, 1)),
		rules:      simRules(DefaultConfig()),
		cuts:       map[string]bool{},
		promoted:   map[core.Term]core.MemberID{1: "m0"},
		termStarts: map[core.Term]core.LSN{1: 0},
	}
	for i := range 3 {
		m := &simMember{sim: s, id: core.MemberID(fmt.Sprintf("m%d", i)), alive: true, term: 1, role: core.RoleReplica, primary: "m0", lastReceived: s.now}
		m.log = []simLogEntry{{term: 1}}
		m.termStarts = core.TermHistory{{Term: 1}}
		s.members = append(s.members, m)
	}
	s.members[0].role = core.RolePrimary
	s.streamLoop()
	for i := range instances {
		s.instances = append(s.instances, newSimInstance(s, i))
	}
	return s
}

func (s *sim) streamLoop() {
	for _, m := range s.members {
		s.runOnMemberNow(m, m.sendLog)
	}
	s.after(streamPeriod, s.streamLoop)
}

func (s *sim) at(when time.Time, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: when, seq: s.seq, run: run})
}

func (s *sim) after(d time.Duration, run func()) {
	s.at(s.now.Add(d), run)
}

// delay returns a one-way latency between 0.3 ms and 2.3 ms.
func (s *sim) delay() time.Duration {
	return 300*time.Microsecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) runUntil(limit time.Duration, done func() bool) bool {
	for end := s.now.Add(limit); s.now.Before(end); s.run(time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}

// setCut cuts the network between two participants, or restores it.
func (s *sim) setCut(a, b string, on bool) {
	s.cuts[a+b], s.cuts[b+a] = on, on
}

func (s *sim) isCut(a, b string) bool {
	return s.cuts[a+b]
}

// runOnMember runs f on the member after a network delay and the member's pause.
func (s *sim) runOnMember(m *simMember, f func()) {
	s.after(s.delay(), func() { s.runOnMemberNow(m, f) })
}

// runOnMemberNow runs f on the member at once, or after its pause.
func (s *sim) runOnMemberNow(m *simMember, f func()) {
	if !m.alive {
		return
	}
	if s.now.Before(m.paused) {
		s.at(m.paused, func() { s.runOnMemberNow(m, f) })
		return
	}
	f()
}

// checkPromotion records violations of the invariants of a new primary.
func (s *sim) checkPromotion(m *simMember, term core.Term) {
	if other, ok := s.promoted[term]; ok && other != m.id {
		s.violations = append(s.violations, fmt.Sprintf("term %d has the primaries %s and %s", term, other, m.id))
	}
	s.promoted[term] = m.id
	if n := s.missing(m, s.ackedBefore(term)); n > 0 {
		s.violations = append(s.violations, fmt.Sprintf("primary %s of term %d lacks %d acknowledged writes", m.id, term, n))
	}
}

// ackedBefore returns the acknowledged writes of older terms. A promotion that a
// paused member carries out late makes it the primary of a term that is no longer
// current, which may lack the writes of newer terms.
func (s *sim) ackedBefore(term core.Term) []simWrite {
	var writes []simWrite
	for _, w := range s.acked {
		if w.position.Term < term {
			writes = append(writes, w)
		}
	}
	return writes
}

// checkFollow records a follow command whose primary or log position is not that of
// its term. The member would truncate its log at the wrong position.
func (s *sim) checkFollow(c MemberCall) {
	if string(s.promoted[c.Term]) != c.Primary || s.termStarts[c.Term] != c.Start {
		s.violations = append(s.violations, fmt.Sprintf("follow %s from %d in term %d", c.Primary, c.Start, c.Term))
	}
}

// missing returns the number of writes that are not in the member's log.
func (s *sim) missing(m *simMember, writes []simWrite) int {
	n := 0
	for _, w := range writes {
		i := int(w.position.LSN) - 1
		if i >= len(m.log) || m.log[i].id != w.id {
			n++
		}
	}
	return n
}

// majorityTerm returns the newest term that a majority has accepted.
func (s *sim) majorityTerm() core.Term {
	a, b, c := s.members[0].term, s.members[1].term, s.members[2].term
	return max(min(a, b), min(b, c), min(a, c))
}

// currentPrimary returns the live primary of the newest term, or nil.
func (s *sim) currentPrimary() *simMember {
	var primary *simMember
	for _, m := range s.members {
		if m.role == core.RolePrimary && m.alive && (primary == nil || m.term > primary.term) {
			primary = m
		}
	}
	return primary
}

// acknowledgeWrites acknowledges the pending writes of one instance that a confirmed
// position covers.
func (s *sim) acknowledgeWrites(in *simInstance, c session.ConfirmedUpTo) {
	if c.Position.Term < in.group.newestTerm {
		s.violations = append(s.violations, fmt.Sprintf("%s confirmed %s in term %d", in.id, c.Position, in.group.newestTerm))
	}
	kept := in.pending[:0]
	for _, w := range in.pending {
		if w.position.Term == c.Position.Term && w.position.LSN <= c.Position.LSN {
			if w.afterFence {
				s.violations = append(s.violations, fmt.Sprintf("%s was committed after the fence and confirmed", w.position))
			}
			s.acked = append(s.acked, w)
			continue
		}
		kept = append(kept, w)
	}
	in.pending = kept
}

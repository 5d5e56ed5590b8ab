package failover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// manual is a group whose calls a test answers one by one.
type manual struct {
	*Group
	clock     time.Time
	calls     []MemberCall
	swaps     []RecordSwap
	floors    []session.FloorAnswer
	confirmed []core.LSN
}

func (h *manual) Call(c MemberCall)                { h.calls = append(h.calls, c) }
func (h *manual) Swap(c RecordSwap)                { h.swaps = append(h.swaps, c) }
func (h *manual) Read(RecordRead)                  {}
func (h *manual) View(session.GroupView) bool      { return true }
func (h *manual) Finished(Report)                  {}
func (h *manual) Log(LogEvent)                     {}
func (h *manual) Floor(f session.FloorAnswer) bool { h.floors = append(h.floors, f); return true }
func (h *manual) Confirmed(c session.ConfirmedUpTo) bool {
	h.confirmed = append(h.confirmed, c.Position.LSN)
	return true
}

// newManual returns a group with m0 as the primary of term 2 from lsn 100 on.
func newManual() *manual {
	return newManualAt(time.Unix(1000, 0))
}

func newManualAt(clock time.Time) *manual {
	h := &manual{clock: clock}
	d := Database{Name: "db", Members: []Member{{ID: "m0"}, {ID: "m1"}, {ID: "m2"}}}
	h.Group = New(simRules(DefaultConfig()), d, "i0", h)
	h.Start(h.clock)
	h.RecordSeen(h.clock, RecordSeen{Exists: true, Revision: 5, Record: Record{Term: 2, Phase: PhaseServing, Primary: "m0"}})
	h.answerAll(100)
	return h
}

func (h *manual) status(id core.MemberID, logTerm core.Term, received core.LSN) core.MemberStatus {
	s := core.MemberStatus{Member: id, Role: core.RoleReplica, Term: 2, LogTerm: logTerm, Received: received, Applied: received}
	s.Terms = core.TermHistory{{Term: 2, Start: 100}}
	if id == "m0" {
		s.Role = core.RolePrimary
	}
	return s
}

// answer answers the newest call of a method to a member, if any is open.
func (h *manual) answer(method Method, s core.MemberStatus) {
	for i := len(h.calls) - 1; i >= 0; i-- {
		if c := h.calls[i]; c.Method == method && c.Member == s.Member {
			h.MemberAnswered(h.clock, MemberAnswered{Call: c.Call, Status: s, Asked: h.clock, Answered: h.clock})
			return
		}
	}
}

func (h *manual) answerAll(received core.LSN) {
	for _, id := range []core.MemberID{"m0", "m1", "m2"} {
		h.answer(MethodStatus, h.status(id, 2, received))
	}
}

// sleep ticks for d without any answer.
func (h *manual) sleep(d time.Duration) {
	for end := h.clock.Add(d); h.clock.Before(end); h.Tick(h.clock) {
		h.clock = h.clock.Add(10 * time.Millisecond)
	}
}

// loseReplicas answers as two replicas without a primary, for d.
func (h *manual) loseReplicas(d time.Duration) {
	for end := h.clock.Add(d); h.clock.Before(end); h.sleep(20 * time.Millisecond) {
		for _, id := range []core.MemberID{"m1", "m2"} {
			s := h.status(id, 2, 110)
			s.PrimarySilence = time.Minute
			h.answer(MethodStatus, s)
		}
	}
}

func (h *manual) sent(method Method, term core.Term) int {
	n := 0
	for _, c := range h.calls {
		if c.Method == method && c.Term == term {
			n++
		}
	}
	return n
}

// Guards against a confirmation by a member whose log is of an older term: its
// tail beyond the term's start is not the primary's.
func TestOlderLogTermConfirmsNothing(t *testing.T) {
	h := newManual()
	h.NeedConfirm(h.clock, session.NeedConfirm{Position: core.Position{Term: 2, LSN: 120}})
	h.answer(MethodWait, h.status("m1", 1, 130))
	require.NotContains(t, h.confirmed, core.LSN(120))
	s := h.status("m2", 1, 130)
	s.Term = 1
	h.answer(MethodWait, s)
	require.NotContains(t, h.confirmed, core.LSN(120))
	h.sleep(50 * time.Millisecond)
	h.answer(MethodWait, h.status("m1", 2, 119))
	h.sleep(50 * time.Millisecond)
	require.NotContains(t, h.confirmed, core.LSN(120))
	h.answer(MethodWait, h.status("m1", 2, 120))
	require.Contains(t, h.confirmed, core.LSN(120))
}

// Guards against evidence of an older term that outlives a change of primary.
func TestEvidenceOfAnOlderTermIsDropped(t *testing.T) {
	h := newManual()
	h.answer(MethodStatus, h.status("m1", 2, 500))
	h.sleep(250 * time.Millisecond)
	h.answerAll(500)
	h.sleep(250 * time.Millisecond)
	s := h.status("m1", 3, 401)
	s.Role, s.Term, s.Terms = core.RolePrimary, 3, core.TermHistory{{Term: 3, Start: 400}}
	h.answer(MethodStatus, s)
	h.NeedConfirm(h.clock, session.NeedConfirm{Position: core.Position{Term: 3, LSN: 410}})
	require.Empty(t, h.confirmed)
}

// Guards against a floor taken from an answer that was asked for before the
// round began.
func TestFloorIgnoresEarlierAnswers(t *testing.T) {
	h := newManual()
	h.sleep(210 * time.Millisecond)
	asked := h.clock
	early := len(h.calls)
	h.clock = h.clock.Add(time.Millisecond)
	h.NeedFloor(h.clock, session.NeedFloor{Round: 1})
	for _, c := range h.calls[early-3 : early] {
		s := h.status(c.Member, 2, 110)
		h.MemberAnswered(h.clock, MemberAnswered{Call: c.Call, Status: s, Asked: asked, Answered: h.clock})
	}
	require.Empty(t, h.floors)
	h.NeedFloor(h.clock, session.NeedFloor{Round: 2})
	h.answerAll(120)
	require.Equal(t, core.Position{Term: 2, LSN: 120}, h.floors[0].Position)
	h.sleep(50 * time.Millisecond)
	h.answerAll(130)
	require.Equal(t, session.FloorAnswer{Database: "db", Round: 2, Position: core.Position{Term: 2, LSN: 130}}, h.floors[1])
}

// Guards against the instance's own pause being taken for silence.
func TestOwnPauseIsNotSilence(t *testing.T) {
	h := newManual()
	h.sleep(210 * time.Millisecond)
	h.clock = h.clock.Add(5 * time.Second)
	h.Tick(h.clock)
	require.Equal(t, "healthy", h.State())
	h.loseReplicas(500 * time.Millisecond)
	require.Empty(t, h.swaps)
	h.loseReplicas(300 * time.Millisecond)
	require.Len(t, h.swaps, 1)
}

// Guards against orders of a term that was claimed and not won, when the
// chosen member stops.
func TestOrdersCarryTheTermThatWasWon(t *testing.T) {
	h := newManual()
	h.loseReplicas(900 * time.Millisecond)
	h.SwapResult(h.clock, SwapResult{Call: h.swaps[0].Call, Outcome: SwapWon, Revision: 6})
	for _, id := range []core.MemberID{"m1", "m2"} {
		s := h.status(id, 2, 110)
		s.Role, s.Term = core.RoleFenced, 3
		h.answer(MethodFence, s)
	}
	require.Equal(t, 1, h.sent(MethodPromote, 3))
	h.sleep(3 * time.Second)
	require.Equal(t, core.Term(4), h.swaps[1].Record.Term)
	require.Greater(t, h.sent(MethodPromote, 3), 1)
	require.Zero(t, h.sent(MethodPromote, 4)+h.sent(MethodFence, 4))
}

// Guards against an earlier claim of this instance, which took effect late,
// being taken for its newest one: another instance could own that term.
func TestLateClaimIsToldByItsNonce(t *testing.T) {
	h := newManual()
	h.loseReplicas(900 * time.Millisecond)
	first := h.swaps[0]
	h.SwapResult(h.clock, SwapResult{Call: first.Call, Outcome: SwapUnknown})
	s := h.status("m1", 2, 110)
	s.Role, s.Term = core.RoleFenced, 8
	h.answer(MethodStatus, s)
	h.recordUpToDate = true
	h.loseReplicas(3 * time.Second)
	require.Equal(t, core.Term(9), h.swaps[len(h.swaps)-1].Record.Term)
	h.RecordSeen(h.clock, RecordSeen{Exists: true, Revision: 6, Record: first.Record})
	require.Zero(t, h.sent(MethodFence, 9))
}

// Guards against a second claim beside one whose answer was lost, and against
// the first one going unnoticed when it takes effect late.
func TestLostClaimIsRepeatedUnchanged(t *testing.T) {
	h := newManual()
	h.loseReplicas(900 * time.Millisecond)
	first := h.swaps[0]
	h.SwapResult(h.clock, SwapResult{Call: first.Call, Outcome: SwapUnknown})
	h.ReadResult(h.clock, ReadResult{Call: h.pendingRead, Seen: RecordSeen{Exists: true, Revision: 5, Record: h.record}})
	h.loseReplicas(200 * time.Millisecond)
	require.Len(t, h.swaps, 2)
	require.Equal(t, first.Record, h.swaps[1].Record)
	h.SwapResult(h.clock, SwapResult{
		Call:    h.swaps[1].Call,
		Outcome: SwapConflict,
		Current: RecordSeen{Exists: true, Revision: 6, Record: first.Record},
	})
	require.Equal(t, 3, h.sent(MethodFence, 3))
}

// Guards against a claim that conflicts for ever after an operator deleted the
// record, and against a late result for an earlier Group of the database.
func TestDeletedRecordAndEarlierGroup(t *testing.T) {
	h := newManual()
	again := newManualAt(h.clock.Add(time.Second))
	for _, c := range h.calls {
		for _, other := range again.calls {
			require.NotEqual(t, c.Call, other.Call)
		}
	}
	h.RecordSeen(h.clock, RecordSeen{})
	h.loseReplicas(900 * time.Millisecond)
	require.Zero(t, h.swaps[0].Revision)
	require.Equal(t, core.Term(3), h.swaps[0].Record.Term)
}

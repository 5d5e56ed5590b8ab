package failover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// groupHarness is a group to whose calls the test responds one by one.
type groupHarness struct {
	*Group
	clock     time.Time
	calls     []MemberCall
	swaps     []RecordSwap
	floors    []session.FloorResult
	confirmed []core.LSN
}

func (h *groupHarness) CallMember(c MemberCall)          { h.calls = append(h.calls, c) }
func (h *groupHarness) SwapRecord(c RecordSwap)          { h.swaps = append(h.swaps, c) }
func (h *groupHarness) ReadRecord(RecordRead)            {}
func (h *groupHarness) View(session.GroupView) bool      { return true }
func (h *groupHarness) ChangeFinished(Report)            {}
func (h *groupHarness) Log(LogEvent)                     {}
func (h *groupHarness) Floor(f session.FloorResult) bool { h.floors = append(h.floors, f); return true }
func (h *groupHarness) Confirmed(c session.ConfirmedUpTo) bool {
	h.confirmed = append(h.confirmed, c.Position.LSN)
	return true
}

// newGroupHarness returns a group with m0 as the primary of term 2, which begins at
// LSN 100.
func newGroupHarness() *groupHarness {
	return newGroupHarnessAt(time.Unix(1000, 0))
}

func newGroupHarnessAt(clock time.Time) *groupHarness {
	h := &groupHarness{clock: clock}
	d := Database{Name: "db", Members: []Member{{ID: "m0"}, {ID: "m1"}, {ID: "m2"}}}
	h.Group = New(simRules(DefaultConfig()), d, "i0", h)
	h.Start(h.clock)
	h.RecordSeen(h.clock, RecordSeen{Exists: true, Revision: 5, Record: Record{Term: 2, Phase: PhaseServing, Primary: "m0"}})
	h.respondAll(100)
	return h
}

func (h *groupHarness) status(id core.MemberID, logTerm core.Term, received core.LSN) core.MemberStatus {
	s := core.MemberStatus{Member: id, Role: core.RoleReplica, Term: 2, LogTerm: logTerm, Received: received, Applied: received}
	s.Terms = core.TermHistory{{Term: 2, Start: 100}}
	if id == "m0" {
		s.Role = core.RolePrimary
	}
	return s
}

// respond responds to the newest call of the method to the member of the status, if
// there is one.
func (h *groupHarness) respond(method Method, s core.MemberStatus) {
	for i := len(h.calls) - 1; i >= 0; i-- {
		if c := h.calls[i]; c.Method == method && c.Member == s.Member {
			h.MemberResponded(h.clock, MemberResponded{Call: c.Call, Status: s, SentAt: h.clock, ReceivedAt: h.clock})
			return
		}
	}
}

func (h *groupHarness) respondAll(received core.LSN) {
	for _, id := range []core.MemberID{"m0", "m1", "m2"} {
		h.respond(MethodStatus, h.status(id, 2, received))
	}
}

// tickFor ticks for d without any response.
func (h *groupHarness) tickFor(d time.Duration) {
	for end := h.clock.Add(d); h.clock.Before(end); h.Tick(h.clock) {
		h.clock = h.clock.Add(10 * time.Millisecond)
	}
}

// reportLostPrimary responds for d as two replicas that have lost their primary.
func (h *groupHarness) reportLostPrimary(d time.Duration) {
	for end := h.clock.Add(d); h.clock.Before(end); h.tickFor(20 * time.Millisecond) {
		for _, id := range []core.MemberID{"m1", "m2"} {
			s := h.status(id, 2, 110)
			s.PrimaryUnresponsiveFor = time.Minute
			h.respond(MethodStatus, s)
		}
	}
}

func (h *groupHarness) countCalls(method Method, term core.Term) int {
	n := 0
	for _, c := range h.calls {
		if c.Method == method && c.Term == term {
			n++
		}
	}
	return n
}

// Guards against a confirmation by a member whose log is of an older term: the log
// after the start of the current term may differ from the primary's.
func TestOlderLogTermConfirmsNothing(t *testing.T) {
	h := newGroupHarness()
	h.RequestConfirm(h.clock, session.ConfirmRequest{Position: core.Position{Term: 2, LSN: 120}})
	h.respond(MethodWait, h.status("m1", 1, 130))
	require.NotContains(t, h.confirmed, core.LSN(120))
	s := h.status("m2", 1, 130)
	s.Term = 1
	h.respond(MethodWait, s)
	require.NotContains(t, h.confirmed, core.LSN(120))
	h.tickFor(50 * time.Millisecond)
	h.respond(MethodWait, h.status("m1", 2, 119))
	h.tickFor(50 * time.Millisecond)
	require.NotContains(t, h.confirmed, core.LSN(120))
	h.respond(MethodWait, h.status("m1", 2, 120))
	require.Contains(t, h.confirmed, core.LSN(120))
}

// Guards against a received position of an older term that still counts after a
// change of primary.
func TestEvidenceOfAnOlderTermIsDropped(t *testing.T) {
	h := newGroupHarness()
	h.respond(MethodStatus, h.status("m1", 2, 500))
	h.tickFor(250 * time.Millisecond)
	h.respondAll(500)
	h.tickFor(250 * time.Millisecond)
	s := h.status("m1", 3, 401)
	s.Role, s.Term, s.Terms = core.RolePrimary, 3, core.TermHistory{{Term: 3, Start: 400}}
	h.respond(MethodStatus, s)
	h.RequestConfirm(h.clock, session.ConfirmRequest{Position: core.Position{Term: 3, LSN: 410}})
	require.Empty(t, h.confirmed)
}

// Guards against a floor taken from a response whose request was sent before the
// round began.
func TestFloorIgnoresEarlierAnswers(t *testing.T) {
	h := newGroupHarness()
	h.tickFor(210 * time.Millisecond)
	sentAt := h.clock
	early := len(h.calls)
	h.clock = h.clock.Add(time.Millisecond)
	h.RequestFloor(h.clock, session.FloorRequest{Round: 1})
	for _, c := range h.calls[early-3 : early] {
		s := h.status(c.Member, 2, 110)
		h.MemberResponded(h.clock, MemberResponded{Call: c.Call, Status: s, SentAt: sentAt, ReceivedAt: h.clock})
	}
	require.Empty(t, h.floors)
	h.RequestFloor(h.clock, session.FloorRequest{Round: 2})
	h.respondAll(120)
	require.Equal(t, core.Position{Term: 2, LSN: 120}, h.floors[0].Position)
	h.tickFor(50 * time.Millisecond)
	h.respondAll(130)
	require.Equal(t, session.FloorResult{Database: "db", Round: 2, Position: core.Position{Term: 2, LSN: 130}}, h.floors[1])
}

// Guards against a pause of this instance that counts as unresponsive time of the
// primary.
func TestOwnPauseIsNotSilence(t *testing.T) {
	h := newGroupHarness()
	h.tickFor(210 * time.Millisecond)
	h.clock = h.clock.Add(5 * time.Second)
	h.Tick(h.clock)
	require.Equal(t, "healthy", h.State())
	h.reportLostPrimary(500 * time.Millisecond)
	require.Empty(t, h.swaps)
	h.reportLostPrimary(300 * time.Millisecond)
	require.Len(t, h.swaps, 1)
}

// Guards against commands that carry a claimed term which has not been won, after
// the chosen member has stopped.
func TestOrdersCarryTheTermThatWasWon(t *testing.T) {
	h := newGroupHarness()
	h.reportLostPrimary(900 * time.Millisecond)
	h.SwapResult(h.clock, SwapResult{Call: h.swaps[0].Call, Outcome: SwapWon, Revision: 6})
	for _, id := range []core.MemberID{"m1", "m2"} {
		s := h.status(id, 2, 110)
		s.Role, s.Term = core.RoleFenced, 3
		h.respond(MethodFence, s)
	}
	require.Equal(t, 1, h.countCalls(MethodPromote, 3))
	h.tickFor(3 * time.Second)
	require.Equal(t, core.Term(4), h.swaps[1].Record.Term)
	require.Greater(t, h.countCalls(MethodPromote, 3), 1)
	require.Zero(t, h.countCalls(MethodPromote, 4)+h.countCalls(MethodFence, 4))
}

// Guards against an earlier claim of this instance that takes effect late and is
// taken for its newest one: another instance could have won the newer term.
func TestLateClaimIsToldByItsNonce(t *testing.T) {
	h := newGroupHarness()
	h.reportLostPrimary(900 * time.Millisecond)
	first := h.swaps[0]
	h.SwapResult(h.clock, SwapResult{Call: first.Call, Outcome: SwapUnknown})
	s := h.status("m1", 2, 110)
	s.Role, s.Term = core.RoleFenced, 8
	h.respond(MethodStatus, s)
	h.recordUpToDate = true
	h.reportLostPrimary(3 * time.Second)
	require.Equal(t, core.Term(9), h.swaps[len(h.swaps)-1].Record.Term)
	h.RecordSeen(h.clock, RecordSeen{Exists: true, Revision: 6, Record: first.Record})
	require.Zero(t, h.countCalls(MethodFence, 9))
}

// Guards against a different claim after one whose response was lost, and against a
// first claim that takes effect late and is not recognized.
func TestLostClaimIsRepeatedUnchanged(t *testing.T) {
	h := newGroupHarness()
	h.reportLostPrimary(900 * time.Millisecond)
	first := h.swaps[0]
	h.SwapResult(h.clock, SwapResult{Call: first.Call, Outcome: SwapUnknown})
	h.ReadResult(h.clock, ReadResult{Call: h.pendingRead, Seen: RecordSeen{Exists: true, Revision: 5, Record: h.record}})
	h.reportLostPrimary(200 * time.Millisecond)
	require.Len(t, h.swaps, 2)
	require.Equal(t, first.Record, h.swaps[1].Record)
	h.SwapResult(h.clock, SwapResult{
		Call:    h.swaps[1].Call,
		Outcome: SwapConflict,
		Current: RecordSeen{Exists: true, Revision: 6, Record: first.Record},
	})
	require.Equal(t, 3, h.countCalls(MethodFence, 3))
}

// Guards against a claim that conflicts forever after an operator has deleted the
// record, and against a late result for an earlier Group of the same database that
// matches a call of the current one.
func TestDeletedRecordAndEarlierGroup(t *testing.T) {
	h := newGroupHarness()
	later := newGroupHarnessAt(h.clock.Add(time.Second))
	for _, c := range h.calls {
		for _, other := range later.calls {
			require.NotEqual(t, c.Call, other.Call)
		}
	}
	h.RecordSeen(h.clock, RecordSeen{})
	h.reportLostPrimary(900 * time.Millisecond)
	require.Zero(t, h.swaps[0].Revision)
	require.Equal(t, core.Term(3), h.swaps[0].Record.Term)
}

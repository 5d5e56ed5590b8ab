package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// evacuationView publishes a view in which m0 is the primary and the members named are
// withdrawn.
func (h *harness) evacuationView(withheld bool, withdrawn ...core.MemberID) {
	v := GroupView{Database: "db", PrimaryWithheld: withheld}
	for i := range h.catalogue.Databases[0].Members {
		id := h.catalogue.Databases[0].Members[i].ID
		view := MemberView{Status: core.MemberStatus{Member: id, Role: core.RoleReplica}, Reachable: true, Announced: 1, RespondedAt: h.now}
		if id == "m0" {
			view.Status.Role = core.RolePrimary
		}
		for _, w := range withdrawn {
			if id == w {
				view.Reachable, view.Withdrawn, view.SendUntil = false, true, h.now
			}
		}
		v.Members = append(v.Members, view)
	}
	h.do(v)
}

// closing reports whether the engine has asked for the end of the connection.
func (h *harness) closing(id TargetID) bool {
	for _, c := range h.targets {
		if c == (TargetClose{Target: id}) {
			return true
		}
	}
	return false
}

// inTransaction opens a transaction of the caller on the primary and returns its
// connection.
func (h *harness) inTransaction(id CallerID) TargetID {
	h.sendClassified(id, "begin", begin)
	h.sendClassified(id, "write", write)
	target := h.lastSent().Target
	h.primaryAnswers(target, 'T', position(1, 100))
	return target
}

// Guards against an open transaction that goes on at a withdrawn member, or whose caller
// is not told that it was rolled back.
func TestWithdrawnMemberEndsOpenTransactions(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	target := h.inTransaction(1)
	h.evacuationView(false, "m0")
	require.True(t, h.closing(target))
	sent := h.countSent()
	h.sendClassified(1, "commit", commit)
	h.requireRefused(core.ReasonTransactionAborted, core.OutcomeNotRun)
	require.Equal(t, sent, h.countSent())
}

// Guards against a statement of a transaction that runs or waits at a withdrawn member and
// leaves the transaction open.
func TestWithdrawnMemberEndsRunningTransactions(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.open(2, core.Position{})
	running := h.inTransaction(1)
	first := func() TargetID {
		h.sendClassified(2, "begin", begin)
		h.sendClassified(2, "write", write)
		return h.lastSent().Target
	}()
	h.sendClassified(1, "write", write)
	h.callers = nil
	h.evacuationView(false, "m0")
	require.Len(t, h.callers, 2)
	for _, c := range h.callers {
		require.Equal(t, core.ReasonTransactionAborted, c.(CallerError).Refusal.Reason)
		require.Equal(t, core.OutcomeNotRun, c.(CallerError).Refusal.Outcome)
	}
	require.True(t, h.closing(running))
	require.True(t, h.closing(first))
	answers := len(h.callers)
	h.primaryAnswers(running, 'T', position(1, 101))
	require.Len(t, h.callers, answers)
}

// Guards against a commit or a single statement that was sent in time and whose answer is
// given up, and against a connection to a withdrawn member that stays open afterwards.
func TestWithdrawnMemberAnswersWhatRuns(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.open(2, core.Position{})
	committing := h.inTransaction(1)
	h.sendClassified(1, "commit", commit)
	h.sendClassified(2, "write", write)
	single := h.lastSent().Target
	answers := len(h.callers)
	h.evacuationView(false, "m0")
	require.Len(t, h.callers, answers)
	for _, target := range []TargetID{committing, single} {
		h.primaryAnswers(target, TxIdle, position(1, 101))
		require.Equal(t, []byte("ready"), h.lastCallerCommand().(CallerWrite).Frames)
		require.True(t, h.closing(target))
	}
}

// Guards against a transaction that is open at a withdrawn member because its caller was
// receiving a result when the member was withdrawn.
func TestTransactionEndsAfterItsResult(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	target := h.inTransaction(1)
	h.sendClassified(1, "read", read)
	h.do(TargetData{Target: target, Frames: []byte("row")})
	h.evacuationView(false, "m0")
	h.primaryAnswers(target, 'T', position(1, 101))
	require.Equal(t, []byte("ready"), h.lastCallerCommand().(CallerWrite).Frames)
	require.True(t, h.closing(target))
	sent := h.countSent()
	h.sendClassified(1, "write", write)
	h.requireRefused(core.ReasonTransactionAborted, core.OutcomeNotRun)
	require.Equal(t, sent, h.countSent())
}

// Guards against requests, probes and connections to a withdrawn member after its
// withdrawal, and against one that is not used at once when the evacuation ends.
func TestNothingIsSentToAWithdrawnMember(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	idle := h.lastSent().Target
	h.primaryAnswers(idle, TxIdle, position(1, 100))
	h.evacuationView(false, "m0")
	require.True(t, h.closing(idle))
	h.do(TargetClosed{Target: idle})
	h.targets, h.callers = nil, nil
	h.sendClassified(1, "write", write)
	for range 100 {
		h.wait(10 * time.Millisecond)
		h.connect()
	}
	for _, c := range h.targets {
		switch c := c.(type) {
		case TargetOpen:
			require.NotEqual(t, core.MemberID("m0"), c.Member)
		case TargetProbe, TargetSend:
			require.Fail(t, "sent", "%#v", c)
		}
	}
	require.Empty(t, h.callers, "the write waits for the new primary")
	h.evacuationView(false)
	h.connect()
	require.Equal(t, core.MemberID("m0"), h.memberOf(h.lastSent().Target))
}

// Guards against a process that was paused beyond the end of sending and then handles an
// input, before fleet's next view or with an older one, as if the time had not come.
func TestPausedProcessNoticesTheEndOfSending(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.open(2, core.Position{})
	target := h.inTransaction(1)
	older := GroupView{Database: "db", Members: []MemberView{{
		Status: core.MemberStatus{Member: "m0", Role: core.RolePrimary}, Reachable: true, Announced: 1, RespondedAt: h.now,
		SendUntil: h.now.Add(time.Second),
	}}}
	h.do(older)
	h.wait(999 * time.Millisecond)
	require.False(t, h.closing(target))
	h.now = h.now.Add(time.Minute)
	sent := h.countSent()
	h.sendClassified(1, "write", write)
	h.requireRefused(core.ReasonTransactionAborted, core.OutcomeNotRun)
	require.True(t, h.closing(target))
	h.do(older)
	h.sendClassified(2, "write", write)
	require.Equal(t, sent, h.countSent())
}

// Guards against a request that is handed over in time and written too late.
func TestRequestsCarryTheEndOfSending(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	v := GroupView{Database: "db", Members: []MemberView{{
		Status: core.MemberStatus{Member: "m0", Role: core.RolePrimary}, Reachable: true, Announced: 1, RespondedAt: h.now,
		SendUntil: h.now.Add(10 * time.Millisecond),
	}}}
	h.do(v)
	h.sendClassified(1, "write", write)
	require.Equal(t, h.now.Add(10*time.Millisecond), h.lastSent().NotAfter)
}

// Guards against statements that wait until their deadline although no member can serve
// them while the evacuation lasts, including those that already wait.
func TestWithheldPrimaryRefusesAtOnce(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.open(2, core.Position{})
	h.evacuationView(false, "m0")
	h.callers = nil
	h.sendClassified(1, "write", write)
	require.Empty(t, h.callers, "another member may become the primary")
	h.evacuationView(true, "m0", "m1")
	h.requireRefused(core.ReasonNoPrimary, core.OutcomeNotRun)
	h.sendClassified(2, "write", write)
	h.requireRefused(core.ReasonNoPrimary, core.OutcomeNotRun)
	h.evacuationView(false)
	h.sendClassified(2, "write", write)
	require.Equal(t, core.MemberID("m0"), h.memberOf(h.lastSent().Target))
}

// Guards against a statement that a member has rejected, or whose connection was lost, and
// that waits for a primary although none can be had; and against a wrong "not run" about one
// that may have run.
func TestWithheldPrimaryEndsRetries(t *testing.T) {
	h := newAsyncHarness(t)
	for id := range CallerID(3) {
		h.open(id+1, core.Position{})
	}
	h.sendClassified(1, "write", write)
	rejected := h.lastSent().Target
	h.sendClassified(2, "write", write)
	unsent := h.lastSent().Target
	h.evacuationView(true, "m0", "m1", "m2")
	h.reject(rejected, RejectionBusy)
	h.requireRefused(core.ReasonNoPrimary, core.OutcomeNotRun)
	h.do(TargetClosed{Target: unsent, Unsent: true})
	h.requireRefused(core.ReasonNoPrimary, core.OutcomeNotRun)
	h.evacuationView(false)
	h.wait(time.Second) // the pacer delays statements after a refusal
	h.e.entries["entry"].definition.Idempotent = true
	h.sendClassified(3, "write", write)
	sent := h.lastSent().Target
	h.evacuationView(true, "m0", "m1", "m2")
	h.do(TargetClosed{Target: sent})
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
}

// Guards against reads that wait for a replica although every member is withdrawn.
func TestReadsAreRefusedWhenAllMembersAreWithdrawn(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.evacuationView(true, "m0", "m1", "m2")
	h.callers = nil
	h.sendClassified(1, "read", read)
	h.requireRefused(core.ReasonNoMember, core.OutcomeNotRun)
	require.Zero(t, h.countSent())
}

// Guards against a queued statement that stays with a withdrawn replica.
func TestQueuedReadLeavesAWithdrawnReplica(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.open(2, core.Position{})
	h.sendClassified(1, "write", write)
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 120))
	h.do(CallerRequest{Caller: 2, Request: &Request{
		Classification: &Classification{Kind: KindRead, Hints: Hints{MaxAge: -1}}, Payload: &Payload{Frames: []byte("read")}, Arrived: h.now,
	}})
	var opening TargetOpen
	for _, c := range h.targets {
		if o, ok := c.(TargetOpen); ok {
			opening = o
		}
	}
	require.NotEqual(t, core.MemberID("m0"), opening.Member)
	h.evacuationView(false, opening.Member)
	h.connect()
	require.NotEqual(t, opening.Member, h.memberOf(h.lastSent().Target))
	require.True(t, h.closing(opening.Target))
}

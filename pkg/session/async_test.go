package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// newAsyncHarness gives an engine for a group that replicates asynchronously;
// m0 announces itself as the primary.
func newAsyncHarness(t testing.TB) *harness {
	h := newHarness(t, func(c *Config) {
		c.AckAtCommit = true
		c.AsyncReplication = true
		c.RatePerOperation = true
		c.FinishOnRevocation = true
		c.MemberConnections = 2
	})
	h.share(2)
	h.announce(1, "m0")
	return h
}

// announce publishes that the member leads; later revisions are newer.
func (h *harness) announce(revision uint64, primary core.MemberID) {
	v := GroupView{Database: "db"}
	for i := range h.cat.Databases[0].Members {
		id := h.cat.Databases[0].Members[i].ID
		status := core.MemberStatus{Member: id, Role: core.RoleReplica}
		if id == primary {
			status.Role = core.RolePrimary
		}
		v.Members = append(v.Members, MemberView{Status: status, Reachable: true, Announced: revision, SeenAt: h.now})
	}
	h.do(v)
}

// order sends a request whose verdict the caller's protocol gives.
func (h *harness) order(id CallerID, text string, v Verdict) {
	v.Hints.MaxAge = -1
	h.do(CallerRequest{Caller: id, Request: &Request{
		Verdict: &v, Payload: &Payload{ID: text, Frames: []byte(text)}, Arrived: h.now,
	}})
	h.connect()
}

// answer completes a request as the primary of the position's term.
func (h *harness) answer(target TargetID, status byte, end core.Position) {
	h.do(TargetReady{Target: target, Frames: []byte("ready"), TxStatus: status, LogEnd: end, Leader: true})
}

func (h *harness) deny(target TargetID, d Denial) {
	h.do(TargetReady{Target: target, Frames: []byte("denied"), TxStatus: TxIdle, ErrorState: "DENIED", Denial: d})
}

func term(t, lsn uint64) core.Position {
	return core.Position{Term: core.Term(t), LSN: core.LSN(lsn)}
}

// Guards against an answer that shows a newer term and so ends its own
// statement while it is being dealt with; the statement was then sent again,
// and later ones of its transaction ran outside of it (hunt-7171-11).
func TestAnswerOfNewerTermEndsItsOwnStatementOnce(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.open(2, core.Position{})
	h.order(1, "begin", begin)
	h.order(1, "read", read)
	pinned := h.sent().Target
	h.answer(pinned, 'T', term(1, 100))
	h.order(2, "write", write)
	other := h.sent().Target
	require.NotEqual(t, pinned, other)
	h.order(1, "read", read)
	h.deny(other, DenialNotPrimary)
	h.callers = nil
	h.do(TargetReady{Target: pinned, Frames: []byte("ready"), TxStatus: 'T', LogEnd: term(2, 100)})
	answers := 0
	for _, c := range h.callers {
		switch c.(type) {
		case CallerWrite, CallerFail:
			answers++
		}
	}
	require.Equal(t, 1, answers, "the read has one answer")
	sent := h.countSent()
	h.order(1, "write", write)
	require.Equal(t, sent, h.countSent(), "the transaction's connection went with the replaced primary")
	h.refusedWith(core.ReasonTransactionAborted, core.OutcomeNotRun)
}

// Guards against a read by a member that may lack a commit acknowledged before
// the accepted age: without a proven position only the primary serves, and it
// has to prove its lead.
func TestReadsCarryAProvenPosition(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.order(1, "read", read)
	s := h.sent()
	require.Equal(t, core.MemberID("m0"), h.memberOf(s.Target))
	require.True(t, s.LeaderOnly)
	h.answer(s.Target, TxIdle, term(1, 120))
	h.order(1, "read", read)
	s = h.sent()
	require.NotEqual(t, core.MemberID("m0"), h.memberOf(s.Target), "a replica serves once a position is proven")
	require.Equal(t, term(1, 120), s.MinPosition)
	require.False(t, s.LeaderOnly)
	h.do(TargetReady{Target: s.Target, Frames: []byte("ready"), TxStatus: TxIdle, LogEnd: term(1, 119)})
	h.e.entries["entry"].definition.MaxAgeMillis = 500
	h.wait(time.Second)
	h.order(1, "read", read)
	require.True(t, h.sent().LeaderOnly, "the proof is older than the accepted age")
}

// Guards against a session that does not see its own write on a replica.
func TestOwnCommitRaisesTheNeededPosition(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.order(1, "write", write)
	s := h.sent()
	h.do(TargetReady{Target: s.Target, Frames: []byte("ready"), TxStatus: TxIdle,
		Position: term(1, 130), LogEnd: term(1, 130), Leader: true})
	h.order(1, "read", read)
	require.Equal(t, term(1, 130), h.sent().MinPosition)
}

// Guards against a denied statement that is lost, runs twice or is refused
// although another member can serve it.
func TestDeniedReadGoesElsewhere(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.order(1, "read", read)
	h.answer(h.sent().Target, TxIdle, term(1, 120))
	h.order(1, "read", read)
	tried := map[core.MemberID]bool{}
	for range 2 {
		s := h.sent()
		tried[h.memberOf(s.Target)] = true
		h.deny(s.Target, DenialLagging)
		h.connect()
	}
	require.Len(t, tried, 2)
	s := h.sent()
	require.Equal(t, core.MemberID("m0"), h.memberOf(s.Target), "both replicas lag, so the primary serves")
	h.answer(s.Target, TxIdle, term(1, 121))
	_, ok := h.last().(CallerWrite)
	require.True(t, ok)
}

// Guards against a statement of a transaction that runs outside of it: a member
// that lost the lead may deny it and end the transaction with the same answer
// (rnac-pool trouble-3, PINNED).
func TestDeniedStatementOfATransactionIsNotRepeated(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.order(1, "begin", begin)
	h.order(1, "read", read)
	target := h.sent().Target
	h.answer(target, 'T', term(1, 100))
	h.order(1, "read", read)
	sent := h.countSent()
	h.deny(target, DenialNotPrimary)
	h.announce(2, "m1")
	h.connect()
	require.Equal(t, sent, h.countSent())
	write, ok := h.last().(CallerWrite)
	require.True(t, ok, "%#v", h.last())
	require.EqualValues(t, TxIdle, write.TxStatus)
}

// Guards against writes that go to a member which has said that it lost the
// lead, and against writes that are lost while there is no primary.
func TestWriteFollowsTheLead(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.order(1, "write", write)
	h.deny(h.sent().Target, DenialNotPrimary)
	sent := h.countSent()
	h.wait(10 * time.Millisecond)
	require.Equal(t, sent, h.countSent(), "the member denied the lead a moment ago")
	h.announce(2, "m1")
	h.connect()
	require.Equal(t, core.MemberID("m1"), h.memberOf(h.sent().Target))
}

// Guards against connections that serve another account than their own.
func TestConnectionsBelongToOneAccount(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.order(1, "write", write)
	for _, c := range h.targets {
		if open, ok := c.(TargetOpen); ok {
			require.Equal(t, core.AccountName("acct"), open.Account)
		}
	}
	m := h.e.databases["db"].members[0]
	h.answer(h.sent().Target, TxIdle, term(1, 100))
	require.NotNil(t, m.idleFor("acct"))
	require.Nil(t, m.idleFor("other"))
}

// Guards against a refusal that says "not run" while the transaction lives on.
func TestRefusalEndsTheTransaction(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.order(1, "begin", begin)
	h.order(1, "read", read)
	target := h.sent().Target
	h.answer(target, 'T', term(1, 100))
	h.do(TargetClosed{Target: target, Unsent: true})
	h.order(1, "write", write)
	require.EqualValues(t, TxIdle, h.refusedWith(core.ReasonTransactionAborted, core.OutcomeNotRun))
}

// Guards against an answer that is cut off because its key was revoked.
func TestRevokedKeyEndsAfterTheAnswer(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.order(1, "write", write)
	s := h.sent()
	h.do(KeysRevoked{Keys: []core.KeyID{"k1"}})
	h.answer(s.Target, TxIdle, term(1, 101))
	require.Len(t, h.callers, 3)
	require.IsType(t, CallerWrite{}, h.callers[1])
	h.closedWith(core.ReasonKeyRevoked, core.OutcomeNotRun)
}

// Guards against a connection that is held while its caller has not asked for
// anything, and against a first statement that runs outside its transaction.
func TestTransactionBeginsWithItsFirstStatement(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.order(1, "begin", begin)
	require.EqualValues(t, 'T', h.last().(CallerReply).TxStatus)
	require.Zero(t, h.countSent())
	h.order(1, "write", write)
	first := h.sent()
	require.True(t, first.Begin)
	h.deny(first.Target, DenialNotPrimary)
	h.announce(2, "m1")
	h.connect()
	again := h.sent()
	require.Equal(t, core.MemberID("m1"), h.memberOf(again.Target))
	require.True(t, again.Begin, "the transaction begins again")
	h.answer(again.Target, 'T', term(2, 100))
	h.order(1, "write", write)
	require.False(t, h.sent().Begin)
	require.Equal(t, again.Target, h.sent().Target)
}

// Guards against a transaction without statements that needs a member to be
// rolled back, or is told as committed without one.
func TestTransactionWithoutStatements(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.order(1, "begin", begin)
	h.order(1, "rollback", Verdict{Kind: KindEnd, Name: "rollback"})
	require.EqualValues(t, TxIdle, h.last().(CallerReply).TxStatus)
	require.Zero(t, h.countSent())
	h.order(1, "begin", begin)
	h.order(1, "commit", commit)
	require.True(t, h.sent().Begin)
}

// Guards against a stop that cuts off a caller whose transaction was answered as
// begun.
func TestDrainWaitsForABegunTransaction(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.order(1, "begin", begin)
	h.do(Drain{})
	require.IsType(t, CallerReply{}, h.last())
	h.order(1, "write", write)
	h.answer(h.sent().Target, TxIdle, term(1, 100))
	h.closedWith(core.ReasonStopping, core.OutcomeNotRun)
}

// Guards against a member that is taken for silent although it refuses
// connections because of its bound (vejtrae-pool trouble-1, after the power
// returned: five homes gave way).
func TestFullMemberIsNotSilent(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.do(CallerRequest{Caller: 1, Request: &Request{Verdict: &Verdict{Kind: KindWrite, Hints: Hints{MaxAge: -1}},
		Payload: &Payload{}, Arrived: h.now}})
	for range 10 {
		h.do(TargetClosed{Target: h.e.lastTarget, Unsent: true, Refused: true, Full: true})
		h.wait(100 * time.Millisecond)
	}
	require.NotContains(t, h.control, SuspectMember{Database: "db", Member: "m0"})
}

// Guards against a connection that is held by a caller which rests inside its
// transaction.
func TestIdleTransactionIsEnded(t *testing.T) {
	h := newAsyncHarness(t)
	h.do(LimitsInForce{TransactionIdle: 3 * time.Second})
	h.open(1, core.Position{})
	h.order(1, "begin", begin)
	h.order(1, "write", write)
	h.answer(h.sent().Target, 'T', term(1, 100))
	h.wait(2900 * time.Millisecond)
	require.IsType(t, CallerWrite{}, h.last())
	h.wait(200 * time.Millisecond)
	require.IsType(t, CallerClose{}, h.last())
	require.Contains(t, h.targets, TargetClose{Target: h.sent().Target})
}

// Guards against connections that stay open unused while the accounts of other
// instances find no room at the member; the engine's own probes are no use of
// one.
func TestSharedConnectionClosesAfterItsRest(t *testing.T) {
	h := newAsyncHarness(t)
	h.do(ShareInForce{
		Accounts:    map[core.AccountName]RateShare{"acct": {Rate: 1000, Burst: 1000}},
		Connections: map[core.DatabaseName]int{"db": 3},
		Rest:        map[core.DatabaseName]time.Duration{"db": 400 * time.Millisecond},
		Until:       h.now.Add(time.Hour),
	})
	h.open(1, core.Position{})
	h.order(1, "write", write)
	used := h.sent().Target
	h.wait(time.Second)
	require.NotContains(t, h.targets, TargetClose{Target: used}, "a request runs")
	h.answer(used, TxIdle, term(1, 100))
	h.wait(200 * time.Millisecond)
	h.wait(100 * time.Millisecond)
	require.Contains(t, h.targets, TargetProbe{Target: used})
	h.answer(used, TxIdle, term(1, 100))
	h.wait(80 * time.Millisecond)
	require.NotContains(t, h.targets, TargetClose{Target: used})
	h.wait(30 * time.Millisecond)
	require.Contains(t, h.targets, TargetClose{Target: used})
}

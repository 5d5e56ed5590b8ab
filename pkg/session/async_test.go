package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// newAsyncHarness returns a harness for a group that replicates asynchronously;
// m0 announces itself as the primary.
func newAsyncHarness(t testing.TB) *harness {
	h := newHarness(t, func(c *Config) {
		c.AckAtCommit = true
		c.AsyncReplication = true
		c.RatePerOperation = true
		c.FinishOnRevocation = true
		c.MemberConnections = 2
	})
	h.publishShare(2)
	h.announce(1, "m0")
	return h
}

// announce publishes that the member announces itself as the primary; a higher
// revision is newer.
func (h *harness) announce(revision uint64, primary core.MemberID) {
	v := GroupView{Database: "db"}
	for i := range h.catalogue.Databases[0].Members {
		id := h.catalogue.Databases[0].Members[i].ID
		status := core.MemberStatus{Member: id, Role: core.RoleReplica}
		if id == primary {
			status.Role = core.RolePrimary
		}
		v.Members = append(v.Members, MemberView{Status: status, Reachable: true, Announced: revision, RespondedAt: h.now})
	}
	h.do(v)
}

// sendClassified sends a request whose protocol supplies the classification.
func (h *harness) sendClassified(id CallerID, text string, classification Classification) {
	classification.Hints.MaxAge = -1
	h.do(CallerRequest{Caller: id, Request: &Request{
		Classification: &classification, Payload: &Payload{ID: text, Frames: []byte(text)}, Arrived: h.now,
	}})
	h.connect()
}

// primaryAnswers completes a request as the primary of the position's term.
func (h *harness) primaryAnswers(target TargetID, status byte, end core.Position) {
	h.do(TargetReady{Target: target, Frames: []byte("ready"), TxStatus: status, LogEnd: end, VerifiedPrimary: true})
}

// reject completes a request as rejected by the member.
func (h *harness) reject(target TargetID, d Rejection) {
	h.do(TargetReady{Target: target, Frames: []byte("denied"), TxStatus: TxIdle, ErrorCode: "DENIED", Rejection: d})
}

func position(t, lsn uint64) core.Position {
	return core.Position{Term: core.Term(t), LSN: core.LSN(lsn)}
}

// Guards against a statement that is retried because its own answer shows a
// newer term, which ends the statements on the replaced primary. Later
// statements of its transaction then ran outside of it.
func TestAnswerOfNewerTermEndsItsOwnStatementOnce(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.open(2, core.Position{})
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "read", read)
	pinned := h.lastSent().Target
	h.primaryAnswers(pinned, 'T', position(1, 100))
	h.sendClassified(2, "write", write)
	other := h.lastSent().Target
	require.NotEqual(t, pinned, other)
	h.sendClassified(1, "read", read)
	h.reject(other, RejectionNotPrimary)
	h.callers = nil
	h.do(TargetReady{Target: pinned, Frames: []byte("ready"), TxStatus: 'T', LogEnd: position(2, 100)})
	answers := 0
	for _, c := range h.callers {
		switch c.(type) {
		case CallerWrite, CallerError:
			answers++
		}
	}
	require.Equal(t, 1, answers, "the read has one answer")
	sent := h.countSent()
	h.sendClassified(1, "write", write)
	require.Equal(t, sent, h.countSent(), "the transaction's connection was closed with the replaced primary")
	h.requireRefused(core.ReasonTransactionAborted, core.OutcomeNotRun)
}

// Guards against a read on a member that may lack a commit acknowledged before
// the accepted age. Without a position proof only the primary serves reads, and
// it has to verify that it is the primary.
func TestReadsCarryAProvenPosition(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "read", read)
	s := h.lastSent()
	require.Equal(t, core.MemberID("m0"), h.memberOf(s.Target))
	require.True(t, s.PrimaryOnly)
	h.primaryAnswers(s.Target, TxIdle, position(1, 120))
	h.sendClassified(1, "read", read)
	s = h.lastSent()
	require.NotEqual(t, core.MemberID("m0"), h.memberOf(s.Target), "a replica serves once a position is proven")
	require.Equal(t, position(1, 120), s.MinPosition)
	require.False(t, s.PrimaryOnly)
	h.do(TargetReady{Target: s.Target, Frames: []byte("ready"), TxStatus: TxIdle, LogEnd: position(1, 119)})
	h.e.entries["entry"].definition.MaxAgeMillis = 500
	h.wait(time.Second)
	h.sendClassified(1, "read", read)
	require.True(t, h.lastSent().PrimaryOnly, "the proof is older than the accepted age")
}

// Guards against a session that does not see its own write on a replica.
func TestOwnCommitRaisesTheNeededPosition(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	s := h.lastSent()
	h.do(TargetReady{Target: s.Target, Frames: []byte("ready"), TxStatus: TxIdle,
		Position: position(1, 130), LogEnd: position(1, 130), VerifiedPrimary: true})
	h.sendClassified(1, "read", read)
	require.Equal(t, position(1, 130), h.lastSent().MinPosition)
}

// Guards against a rejected statement that is lost, runs twice, or is refused
// although another member can serve it.
func TestDeniedReadGoesElsewhere(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "read", read)
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 120))
	h.sendClassified(1, "read", read)
	tried := map[core.MemberID]bool{}
	for range 2 {
		s := h.lastSent()
		tried[h.memberOf(s.Target)] = true
		h.reject(s.Target, RejectionLagging)
		h.connect()
	}
	require.Len(t, tried, 2)
	s := h.lastSent()
	require.Equal(t, core.MemberID("m0"), h.memberOf(s.Target), "both replicas lag, so the primary serves")
	h.primaryAnswers(s.Target, TxIdle, position(1, 121))
	_, ok := h.lastCallerCommand().(CallerWrite)
	require.True(t, ok)
}

// Guards against a statement of a transaction that runs outside of it: a member
// that is no longer the primary may reject the statement and end the
// transaction in the same answer.
func TestDeniedStatementOfATransactionIsNotRepeated(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "read", read)
	target := h.lastSent().Target
	h.primaryAnswers(target, 'T', position(1, 100))
	h.sendClassified(1, "read", read)
	sent := h.countSent()
	h.reject(target, RejectionNotPrimary)
	h.announce(2, "m1")
	h.connect()
	require.Equal(t, sent, h.countSent())
	write, ok := h.lastCallerCommand().(CallerWrite)
	require.True(t, ok, "%#v", h.lastCallerCommand())
	require.EqualValues(t, TxIdle, write.TxStatus)
}

// Guards against writes that are sent to a member which has reported not being
// the primary, and against writes that are lost while there is no primary.
func TestWriteFollowsTheLead(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	h.reject(h.lastSent().Target, RejectionNotPrimary)
	sent := h.countSent()
	h.wait(10 * time.Millisecond)
	require.Equal(t, sent, h.countSent(), "the member has just reported not being the primary")
	h.announce(2, "m1")
	h.connect()
	require.Equal(t, core.MemberID("m1"), h.memberOf(h.lastSent().Target))
}

// Guards against connections that serve another account than their own.
func TestConnectionsBelongToOneAccount(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	for _, c := range h.targets {
		if open, ok := c.(TargetOpen); ok {
			require.Equal(t, core.AccountName("acct"), open.Account)
		}
	}
	m := h.e.databases["db"].members[0]
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 100))
	require.NotNil(t, m.idleFor("acct"))
	require.Nil(t, m.idleFor("other"))
}

// Guards against a refusal that says "not run" while the transaction stays
// open.
func TestRefusalEndsTheTransaction(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "read", read)
	target := h.lastSent().Target
	h.primaryAnswers(target, 'T', position(1, 100))
	h.do(TargetClosed{Target: target, Unsent: true})
	h.sendClassified(1, "write", write)
	require.EqualValues(t, TxIdle, h.requireRefused(core.ReasonTransactionAborted, core.OutcomeNotRun))
}

// Guards against an answer that is lost because its key is revoked.
func TestRevokedKeyEndsAfterTheAnswer(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	s := h.lastSent()
	h.do(KeysRevoked{Keys: []core.KeyID{"k1"}})
	h.primaryAnswers(s.Target, TxIdle, position(1, 101))
	require.Len(t, h.callers, 3)
	require.IsType(t, CallerWrite{}, h.callers[1])
	h.requireClosed(core.ReasonKeyRevoked, core.OutcomeNotRun)
}

// Guards against a connection that is pinned before its caller has sent a
// statement, and against a first statement that runs outside its transaction.
func TestTransactionBeginsWithItsFirstStatement(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "begin", begin)
	require.EqualValues(t, 'T', h.lastCallerCommand().(CallerReply).TxStatus)
	require.Zero(t, h.countSent())
	h.sendClassified(1, "write", write)
	first := h.lastSent()
	require.True(t, first.Begin)
	h.reject(first.Target, RejectionNotPrimary)
	h.announce(2, "m1")
	h.connect()
	again := h.lastSent()
	require.Equal(t, core.MemberID("m1"), h.memberOf(again.Target))
	require.True(t, again.Begin, "the deferred BEGIN is sent again")
	h.primaryAnswers(again.Target, 'T', position(2, 100))
	h.sendClassified(1, "write", write)
	require.False(t, h.lastSent().Begin)
	require.Equal(t, again.Target, h.lastSent().Target)
}

// Guards against a transaction without statements that needs a member for its
// rollback, or whose commit is answered without a member.
func TestTransactionWithoutStatements(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "rollback", Classification{Kind: KindEnd, Name: "rollback"})
	require.EqualValues(t, TxIdle, h.lastCallerCommand().(CallerReply).TxStatus)
	require.Zero(t, h.countSent())
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "commit", commit)
	require.True(t, h.lastSent().Begin)
}

// Guards against a graceful stop that closes a caller whose deferred BEGIN was
// answered.
func TestDrainWaitsForABegunTransaction(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "begin", begin)
	h.do(Drain{})
	require.IsType(t, CallerReply{}, h.lastCallerCommand())
	h.sendClassified(1, "write", write)
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 100))
	h.requireClosed(core.ReasonStopping, core.OutcomeNotRun)
}

// Guards against a member that counts as unresponsive although it refuses
// connections because of its connection limit. After a power failure, five homes
// were released for that reason.
func TestFullMemberIsNotSilent(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.do(CallerRequest{Caller: 1, Request: &Request{Classification: &Classification{Kind: KindWrite, Hints: Hints{MaxAge: -1}},
		Payload: &Payload{}, Arrived: h.now}})
	for range 10 {
		h.do(TargetClosed{Target: h.e.lastTarget, Unsent: true, Refused: true, ConnectionLimit: true})
		h.wait(100 * time.Millisecond)
	}
	require.NotContains(t, h.control, MemberSuspected{Database: "db", Member: "m0"})
}

// Guards against a connection that stays pinned by a caller which pauses inside
// its transaction.
func TestIdleTransactionIsEnded(t *testing.T) {
	h := newAsyncHarness(t)
	h.do(LimitsUpdate{TransactionIdle: 3 * time.Second})
	h.open(1, core.Position{})
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "write", write)
	h.primaryAnswers(h.lastSent().Target, 'T', position(1, 100))
	h.wait(2900 * time.Millisecond)
	require.IsType(t, CallerWrite{}, h.lastCallerCommand())
	h.wait(200 * time.Millisecond)
	require.IsType(t, CallerClose{}, h.lastCallerCommand())
	require.Contains(t, h.targets, TargetClose{Target: h.lastSent().Target})
}

// Guards against connections that stay open unused while the accounts of other
// instances find the member at its connection limit. The engine's own probes do
// not count as use.
func TestSharedConnectionClosesAfterItsRest(t *testing.T) {
	h := newAsyncHarness(t)
	h.do(ShareUpdate{
		Accounts:     map[core.AccountName]RateShare{"acct": {Rate: 1000, Burst: 1000}},
		Connections:  map[core.DatabaseName]int{"db": 3},
		IdleTimeouts: map[core.DatabaseName]time.Duration{"db": 400 * time.Millisecond},
		ValidUntil:   h.now.Add(time.Hour),
	})
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	used := h.lastSent().Target
	h.wait(time.Second)
	require.NotContains(t, h.targets, TargetClose{Target: used}, "a request runs")
	h.primaryAnswers(used, TxIdle, position(1, 100))
	h.wait(200 * time.Millisecond)
	h.wait(100 * time.Millisecond)
	require.Contains(t, h.targets, TargetProbe{Target: used})
	h.primaryAnswers(used, TxIdle, position(1, 100))
	h.wait(80 * time.Millisecond)
	require.NotContains(t, h.targets, TargetClose{Target: used})
	h.wait(30 * time.Millisecond)
	require.Contains(t, h.targets, TargetClose{Target: used})
}

// Guards against a change of primary that does not know the newest term of its group.
func TestNewTermIsReported(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(3, 100))
	require.Contains(t, h.control, ControlReport(TermObserved{Database: "db", Term: 3}))
}

package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against a graceful stop that interrupts a request or transaction, or
// that never ends.
func TestDrain(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	h.open(2, at100)
	h.open(3, at100)
	s := h.run(2, "begin", begin)
	h.ready(s.Target, 'T', core.Position{})
	h.do(Drain{})
	h.requireClosed(core.ReasonStopping, core.OutcomeNotRun)
	s = h.run(2, "read", read)
	h.ready(s.Target, 'T', core.Position{})
	s = h.run(2, "commit", commit)
	h.ready(s.Target, 'I', core.Position{})
	require.Contains(t, h.callers, CallerWrite{Caller: 2, Frames: []byte("ready"), Done: true, TxStatus: txIdle})
	h.requireClosed(core.ReasonStopping, core.OutcomeNotRun)
	require.Contains(t, h.control, Drained{})

	h = newHarness(t, nil)
	h.open(1, at100)
	h.run(1, "write", write)
	h.do(Drain{})
	require.NotContains(t, h.control, Drained{})
	h.do(EndStatements{})
	require.Equal(t, core.OutcomeUncertain, h.refusalOf(1).Outcome)
	h.requireClosed(core.ReasonStopping, core.OutcomeNotRun)
	h.wait(time.Second)
	require.Contains(t, h.control, Drained{})
}

// refusalOf returns the newest refusal of a request of the caller.
func (h *harness) refusalOf(id CallerID) *core.Refusal {
	for i := len(h.callers) - 1; i >= 0; i-- {
		if m, ok := h.callers[i].(CallerError); ok && m.Caller == id {
			return m.Refusal
		}
	}
	require.Fail(h.t, "no request of the caller was refused")
	return nil
}

// requireTransactionEnded checks that the caller's next request is refused as not run
// although it belongs to a transaction, and that the session then ends.
func (h *harness) requireTransactionEnded(id CallerID) {
	sent, relayed := h.countSent(), h.countRelayed()
	h.sendClassified(id, "commit", commit)
	h.requireClosed(core.ReasonStopping, core.OutcomeNotRun)
	require.Equal(h.t, sent, h.countSent())
	require.Equal(h.t, relayed, h.countRelayed())
	require.Contains(h.t, h.control, Drained{})
}

func (h *harness) countRelayed() int {
	count := 0
	for _, c := range h.peers {
		if _, ok := c.(RelayRequest); ok {
			count++
		}
	}
	return count
}

// Guards against a planned stop that closes a connection under the last statement of an
// open transaction, and against one that keeps a transaction which its caller believes
// to be over.
func TestStopEndsOpenTransactions(t *testing.T) {
	t.Run("between two statements", func(t *testing.T) {
		h := newAsyncHarness(t)
		h.open(1, core.Position{})
		h.sendClassified(1, "begin", begin)
		h.sendClassified(1, "write", write)
		target := h.lastSent().Target
		h.primaryAnswers(target, 'T', position(1, 100))
		h.do(Drain{})
		h.do(EndTransactions{})
		require.Contains(t, h.targets, TargetClose{Target: target}, "the member rolls the transaction back")
		require.NotContains(t, h.control, Drained{}, "the caller has not been told")
		h.requireTransactionEnded(1)
	})
	t.Run("during a statement", func(t *testing.T) {
		h := newAsyncHarness(t)
		h.open(1, core.Position{})
		h.sendClassified(1, "begin", begin)
		h.sendClassified(1, "write", write)
		h.do(Drain{})
		h.do(EndTransactions{})
		require.Empty(t, h.closedCallers(), "the statement is not answered")
		h.primaryAnswers(h.lastSent().Target, 'T', position(1, 100))
		require.Equal(t, CallerWrite{Caller: 1, Frames: []byte("ready"), Done: true, TxStatus: 'T'}, h.lastCallerCommand())
		h.requireTransactionEnded(1)
	})
	t.Run("before its first statement", func(t *testing.T) {
		h := newAsyncHarness(t)
		h.open(1, core.Position{})
		h.sendClassified(1, "begin", begin)
		h.do(Drain{})
		h.do(EndTransactions{})
		h.requireTransactionEnded(1)
	})
	t.Run("at the home of the account", func(t *testing.T) {
		h := newOriginHarness(t)
		h.sendClassified(1, "begin", begin)
		h.sendClassified(1, "write", write)
		h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: 'T'})
		h.do(Drain{})
		h.do(EndTransactions{})
		require.Equal(t, []RelayEnd{{Address: homeAddress, Caller: 1, Sequence: h.lastRelayed().ID.Sequence}}, h.relayEnds())
		h.requireTransactionEnded(1)
	})
	t.Run("its commit is under way", func(t *testing.T) {
		h := newOriginHarness(t)
		h.sendClassified(1, "begin", begin)
		h.sendClassified(1, "write", write)
		h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: 'T'})
		h.sendClassified(1, "commit", commit)
		h.do(Drain{})
		h.do(EndTransactions{})
		h.homeResponds(h.lastRelayed(), RelayResponse{Frames: []byte("done"), TxStatus: TxIdle, Position: position(1, 101)})
		require.Contains(t, h.callers, CallerWrite{Caller: 1, Frames: []byte("done"), Done: true, TxStatus: TxIdle})
		h.requireClosed(core.ReasonStopping, core.OutcomeNotRun)
		require.Contains(t, h.control, Drained{})
	})
}

// Guards against an instance that stops while the statement of a caller still runs,
// because its time limit ends after the stop, and against an answer then that says
// "not run" of what may have run.
func TestStopAnswersWhatStillRuns(t *testing.T) {
	const untilEnd = 2 * time.Second
	cases := []struct {
		name          string
		home          bool
		inTransaction bool
		kind          Classification
		outcome       core.Outcome
	}{
		{"a write here", false, false, write, core.OutcomeUncertain},
		{"a write of a transaction here", false, true, write, core.OutcomeNotRun},
		{"a commit here", false, true, commit, core.OutcomeUncertain},
		{"a write at the home", true, false, write, core.OutcomeUncertain},
		{"a write of a transaction at the home", true, true, write, core.OutcomeNotRun},
		{"a commit at the home", true, true, commit, core.OutcomeUncertain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newStopHarness(t, c.home)
			if c.inTransaction {
				h.sendClassified(1, "begin", begin)
				h.sendClassified(1, "read", read)
				h.answerInTransaction(c.home)
			}
			h.sendClassified(1, "last", c.kind)
			require.Greater(t, h.e.callers[1].stmt.deadline.Sub(h.now), untilEnd, "the statement has more time than the stop")
			h.do(Drain{StatementsEnd: h.now.Add(untilEnd)})
			for range 19 {
				h.wait(untilEnd / 20)
				h.do(PeerProbeReply{Address: homeAddress})
			}
			require.Empty(t, h.closedCallers())
			h.wait(untilEnd/20 + relayMargin)
			require.Equal(t, c.outcome, h.refusalOf(1).Outcome)
			h.requireClosed(core.ReasonStopping, core.OutcomeNotRun)
			require.Contains(t, h.control, Drained{})
		})
	}
}

// newStopHarness returns a harness with caller 1, whose account has its home at another
// instance or on this one.
func newStopHarness(t testing.TB, home bool) *harness {
	if home {
		return newOriginHarness(t)
	}
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	return h
}

// answerInTransaction answers the running statement, after which its transaction is open.
func (h *harness) answerInTransaction(home bool) {
	if home {
		h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: 'T'})
		return
	}
	h.primaryAnswers(h.lastSent().Target, 'T', position(1, 100))
}

// Guards against a statement that is accepted during the stop with a time limit that ends
// after it.
func TestStatementSentDuringTheStopHasItsDeadline(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "begin", begin)
	end := h.now.Add(2 * time.Second)
	h.do(Drain{StatementsEnd: end})
	h.sendClassified(1, "write", write)
	require.Equal(t, end, h.lastSent().NotAfter)
}

// Guards against a home that waits, during its planned stop, for the next request of a
// transaction whose caller is connected to another instance; that instance tells the
// caller.
func TestStopEndsTransactionsOfOtherInstances(t *testing.T) {
	h := newHomeHarness(t)
	h.firstInTransaction = true
	h.sendRemote(1, 1, true, "write", write)
	target := h.lastSent().Target
	h.primaryAnswers(target, 'T', position(1, 100))
	h.do(Drain{})
	require.NotContains(t, h.control, Drained{})
	h.do(EndTransactions{})
	require.Contains(t, h.targets, TargetClose{Target: target})
	require.Contains(t, h.control, Drained{})
}

// Guards against the same if a statement of the transaction runs: it is answered first.
func TestStopAnswersTheStatementOfAnotherInstance(t *testing.T) {
	h := newHomeHarness(t)
	h.firstInTransaction = true
	h.sendRemote(1, 1, true, "write", write)
	target := h.lastSent().Target
	h.do(Drain{})
	h.do(EndTransactions{})
	require.NotContains(t, h.control, Drained{})
	h.primaryAnswers(target, 'T', position(1, 100))
	require.Equal(t, []byte("ready"), h.lastRelayResponse().Frames)
	require.Contains(t, h.targets, TargetClose{Target: target}, "the member rolls the transaction back")
	require.Contains(t, h.control, Drained{})
}

// Guards against a home that goes on with a statement which the stopping instance of its
// caller has given up, so that its outcome is not known there.
func TestHomeLearnsTheDeadlineOfTheStop(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "read", read)
	require.False(t, h.lastRelayed().ShortDeadline)
	h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: 'T'})
	h.do(Drain{StatementsEnd: h.now.Add(time.Second)})
	h.sendClassified(1, "write", write)
	require.True(t, h.lastRelayed().ShortDeadline)
	require.Equal(t, time.Second, h.lastRelayed().Timeout)

	h = newHomeHarness(t)
	deadline := h.now.Add(time.Second)
	h.do(RemoteRequest{
		Caller: RemoteID{Instance: "origin-1", Caller: 7}, ReplyTo: 1, Entry: "entry", Key: "k1", Sequence: 1, OutsideTransaction: true,
		Request: &Request{Classification: &Classification{Kind: KindWrite, Hints: Hints{MaxAge: -1}}, Payload: &Payload{ID: "write"}, Arrived: h.now, Deadline: deadline},
	})
	h.connect()
	require.Equal(t, deadline, h.lastSent().NotAfter)
}

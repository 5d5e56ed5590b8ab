package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against a home that runs a request which its caller's instance has ended: the end
// may overtake the request on another connection.
func TestRequestAfterItsEndIsNotRun(t *testing.T) {
	h := newHomeHarness(t)
	h.sendRemote(4, 0, true, "read", read)
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 100))
	sent := h.countSent()
	h.do(RemoteClosed{Caller: RemoteID{Instance: "origin-1", Caller: 7}, Sequence: 5})
	h.firstInTransaction = true
	h.sendRemote(5, 0, true, "write", write)
	require.Equal(t, sent, h.countSent(), "the member gets a transaction that nobody ends")
}

// Guards against an uncertain answer to a request that its home refuses as not run at the
// end of the statements, because both instances stop: the margin of a relayed request is
// lost when a planned stop brings its deadline forward.
func TestStopKeepsTheMarginOfARelayedRequest(t *testing.T) {
	const untilEnd = 200 * time.Millisecond
	h := newOriginHarness(t)
	h.sendClassified(1, "write", write)
	v := h.lastRelayed()
	h.do(Drain{StatementsEnd: h.now.Add(untilEnd)})
	h.wait(untilEnd + relayMargin/2)
	h.homeResponds(v, RelayResponse{Refusal: core.NotRun(core.ReasonDeadline, "late"), TxStatus: TxIdle})
	require.Equal(t, core.OutcomeNotRun, h.refusalOf(1).Outcome)
}

// Guards against a home that answers a request twice or not at all at the end of the
// statements of a planned stop.
func TestHomeAnswersEachRequestOnceAtTheEndOfTheStop(t *testing.T) {
	h := newHomeHarness(t)
	h.sendRemote(1, 0, true, "write", write)
	h.do(Drain{StatementsEnd: h.now.Add(time.Minute)})
	h.do(EndStatements{})
	responses := 0
	for _, p := range h.peers {
		if r, ok := p.(RelayResponse); ok && r.ReplyTo == uint64(1) {
			responses++
			require.Equal(t, core.OutcomeUncertain, r.Refusal.Outcome)
		}
	}
	require.Equal(t, 1, responses)
	require.Contains(t, h.control, Drained{})
}

// Guards against a transaction whose end at the home is overtaken by its last statement:
// the statement must not keep the transaction, and the next one must not join it.
func TestLateStatementOfAnEndedTransactionIsRefused(t *testing.T) {
	h := newHomeHarness(t)
	h.firstInTransaction = true
	h.sendRemote(4, 0, true, "write", write)
	target := h.lastSent().Target
	h.primaryAnswers(target, 'T', position(1, 100))
	h.firstInTransaction = false
	h.do(RemoteClosed{Caller: RemoteID{Instance: "origin-1", Caller: 7}, Sequence: 5})
	require.Contains(t, h.targets, TargetClose{Target: target})
	sent := h.countSent()
	h.sendRemote(5, 4, false, "commit", commit)
	require.Equal(t, sent, h.countSent())
	require.Equal(t, core.ReasonTransactionAborted, h.lastRelayResponse().Refusal.Reason)
}

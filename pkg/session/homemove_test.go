package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// newMovingHarness returns the home of the account while it holds the account's requests,
// with the local caller 1 and an open transaction of a remote caller if transaction is set.
func newMovingHarness(t *testing.T, transaction bool) *harness {
	h := newHomeHarness(t)
	h.open(1, core.Position{})
	if transaction {
		h.firstInTransaction = true
		h.sendRemote(1, 0, true, "first", write)
		h.primaryAnswers(h.lastSent().Target, 'T', position(1, 100))
		h.firstInTransaction = false
	}
	h.do(HoldAccount{Account: "acct"})
	return h
}

func (h *harness) moveHome() {
	h.do(HomesUpdate{Homes: map[core.AccountName]Home{"acct": {Address: homeAddress}}})
	h.do(ReleaseAccount{Account: "acct", Forward: true})
}

// Guards against requests that are refused, or run here, while the home of their account
// moves: those of local and of remote callers wait and then run at the new home, whose
// answer and commit position reach the remote caller's instance.
func TestHeldRequestsRunAtTheNewHome(t *testing.T) {
	h := newMovingHarness(t, false)
	h.sendClassified(1, "local", write)
	h.sendRemote(1, 0, true, "remote", write)
	require.Zero(t, h.countSent())
	require.Zero(t, h.countRelayed())
	h.moveHome()
	require.Zero(t, h.countSent())
	require.Equal(t, 2, h.countRelayed())
	remote := h.lastRelayed()
	require.Equal(t, "remote", remote.Request.Payload.ID)
	h.homeResponds(remote, RelayResponse{Frames: []byte("done"), TxStatus: TxIdle, Position: position(1, 101)})
	response := h.lastRelayResponse()
	require.Equal(t, uint64(1), response.ReplyTo)
	require.Equal(t, "done", string(response.Frames))
	require.Equal(t, position(1, 101), response.Position)
	h.sendRemote(2, 0, true, "later", write)
	require.Equal(t, "later", h.lastRelayed().Request.Payload.ID, "others learn of the move later")
	h.homeResponds(h.lastRelayed(), RelayResponse{NotServed: true})
	require.Equal(t, core.OutcomeNotRun, h.lastRelayResponse().Refusal.Outcome)
}

// Guards against a transaction that is split over two homes, and against one that begins at
// the new home and continues elsewhere.
func TestTransactionsStayWhereTheyBeganWhenTheHomeMoves(t *testing.T) {
	h := newMovingHarness(t, true)
	before := h.countSent()
	h.sendRemote(2, 1, false, "second", write)
	require.Equal(t, before+1, h.countSent(), "it does not wait")
	h.primaryAnswers(h.lastSent().Target, 'T', position(1, 101))
	h.moveHome()
	h.sendRemote(3, 1, false, "third", write)
	require.Equal(t, before+2, h.countSent())
	require.Zero(t, h.countRelayed())

	h = newMovingHarness(t, false)
	h.moveHome()
	h.firstInTransaction = true
	h.sendRemote(1, 0, true, "first", write)
	h.firstInTransaction = false
	require.True(t, h.lastRelayed().FirstInTransaction)
	h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: 'T'})
	require.EqualValues(t, 'T', h.lastRelayResponse().TxStatus)
	h.sendRemote(2, 1, false, "second", write)
	require.False(t, h.lastRelayed().OutsideTransaction)
	require.Zero(t, h.countSent())
}

// Guards against requests that wait for ever, or run although their time limit has passed,
// when the home does not move.
func TestHeldRequestsRunHereIfTheHomeStays(t *testing.T) {
	h := newMovingHarness(t, false)
	h.e.entries["entry"].deadline = time.Second
	h.sendClassified(1, "late", write)
	h.wait(1100 * time.Millisecond)
	h.requireRefused(core.ReasonOverloaded, core.OutcomeNotRun)
	h.sendClassified(1, "in time", write)
	h.do(ReleaseAccount{Account: "acct", Tokens: 3})
	h.connect()
	require.Equal(t, 1, h.countSent())
	require.Equal(t, "in time", string(h.lastSent().Payload.Frames))
}

// Guards against tokens that an account has at two homes: the old home reports them and has
// none left, and the new one has no more than its burst.
func TestTokensMoveWithTheHome(t *testing.T) {
	h := newHomeHarness(t)
	tokens := func() float64 { return h.e.accounts["acct"].bucket.Tokens }
	had := tokens()
	require.Positive(t, had)
	h.do(HoldAccount{Account: "acct"})
	require.Zero(t, tokens())
	require.Contains(t, h.control, AccountHeld{Account: "acct", Tokens: had})
	h.do(HoldAccount{Account: "unknown"})
	require.Contains(t, h.control, AccountHeld{Account: "unknown"})
	h.do(ReleaseAccount{Account: "unknown"})

	h = newHomeHarness(t)
	h.e.accounts["acct"].bucket.Tokens = 0
	h.do(TakeTokens{Account: "acct", Tokens: 1})
	require.InDelta(t, 1, tokens(), 0.01)
	h.do(TakeTokens{Account: "acct", Tokens: 1e9})
	require.Equal(t, h.e.accounts["acct"].bucket.Burst, tokens())
	h.do(HomesUpdate{})
	h.e.accounts["acct"].bucket.Tokens = 0
	h.do(TakeTokens{Account: "acct", Tokens: 1})
	require.Less(t, tokens(), 1.0, "the home is elsewhere")
}

// Guards against a timer that fires again and again while the home moves: a statement that
// waits for a token gets none then, although tokens accrue.
func TestNoTokenTimerWhileTheHomeMoves(t *testing.T) {
	h := newMovingHarness(t, false)
	a := h.e.accounts["acct"]
	waiting := &statement{c: h.e.callers[1], waitsForToken: true, request: &Request{}}
	a.waiters = []tokenWaiter{{statement: waiting}}
	a.bucket.Tokens = 1
	armed := h.e.timers.Len()
	h.e.armTokenTimer(a)
	require.Equal(t, armed, h.e.timers.Len())
	a.moving = false
	h.e.armTokenTimer(a)
	require.Equal(t, armed+1, h.e.timers.Len())
}

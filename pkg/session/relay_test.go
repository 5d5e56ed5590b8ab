package session

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

const homeAddress PeerAddress = "10.0.0.2:1"

// newOrigin gives an engine whose account is at home elsewhere.
func newOrigin(t testing.TB) *harness {
	h := newAsyncHarness(t)
	h.do(HomesInForce{Homes: map[core.AccountName]Home{"acct": {Address: homeAddress}}})
	h.open(1, core.Position{})
	return h
}

// relayed returns the newest request to the home.
func (h *harness) relayed() RelayRequest {
	for i := len(h.peers) - 1; i >= 0; i-- {
		if v, ok := h.peers[i].(RelayRequest); ok {
			return v
		}
	}
	require.Fail(h.t, "nothing went to the home")
	return RelayRequest{}
}

func (h *harness) homeAnswers(v RelayRequest, a RelayAnswer) {
	h.do(RelayResult{ID: v.ID, Address: v.Address, Answer: a})
}

// Guards against an answer of the home that is lost, given twice or given to
// another request.
func TestHomeRunsTheRequest(t *testing.T) {
	h := newOrigin(t)
	h.order(1, "write", write)
	v := h.relayed()
	require.True(t, v.Begins)
	require.Zero(t, h.countSent(), "nothing runs here")
	answer := RelayAnswer{Frames: []byte("done"), TxStatus: TxIdle, Position: term(1, 101)}
	h.homeAnswers(v, answer)
	require.Equal(t, CallerWrite{Caller: 1, Frames: []byte("done"), Done: true, TxStatus: TxIdle}, h.last())
	answers := len(h.callers)
	h.homeAnswers(v, answer)
	require.Len(t, h.callers, answers, "a second answer reaches nobody")
	h.order(1, "read", read)
	require.Equal(t, term(1, 101), h.relayed().Floor, "the session sees its own commit")
}

// Guards against a transaction that is spread over two instances.
func TestTransactionStaysAtItsHome(t *testing.T) {
	h := newOrigin(t)
	h.order(1, "begin", begin)
	require.EqualValues(t, 'T', h.last().(CallerReply).TxStatus)
	require.Empty(t, h.peers, "the home gets it with the first statement")
	h.order(1, "read", read)
	first := h.relayed()
	require.True(t, first.Begins)
	require.True(t, first.Opens)
	h.homeAnswers(first, RelayAnswer{TxStatus: 'T'})
	h.do(HomesInForce{Homes: map[core.AccountName]Home{"acct": {Here: true}}})
	h.order(1, "write", write)
	v := h.relayed()
	require.False(t, v.Begins)
	require.Equal(t, first.ID.Sequence, v.Transaction)
	require.Equal(t, homeAddress, v.Address)
	require.Zero(t, h.countSent())
}

// Guards against promises and repetitions that are wrong when a home is lost:
// what may have run there is not repeated and not promised.
func TestLostRelay(t *testing.T) {
	cases := []struct {
		name    string
		kind    Verdict
		unsent  bool
		local   bool
		outcome core.Outcome
	}{
		{"an unsent write runs here", write, true, true, ""},
		{"a sent write is uncertain", write, false, false, core.OutcomeUncertain},
		{"a sent read runs here", read, false, true, ""},
	}
	for _, c := range cases {
		h := newOrigin(t)
		h.order(1, "text", c.kind)
		v := h.relayed()
		h.do(RelayLost{ID: v.ID, Address: v.Address, Unsent: c.unsent})
		h.connect()
		require.Equal(t, c.local, h.countSent() > 0, c.name)
		if c.outcome != "" {
			fail, ok := h.last().(CallerFail)
			require.True(t, ok, c.name)
			require.Equal(t, c.outcome, fail.Refusal.Outcome, c.name)
		}
	}
}

// Guards against a promise or a repetition that is wrong for the first statement
// of a transaction.
func TestLostFirstStatementOfATransaction(t *testing.T) {
	h := newOrigin(t)
	h.order(1, "begin", begin)
	h.order(1, "write", write)
	v := h.relayed()
	h.do(RelayLost{ID: v.ID, Address: v.Address})
	require.Zero(t, h.countSent())
	h.refusedWith(core.ReasonTransactionAborted, core.OutcomeNotRun)
	h = newOrigin(t)
	h.order(1, "begin", begin)
	h.order(1, "commit", commit)
	v = h.relayed()
	require.True(t, v.Opens, "only a member's answer says that a commit succeeded")
	h.do(RelayLost{ID: v.ID, Address: v.Address})
	h.refusedWith(core.ReasonUncertain, core.OutcomeUncertain)
}

// Guards against callers that wait for a silent home until their deadline, and
// against a home that is never used again.
func TestSilentHomeIsGivenUpAndComesBack(t *testing.T) {
	h := newOrigin(t)
	h.order(1, "read", read)
	h.relayed()
	for range 5 {
		h.wait(peerProbeInterval)
	}
	h.connect()
	require.NotZero(t, h.countSent(), "the read runs here")
	h.answer(h.sent().Target, TxIdle, term(1, 100))
	sent, peers := h.countSent(), len(h.peers)
	h.order(1, "read", read)
	require.Greater(t, h.countSent(), sent)
	h.answer(h.sent().Target, TxIdle, term(1, 100))
	for _, c := range h.peers[peers:] {
		_, isRelayed := c.(RelayRequest)
		require.False(t, isRelayed)
	}
	h.do(PeerAlive{Address: homeAddress})
	sent = h.countSent()
	h.order(1, "read", read)
	require.Equal(t, sent, h.countSent())
	require.Equal(t, "read", h.relayed().Request.Payload.ID)
}

// probes counts the probes so far.
func (h *harness) probes() int {
	n := 0
	for _, c := range h.peers {
		if _, ok := c.(PeerProbe); ok {
			n++
		}
	}
	return n
}

// Guards against bytes between failure domains for probes of a home whose
// requests and answers show that it lives, and against one that is not probed
// although either direction is quiet.
func TestBusyHomeIsNotProbed(t *testing.T) {
	h := newOrigin(t)
	h.order(1, "read", read)
	h.homeAnswers(h.relayed(), RelayAnswer{TxStatus: TxIdle})
	before := h.probes()
	for range 20 {
		h.wait(peerProbeInterval / 2)
		h.order(1, "read", read)
		h.homeAnswers(h.relayed(), RelayAnswer{TxStatus: TxIdle})
	}
	require.Equal(t, before, h.probes(), "answers come all the time")
	h.order(1, "read", read)
	for range 2 {
		h.wait(peerProbeInterval)
		h.do(PeerAlive{Address: homeAddress})
	}
	require.Equal(t, before+2, h.probes(), "a request waits for its answer")
	require.False(t, h.e.peer(homeAddress).lost)
	h.wait(peerProbeInterval)
	h.wait(peerProbeInterval)
	h.wait(peerProbeInterval)
	require.Equal(t, before+5, h.probes(), "no answer comes")
	require.True(t, h.e.peer(homeAddress).lost)
}

// useHome lets caller 1 use its home with 20 requests a second for 5 s.
func (h *harness) useHome() {
	for range 100 {
		h.order(1, "read", read)
		h.homeAnswers(h.relayed(), RelayAnswer{TxStatus: TxIdle})
		h.wait(50 * time.Millisecond)
	}
}

// Guards against refusals of what an account used before its home was lost, and
// against more than that.
func TestLostHomeSpendsItsUsage(t *testing.T) {
	h := newOrigin(t)
	h.e.shares["acct"] = RateShare{Rate: 0.1, Burst: 1}
	h.useHome()
	a := h.e.accounts["acct"]
	require.InDelta(t, 20, a.homeUsage.rate(h.now), 3)
	h.e.peer(homeAddress).markLost()
	require.InDelta(t, 20*usageHeadroom, a.bucket.Rate, 4)
	require.Contains(t, a.rateReason(), "home is silent")
	h.do(PeerAlive{Address: homeAddress})
	require.InDelta(t, 0.1, a.bucket.Rate, 0.01)
}

// Guards against tokens that are lost with each share that is published while
// the home is silent.
func TestRenewedShareKeepsLostUsage(t *testing.T) {
	h := newOrigin(t)
	share := ShareInForce{
		Accounts: map[core.AccountName]RateShare{"acct": {Rate: 0.1, Burst: 1}}, Until: h.now.Add(time.Hour),
	}
	h.do(share)
	h.useHome()
	h.e.peer(homeAddress).markLost()
	a := h.e.accounts["acct"]
	before := a.bucket.Tokens
	require.Greater(t, before, 5.0)
	h.do(share)
	require.InDelta(t, before, a.bucket.Tokens, 0.1)
	h.do(PeerAlive{Address: homeAddress})
	require.LessOrEqual(t, a.bucket.Tokens, 1.0, "what was for the loss ends with it")
}

// newHome gives an engine that is the home of its account.
func newHome(t testing.TB) *harness {
	h := newAsyncHarness(t)
	shared := *h.cat
	shared.Version++
	shared.Entries = slices.Clone(shared.Entries)
	for i := range shared.Entries {
		shared.Entries[i].Account = ""
	}
	h.do(CatalogueInForce{Catalogue: &shared})
	h.do(HomesInForce{Homes: map[core.AccountName]Home{"acct": {Here: true}}})
	return h
}

func (h *harness) remoteAsks(sequence, transaction uint64, begins bool, text string, v Verdict) {
	v.Hints.MaxAge = -1
	h.do(RemoteRequest{
		Caller: RemoteID{Instance: "origin-1", Caller: 7}, Reply: sequence, Entry: "entry", Key: "k1",
		Sequence: sequence, Transaction: transaction, Begins: begins, Opens: h.opens,
		Request: &Request{Verdict: &v, Payload: &Payload{ID: text, Frames: []byte(text)}, Arrived: h.now},
	})
	h.connect()
}

func (h *harness) relayAnswer() RelayAnswer {
	require.NotEmpty(h.t, h.peers)
	a, ok := h.peers[len(h.peers)-1].(RelayAnswer)
	require.True(h.t, ok, "%#v", h.peers[len(h.peers)-1])
	return a
}

// Guards against a statement that runs in another transaction than its own,
// when requests are lost or come late.
func TestRequestOfAnotherTransactionIsRefused(t *testing.T) {
	h := newHome(t)
	h.opens = true
	h.remoteAsks(1, 0, true, "read", read)
	h.opens = false
	require.True(t, h.sent().Begin)
	h.answer(h.sent().Target, 'T', term(1, 100))
	require.EqualValues(t, 'T', h.relayAnswer().TxStatus)
	h.remoteAsks(2, 1, false, "read", read)
	h.answer(h.sent().Target, 'T', term(1, 100))
	require.EqualValues(t, 2, h.relayAnswer().Reply)
	sent := h.countSent()
	h.remoteAsks(3, 99, false, "write", write)
	require.Equal(t, sent, h.countSent())
	require.Equal(t, core.ReasonTransactionAborted, h.relayAnswer().Refusal.Reason)
	peers := len(h.peers)
	h.remoteAsks(2, 1, false, "read", read)
	require.Equal(t, sent, h.countSent(), "a late request")
	require.Len(t, h.peers, peers)
	h.remoteAsks(5, 0, true, "write", write)
	require.Greater(t, h.countSent(), sent)
	require.NotEqual(t, TargetID(0), h.sent().Target)
}

// Guards against a home that acts for an account it does not hold, or with
// another configuration than its caller's.
func TestRelayElsewhere(t *testing.T) {
	h := newHome(t)
	h.do(HomesInForce{})
	h.remoteAsks(1, 0, true, "write", write)
	require.True(t, h.relayAnswer().Elsewhere)
	require.Zero(t, h.countSent())
	h = newHome(t)
	h.do(RemoteRequest{Caller: RemoteID{Instance: "origin-1", Caller: 7}, Reply: 1, Entry: "entry", Key: "k1",
		Sequence: 1, Begins: true, Version: 12, Request: &Request{Verdict: &write, Payload: &Payload{}}})
	require.True(t, h.relayAnswer().Elsewhere)
	require.Contains(t, h.control, NewerVersion{Version: 12})
}

// beUsedByOrigin lets a caller of another instance use this home with 20 requests
// a second for 5 s.
func (h *harness) beUsedByOrigin() {
	for i := range uint64(100) {
		h.remoteAsks(i+1, 0, true, "read", read)
		h.answer(h.sent().Target, TxIdle, term(1, 100))
		h.wait(50 * time.Millisecond)
	}
}

// Guards against a rate that a home spends although a cut-off instance spends a
// part of it.
func TestHomeSetsSilentUsageAside(t *testing.T) {
	h := newHome(t)
	h.beUsedByOrigin()
	a := h.e.accounts["acct"]
	require.Zero(t, a.reservedRate())
	h.wait(2 * originTimeout)
	require.InDelta(t, 20*usageHeadroom, a.reservedRate(), 5)
	a.updateReserve()
	require.Contains(t, a.rateReason(), "set aside")
	h.do(OriginAlive{Instance: "origin-1"})
	require.Zero(t, a.reservedRate())
}

// Guards against a rate that is spent twice: by a home that is cut off from most
// of its callers, and by the instance that they have made the home instead.
func TestIsolatedHomeSpendsItsSideOnly(t *testing.T) {
	h := newHome(t)
	h.beUsedByOrigin()
	a := h.e.accounts["acct"]
	a.homeUsage = a.e.origins["origin-1"].usage["acct"].scaled(0.25)
	before := a.bucket.Rate
	h.wait(isolationTimeout - 2*reserveInterval)
	a.updateReserve()
	require.Greater(t, a.bucket.Rate, before/2, "the other side may only be late")
	h.wait(2 * reserveInterval)
	a.updateReserve()
	require.InDelta(t, 5*usageHeadroom+isolatedRate, a.bucket.Rate, 2)
	h.do(OriginAlive{Instance: "origin-1"})
	h.wait(reserveInterval)
	a.updateReserve()
	require.InDelta(t, before, a.bucket.Rate, 0.1)
}

// scaled returns a usage of a part of the rate.
func (u *usage) scaled(part float64) usage {
	s := *u
	s.count *= part
	return s
}

// Guards against callers without an account that are served by every instance
// where the members have no room for that, and against a home that sends them on.
func TestCallerWithoutAccountRunsAtTheOpenHome(t *testing.T) {
	h := newAsyncHarness(t)
	e := h.e.entries["entry"]
	e.definition.Open, e.account = true, nil
	h.do(HomesInForce{Open: map[core.DatabaseName]Home{"db": {Address: homeAddress}}})
	h.do(CallerOpened{Caller: 1, Entry: "entry"})
	h.order(1, "read", read)
	v := h.relayed()
	require.Equal(t, homeAddress, v.Address)
	require.Empty(t, v.Key)
	h.do(RemoteRequest{
		Caller: RemoteID{Instance: "other", Caller: 3}, From: "10.0.0.9:1", Reply: "reply", Entry: "entry", Sequence: 1, Begins: true,
		Request: &Request{Verdict: &Verdict{Kind: KindRead, Hints: Hints{MaxAge: -1}}, Payload: &Payload{ID: "r"}, Arrived: h.now},
	})
	h.connect()
	require.Equal(t, 1, h.countSent(), "a remote caller's request runs here")
}

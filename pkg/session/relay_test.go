package session

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session/usage"
)

const homeAddress PeerAddress = "10.0.0.2:1"

// newOriginHarness returns a harness whose account has its home at another
// instance.
func newOriginHarness(t testing.TB) *harness {
	h := newAsyncHarness(t)
	h.do(HomesUpdate{Homes: map[core.AccountName]Home{"acct": {Address: homeAddress}}})
	h.open(1, core.Position{})
	return h
}

// lastRelayed returns the newest request sent to the home.
func (h *harness) lastRelayed() RelayRequest {
	for i := len(h.peers) - 1; i >= 0; i-- {
		if v, ok := h.peers[i].(RelayRequest); ok {
			return v
		}
	}
	require.Fail(h.t, "no request was sent to the home")
	return RelayRequest{}
}

func (h *harness) homeResponds(v RelayRequest, response RelayResponse) {
	h.do(RelayResult{ID: v.ID, Address: v.Address, Response: response})
}

// Guards against a response of the home that is lost, delivered twice or
// delivered to another request.
func TestHomeRunsTheRequest(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "write", write)
	v := h.lastRelayed()
	require.True(t, v.OutsideTransaction)
	require.Zero(t, h.countSent(), "nothing runs locally")
	response := RelayResponse{Frames: []byte("done"), TxStatus: TxIdle, Position: position(1, 101)}
	h.homeResponds(v, response)
	require.Equal(t, CallerWrite{Caller: 1, Frames: []byte("done"), Done: true, TxStatus: TxIdle}, h.lastCallerCommand())
	answers := len(h.callers)
	h.homeResponds(v, response)
	require.Len(t, h.callers, answers, "a second answer is dropped")
	h.sendClassified(1, "read", read)
	require.Equal(t, position(1, 101), h.lastRelayed().Floor, "the session sees its own commit")
}

// Guards against a transaction that is spread over two instances.
func TestTransactionStaysAtItsHome(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "begin", begin)
	require.EqualValues(t, 'T', h.lastCallerCommand().(CallerReply).TxStatus)
	require.Empty(t, h.peers, "the home receives BEGIN with the first statement")
	h.sendClassified(1, "read", read)
	first := h.lastRelayed()
	require.True(t, first.OutsideTransaction)
	require.True(t, first.FirstInTransaction)
	h.homeResponds(first, RelayResponse{TxStatus: 'T'})
	h.do(HomesUpdate{Homes: map[core.AccountName]Home{"acct": {Local: true}}})
	h.sendClassified(1, "write", write)
	v := h.lastRelayed()
	require.False(t, v.OutsideTransaction)
	require.Equal(t, first.ID.Sequence, v.TransactionSequence)
	require.Equal(t, homeAddress, v.Address)
	require.Zero(t, h.countSent())
}

// Guards against wrong outcomes and retries when a home is lost: what may have
// run there must not be retried or reported as not run.
func TestLostRelay(t *testing.T) {
	cases := []struct {
		name    string
		kind    Classification
		unsent  bool
		local   bool
		outcome core.Outcome
	}{
		{"an unsent write runs locally", write, true, true, ""},
		{"a sent write is uncertain", write, false, false, core.OutcomeUncertain},
		{"a sent read runs locally", read, false, true, ""},
	}
	for _, c := range cases {
		h := newOriginHarness(t)
		h.sendClassified(1, "text", c.kind)
		v := h.lastRelayed()
		h.do(RelayLost{ID: v.ID, Address: v.Address, Unsent: c.unsent})
		h.connect()
		require.Equal(t, c.local, h.countSent() > 0, c.name)
		if c.outcome != "" {
			fail, ok := h.lastCallerCommand().(CallerError)
			require.True(t, ok, c.name)
			require.Equal(t, c.outcome, fail.Refusal.Outcome, c.name)
		}
	}
}

// Guards against a wrong outcome or retry for the first statement of a
// transaction.
func TestLostFirstStatementOfATransaction(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "write", write)
	v := h.lastRelayed()
	h.do(RelayLost{ID: v.ID, Address: v.Address})
	require.Zero(t, h.countSent())
	h.requireRefused(core.ReasonTransactionAborted, core.OutcomeNotRun)
	h = newOriginHarness(t)
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "commit", commit)
	v = h.lastRelayed()
	require.True(t, v.FirstInTransaction, "only a member's answer says that a commit succeeded")
	h.do(RelayLost{ID: v.ID, Address: v.Address})
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
}

// Guards against callers that wait until their deadline for an unresponsive
// home, and against a home that is never used again.
func TestSilentHomeIsGivenUpAndComesBack(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "read", read)
	h.lastRelayed()
	for range 5 {
		h.wait(peerProbeInterval)
	}
	h.connect()
	require.NotZero(t, h.countSent(), "the read runs locally")
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 100))
	sent, peers := h.countSent(), len(h.peers)
	h.sendClassified(1, "read", read)
	require.Greater(t, h.countSent(), sent)
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 100))
	for _, c := range h.peers[peers:] {
		_, isRelayed := c.(RelayRequest)
		require.False(t, isRelayed)
	}
	h.do(PeerProbeReply{Address: homeAddress})
	sent = h.countSent()
	h.sendClassified(1, "read", read)
	require.Equal(t, sent, h.countSent())
	require.Equal(t, "read", h.lastRelayed().Request.Payload.ID)
}

// countProbes counts the probes so far.
func (h *harness) countProbes() int {
	n := 0
	for _, c := range h.peers {
		if _, ok := c.(PeerProbe); ok {
			n++
		}
	}
	return n
}

// Guards against traffic between failure domains for probes of a home whose
// answers already show that it responds, and against a home that is not probed
// although either direction has no messages.
func TestBusyHomeIsNotProbed(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "read", read)
	h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: TxIdle})
	before := h.countProbes()
	for range 20 {
		h.wait(peerProbeInterval / 2)
		h.sendClassified(1, "read", read)
		h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: TxIdle})
	}
	require.Equal(t, before, h.countProbes(), "a home that answers is not probed")
	h.sendClassified(1, "read", read)
	for range 2 {
		h.wait(peerProbeInterval)
		h.do(PeerProbeReply{Address: homeAddress})
	}
	require.Equal(t, before+2, h.countProbes(), "a home with an unanswered request is probed")
	require.False(t, h.e.peer(homeAddress).lost)
	h.wait(peerProbeInterval)
	h.wait(peerProbeInterval)
	h.wait(peerProbeInterval)
	require.Equal(t, before+5, h.countProbes(), "a home that does not answer is probed")
	require.True(t, h.e.peer(homeAddress).lost)
}

// useHomeFor5s lets caller 1 use its home with 20 requests per second for 5 s.
func (h *harness) useHomeFor5s() {
	for range 100 {
		h.sendClassified(1, "read", read)
		h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: TxIdle})
		h.wait(50 * time.Millisecond)
	}
}

// Guards against refusals of the rate that an account used before its home was
// lost, and against using more than that.
func TestLostHomeSpendsItsUsage(t *testing.T) {
	h := newOriginHarness(t)
	h.e.shares["acct"] = RateShare{Rate: 0.1, Burst: 1}
	h.useHomeFor5s()
	a := h.e.accounts["acct"]
	require.InDelta(t, 20, a.homeUsage.Rate(h.now), 3)
	h.e.peer(homeAddress).markLost()
	require.InDelta(t, 20*usageHeadroom, a.bucket.Rate, 4)
	require.Contains(t, a.rateReason(), "home is silent")
	h.do(PeerProbeReply{Address: homeAddress})
	require.InDelta(t, 0.1, a.bucket.Rate, 0.01)
}

// Guards against tokens that are lost with each share update while the home is
// unresponsive.
func TestRenewedShareKeepsLostUsage(t *testing.T) {
	h := newOriginHarness(t)
	share := ShareUpdate{
		Accounts: map[core.AccountName]RateShare{"acct": {Rate: 0.1, Burst: 1, Advance: 0.5}}, ValidUntil: h.now.Add(time.Hour),
	}
	h.do(share)
	h.useHomeFor5s()
	h.e.peer(homeAddress).markLost()
	a := h.e.accounts["acct"]
	before := a.bucket.Tokens
	require.Greater(t, before, 5.0)
	h.do(share)
	require.InDelta(t, before, a.bucket.Tokens, 0.1)
	h.do(PeerProbeReply{Address: homeAddress})
	require.LessOrEqual(t, a.bucket.Tokens, 1.0, "the tokens for the lost home end when it responds again")
}

// newHomeHarness returns a harness whose engine is the home of its account.
func newHomeHarness(t testing.TB) *harness {
	h := newAsyncHarness(t)
	shared := *h.catalogue
	shared.Version++
	shared.Entries = slices.Clone(shared.Entries)
	for i := range shared.Entries {
		shared.Entries[i].Account = ""
	}
	h.do(CatalogueUpdate{Catalogue: &shared})
	h.do(HomesUpdate{Homes: map[core.AccountName]Home{"acct": {Local: true}}})
	return h
}

func (h *harness) sendRemote(sequence, transaction uint64, outsideTransaction bool, text string, classification Classification) {
	classification.Hints.MaxAge = -1
	h.do(RemoteRequest{
		Caller: RemoteID{Instance: "origin-1", Caller: 7}, ReplyTo: sequence, Entry: "entry", Key: "k1",
		Sequence: sequence, TransactionSequence: transaction, OutsideTransaction: outsideTransaction, FirstInTransaction: h.firstInTransaction,
		Request: &Request{Classification: &classification, Payload: &Payload{ID: text, Frames: []byte(text)}, Arrived: h.now},
	})
	h.connect()
}

func (h *harness) lastRelayResponse() RelayResponse {
	require.NotEmpty(h.t, h.peers)
	response, ok := h.peers[len(h.peers)-1].(RelayResponse)
	require.True(h.t, ok, "%#v", h.peers[len(h.peers)-1])
	return response
}

// Guards against a statement that runs in another transaction than its own when
// requests are lost or late.
func TestRequestOfAnotherTransactionIsRefused(t *testing.T) {
	h := newHomeHarness(t)
	h.firstInTransaction = true
	h.sendRemote(1, 0, true, "read", read)
	h.firstInTransaction = false
	require.True(t, h.lastSent().Begin)
	h.primaryAnswers(h.lastSent().Target, 'T', position(1, 100))
	require.EqualValues(t, 'T', h.lastRelayResponse().TxStatus)
	h.sendRemote(2, 1, false, "read", read)
	h.primaryAnswers(h.lastSent().Target, 'T', position(1, 100))
	require.EqualValues(t, 2, h.lastRelayResponse().ReplyTo)
	sent := h.countSent()
	h.sendRemote(3, 99, false, "write", write)
	require.Equal(t, sent, h.countSent())
	require.Equal(t, core.ReasonTransactionAborted, h.lastRelayResponse().Refusal.Reason)
	peers := len(h.peers)
	h.sendRemote(2, 1, false, "read", read)
	require.Equal(t, sent, h.countSent(), "a late request")
	require.Len(t, h.peers, peers)
	h.sendRemote(5, 0, true, "write", write)
	require.Greater(t, h.countSent(), sent)
	require.NotEqual(t, TargetID(0), h.lastSent().Target)
}

// Guards against an instance that serves an account whose home it is not, or
// with another configuration than the caller's instance.
func TestRelayElsewhere(t *testing.T) {
	h := newHomeHarness(t)
	h.do(HomesUpdate{})
	h.sendRemote(1, 0, true, "write", write)
	require.True(t, h.lastRelayResponse().NotServed)
	require.Zero(t, h.countSent())
	h = newHomeHarness(t)
	h.do(RemoteRequest{Caller: RemoteID{Instance: "origin-1", Caller: 7}, ReplyTo: 1, Entry: "entry", Key: "k1",
		Sequence: 1, OutsideTransaction: true, Version: 12, Request: &Request{Classification: &write, Payload: &Payload{}}})
	require.True(t, h.lastRelayResponse().NotServed)
	require.Contains(t, h.control, NewerVersion{Version: 12})
}

// useFromOriginFor5s lets a caller of another instance use this home with 20
// requests per second for 5 s.
func (h *harness) useFromOriginFor5s() {
	for i := range uint64(100) {
		h.sendRemote(i+1, 0, true, "read", read)
		h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 100))
		h.wait(50 * time.Millisecond)
	}
}

// Guards against a home that uses the whole rate although an unreachable
// instance uses a part of it.
func TestHomeSetsSilentUsageAside(t *testing.T) {
	h := newHomeHarness(t)
	h.useFromOriginFor5s()
	a := h.e.accounts["acct"]
	require.Zero(t, a.reservedRate())
	h.wait(2 * originTimeout)
	require.InDelta(t, 20*usageHeadroom, a.reservedRate(), 5)
	a.updateReserve()
	require.Contains(t, a.rateReason(), "set aside")
	h.do(OriginHeartbeat{Instance: "origin-1"})
	require.Zero(t, a.reservedRate())
}

// Guards against a rate that is used twice: by a home that most of its callers
// cannot reach, and by the instance that became the home for them.
func TestIsolatedHomeSpendsItsSideOnly(t *testing.T) {
	h := newHomeHarness(t)
	h.useFromOriginFor5s()
	a := h.e.accounts["acct"]
	a.homeUsage = usage.Counter{}
	for age := 5 * time.Second; age > 0; age -= 200 * time.Millisecond {
		a.homeUsage.Add(h.now.Add(-age))
	}
	before := a.bucket.Rate
	h.wait(isolationTimeout - 2*reserveInterval)
	a.updateReserve()
	require.Greater(t, a.bucket.Rate, before/2, "the other instances may only be delayed")
	h.wait(2 * reserveInterval)
	a.updateReserve()
	require.InDelta(t, 5*usageHeadroom+isolatedRate, a.bucket.Rate, 2)
	h.do(OriginHeartbeat{Instance: "origin-1"})
	h.wait(reserveInterval)
	a.updateReserve()
	require.InDelta(t, before, a.bucket.Rate, 0.1)
}

// Guards against anonymous callers that every instance serves where the members
// do not accept enough connections, and against their home relaying them
// further.
func TestCallerWithoutAccountRunsAtTheOpenHome(t *testing.T) {
	h := newAsyncHarness(t)
	e := h.e.entries["entry"]
	e.definition.Open, e.account = true, nil
	h.do(HomesUpdate{Anonymous: map[core.DatabaseName]Home{"db": {Address: homeAddress}}})
	h.do(CallerOpened{Caller: 1, Entry: "entry"})
	h.sendClassified(1, "read", read)
	v := h.lastRelayed()
	require.Equal(t, homeAddress, v.Address)
	require.Empty(t, v.Key)
	h.do(RemoteRequest{
		Caller: RemoteID{Instance: "other", Caller: 3}, From: "10.0.0.9:1", ReplyTo: "reply", Entry: "entry", Sequence: 1, OutsideTransaction: true,
		Request: &Request{Classification: &Classification{Kind: KindRead, Hints: Hints{MaxAge: -1}}, Payload: &Payload{ID: "r"}, Arrived: h.now},
	})
	h.connect()
	require.Equal(t, 1, h.countSent(), "a remote caller's request runs locally")
}

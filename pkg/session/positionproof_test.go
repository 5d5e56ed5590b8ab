package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// proofAfter gives a home whose newest proof came with the answer to a request of
// the given time ago.
func proofAfter(h *harness, ago time.Duration, p Proof) {
	h.do(HomesInForce{Homes: map[core.AccountName]Home{"acct": {Address: homeAddress}}})
	h.open(1, core.Position{})
	h.order(1, "read", read)
	v := h.relayed()
	h.wait(ago)
	h.homeAnswers(v, RelayAnswer{TxStatus: TxIdle, Proof: p})
	h.do(HomesInForce{Homes: map[core.AccountName]Home{"acct": {Here: true}}})
}

// Guards against homes that open a connection to a primary only to learn its
// position: 87 homes did so before members that take 67 connections, and 137
// reads of 8 s waited there until their deadline.
func TestProofOfAHomeServesReadsElsewhere(t *testing.T) {
	h := newAsyncHarness(t)
	proofAfter(h, 50*time.Millisecond, Proof{Position: term(1, 120), Age: 30 * time.Millisecond})
	h.order(1, "read", read)
	s := h.sent()
	require.NotEqual(t, core.MemberID("m0"), h.memberOf(s.Target))
	require.Equal(t, term(1, 120), s.MinPosition)
}

// Guards against a stale read: the answer may have been on its way for long, so
// the proof counts from before the request, not from the arrival of the answer.
func TestProofCountsFromTheRequest(t *testing.T) {
	h := newAsyncHarness(t)
	h.e.entries["entry"].definition.MaxAgeMillis = 500
	proofAfter(h, 300*time.Millisecond, Proof{Position: term(1, 120), Age: 150 * time.Millisecond})
	h.wait(60 * time.Millisecond)
	h.order(1, "read", read)
	require.True(t, h.sent().LeaderOnly, "the primary was asked 510 ms before the read")
}

// Guards against the position of a replaced primary, whose last commits may have
// been rolled back.
func TestProofOfAnOlderTermIsDropped(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.order(1, "write", write)
	h.answer(h.sent().Target, TxIdle, term(2, 100))
	db := h.e.databases["db"]
	db.observeProof(Proof{Position: term(1, 900)}, h.now.Add(time.Second))
	_, end, _ := db.primaryLog.Newest()
	require.Equal(t, term(2, 100), end)
}

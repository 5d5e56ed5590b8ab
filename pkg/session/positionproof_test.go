package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// receivePositionProof relays a read, lets the home answer it with the proof
// after the given time, and makes this instance the home.
func receivePositionProof(h *harness, ago time.Duration, p PositionProof) {
	h.do(HomesUpdate{Homes: map[core.AccountName]Home{"acct": {Address: homeAddress}}})
	h.open(1, core.Position{})
	h.sendClassified(1, "read", read)
	v := h.lastRelayed()
	h.wait(ago)
	h.homeResponds(v, RelayResponse{TxStatus: TxIdle, PositionProof: p})
	h.do(HomesUpdate{Homes: map[core.AccountName]Home{"acct": {Local: true}}})
}

// Guards against homes that open a connection to a primary only to learn its
// position: 87 homes did so at members that accept 67 connections, and 137 reads
// within 8 s waited there until their deadline.
func TestProofOfAHomeServesReadsElsewhere(t *testing.T) {
	h := newAsyncHarness(t)
	receivePositionProof(h, 50*time.Millisecond, PositionProof{Position: position(1, 120), Age: 30 * time.Millisecond})
	h.sendClassified(1, "read", read)
	s := h.lastSent()
	require.NotEqual(t, core.MemberID("m0"), h.memberOf(s.Target))
	require.Equal(t, position(1, 120), s.MinPosition)
}

// Guards against a stale read: the answer may have been delayed, so the proof
// counts from before the request, not from the arrival of the answer.
func TestProofCountsFromTheRequest(t *testing.T) {
	h := newAsyncHarness(t)
	h.e.entries["entry"].definition.MaxAgeMillis = 500
	receivePositionProof(h, 300*time.Millisecond, PositionProof{Position: position(1, 120), Age: 150 * time.Millisecond})
	h.wait(60 * time.Millisecond)
	h.sendClassified(1, "read", read)
	require.True(t, h.lastSent().PrimaryOnly, "the primary was asked 510 ms before the read")
}

// Guards against using the position of a replaced primary, whose last commits
// may have been rolled back.
func TestProofOfAnOlderTermIsDropped(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(2, 100))
	db := h.e.databases["db"]
	db.observePositionProof(PositionProof{Position: position(1, 900)}, h.now.Add(time.Second))
	_, end, _ := db.primaryHistory.Latest()
	require.Equal(t, position(2, 100), end)
}

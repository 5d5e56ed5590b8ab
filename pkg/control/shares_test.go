package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

// becomeAllocator gives the instance the allocator role and lets it write.
func (h *harness) becomeAllocator() {
	h.serve()
	h.run(2 * time.Second)
	role := answer[PutAllocator](h, StoreAnswer{Revision: 25})
	h.watched(AllocatorRecord{Allocator: role.Allocator, Revision: 25})
	h.run(time.Second)
}

// Guards against a failed write of the table that makes the old table count as
// confirmed by the platform.
func TestFailedTableWriteConfirmsNothing(t *testing.T) {
	for _, outcome := range []Outcome{Unavailable, Unknown, Conflict, NotFound} {
		h := newHarness(t)
		h.becomeAllocator()
		confirmed := h.now
		h.watched()
		h.run(time.Minute)
		require.Equal(t, 1, count[SwapTable](h), "one write at a time")
		answer[SwapTable](h, StoreAnswer{Outcome: outcome})
		_, age, vouched := h.e.holder.AuthoritativeTable(h.now)
		require.True(t, vouched)
		require.Equal(t, h.now.Sub(confirmed), age, "outcome %d", outcome)
	}
}

// Guards against a written table that is not in force at once, and against one
// that is not followed by the next.
func TestWrittenTableIsInForce(t *testing.T) {
	h := newHarness(t)
	h.becomeAllocator()
	op := answer[SwapTable](h, StoreAnswer{Revision: 40})
	require.Equal(t, op.Table, h.e.holder.Table())
	_, age, _ := h.e.holder.AuthoritativeTable(h.now)
	require.Zero(t, age)
}

// Guards against a call ring that fills up during a long outage and stops the
// control duty: every periodic call waits for the answer to the last one.
func TestOutageLeavesFewCallsOpen(t *testing.T) {
	h := newHarness(t)
	h.serve()
	h.run(10 * time.Minute)
	require.LessOrEqual(t, count[PutAllocator](h), 1)
	require.LessOrEqual(t, count[ListInstances](h), 1)
	require.LessOrEqual(t, count[SwapTable](h), 1)
}

// Guards against a lost PutAllocator after which nobody takes the role.
func TestAllocatorRoleIsTriedAgain(t *testing.T) {
	for _, outcome := range []Outcome{Unavailable, Unknown, Conflict, NotFound} {
		h := newHarness(t)
		h.serve()
		h.run(2 * time.Second)
		answer[PutAllocator](h, StoreAnswer{Outcome: outcome})
		require.False(t, h.e.isAllocator())
		h.run(2 * time.Second)
		require.Equal(t, 1, count[PutAllocator](h), "outcome %d", outcome)
	}
}

// Guards against an allocator that believes in its role after the platform
// deleted the record, because the answer to its claim came late.
func TestLateAnswerDoesNotReviveARecord(t *testing.T) {
	h := newHarness(t)
	h.serve()
	h.run(2 * time.Second)
	role, ok := take[PutAllocator](h)
	require.True(t, ok)
	h.watched(AllocatorRecord{Revision: 26, Deleted: true}, ClaimRecord{Claim: share.Claim{Slot: 2}, Revision: 27, Deleted: true})
	late := []Record{
		AllocatorRecord{Allocator: role.Allocator, Revision: 25},
		ClaimRecord{Claim: share.Claim{Slot: 2, Instance: "i2", Lease: "l2"}, Revision: 24},
	}
	h.do(FromStore{Answer: StoreAnswer{Operation: role, Revision: 25, Sent: h.now, Records: late}})
	require.False(t, h.e.isAllocator())
	require.Len(t, h.e.mirror.claimList(), 1)
}

// Guards against a death that is concluded from a timeout, a closed connection
// or an answer without a name.
func TestOnlyProofsReportADeath(t *testing.T) {
	for name, c := range map[string]struct {
		answer  PeerMessage
		refused bool
		dead    bool
	}{
		"no answer":        {},
		"nameless answer":  {answer: Accepted{}},
		"its own answer":   {answer: Accepted{Instance: "i2"}},
		"refused":          {refused: true, dead: true},
		"another instance": {answer: Accepted{Instance: "i3"}, dead: true},
	} {
		h := newHarness(t)
		h.serve()
		h.watched(AllocatorRecord{Allocator: Allocator{Instance: "i4", PeerAddress: "10.0.0.4:1"}, Revision: 31})
		call := PeerCall{Address: "10.0.0.2:1", Message: Versions{From: self, To: "i2"}}
		h.do(FromPeerAnswer{Call: call, Answer: c.answer, Refused: c.refused, Asked: h.now})
		require.Equal(t, c.dead, len(calls[DeathReport](h, "10.0.0.4:1")) == 1, name)
	}
}

// Guards against an acknowledgement before session obeys the table.
func TestTableIsAcknowledgedAfterSession(t *testing.T) {
	h := newHarness(t)
	h.serve()
	h.watched(AllocatorRecord{Allocator: Allocator{Instance: "i4", PeerAddress: "10.0.0.4:1"}, Revision: 31})
	h.run(time.Second)
	reports := calls[ShareReport](h, "10.0.0.4:1")
	require.Zero(t, reports[len(reports)-1].Report.RatesApplied)
	h.do(FromSession{Report: session.ShareApplied{Revision: 1, Open: map[core.DatabaseName]int{}}})
	reports = calls[ShareReport](h, "10.0.0.4:1")
	require.Equal(t, uint64(1), reports[len(reports)-1].Report.RatesApplied)
}

// Guards against a demand that counts twice because an acknowledgement repeats
// it, and against an acknowledgement of closed connections that waits.
func TestAcknowledgementRepeatsNoDemand(t *testing.T) {
	h := newHarness(t)
	h.serve()
	h.watched(AllocatorRecord{Allocator: Allocator{Instance: "i4", PeerAddress: "10.0.0.4:1"}, Revision: 31})
	h.do(FromSession{Report: session.Demand{Accounts: map[core.AccountName]float64{"hansen": 9}}})
	h.run(time.Second)
	require.NotNil(t, calls[ShareReport](h, "10.0.0.4:1")[0].Report.Accounts)
	sent := len(calls[ShareReport](h, "10.0.0.4:1"))
	h.applied(1, 5)
	h.applied(1, 5)
	h.applied(1, 2)
	acknowledged := calls[ShareReport](h, "10.0.0.4:1")[sent:]
	require.Len(t, acknowledged, 2, "the rates, then the connections")
	for _, r := range acknowledged {
		require.Nil(t, r.Report.Accounts)
	}
}

// Guards against an instance that starts during an outage and does not inherit
// its predecessor's floor, and against an inherited slot that is spent twice
// once the platform is back.
func TestInheritedSlotIsClaimedLater(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	require.NotEmpty(t, calls[TableRequest](h, "10.0.0.9:1"))
	old := h.table(5, "l0", "granted")
	old.Slots[0].Instance = "i0"
	old.Floors = share.Floors{
		Rates:       map[core.AccountName]share.Rate{"hansen": {Rate: 2500, Burst: 1000}},
		Connections: map[core.DatabaseName]int{"jylland": 1},
	}
	seed := "10.0.0.9:1"
	h.do(FromPeerAnswer{Call: PeerCall{Address: seed, Message: CatalogueRequest{}}, Answer: CatalogueMessage{Catalogue: testCatalogue()}, Asked: h.now})
	h.do(FromPeerAnswer{Call: PeerCall{Address: seed, Message: TableRequest{}}, Answer: TableMessage{Table: old, Vouched: true}, Asked: h.now})
	require.True(t, h.ready)
	inherited := h.lastShare()
	require.Equal(t, 2.5, inherited.Accounts["hansen"].Rate)
	require.Equal(t, 1, inherited.Connections["jylland"])

	h.watched(TableRecord{Table: old, Revision: 3}, CatalogueRecord{Catalogue: testCatalogue(), Revision: 1})
	h.run(time.Second)
	answer[CreateLease](h, StoreAnswer{Lease: "l1"})
	h.run(time.Second)
	claim := answer[PutClaim](h, StoreAnswer{Revision: 11})
	require.Zero(t, claim.Claim.Slot, "the predecessor's slot")
	require.Equal(t, 2.5, h.lastShare().Accounts["hansen"].Rate, "no more before the table names this instance")
	claimed := h.table(6, "l1", "granted")
	claimed.Slots[0].Granted = 6
	h.watched(TableRecord{Table: claimed, Revision: 12})
	require.Equal(t, 4.0, h.lastShare().Accounts["hansen"].Rate)
	require.NotEqual(t, inherited.Grant, h.lastShare().Grant, "another grant empties the buckets")
}

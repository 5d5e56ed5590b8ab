package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

// becomeAllocator gives the instance the allocator role and lets it send a table
// write.
func (h *harness) becomeAllocator() {
	h.startServing()
	h.run(2 * time.Second)
	role := respond[PutAllocator](h, StoreResponse{Revision: 25})
	h.respondToWatch(AllocatorRecord{Allocator: role.Allocator, Revision: 25})
	h.run(time.Second)
}

// Guards against a failed write of the next table after which the old table
// counts as newly confirmed by the platform.
func TestFailedTableWriteConfirmsNothing(t *testing.T) {
	for _, outcome := range []Outcome{Unavailable, Unknown, Conflict, NotFound} {
		h := newHarness(t)
		h.becomeAllocator()
		confirmed := h.now
		h.respondToWatch()
		h.run(time.Minute)
		require.Equal(t, 1, countCalls[SwapTable](h), "one write at a time")
		respond[SwapTable](h, StoreResponse{Outcome: outcome})
		_, age, authoritative := h.engine.holder.AuthoritativeTable(h.now)
		require.True(t, authoritative)
		require.Equal(t, h.now.Sub(confirmed), age, "outcome %d", outcome)
	}
}

// Guards against a written table that the writer itself does not adopt at once,
// or does not count as just confirmed by the platform.
func TestWrittenTableIsInForce(t *testing.T) {
	h := newHarness(t)
	h.becomeAllocator()
	op := respond[SwapTable](h, StoreResponse{Revision: 40})
	require.Equal(t, op.Table, h.engine.holder.Table())
	_, age, _ := h.engine.holder.AuthoritativeTable(h.now)
	require.Zero(t, age)
}

// Guards against periodic calls that are sent although the last one has no
// response, which would fill the call ring during a long outage and block the
// control duty.
func TestOutageLeavesFewCallsOpen(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	h.run(10 * time.Minute)
	require.LessOrEqual(t, countCalls[PutAllocator](h), 1)
	require.LessOrEqual(t, countCalls[ListInstances](h), 1)
	require.LessOrEqual(t, countCalls[SwapTable](h), 1)
}

// Guards against a fleet without an allocator after a PutAllocator was lost.
func TestAllocatorRoleIsTriedAgain(t *testing.T) {
	for _, outcome := range []Outcome{Unavailable, Unknown, Conflict, NotFound} {
		h := newHarness(t)
		h.startServing()
		h.run(2 * time.Second)
		respond[PutAllocator](h, StoreResponse{Outcome: outcome})
		require.False(t, h.engine.isAllocator())
		h.run(2 * time.Second)
		require.Equal(t, 1, countCalls[PutAllocator](h), "outcome %d", outcome)
	}
}

// Guards against an instance that considers itself the allocator after the
// platform deleted the record, because the response to its claim arrived late.
func TestLateAnswerDoesNotReviveARecord(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	h.run(2 * time.Second)
	role, ok := takeCall[PutAllocator](h)
	require.True(t, ok)
	h.respondToWatch(AllocatorRecord{Revision: 26, Deleted: true}, ClaimRecord{Claim: share.Claim{Slot: 2}, Revision: 27, Deleted: true})
	late := []Record{
		AllocatorRecord{Allocator: role.Allocator, Revision: 25},
		ClaimRecord{Claim: share.Claim{Slot: 2, Instance: "i2", Lease: "l2"}, Revision: 24},
	}
	h.handle(FromStore{Response: StoreResponse{Operation: role, Revision: 25, SentAt: h.now, Records: late}})
	require.False(t, h.engine.isAllocator())
	require.Len(t, h.engine.cache.liveClaims(), 1)
}

// Guards against reporting an instance dead after a timeout, a closed connection
// or a response without an ID.
func TestOnlyProofsReportADeath(t *testing.T) {
	for name, c := range map[string]struct {
		response PeerMessage
		refused  bool
		dead     bool
	}{
		"no answer":        {},
		"nameless answer":  {response: Acknowledged{}},
		"its own answer":   {response: Acknowledged{Instance: "i2"}},
		"refused":          {refused: true, dead: true},
		"another instance": {response: Acknowledged{Instance: "i3"}, dead: true},
	} {
		h := newHarness(t)
		h.startServing()
		h.respondToWatch(AllocatorRecord{Allocator: Allocator{Instance: "i4", PeerAddress: "10.0.0.4:1"}, Revision: 31})
		call := PeerCall{Address: "10.0.0.2:1", Message: Versions{From: self, To: "i2"}}
		h.handle(FromPeerResponse{Call: call, Response: c.response, Refused: c.refused, SentAt: h.now})
		require.Equal(t, c.dead, len(sentMessages[DeathReport](h, "10.0.0.4:1")) == 1, name)
	}
}

// Guards against acknowledging a table before the session duty enforces it.
func TestTableIsAcknowledgedAfterSession(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	h.respondToWatch(AllocatorRecord{Allocator: Allocator{Instance: "i4", PeerAddress: "10.0.0.4:1"}, Revision: 31})
	h.run(time.Second)
	reports := sentMessages[ShareReport](h, "10.0.0.4:1")
	require.Zero(t, reports[len(reports)-1].Report.RatesApplied)
	h.handle(SessionReport{Report: session.ShareApplied{Revision: 1, Open: map[core.DatabaseName]int{}}})
	reports = sentMessages[ShareReport](h, "10.0.0.4:1")
	require.Equal(t, uint64(1), reports[len(reports)-1].Report.RatesApplied)
}

// Guards against counting a demand twice because an acknowledgement repeats it,
// and against delaying the acknowledgement of closed connections.
func TestAcknowledgementRepeatsNoDemand(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	h.respondToWatch(AllocatorRecord{Allocator: Allocator{Instance: "i4", PeerAddress: "10.0.0.4:1"}, Revision: 31})
	h.handle(SessionReport{Report: session.Demand{Accounts: map[core.AccountName]float64{"hansen": 9}}})
	h.run(time.Second)
	require.NotNil(t, sentMessages[ShareReport](h, "10.0.0.4:1")[0].Report.Accounts)
	sent := len(sentMessages[ShareReport](h, "10.0.0.4:1"))
	h.reportShareApplied(1, 5)
	h.reportShareApplied(1, 5)
	h.reportShareApplied(1, 2)
	acknowledged := sentMessages[ShareReport](h, "10.0.0.4:1")[sent:]
	require.Len(t, acknowledged, 2, "the rates, then the connections")
	for _, r := range acknowledged {
		require.Nil(t, r.Report.Accounts)
	}
}

// Guards against an instance that starts during an outage and does not inherit
// its predecessor's floor, and against using an inherited slot's share twice once
// the platform is available again.
func TestInheritedSlotIsClaimedLater(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second)
	require.NotEmpty(t, sentMessages[TableRequest](h, "10.0.0.9:1"))
	old := h.table(5, "l0", "granted")
	old.Slots[0].Instance = "i0"
	old.Floors = share.Floors{
		Rates:       map[core.AccountName]share.Rate{"hansen": {Rate: 2500, Burst: 1000}},
		Connections: map[core.DatabaseName]int{"jylland": 1},
	}
	seed := "10.0.0.9:1"
	h.handle(FromPeerResponse{Call: PeerCall{Address: seed, Message: CatalogueRequest{}}, Response: CatalogueMessage{Catalogue: testCatalogue()}, SentAt: h.now})
	h.handle(FromPeerResponse{Call: PeerCall{Address: seed, Message: TableRequest{}}, Response: TableMessage{Table: old, Authoritative: true}, SentAt: h.now})
	require.True(t, h.ready)
	inherited := h.lastShare()
	require.Equal(t, 2.5, inherited.Accounts["hansen"].Rate)
	require.Equal(t, 1, inherited.Connections["jylland"])

	h.respondToWatch(TableRecord{Table: old, Revision: 3}, CatalogueRecord{Catalogue: testCatalogue(), Revision: 1})
	h.run(time.Second)
	respond[CreateLease](h, StoreResponse{Lease: "l1"})
	h.run(time.Second)
	claim := respond[PutClaim](h, StoreResponse{Revision: 11})
	require.Zero(t, claim.Claim.Slot, "the predecessor's slot")
	require.Equal(t, 2.5, h.lastShare().Accounts["hansen"].Rate, "no more before the table names this instance")
	claimed := h.table(6, "l1", "granted")
	claimed.Slots[0].GrantRevision = 6
	h.respondToWatch(TableRecord{Table: claimed, Revision: 12})
	require.Equal(t, 4.0, h.lastShare().Accounts["hansen"].Rate)
	require.NotEqual(t, inherited.Grant, h.lastShare().Grant, "another grant empties the buckets")
}

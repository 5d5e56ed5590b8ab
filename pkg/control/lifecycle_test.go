package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/stopplan"
)

// testStopPlan is the plan of a stop that may take 10 s from the request to the callers
// to reconnect.
var testStopPlan = stopplan.Plan{
	Transactions: 5 * time.Second, Statements: 9 * time.Second, Answers: 9500 * time.Millisecond, Grace: 10 * time.Second,
}

// startDraining starts a planned stop and runs it until callers are told to
// reconnect.
func (h *harness) startDraining() {
	h.handle(StopRequested{})
	require.False(h.t, h.ready)
	h.run(drainDelay)
	require.True(h.t, hasInput[session.Drain](h))
}

// reportShareApplied reports that the session duty enforces a share with open
// connections.
func (h *harness) reportShareApplied(revision uint64, open int) {
	h.handle(SessionReport{Report: session.ShareApplied{Revision: revision, Open: map[core.DatabaseName]int{"jylland": open}}})
}

// Guards against releasing the slot while the session duty may still admit
// statements or has connections open, and against a stop that completes before
// the platform has confirmed the release.
func TestSlotIsReleasedAfterSessionStopped(t *testing.T) {
	for _, drained := range []bool{true, false} {
		h := newHarness(t)
		h.startServing()
		h.startDraining()
		require.Zero(t, countCalls[PutClaim](h))
		if drained {
			h.handle(SessionReport{Report: session.Drained{}})
		} else {
			h.run(testStopPlan.Transactions)
			require.True(t, hasInput[session.EndTransactions](h))
			require.False(t, hasInput[session.EndStatements](h))
			h.run(testStopPlan.Answers - testStopPlan.Transactions)
			require.True(t, hasInput[session.EndStatements](h))
			require.NotEmpty(t, h.lastShare().Accounts, "statements may still need the share")
			h.run(testStopPlan.Grace - testStopPlan.Answers)
		}
		require.Empty(t, h.lastShare().Accounts)
		require.Zero(t, countCalls[PutClaim](h), "session has not confirmed")
		h.reportShareApplied(1, 0)
		require.Zero(t, countCalls[PutClaim](h), "a confirmation of an older share")
		h.reportShareApplied(emptyShareRevision, 1)
		require.Zero(t, countCalls[PutClaim](h), "a connection is open")
		h.reportShareApplied(emptyShareRevision, 0)
		require.False(t, h.stopped)
		claim := respond[PutClaim](h, StoreResponse{Revision: 90})
		require.True(t, claim.Claim.Released)
		require.Equal(t, Revision(11), claim.Revision)
		require.False(t, h.stopped)
		respond[RevokeLease](h, StoreResponse{})
		require.True(t, h.stopped)
	}
}

// Guards against a planned stop that never ends, and against releasing the slot
// without the confirmation that its share is no longer used.
func TestStopIsBounded(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	h.startDraining()
	h.handle(SessionReport{Report: session.Drained{}})
	h.run(withdrawalTimeout)
	require.True(t, h.stopped)
	require.Zero(t, countCalls[PutClaim](h))

	h = newHarness(t)
	h.startServing()
	h.startDraining()
	h.handle(SessionReport{Report: session.Drained{}})
	h.reportShareApplied(emptyShareRevision, 0)
	h.run(releaseTimeoutCalls * h.engine.config.CallTimeout)
	require.True(t, h.stopped)
}

// Guards against a slot that stays claimed after a stop before readiness.
func TestStopBeforeReady(t *testing.T) {
	h := newHarness(t)
	h.respondToWatch()
	respond[CreateLease](h, StoreResponse{Lease: "l1"})
	respond[PutClaim](h, StoreResponse{Revision: 11})
	h.handle(StopRequested{})
	h.reportShareApplied(emptyShareRevision, 0)
	require.True(t, respond[PutClaim](h, StoreResponse{Revision: 90}).Claim.Released)
	respond[RevokeLease](h, StoreResponse{Outcome: NotFound})
	require.True(t, h.stopped)
}

// Guards against losing a drain request or a catalogue because the session ring
// was full.
func TestFullSessionRingLosesNothing(t *testing.T) {
	h := newHarness(t)
	h.ringFull = true
	h.respondToWatch(CatalogueRecord{Catalogue: testCatalogue(), Revision: 1})
	h.ringFull = false
	h.run(time.Second)
	require.True(t, hasInput[session.CatalogueUpdate](h))
	respond[CreateLease](h, StoreResponse{Lease: "l1"})
	respond[PutClaim](h, StoreResponse{Revision: 11})
	h.respondToWatch(TableRecord{Table: h.table(1, "l1", "granted"), Revision: 12})
	h.ringFull = true
	h.handle(StopRequested{})
	h.run(drainDelay)
	require.False(t, hasInput[session.Drain](h))
	h.ringFull = false
	h.run(time.Second)
	require.True(t, hasInput[session.Drain](h))
}

// Guards against a claim based on an incomplete record cache, in which the slot
// of another instance looks free.
func TestClaimWaitsForTheRecords(t *testing.T) {
	h := newHarness(t)
	respond[CreateLease](h, StoreResponse{Lease: "l1"})
	h.run(time.Second)
	require.Zero(t, countCalls[PutClaim](h))
	table := h.table(7, "l0", "granted")
	table.Slots[0].Instance = "i0"
	h.respondToWatch(TableRecord{Table: table, Revision: 3})
	h.run(time.Second)
	require.Zero(t, respond[PutClaim](h, StoreResponse{Revision: 11}).Claim.Slot, "the slot of the predecessor at this address")
}

// Guards against a second claimed slot after the response to a claim was lost,
// and against a new lease for each failed claim.
func TestFailedClaimIsRepeatedWithItsLease(t *testing.T) {
	h := newHarness(t)
	h.respondToWatch()
	respond[CreateLease](h, StoreResponse{Lease: "l1"})
	first := respond[PutClaim](h, StoreResponse{Outcome: Unknown})
	h.respondToWatch(ClaimRecord{Claim: first.Claim, Revision: 11})
	h.run(time.Second)
	require.Zero(t, countCalls[CreateLease](h))
	second := respond[PutClaim](h, StoreResponse{Outcome: Conflict, Records: []Record{ClaimRecord{Claim: first.Claim, Revision: 11}}})
	require.Equal(t, first.Claim, second.Claim)
	require.Equal(t, "held", h.engine.lease.stateName())
}

// Guards against an instance that creates lease after lease while every slot is
// taken, or that gets no slot once one is released.
func TestFullFleet(t *testing.T) {
	h := newHarness(t)
	var records []Record
	for slot := range 4 {
		claim := share.Claim{Slot: slot, Instance: "other", PeerAddress: "10.0.0.8:1", Lease: "l8"}
		records = append(records, ClaimRecord{Claim: claim, Revision: Revision(slot + 1)})
	}
	h.respondToWatch(records...)
	respond[CreateLease](h, StoreResponse{Lease: "l1"})
	for range 60 {
		h.run(time.Second)
		for countCalls[RenewLease](h) > 0 {
			respond[RenewLease](h, StoreResponse{})
		}
	}
	require.Zero(t, countCalls[PutClaim](h))
	require.Zero(t, countCalls[CreateLease](h))
	h.respondToWatch(ClaimRecord{Claim: share.Claim{Slot: 2}, Revision: 30, Deleted: true})
	h.run(time.Second)
	claim := respond[PutClaim](h, StoreResponse{Revision: 31})
	require.Equal(t, 2, claim.Claim.Slot)
	require.Zero(t, claim.Revision)
}

// Guards against an instance that stays without a slot after its lease ended
// during a pause of the process, and against using the share of the old lease
// beyond its bound.
func TestLeaseEndedWhilePaused(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	until := h.lastShare().ValidUntil
	h.now = h.now.Add(time.Minute)
	h.run(0)
	respond[RenewLease](h, StoreResponse{Outcome: NotFound})
	require.Equal(t, until, h.lastShare().ValidUntil)
	h.run(time.Second)
	respond[CreateLease](h, StoreResponse{Lease: "l2"})
	h.run(time.Second)
	claim := respond[PutClaim](h, StoreResponse{Revision: 50})
	require.Equal(t, 0, claim.Claim.Slot)
	require.Equal(t, share.LeaseID("l2"), claim.Claim.Lease)
	h.respondToWatch(TableRecord{Table: h.table(2, "l2", "granted"), Revision: 51})
	require.True(t, h.lastShare().ValidUntil.After(until))
}

// Guards against an instance that stays missing from the platform's list because
// its announcement was lost or the platform's store was rolled back.
func TestLostAnnouncementIsRepeated(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	respond[Announce](h, StoreResponse{Outcome: Unavailable})
	respond[ListInstances](h, StoreResponse{})
	require.Equal(t, Announce{}, respond[Announce](h, StoreResponse{}))
	h.run(listPeriod)
	respond[ListInstances](h, StoreResponse{Instances: []Peer{{ID: self, PeerAddress: selfAddress, Domain: "jylland"}}})
	require.Zero(t, countCalls[Announce](h))
}

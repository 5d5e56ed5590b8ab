package control

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// submitEdit submits an edit that adds an account, and returns the channel of the
// response.
func (h *harness) submitEdit(identity string, account core.AccountName) chan OperatorResponse {
	reply := make(chan OperatorResponse, 1)
	put := catalogue.PutAccount{Name: account, Weight: 1, Rate: 10, Burst: 10}
	h.handle(FromOperator{Request: ApplyEdits{Identity: identity, Edits: []catalogue.Edit{put}}, Reply: reply})
	return reply
}

// Guards against an edit whose response was lost and that is reported as failed
// although it took effect, or is written a second time.
func TestLostAnswerToAnEdit(t *testing.T) {
	for _, written := range []bool{true, false} {
		h := newHarness(t)
		h.startServing()
		reply := h.submitEdit("edit-1", "new")
		op := respond[SwapCatalogue](h, StoreResponse{Outcome: Unknown})
		require.Empty(t, reply)
		respond[ReadCatalogue](h, StoreResponse{Outcome: Unavailable})
		h.run(readRetryDelay)
		if written {
			respond[ReadCatalogue](h, StoreResponse{Records: []Record{CatalogueRecord{Catalogue: op.Catalogue, Revision: 40}}})
		} else {
			respond[ReadCatalogue](h, StoreResponse{Records: []Record{CatalogueRecord{Catalogue: testCatalogue(), Revision: 1}}})
			respond[SwapCatalogue](h, StoreResponse{Revision: 40})
		}
		require.Equal(t, OperatorResponse{Version: 2, Changes: accountAdded("new")}, <-reply)
		require.Equal(t, uint64(2), h.engine.configuration.manager.Current().Version)
	}
}

// Guards against an edit with an unknown outcome that is reported as not run, and
// against one without any reply.
func TestUnresolvedEditIsUncertain(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	reply := h.submitEdit("edit-1", "new")
	respond[SwapCatalogue](h, StoreResponse{Outcome: Unknown})
	for end := h.now.Add(time.Minute); h.now.Before(end) && len(reply) == 0; {
		if countCalls[ReadCatalogue](h) > 0 {
			respond[ReadCatalogue](h, StoreResponse{Outcome: Unavailable})
		}
		h.run(readRetryDelay)
	}
	var err *EditError
	require.ErrorAs(t, (<-reply).Err, &err)
	require.Equal(t, catalogue.OutcomeUncertain, err.Outcome)
}

// Guards against applying two edits with the same identity, whether the first is
// outstanding or finished, and against leaving one of the operators without a
// reply.
func TestRepeatedIdentityAppliesOnce(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	first, second := h.submitEdit("edit-1", "new"), h.submitEdit("edit-1", "new")
	require.Equal(t, 1, countCalls[SwapCatalogue](h))
	respond[SwapCatalogue](h, StoreResponse{Revision: 40})
	require.Equal(t, OperatorResponse{Version: 2, Changes: accountAdded("new")}, <-first)
	require.Equal(t, OperatorResponse{Version: 2, Changes: accountAdded("new")}, <-second)
	require.Equal(t, OperatorResponse{Version: 2}, <-h.submitEdit("edit-1", "new"))
	require.Zero(t, countCalls[SwapCatalogue](h))
}

// Guards against an edit that overwrites a concurrent edit.
func TestRacingEditConflicts(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	reply := h.submitEdit("edit-1", "new")
	other := testCatalogue()
	other.Version, other.EditID = 2, "edit-2"
	respond[SwapCatalogue](h, StoreResponse{Outcome: Conflict, Records: []Record{CatalogueRecord{Catalogue: other, Revision: 40}}})
	var err *EditError
	require.ErrorAs(t, (<-reply).Err, &err)
	require.Equal(t, catalogue.OutcomeConflict, err.Outcome)
	require.Equal(t, other, h.engine.configuration.manager.Current())
}

// Guards against writing a repeated edit after both operators were told that it
// was not written.
func TestRepeatedIdentityFailsOnce(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	replies := []chan OperatorResponse{h.submitEdit("edit-1", "new"), h.submitEdit("edit-1", "new")}
	respond[SwapCatalogue](h, StoreResponse{Outcome: Unavailable})
	for _, reply := range replies {
		require.Error(t, (<-reply).Err)
	}
	h.run(time.Second)
	require.Zero(t, countCalls[SwapCatalogue](h))
}

// Guards against losing the configuration, the slot or the share when the
// platform's store returns to an older state, and against a record cache that
// mixes both states.
func TestPlatformWentBack(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	h.respondToWatch(AllocatorRecord{Allocator: Allocator{Instance: "i4", PeerAddress: "10.0.0.4:1"}, Revision: 15})
	h.revision = 2
	old := testCatalogue()
	old.Version = 0
	respond[Watch](h, StoreResponse{Revision: 3, Records: []Record{CatalogueRecord{Catalogue: old, Revision: 1}}})
	restart, ok := takeCall[Watch](h)
	require.True(t, ok)
	require.Zero(t, restart.After)
	h.handle(FromStore{Response: StoreResponse{Operation: restart, Revision: 3, SentAt: h.now}})
	require.Equal(t, uint64(1), h.engine.configuration.manager.Current().Version)
	require.Empty(t, h.engine.cache.liveClaims())
	require.True(t, h.engine.cache.allocatorVacant())
	require.Equal(t, 4.0, h.lastShare().Accounts["hansen"].Rate, "the current table stays")
	h.run(2 * time.Second)
	require.Equal(t, 1, countCalls[PutAllocator](h))
}

// Guards against a configuration that reverts together with the platform's store,
// and against rejecting all edits after such a rollback.
func TestCatalogueIsRestored(t *testing.T) {
	for _, kept := range [][]Record{nil, {CatalogueRecord{Catalogue: testCatalogue(), Revision: 1}}} {
		h := newHarness(t)
		h.startServing()
		h.submitEdit("edit-1", "new")
		accepted := respond[SwapCatalogue](h, StoreResponse{Revision: 40}).Catalogue
		waiting := h.submitEdit("edit-2", "newer")
		respond[Watch](h, StoreResponse{Revision: 3})
		require.Error(t, (<-waiting).Err)
		takeCall[SwapCatalogue](h)
		respond[Watch](h, StoreResponse{Revision: 3, Records: kept})
		restore := respond[SwapCatalogue](h, StoreResponse{Revision: 4})
		require.Equal(t, accepted, restore.Catalogue)
		require.Equal(t, Revision(len(kept)), restore.Revision)
		respond[Watch](h, StoreResponse{Revision: 4, Records: []Record{CatalogueRecord{Catalogue: accepted, Revision: 4}}})
		reply := h.submitEdit("edit-3", "newest")
		next := respond[SwapCatalogue](h, StoreResponse{Revision: 5})
		require.Equal(t, Revision(4), next.Revision)
		require.Equal(t, OperatorResponse{Version: 3, Changes: accountAdded("newest")}, <-reply)
	}
}

// Guards against dropping links because the instance list could not be read.
func TestFailedListKeepsThePeers(t *testing.T) {
	h := newHarness(t)
	h.startServing()
	respond[ListInstances](h, StoreResponse{Instances: []Peer{{ID: "i2", PeerAddress: "10.0.0.2:1", Domain: "fyn"}}})
	require.Len(t, sentMessages[Versions](h, "10.0.0.2:1"), 1)
	for range 3 {
		h.run(listPeriod)
		respond[ListInstances](h, StoreResponse{Outcome: Unavailable})
	}
	require.Greater(t, len(sentMessages[Versions](h, "10.0.0.2:1")), 10)
	h.run(listPeriod)
	respond[ListInstances](h, StoreResponse{})
	require.Empty(t, h.engine.peers.status(), "instances that are gone are forgotten")
}

// Guards against a status whose lines change their order between calls.
func TestStatusIsOrdered(t *testing.T) {
	h := serveManyGroups(t)
	reply := make(chan OperatorResponse, 1)
	h.handle(FromOperator{Request: GetStatus{}, Reply: reply})
	groups := (<-reply).Status.Groups
	require.Len(t, groups, manyGroups)
	require.True(t, slices.IsSortedFunc(groups, func(a, b GroupStatus) int { return strings.Compare(string(a.Database), string(b.Database)) }))
}

// accountAdded returns the changes that an edit which adds an account reports.
func accountAdded(account string) []string {
	return []string{"+ account " + account + ": weight 1, rate 10/s, burst 10"}
}

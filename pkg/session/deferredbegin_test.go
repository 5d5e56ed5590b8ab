package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against a transaction that is cut off because its entry is removed between the
// answer to BEGIN and the first statement, which no member knows of.
func TestEntryRemovedAfterADeferredBegin(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "begin", begin)
	h.publishCatalogue(entryChanges["entry removed"])
	h.requireOpen(1)
	h.sendClassified(1, "write", write)
	sent := h.lastSent()
	require.True(t, sent.Begin)
	h.primaryAnswers(sent.Target, 'T', position(1, 100))
	h.requireOpen(1)
	h.sendClassified(1, "commit", commit)
	h.primaryAnswers(sent.Target, TxIdle, position(1, 101))
	h.requireAnsweredThenClosed(core.ReasonDatabaseLeaving)

	h = newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "begin", begin)
	h.publishCatalogue(entryChanges["entry removed"])
	h.wait(h.e.transactionIdle)
	require.Empty(t, h.e.callers, "a transaction that stays idle does not keep the removed entry in use")
}

// Guards against the same where the home of the account runs the first statement: it does
// not know the entry any more, and the caller needs a whole answer that is true.
func TestEntryRemovedAfterADeferredBeginAtTheHome(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "begin", begin)
	h.publishCatalogue(entryChanges["entry removed"])
	h.requireOpen(1)
	h.sendClassified(1, "write", write)
	h.homeResponds(h.lastRelayed(), RelayResponse{
		Refusal: core.NotRun(core.ReasonNoEntry, "no entry has this name"), TxStatus: TxIdle, Closing: true,
	})
	fail, ok := h.callers[len(h.callers)-2].(CallerError)
	require.True(t, ok, "%#v", h.callers[len(h.callers)-2])
	require.Equal(t, core.OutcomeNotRun, fail.Refusal.Outcome)
	require.EqualValues(t, TxIdle, fail.TxStatus)
	h.requireClosed(core.ReasonDatabaseLeaving, core.OutcomeNotRun)
}

// Guards against a transaction that is cut off because its entry moves between the answer to
// BEGIN and the first statement, against one that runs on the old database, and against
// positions of one database that are required of another.
func TestEntryMovedAfterADeferredBegin(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	h.do(TargetReady{Target: h.lastSent().Target, Frames: []byte("ready"), TxStatus: TxIdle, Position: position(7, 500)})
	require.Equal(t, position(7, 500), h.e.callers[1].floor)
	h.sendClassified(1, "begin", begin)
	h.publishCatalogue(moveEntry)
	h.requireOpen(1)
	h.do(GroupView{Database: "db2", Members: []MemberView{{
		Status: core.MemberStatus{Member: "n0", Role: core.RolePrimary}, Reachable: true, Announced: 1, RespondedAt: h.now,
	}}})
	h.sendClassified(1, "write", write)
	sent := h.lastSent()
	require.True(t, sent.Begin)
	require.Equal(t, core.MemberID("n0"), h.memberOf(sent.Target))
	require.Zero(t, sent.MinPosition)
	h.primaryAnswers(sent.Target, 'T', position(1, 100))
	h.sendClassified(1, "commit", commit)
	h.primaryAnswers(sent.Target, TxIdle, position(1, 101))
	h.requireOpen(1)
}

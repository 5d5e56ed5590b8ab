package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against a session that goes on with an entry that was removed during its
// transaction, because the transaction was lost and its next request was answered without a
// statement.
func TestEntryRemovedBeforeTheTransactionIsLost(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "write", write)
	pinned := h.lastSent().Target
	h.primaryAnswers(pinned, 'T', position(1, 100))
	h.publishCatalogue(entryChanges["entry removed"])
	h.requireOpen(1)
	h.do(TargetClosed{Target: pinned})
	h.sendClassified(1, "commit", commit)
	fail, ok := h.callers[len(h.callers)-2].(CallerError)
	require.True(t, ok, "%#v", h.lastCallerCommand())
	require.Equal(t, core.ReasonTransactionAborted, fail.Refusal.Reason)
	h.requireClosed(core.ReasonDatabaseLeaving, core.OutcomeNotRun)
	sent := h.countSent()
	h.sendClassified(1, "write", write)
	require.Equal(t, sent, h.countSent(), "the removed entry is not used any more")
}

// Guards against a home that ends the transaction of another instance's caller for idleness
// although the caller may not have been idle for so long: the answer and the next request
// take time between the caller and the home.
func TestRemoteTransactionOutlastsTheIdleLimitOfItsInstance(t *testing.T) {
	const limit = 3 * time.Second
	h := newHomeHarness(t)
	h.do(LimitsUpdate{TransactionIdle: limit})
	h.firstInTransaction = true
	h.sendRemote(1, 0, true, "write", write)
	h.firstInTransaction = false
	pinned := h.lastSent().Target
	h.primaryAnswers(pinned, 'T', position(1, 100))
	h.wait(limit + 500*time.Millisecond)
	h.sendRemote(2, 1, false, "commit", commit)
	require.Equal(t, "commit", h.lastSent().Payload.ID)
	h.primaryAnswers(pinned, 'T', position(1, 101))
	h.wait(2 * limit)
	require.Empty(t, h.e.callers, "the home ends it if its instance does not")
}

// Guards against a transaction that is cut off two seconds after its database was removed
// from the configuration: a change of the configuration applies from the next one onward.
func TestRemovedDatabaseKeepsItsOpenTransactions(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "write", write)
	pinned := h.lastSent().Target
	h.primaryAnswers(pinned, 'T', position(1, 100))
	h.publishCatalogue(entryChanges["database removed"])
	h.wait(h.e.cfg.Bounds.Leaving + 1)
	h.sendClassified(1, "commit", commit)
	require.Equal(t, "commit", h.lastSent().Payload.ID)
	h.primaryAnswers(pinned, TxIdle, position(1, 101))
	h.requireAnsweredThenClosed(core.ReasonDatabaseLeaving)
}

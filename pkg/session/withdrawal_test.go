package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// revokeKey takes away the key that the test callers use.
func revokeKey(c *catalogue.Catalogue) { c.Accounts[0].Keys[0].Revoked = true }

// Guards against a statement that is cut off because its key is revoked while the home runs
// it, and against a transaction that stays open at the home after the session has ended.
func TestRevokedKeyEndsAfterTheAnswerOfTheHome(t *testing.T) {
	for _, status := range []byte{TxIdle, 'T'} {
		h := newOriginHarness(t)
		if status == 'T' {
			h.sendClassified(1, "begin", begin)
		}
		h.sendClassified(1, "write", write)
		v := h.lastRelayed()
		h.publishCatalogue(revokeKey)
		h.do(KeysRevoked{Keys: []core.KeyID{"k1"}})
		h.requireOpen(1)
		h.homeResponds(v, RelayResponse{Frames: []byte("done"), TxStatus: status})
		h.requireAnsweredThenClosed(core.ReasonKeyRevoked)
		if status == 'T' {
			require.Equal(t, []RelayEnd{{Address: homeAddress, Caller: 1, Sequence: v.ID.Sequence}}, h.relayEnds())
		}
	}
}

// Guards against a home that sends no whole response to a statement whose key is revoked
// while it runs, and against a transaction that commits with the revoked key afterwards.
func TestRevokedKeyOfARemoteCallerEndsAfterTheAnswer(t *testing.T) {
	h := newHomeHarness(t)
	h.firstInTransaction = true
	h.sendRemote(1, 0, true, "write", write)
	h.firstInTransaction = false
	sent := h.lastSent()
	h.publishCatalogue(revokeKey)
	h.primaryAnswers(sent.Target, 'T', position(1, 100))
	response := h.lastRelayResponse()
	require.Nil(t, response.Refusal)
	require.Equal(t, []byte("ready"), response.Frames)
	require.Contains(t, h.targets, TargetClose{Target: sent.Target}, "the transaction is rolled back")
	h.sendRemote(2, 1, false, "commit", commit)
	require.Equal(t, core.ReasonTransactionAborted, h.lastRelayResponse().Refusal.Reason)
	require.Equal(t, core.OutcomeNotRun, h.lastRelayResponse().Refusal.Outcome)
}

// Guards against a session that ends after its running statement although the account that
// was removed meanwhile is back: the account's state is a new one then.
func TestAccountRestoredWhileARequestRuns(t *testing.T) {
	for _, status := range []byte{TxIdle, 'T'} {
		h := newAsyncHarness(t)
		h.open(1, core.Position{})
		if status == 'T' {
			h.sendClassified(1, "begin", begin)
		}
		h.sendClassified(1, "write", write)
		sent := h.lastSent()
		h.publishCatalogue(func(c *catalogue.Catalogue) { c.Accounts, c.Entries = nil, nil })
		h.publishCatalogue(func(*catalogue.Catalogue) {})
		h.primaryAnswers(sent.Target, status, position(1, 101))
		h.requireOpen(1)
		h.publishShare(2)
		h.wait(time.Second)
		before := h.countSent()
		h.sendClassified(1, "write", write)
		require.Equal(t, before+1, h.countSent())
	}
}

// Guards against a transaction that ends because its database was removed from the
// configuration and is back before the next statement.
func TestDatabaseRestoredDuringATransaction(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "read", read)
	h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: 'T'})
	h.publishCatalogue(entryChanges["database removed"])
	h.publishCatalogue(func(*catalogue.Catalogue) {})
	h.wait(h.e.cfg.Bounds.Leaving + 1)
	h.sendClassified(1, "commit", commit)
	require.Equal(t, "commit", h.lastRelayed().Request.Payload.ID)
	h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: TxIdle, Position: position(1, 101)})
	require.IsType(t, CallerWrite{}, h.lastCallerCommand())
	h.requireOpen(1)
}

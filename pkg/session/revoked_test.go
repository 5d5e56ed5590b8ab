package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against a process that ends because an operator takes a key away and gives it
// back while a request with it runs. The request is answered and the session goes on.
func TestKeyRestoredWhileARequestRuns(t *testing.T) {
	for _, inTransaction := range []bool{false, true} {
		h := newAsyncHarness(t)
		h.open(1, core.Position{})
		status := byte(TxIdle)
		if inTransaction {
			status = 'T'
			h.sendClassified(1, "begin", begin)
		}
		h.sendClassified(1, "write", write)
		sent := h.lastSent()
		h.publishCatalogue(func(c *catalogue.Catalogue) { c.Accounts[0].Keys[0].Revoked = true })
		h.publishCatalogue(func(c *catalogue.Catalogue) { c.Accounts[0].Keys[0].Revoked = false })
		h.primaryAnswers(sent.Target, status, position(1, 100))
		answer, ok := h.lastCallerCommand().(CallerWrite)
		require.True(t, ok, "the session goes on: %T", h.lastCallerCommand())
		require.Equal(t, status, answer.TxStatus)
		before := h.countSent()
		h.sendClassified(1, "write", write)
		require.Equal(t, before+1, h.countSent())
	}
}

// Guards against a request that is cut off, or a session that goes on, when the access to
// the entry is withdrawn in either way while the request runs.
func TestWithdrawnAccessEndsTheSessionAfterTheAnswer(t *testing.T) {
	withdrawals := map[core.Reason]struct {
		key    core.KeyID
		before bool
		change func(*catalogue.Catalogue)
	}{
		core.ReasonKeyRevoked: {key: "k1", change: func(c *catalogue.Catalogue) { c.Accounts[0].Keys[0].Revoked = true }},
		core.ReasonWrongKey:   {before: true, change: func(c *catalogue.Catalogue) { c.Entries[0].Open = false }},
	}
	for reason, w := range withdrawals {
		t.Run(string(reason), func(t *testing.T) {
			h := newAsyncHarness(t)
			h.publishCatalogue(func(c *catalogue.Catalogue) { c.Entries[0].Open = w.before })
			h.do(CallerOpened{Caller: 1, Account: "acct", Entry: "entry", Key: w.key})
			h.sendClassified(1, "write", write)
			sent := h.lastSent()
			commands := len(h.callers)
			h.publishCatalogue(w.change)
			require.Len(t, h.callers, commands, "the request runs on")
			h.primaryAnswers(sent.Target, TxIdle, position(1, 100))
			require.IsType(t, CallerWrite{}, h.callers[commands])
			require.Equal(t, reason, h.callers[commands+1].(CallerClose).Refusal.Reason)
		})
	}
}

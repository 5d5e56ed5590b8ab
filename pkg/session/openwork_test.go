package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against an isolated instance that ends a session while the home of the account runs
// its statement or transaction, or after BEGIN was answered and not yet sent.
func TestReleaseIdleKeepsWorkElsewhere(t *testing.T) {
	h := newOriginHarness(t)
	h.open(2, core.Position{})
	h.open(3, core.Position{})
	h.sendClassified(1, "read", read)
	running := h.lastRelayed()
	h.sendClassified(2, "begin", begin)
	h.sendClassified(3, "begin", begin)
	h.sendClassified(3, "write", write)
	h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: 'T'})
	for range 2 {
		h.do(ReleaseIdle{})
	}
	require.Len(t, h.e.callers, 3)
	h.homeResponds(running, RelayResponse{TxStatus: TxIdle})
	h.sendClassified(2, "write", write)
	require.True(t, h.lastRelayed().FirstInTransaction)
	h.sendClassified(3, "commit", commit)
	require.Equal(t, "commit", h.lastRelayed().Request.Payload.ID)
}

// Guards against a home that ends the transaction of another instance's caller because it
// releases its own callers.
func TestReleaseIdleKeepsTransactionsOfRemoteCallers(t *testing.T) {
	h := newHomeHarness(t)
	h.firstInTransaction = true
	h.sendRemote(1, 0, true, "write", write)
	h.firstInTransaction = false
	pinned := h.lastSent().Target
	h.primaryAnswers(pinned, 'T', position(1, 100))
	h.do(ReleaseIdle{})
	h.sendRemote(2, 1, false, "commit", commit)
	require.Equal(t, pinned, h.lastSent().Target)
	h.primaryAnswers(pinned, TxIdle, position(1, 101))
	require.Nil(t, h.lastRelayResponse().Refusal)
	h.do(ReleaseIdle{})
	require.Empty(t, h.e.callers)
	h.sendRemote(3, 0, true, "write", write)
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 102))
	require.Nil(t, h.lastRelayResponse().Refusal, "a released remote caller is admitted again")
}

// Guards against a false or missing refusal of a request that was on its way when its session
// ended: the reason for the end is the request's only answer.
func TestRequestOnItsWayWhenTheSessionEnds(t *testing.T) {
	openTransaction := func(h *harness) {
		h.sendClassified(1, "begin", begin)
		h.sendClassified(1, "write", write)
		h.primaryAnswers(h.lastSent().Target, 'T', position(1, 100))
	}
	ends := map[string]func(*harness){
		"released":         func(h *harness) { h.do(ReleaseIdle{}) },
		"stopping":         func(h *harness) { h.do(Drain{}) },
		"key revoked":      func(h *harness) { h.publishCatalogue(revokeKey) },
		"entry removed":    func(h *harness) { h.publishCatalogue(entryChanges["entry removed"]) },
		"transaction idle": func(h *harness) { openTransaction(h); h.wait(h.e.transactionIdle) },
		"lost transaction idle": func(h *harness) {
			openTransaction(h)
			h.do(TargetClosed{Target: h.lastSent().Target})
			h.wait(h.e.transactionIdle)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			h := newAsyncHarness(t)
			h.open(1, core.Position{})
			end(h)
			closed, ok := h.lastCallerCommand().(CallerClose)
			require.True(t, ok, "%#v", h.lastCallerCommand())
			require.Equal(t, core.OutcomeNotRun, closed.Refusal.Outcome)
			commands, sent := len(h.callers), h.countSent()
			h.sendClassified(1, "commit", commit)
			require.Len(t, h.callers, commands, "the connection is closed already")
			require.Equal(t, sent, h.countSent(), "the request was refused as not run")
		})
	}
}

// Guards against a running statement or an open transaction that is cut off because its
// member is removed from the catalogue, moves to another address or may not be used any more.
func TestLeavingMemberKeepsItsWork(t *testing.T) {
	changes := map[string]func(*harness){
		"removed": func(h *harness) {
			h.publishCatalogue(func(c *catalogue.Catalogue) { c.Databases[0].Members = c.Databases[0].Members[1:] })
		},
		"moved": func(h *harness) {
			h.publishCatalogue(func(c *catalogue.Catalogue) { c.Databases[0].Members[0].Address = "127.0.0.1:300" })
		},
		"draining": func(h *harness) {
			h.do(GroupView{Database: "db", Members: []MemberView{{
				Status: core.MemberStatus{Member: "m0", Role: core.RolePrimary}, Announced: 2, RespondedAt: h.now,
			}}})
		},
		"connections shared": func(h *harness) {
			h.publishShare(0)
			h.do(ReleaseConnectionRequested{Member: "m0"})
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			h := newAsyncHarness(t)
			h.open(1, core.Position{})
			h.sendClassified(1, "begin", begin)
			h.sendClassified(1, "write", write)
			pinned := h.lastSent().Target
			change(h)
			h.primaryAnswers(pinned, 'T', position(1, 100))
			change(h)
			h.wait(10 * time.Second)
			h.sendClassified(1, "commit", commit)
			require.Equal(t, "commit", h.lastSent().Payload.ID)
			require.Equal(t, pinned, h.lastSent().Target)
			require.NotContains(t, h.targets, TargetClose{Target: pinned})
			h.primaryAnswers(pinned, TxIdle, position(1, 101))
			require.IsType(t, CallerWrite{}, h.lastCallerCommand())
		})
	}
}

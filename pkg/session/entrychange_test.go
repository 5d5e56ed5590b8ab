package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// entryChanges are the changes of a configuration after which a session may not go on with
// its entry.
var entryChanges = map[string]func(*catalogue.Catalogue){
	"entry removed": func(c *catalogue.Catalogue) { c.Entries = nil },
	"entry moved":   moveEntry,
	"database removed": func(c *catalogue.Catalogue) {
		c.Entries, c.Databases = nil, nil
	},
}

// moveEntry adds the database "db2" with the member n0 and moves the entry to it.
func moveEntry(c *catalogue.Catalogue) {
	c.Databases = append(c.Databases, catalogue.Database{
		Name: "db2", State: catalogue.DatabaseActive,
		Members: []catalogue.Member{{ID: "n0", Address: "127.0.0.1:200", Slots: 2}},
	})
	c.Entries[0].Database = "db2"
}

// requireOpen checks that the caller's session goes on.
func (h *harness) requireOpen(id CallerID) {
	h.t.Helper()
	require.NotContains(h.t, h.closedCallers(), id)
	require.Contains(h.t, h.e.callers, id)
}

// closedCallers returns the callers whose connection was closed.
func (h *harness) closedCallers() []CallerID {
	var closed []CallerID
	for _, c := range h.callers {
		if v, ok := c.(CallerClose); ok {
			closed = append(closed, v.Caller)
		}
	}
	return closed
}

// requireAnsweredThenClosed checks that the newest commands complete a request and then
// close the connection.
func (h *harness) requireAnsweredThenClosed(reason core.Reason) {
	h.t.Helper()
	require.GreaterOrEqual(h.t, len(h.callers), 2)
	answer, ok := h.callers[len(h.callers)-2].(CallerWrite)
	require.True(h.t, ok, "%#v", h.callers[len(h.callers)-2])
	require.True(h.t, answer.Done)
	h.requireClosed(reason, core.OutcomeNotRun)
}

// Guards against a transaction that is cut off because its entry changes between two
// statements, while the home of the account runs it. The change applies from the next
// transaction onward.
func TestEntryChangeKeepsTheTransactionAtTheHome(t *testing.T) {
	for name, change := range entryChanges {
		t.Run(name, func(t *testing.T) {
			h := newOriginHarness(t)
			h.sendClassified(1, "begin", begin)
			h.sendClassified(1, "read", read)
			first := h.lastRelayed()
			h.homeResponds(first, RelayResponse{TxStatus: 'T'})
			h.publishCatalogue(change)
			h.requireOpen(1)
			require.Empty(t, h.relayEnds())
			h.sendClassified(1, "commit", commit)
			v := h.lastRelayed()
			require.Equal(t, "commit", v.Request.Payload.ID)
			require.Equal(t, first.ID.Sequence, v.TransactionSequence)
			h.homeResponds(v, RelayResponse{TxStatus: TxIdle, Position: position(1, 101)})
			h.requireAnsweredThenClosed(core.ReasonDatabaseLeaving)
		})
	}
}

// Guards against a transaction that is cut off because its entry changes between two
// statements, while this instance runs it for a caller of its own or of another instance.
func TestEntryChangeKeepsTheTransactionHere(t *testing.T) {
	for name, change := range entryChanges {
		t.Run(name, func(t *testing.T) {
			h := newAsyncHarness(t)
			h.open(1, core.Position{})
			h.sendClassified(1, "begin", begin)
			h.sendClassified(1, "write", write)
			pinned := h.lastSent().Target
			h.primaryAnswers(pinned, 'T', position(1, 100))
			h.publishCatalogue(change)
			h.requireOpen(1)
			h.sendClassified(1, "commit", commit)
			require.Equal(t, pinned, h.lastSent().Target)
			h.primaryAnswers(pinned, TxIdle, position(1, 101))
			h.requireAnsweredThenClosed(core.ReasonDatabaseLeaving)
		})
	}
}

// Guards against a home that cuts off the transaction of another instance's caller, or that
// answers nothing, because it has a newer configuration than that instance.
func TestEntryChangeKeepsTheTransactionOfARemoteCaller(t *testing.T) {
	for name, change := range entryChanges {
		t.Run(name, func(t *testing.T) {
			h := newHomeHarness(t)
			h.firstInTransaction = true
			h.sendRemote(1, 0, true, "write", write)
			h.firstInTransaction = false
			pinned := h.lastSent().Target
			h.publishCatalogue(change)
			h.primaryAnswers(pinned, 'T', position(1, 100))
			require.EqualValues(t, 'T', h.lastRelayResponse().TxStatus)
			h.sendRemote(2, 1, false, "commit", commit)
			require.Equal(t, pinned, h.lastSent().Target)
			h.primaryAnswers(pinned, TxIdle, position(1, 101))
			response := h.lastRelayResponse()
			require.Nil(t, response.Refusal)
			require.Equal(t, []byte("ready"), response.Frames)
			require.Empty(t, h.e.callers, "the session ended after the answer")
		})
	}
}

// Guards against a running statement that is cut off, or a session that goes on with the old
// entry, when the entry changes while the statement runs here or at the home.
func TestEntryChangeWaitsForTheRunningStatement(t *testing.T) {
	for name, change := range entryChanges {
		t.Run(name, func(t *testing.T) {
			h := newAsyncHarness(t)
			h.open(1, core.Position{})
			h.sendClassified(1, "write", write)
			h.publishCatalogue(change)
			h.requireOpen(1)
			h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 101))
			h.requireAnsweredThenClosed(core.ReasonDatabaseLeaving)

			h = newOriginHarness(t)
			h.sendClassified(1, "write", write)
			h.publishCatalogue(change)
			h.requireOpen(1)
			h.homeResponds(h.lastRelayed(), RelayResponse{TxStatus: TxIdle, Position: position(1, 101)})
			h.requireAnsweredThenClosed(core.ReasonDatabaseLeaving)
		})
	}
}

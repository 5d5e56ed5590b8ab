package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// newConnectionLimitHarness returns a harness whose members accept fewer
// connections than there are accounts; two other instances are homes.
func newConnectionLimitHarness(t testing.TB) *harness {
	h := newAsyncHarness(t)
	h.do(ShareUpdate{
		Accounts:     map[core.AccountName]RateShare{"acct": {Rate: 1000, Burst: 1000}},
		Connections:  map[core.DatabaseName]int{"db": 3},
		IdleTimeouts: map[core.DatabaseName]time.Duration{"db": time.Second},
		ValidUntil:   h.now.Add(time.Hour),
	})
	h.do(HomesUpdate{Homes: map[core.AccountName]Home{
		"acct": {Local: true}, "b": {Address: "10.0.0.2:1"}, "c": {Address: "10.0.0.3:1"}, "d": {Address: "10.0.0.3:1"},
	}})
	h.open(1, core.Position{})
	return h
}

// lastOpened returns the newest request to open a connection.
func (h *harness) lastOpened() TargetOpen {
	for i := len(h.targets) - 1; i >= 0; i-- {
		if o, ok := h.targets[i].(TargetOpen); ok {
			return o
		}
	}
	require.Fail(h.t, "no connection was requested")
	return TargetOpen{}
}

// sendWithoutConnecting sends a request and does not report the connection that
// it needs as ready.
func (h *harness) sendWithoutConnecting(id CallerID, text string, classification Classification) {
	classification.Hints.MaxAge = -1
	h.do(CallerRequest{Caller: id, Request: &Request{Classification: &classification, Payload: &Payload{ID: text}, Arrived: h.now}})
}

// Guards against too many refused connections: every 100 ms, 87 homes tried to
// connect to a member that accepts 67 connections. They were refused 10,688
// times in 34 s, while others kept unused connections.
func TestFullMemberIsAskedAfterOthersGaveRoom(t *testing.T) {
	h := newConnectionLimitHarness(t)
	h.sendWithoutConnecting(1, "write", write)
	first := h.lastOpened()
	h.do(TargetClosed{Target: first.Target, ConnectionLimit: true})
	require.Equal(t, []PeerCommand{
		ReleaseConnectionRequest{Address: "10.0.0.2:1", Member: "m0"}, ReleaseConnectionRequest{Address: "10.0.0.3:1", Member: "m0"},
	}, sortedReleaseRequests(h.peers), "every other home once")
	attempts := 0
	for at := time.Duration(0); at < 1500*time.Millisecond; at += 5 * time.Millisecond {
		h.wait(5 * time.Millisecond)
		if o := h.lastOpened(); o.Target != first.Target {
			first = o
			attempts++
			h.do(TargetClosed{Target: o.Target, ConnectionLimit: true})
		}
	}
	require.LessOrEqual(t, attempts, 7, "25, 50, 100, 200 and 400 ms after each other")
	require.GreaterOrEqual(t, attempts, 5)
}

func sortedReleaseRequests(list []PeerCommand) []PeerCommand {
	var requests []PeerCommand
	for _, c := range list {
		if r, ok := c.(ReleaseConnectionRequest); ok {
			requests = append(requests, r)
		}
	}
	if len(requests) == 2 && requests[0].(ReleaseConnectionRequest).Address > requests[1].(ReleaseConnectionRequest).Address {
		requests[0], requests[1] = requests[1], requests[0]
	}
	return requests
}

// Guards against a home that closes a connection which it needs itself.
func TestUnusedConnectionGivesRoom(t *testing.T) {
	h := newConnectionLimitHarness(t)
	h.sendClassified(1, "write", write)
	used := h.lastSent().Target
	h.do(ReleaseConnectionRequested{Member: "m0"})
	require.NotContains(t, h.targets, TargetClose{Target: used}, "a request runs")
	h.primaryAnswers(used, TxIdle, position(1, 100))
	h.do(ReleaseConnectionRequested{Member: "m0"})
	require.NotContains(t, h.targets, TargetClose{Target: used}, "it was used just now")
	h.wait(100 * time.Millisecond)
	h.do(ReleaseConnectionRequested{Member: "m1"})
	require.NotContains(t, h.targets, TargetClose{Target: used}, "another member is full")
	h.do(ReleaseConnectionRequested{Member: "m0"})
	require.Contains(t, h.targets, TargetClose{Target: used})
}

// Guards against members that stay at their connection limit after a partition of the
// instances: each instance kept the connections that it had opened while it could not
// reach the accounts' homes, and the homes waited for one until their deadlines.
func TestSubstituteConnectionsCloseOnceTheHomeResponds(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.do(HomesUpdate{Homes: map[core.AccountName]Home{"acct": {Local: true}}})
	h.sendClassified(1, "write", write)
	used := h.lastSent().Target
	h.primaryAnswers(used, TxIdle, position(1, 120))
	idle := h.e.targets[used]
	h.e.now = idle.lastUsed.Add(substituteIdleTime)
	h.e.closeSubstituteConnections()
	require.True(t, idle.isIdle(), "the home keeps its connections")

	h.e.homes["acct"] = Home{Address: "10.0.0.2:1"}
	home := h.e.peer("10.0.0.2:1")
	home.lost = true
	h.e.closeSubstituteConnections()
	require.True(t, idle.isIdle(), "the home does not respond")

	home.lost = false
	h.e.now = idle.lastUsed.Add(substituteIdleTime - time.Millisecond)
	h.e.closeSubstituteConnections()
	require.True(t, idle.isIdle(), "it was used shortly before")
	h.e.now = idle.lastUsed.Add(substituteIdleTime)
	h.e.reportDemand()
	require.False(t, idle.isIdle())
}

package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// suspicions returns the reports of suspected members.
func (h *harness) suspicions() []MemberSuspected {
	var list []MemberSuspected
	for _, r := range h.control {
		if v, ok := r.(MemberSuspected); ok {
			list = append(list, v)
		}
	}
	return list
}

// Guards against a primary that stays suspected although it has answered this instance, and
// against checks that are repeated at once although a status request was answered: each costs
// an overloaded member another connection. A primary that then freezes is suspected as fast.
func TestSuspicionEndsWithAResponse(t *testing.T) {
	h := newOriginHarness(t)
	h.do(HomesUpdate{})
	h.sendClassified(1, "write", write)
	sent := h.lastSent()
	waitUntilSuspected := func() time.Duration {
		h.control = nil
		since := h.now
		for len(h.suspicions()) == 0 {
			h.wait(10 * time.Millisecond)
			require.Less(t, h.now.Sub(since), time.Second)
		}
		return h.now.Sub(since)
	}
	latest := memberResponseTimeout + h.e.cfg.Bounds.ProbeInterval/2 + 10*time.Millisecond
	require.LessOrEqual(t, waitUntilSuspected(), latest)
	require.Greater(t, h.suspicions()[0].UnansweredFor, memberResponseTimeout)
	h.do(MemberAlive{Member: "m0"})
	require.Less(t, h.e.databases["db"].member("m0").unansweredFor(), time.Millisecond)
	took := waitUntilSuspected()
	require.Greater(t, took, memberResponseTimeout)
	require.LessOrEqual(t, took, latest, "a request is still without a response")
	require.NotContains(t, h.control, MemberResponded{Member: "m0"})
	h.primaryAnswers(sent.Target, TxIdle, position(1, 101))
	require.Contains(t, h.control, MemberResponded{Member: "m0"})
}

// Guards against a member that is suspected after a status request was answered although no
// request is left without a response.
func TestMemberAliveWithoutARequestIsNotSuspected(t *testing.T) {
	h := newOriginHarness(t)
	h.do(HomesUpdate{})
	h.sendClassified(1, "write", write)
	h.wait(400 * time.Millisecond)
	h.do(CallerClosed{Caller: 1})
	h.do(MemberAlive{Member: "m0"})
	require.Zero(t, h.e.databases["db"].member("m0").unansweredFor())
	h.control = nil
	h.wait(time.Second)
	require.Empty(t, h.suspicions())
}

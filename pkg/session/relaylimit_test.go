package session

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against an answer of the home that is dropped at the caller's instance, or a
// request that the home refuses as not run and that is reported as uncertain, because the
// home decides at its time limit and its response takes a while: the two instances share
// the limit, messages take up to 5 ms between failure domains, and a small instance under
// load handles them tens of milliseconds later.
func TestResponseOfTheHomeNearTheTimeLimit(t *testing.T) {
	responses := map[string]struct {
		response RelayResponse
		outcome  core.Outcome
	}{
		"answered": {response: RelayResponse{Frames: []byte("done"), TxStatus: TxIdle, Position: position(1, 101)}},
		"not run":  {response: RelayResponse{Refusal: core.NotRun(core.ReasonDeadline, "late"), TxStatus: TxIdle}, outcome: core.OutcomeNotRun},
	}
	for name, c := range responses {
		for _, late := range []time.Duration{5 * time.Millisecond, 29 * time.Millisecond, 40 * time.Millisecond, 75 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", late), func(t *testing.T) {
				h := newOriginHarness(t)
				limit := h.now.Add(h.e.entries["entry"].deadline)
				h.sendClassified(1, "write", write)
				v := h.lastRelayed()
				require.Equal(t, limit, h.now.Add(v.Timeout), "the home has the same time limit")
				for h.now.Before(limit.Add(late)) {
					step := min(limit.Add(late).Sub(h.now), 50*time.Millisecond)
					h.wait(step)
					h.do(PeerProbeReply{Address: homeAddress})
				}
				h.homeResponds(v, c.response)
				if c.outcome == "" {
					require.IsType(t, CallerWrite{}, h.lastCallerCommand())
					return
				}
				h.requireRefused(core.ReasonDeadline, c.outcome)
			})
		}
	}
}

// Guards against a caller that waits much longer than its time limit because the home leaves
// its request without a response although it responds otherwise.
func TestRequestWithoutAResponseEndsSoonAfterTheTimeLimit(t *testing.T) {
	h := newOriginHarness(t)
	limit := h.now.Add(h.e.entries["entry"].deadline)
	h.sendClassified(1, "write", write)
	for h.now.Before(limit.Add(relayMargin + time.Millisecond)) {
		h.wait(min(limit.Add(relayMargin+time.Millisecond).Sub(h.now), 50*time.Millisecond))
		h.do(PeerProbeReply{Address: homeAddress})
	}
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
}

// Guards against uncertain answers because this process was paused: the responses of the
// homes that came during the pause are read after the check that finds no message.
func TestPauseOfTheProcessLosesNoHome(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "write", write)
	v := h.lastRelayed()
	h.wait(peerTimeout + 300*time.Millisecond)
	h.homeResponds(v, RelayResponse{Frames: []byte("done"), TxStatus: TxIdle, Position: position(1, 101)})
	require.IsType(t, CallerWrite{}, h.lastCallerCommand())
	require.False(t, h.e.peer(homeAddress).lost)
	require.NotContains(t, h.control, HomeUnresponsive{Address: homeAddress})

	h.sendClassified(1, "write", write)
	h.wait(peerTimeout + 300*time.Millisecond)
	h.wait(peerProbeInterval)
	require.True(t, h.e.peer(homeAddress).lost, "it has not responded to the probe after the pause either")
}

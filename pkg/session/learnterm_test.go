package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against a home that has just started and lets a statement wait until its time
// limit, because its session has seen a term that the home does not know and nothing asks
// a member for it.
func TestNewHomeLearnsTheTermOfTheGroup(t *testing.T) {
	h := newHomeHarness(t)
	deadline := h.now.Add(h.e.entries["entry"].deadline)
	h.do(RemoteRequest{
		Caller: RemoteID{Instance: "origin-1", Caller: 7}, ReplyTo: 1, Entry: "entry", Key: "k1", Sequence: 1, OutsideTransaction: true,
		Floor:   position(3, 40),
		Request: &Request{Classification: &Classification{Kind: KindWrite, Hints: Hints{MaxAge: -1}}, Payload: &Payload{ID: "write"}, Arrived: h.now},
	})
	require.Zero(t, h.countSent(), "the primary may be the one of an older term")
	h.connect()
	require.NotEmpty(t, h.targets, "nothing asks a member")
	probe, ok := h.targets[len(h.targets)-1].(TargetProbe)
	require.True(t, ok, "%#v", h.targets[len(h.targets)-1])
	require.Equal(t, core.MemberID("m0"), h.memberOf(probe.Target))
	h.primaryAnswers(probe.Target, TxIdle, position(3, 50))
	require.Equal(t, 1, h.countSent())
	require.True(t, h.now.Before(deadline))
}

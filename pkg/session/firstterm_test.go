package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// writeAndReadBeforeAnyAnswer lets an instance that has heard of no term send a write to the
// announced primary and a read to a replica. It returns both.
func writeAndReadBeforeAnyAnswer(h *harness) (write1, read1 TargetSend) {
	receivePositionProof(h, 50*time.Millisecond, PositionProof{Position: position(1, 120), Age: 30 * time.Millisecond})
	h.open(2, core.Position{})
	h.sendClassified(2, "write", write)
	write1 = h.lastSent()
	h.sendClassified(1, "read", read)
	return write1, h.lastSent()
}

// Guards against an uncertain answer to a write because a replica answers before the primary
// at an instance that has sent requests to neither: the replica's term is then taken for a
// newer one than that of the primary.
func TestFirstAnswerOfAReplicaKeepsThePrimary(t *testing.T) {
	h := newAsyncHarness(t)
	w, r := writeAndReadBeforeAnyAnswer(h)
	require.NotEqual(t, h.memberOf(w.Target), h.memberOf(r.Target))
	h.do(TargetReady{Target: r.Target, Frames: []byte("ready"), TxStatus: TxIdle, LogEnd: position(1, 120)})
	h.do(TargetReady{Target: w.Target, Frames: []byte("ready"), TxStatus: TxIdle, Position: position(1, 121), LogEnd: position(1, 121), VerifiedPrimary: true})
	answer, ok := h.lastCallerCommand().(CallerWrite)
	require.True(t, ok, "%#v", h.lastCallerCommand())
	require.Equal(t, CallerID(2), answer.Caller)
}

// Guards against an acknowledged commit of a primary that a replica's answer has shown to be
// of an older term before the primary's own first answer, and against using it further.
func TestCommitOfAnOlderTermThanTheFirstAnswerIsUncertain(t *testing.T) {
	h := newAsyncHarness(t)
	w, r := writeAndReadBeforeAnyAnswer(h)
	h.do(TargetReady{Target: r.Target, Frames: []byte("ready"), TxStatus: TxIdle, LogEnd: position(2, 130)})
	h.do(TargetReady{Target: w.Target, Frames: []byte("ready"), TxStatus: TxIdle, Position: position(1, 121), LogEnd: position(1, 121), VerifiedPrimary: true})
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
	sent := h.countSent()
	h.sendClassified(2, "write", write)
	require.Equal(t, sent, h.countSent(), "the replaced primary gets no further write")
}

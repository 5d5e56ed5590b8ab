package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

func (h *harness) rejectReadOnly(target TargetID) {
	h.do(TargetReady{Target: target, Frames: []byte("25006"), TxStatus: 'I', ErrorCode: "25006", ReadOnly: true})
}

// Guards against a change of primary that a caller sees as a refused write,
// although the write did not run and the new primary can accept it.
func TestWriteRefusedByFencedMemberGoesToTheNewPrimary(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	s := h.run(1, "write", write)
	answers := len(h.callers)
	h.rejectReadOnly(s.Target)
	require.Len(t, h.callers, answers)
	h.publishView(2, "m1", 100, 100, 100)
	h.connect()
	s = h.lastSent()
	require.Equal(t, core.MemberID("m1"), h.memberOf(s.Target))
	h.ready(s.Target, 'I', core.Position{Term: 2, LSN: 110})
	h.do(ConfirmedUpTo{Database: "db", Position: core.Position{Term: 2, LSN: 110}})
	require.Equal(t, []byte("ready"), h.lastCallerCommand().(CallerWrite).Frames)
}

// Guards against a write that is retried without a limit because the caller
// itself made its session read-only.
func TestReadOnlySessionGetsItsError(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	s := h.run(1, "write", write)
	for range maxFencedRetries {
		h.rejectReadOnly(s.Target)
		h.publishView(1, "m0", 100, 100, 100)
		s = h.lastSent()
	}
	h.rejectReadOnly(s.Target)
	require.Equal(t, []byte("25006"), h.lastCallerCommand().(CallerWrite).Frames)
}

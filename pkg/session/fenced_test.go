package session

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

func (h *harness) refuseReadOnly(target TargetID) {
	h.do(TargetReady{Target: target, Frames: []byte("25006"), TxStatus: 'I', ErrorState: "25006", ReadOnly: true})
}

// Guards against a change of primary that a caller sees as a refused write,
// although the write did not run and the new primary can take it.
func TestWriteRefusedByFencedMemberGoesToTheNewPrimary(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	s := h.run(1, "write", write)
	answers := len(h.callers)
	h.refuseReadOnly(s.Target)
	require.Len(t, h.callers, answers)
	h.view(2, "m1", 100, 100, 100)
	h.connect()
	s = h.sent()
	require.Equal(t, core.MemberID("m1"), h.memberOf(s.Target))
	h.ready(s.Target, 'I', core.Position{Term: 2, LSN: 110})
	h.do(ConfirmedUpTo{Database: "db", Position: core.Position{Term: 2, LSN: 110}})
	require.Equal(t, []byte("ready"), h.last().(CallerWrite).Frames)
}

// Guards against a write that is repeated for ever because the caller itself
// made its session read-only.
func TestReadOnlySessionGetsItsError(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	s := h.run(1, "write", write)
	for range maxFencedRetries {
		h.refuseReadOnly(s.Target)
		h.view(1, "m0", 100, 100, 100)
		s = h.sent()
	}
	h.refuseReadOnly(s.Target)
	require.Equal(t, []byte("25006"), h.last().(CallerWrite).Frames)
}

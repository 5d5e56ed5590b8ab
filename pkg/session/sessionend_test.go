package session

import (
	"testing"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against a refusal that says "not run" of a statement that runs at the home when
// its session is ended.
func TestEndOfASessionWithARelayedStatementIsUncertain(t *testing.T) {
	h := newOriginHarness(t)
	h.sendClassified(1, "write", write)
	h.e.callers[1].endNow(core.NotRun(core.ReasonKeyRevoked, "the key is revoked"))
	h.requireClosed(core.ReasonUncertain, core.OutcomeUncertain)
}

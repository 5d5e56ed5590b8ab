package callerio

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against a reason without an SQLSTATE, and against a change of a code that
// callers rely on.
func TestSQLStates(t *testing.T) {
	for reason, code := range map[core.Reason]string{
		core.ReasonUncertain: "40003", core.ReasonRateExceeded: "SH001", core.ReasonDeadline: "SH002",
		core.ReasonNoPrimary: "SH003", core.ReasonNoMember: "SH004", core.ReasonOverloaded: "SH005",
		core.ReasonDatabaseLeaving: "SH006", core.ReasonStopping: "SH007", core.ReasonKeyRevoked: "SH008",
		core.ReasonWrongKey: "28P01", core.ReasonNoEntry: "3D000", core.ReasonProtocolViolation: "08P01",
		core.ReasonNotSupported: "0A000", core.ReasonReadOnlyEntry: "25006", core.ReasonTransactionAborted: "40000",
		core.ReasonCancelled: "57014", core.ReasonInvalidParameter: "22023", core.ReasonUnknownParameter: "42704",
		core.ReasonActiveTransaction: "25001",
	} {
		require.Equal(t, code, SQLState(reason), reason)
	}
	text, err := os.ReadFile("../core/refusal.go")
	require.NoError(t, err)
	require.Equal(t, len(sqlStates), strings.Count(string(text), " Reason = "), "each reason of core has a code")
}

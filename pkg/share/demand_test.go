package share

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against an acknowledgement that lowers the smoothed demand or counts a
// demand again.
func TestAcknowledgementLeavesDemand(t *testing.T) {
	a, err := NewAllocator(loadChart(t), simSettings)
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	demand := func(rate float64) Report {
		return Report{Instance: "i1", Accounts: map[core.AccountName]float64{simAccount: rate}}
	}
	a.RecordReport(demand(10), now)
	a.RecordReport(demand(20), now)
	require.Equal(t, 15.0, a.demand.account("i1", simAccount))
	a.RecordReport(Report{Instance: "i1", RatesApplied: 4}, now)
	require.Equal(t, 15.0, a.demand.account("i1", simAccount))
}

package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against reporting a changed setting as applied that needs a restart, and
// against overlooking a changed setting.
func TestHostedChanges(t *testing.T) {
	before := &Hosted{Name: "i1", CallerAddress: "10.0.0.1:1", RateSlack: 20, TargetDrain: time.Second}
	require.Equal(t, Changes{}, before.Changes(before))
	after := *before
	after.CallerAddress, after.RateSlack, after.TargetDrain = "10.0.0.2:1", 30, 2*time.Second
	require.Equal(t, Changes{Reloadable: []string{"TargetDrain", "RateSlack"}, RestartOnly: []string{"CallerAddress"}}, before.Changes(&after))
}

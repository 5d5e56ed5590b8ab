package replay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that keeps a setting of another session, replays one that was
// reset, or replays them in another order.
func TestSettingsAreReplayedInTheirOrder(t *testing.T) {
	s := Settings{}.Add("a", "SET a = 1;").Add("b", "SET b = 2").Add("a", "SET a = 3")
	require.Equal(t, "RESET ALL\n; SET b = 2\n; SET a = 3", s.SQL())
	require.Empty(t, s.Add(ResetAll, "RESET ALL").SQL())
	require.Equal(t, "RESET ALL\n; SET b = 2\n; SET a = 3", s.SQL(), "copies do not change")
}

package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a clock that goes backwards or runs at a wrong rate.
func TestNowAdvances(t *testing.T) {
	first := Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := Now().Sub(first)
	require.GreaterOrEqual(t, elapsed, 20*time.Millisecond)
	require.Less(t, elapsed, 10*time.Second)
}

package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against retries that multiply the load of an overloaded member.
func TestBudgetAllowsAFractionOfTheRequests(t *testing.T) {
	b := NewBudget(0.1, 2)
	require.False(t, b.Available())
	retries := 0
	for range 1000 {
		b.Deposit()
		if b.Available() {
			b.Withdraw()
			retries++
		}
	}
	require.InDelta(t, 100, retries, 1)
	for range 1000 {
		b.Deposit()
	}
	b.Withdraw()
	b.Withdraw()
	require.False(t, b.Available(), "unused retries add up to the limit only")
}

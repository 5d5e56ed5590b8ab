package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

func accountsWithRates(rates ...float64) []Account {
	list := make([]Account, len(rates))
	for i, r := range rates {
		list[i] = Account{Name: core.AccountName(fmt.Sprintf("a%d", i)), Rate: r}
	}
	return list
}

// Guards against homes that together open more connections than a member accepts,
// which then refuses connections: the sum stays within the limit whenever there is
// a connection for each account.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	for _, accounts := range []int{1, 8, 20, 28, 50, 57} {
		rates := make([]float64, accounts)
		for i := range rates {
			rates[i] = 5
		}
		rates[0] = 400
		list := accountsWithRates(rates...)
		split := SplitConnections(57, list, 8)
		sum := 0
		for _, a := range list {
			sum += split.Connections([]float64{a.Rate})
		}
		require.LessOrEqual(t, sum, 57, "%d accounts", accounts)
		require.False(t, split.Oversubscribed)
	}
}

// Guards against accounts that never get a connection because idle ones of other
// accounts stay open: with more accounts than connections (87 accounts, members
// that accept 67), idle connections are closed early enough for all accounts on
// average.
func TestMoreAccountsThanConnectionsShareThem(t *testing.T) {
	rates := make([]float64, 87)
	for i := range rates {
		rates[i] = 20
	}
	split := SplitConnections(57, accountsWithRates(rates...), 8)
	require.True(t, split.Oversubscribed)
	require.Greater(t, split.Connections([]float64{20}), 1, "a paused transaction does not block the other requests of its account")
	// 87 x (1 - exp(-2.5/s / 3 x timeout)) = 57 at 1.281 s.
	require.InDelta(t, 1.281, split.IdleTimeout.Seconds(), 0.01)
	few := SplitConnections(57, accountsWithRates(rates[:58]...), 8)
	require.Greater(t, few.IdleTimeout, split.IdleTimeout, "with fewer accounts the timeout is longer")
	idle := SplitConnections(57, accountsWithRates(make([]float64, 87)...), 8)
	require.InDelta(t, time.Minute.Seconds(), idle.IdleTimeout.Seconds(), 0.01, "accounts without requests need no connections")
}

package homing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

func accountsOf(rates ...float64) []Account {
	list := make([]Account, len(rates))
	for i, r := range rates {
		list[i] = Account{Name: core.AccountName(fmt.Sprintf("a%d", i)), Rate: r}
	}
	return list
}

// Guards against homes that together open more connections than a member takes,
// which refuses the rest: their sum stays within the limit wherever each account
// can keep one.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	for _, accounts := range []int{1, 8, 20, 28, 50, 57} {
		rates := make([]float64, accounts)
		for i := range rates {
			rates[i] = 5
		}
		rates[0] = 400
		list := accountsOf(rates...)
		d := Divide(57, list, 8)
		sum := 0
		for _, a := range list {
			sum += d.Connections([]float64{a.Rate})
		}
		require.LessOrEqual(t, sum, 57, "%d accounts", accounts)
		require.False(t, d.Shared)
	}
}

// Guards against accounts that never get a connection because those of others
// stay open unused: more accounts than connections (87 accounts before members
// that take 67) close theirs early enough that on average all find room.
func TestMoreAccountsThanConnectionsShareThem(t *testing.T) {
	rates := make([]float64, 87)
	for i := range rates {
		rates[i] = 20
	}
	d := Divide(57, accountsOf(rates...), 8)
	require.True(t, d.Shared)
	require.Greater(t, d.Connections([]float64{20}), 1, "a transaction that pauses does not hold up its account")
	// 87 x (1 - exp(-2.5/s / 3 x rest)) = 57 at 1.281 s.
	require.InDelta(t, 1.281, d.Rest.Seconds(), 0.01)
	few := Divide(57, accountsOf(rates[:58]...), 8)
	require.Greater(t, few.Rest, d.Rest, "fewer accounts may rest longer")
	idle := Divide(57, accountsOf(make([]float64, 87)...), 8)
	require.InDelta(t, time.Minute.Seconds(), idle.Rest.Seconds(), 0.01, "accounts without requests need no room")
}

package homing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

func nodes(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("node-%d", i))
	}
	return list
}

func accounts(n int) []Account {
	var list []Account
	for i := range n {
		list = append(list, Account{Name: core.AccountName(fmt.Sprintf("account-%d", i)), Rate: float64(n - i)})
	}
	return list
}

// Guards against one instance that carries several large accounts while others
// carry none.
func TestNoNodeGetsMoreThanItsPart(t *testing.T) {
	for _, size := range []struct{ accounts, nodes, most int }{{8, 19, 1}, {8, 15, 1}, {87, 143, 1}, {20, 7, 3}} {
		count := map[string]int{}
		homes := Assign(accounts(size.accounts), nodes(size.nodes))
		require.Len(t, homes, size.accounts)
		for _, node := range homes {
			count[node]++
			require.LessOrEqual(t, count[node], size.most)
		}
	}
}

// Guards against a lost instance that moves the accounts of all others.
func TestLossMovesFewAccounts(t *testing.T) {
	all := nodes(19)
	before := Assign(accounts(8), all)
	after := Assign(accounts(8), all[1:])
	moved := 0
	for account, node := range before {
		if after[account] != node {
			moved++
		}
	}
	require.LessOrEqual(t, moved, 2)
}

// Guards against instances that disagree although they see the same fleet.
func TestOrderOfTheListsDoesNotMatter(t *testing.T) {
	some := nodes(5)
	turned := []string{some[3], some[0], some[4], some[2], some[1]}
	require.Equal(t, Assign(accounts(8), some), Assign(accounts(8), turned))
	require.Nil(t, Assign(accounts(2), nil))
}

package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

func nodes(n int) []Node {
	var list []Node
	for i := range n {
		list = append(list, Node{Name: fmt.Sprintf("node-%d", i)})
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

// Guards against one instance with several large accounts while others have none.
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

// Guards against the loss of an instance moving the accounts of all others.
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

// Guards against instances that disagree although they know the same nodes.
func TestOrderOfTheListsDoesNotMatter(t *testing.T) {
	ordered := nodes(5)
	reordered := []Node{ordered[3], ordered[0], ordered[4], ordered[2], ordered[1]}
	require.Equal(t, Assign(accounts(8), ordered), Assign(accounts(8), reordered))
	require.Nil(t, Assign(accounts(2), nil))
}

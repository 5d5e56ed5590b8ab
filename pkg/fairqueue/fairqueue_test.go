package fairqueue

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// longestWaits simulates a server with one slot. Each account pushes one item
// every interval steps. The result is each account's longest wait in steps.
func longestWaits(q Queue[int], intervals map[core.AccountName]int, steps int) map[core.AccountName]int {
	accounts := make([]core.AccountName, 0, len(intervals))
	for account := range intervals {
		accounts = append(accounts, account)
	}
	slices.Sort(accounts)
	longest := map[core.AccountName]int{}
	for step := range steps {
		for _, account := range accounts {
			if step%intervals[account] == 0 {
				q.Push(&Item[int]{Value: step, Account: account, Weight: 1, Class: core.ClassInteractive})
			}
		}
		if item, ok := q.Pop(); ok {
			longest[item.Account] = max(longest[item.Account], step-item.Value)
		}
	}
	return longest
}

// Guards against an account that sends five times its rate and delays the other
// accounts. The first-in-first-out baseline shows that the load is high enough
// for the effect.
func TestOneAccountOverItsRateLeavesTheOthersAlone(t *testing.T) {
	normal := map[core.AccountName]int{"a": 5, "b": 5, "c": 5, "d": 5}
	overloaded := map[core.AccountName]int{"a": 1, "b": 5, "c": 5, "d": 5}
	before := longestWaits(New[int](KindFair), normal, 5000)
	after := longestWaits(New[int](KindFair), overloaded, 5000)
	baseline := longestWaits(New[int](KindFIFO), overloaded, 5000)
	for _, account := range []core.AccountName{"b", "c", "d"} {
		require.LessOrEqual(t, after[account], before[account]+1, "account %s", account)
		require.Greater(t, baseline[account], 100, "baseline, account %s", account)
	}
}

// Guards against service that is not proportional to the weights.
func TestWeights(t *testing.T) {
	q := NewFair[int](DefaultMaxBypass)
	for range 300 {
		q.Push(&Item[int]{Account: "light", Weight: 1})
		q.Push(&Item[int]{Account: "heavy", Weight: 3})
	}
	served := map[core.AccountName]int{}
	for range 200 {
		item, _ := q.Pop()
		served[item.Account]++
	}
	require.InDelta(t, 150, served["heavy"], 1)
}

// Guards against an account that accumulates a claim to service while it is
// idle.
func TestIdleAccountSavesUpNothing(t *testing.T) {
	q := NewFair[int](DefaultMaxBypass)
	q.Push(&Item[int]{Account: "returning"})
	q.Pop()
	for range 100 {
		q.Push(&Item[int]{Account: "steady"})
	}
	for range 50 {
		q.Pop()
	}
	for range 20 {
		q.Push(&Item[int]{Account: "returning"})
	}
	served := map[core.AccountName]int{}
	for range 20 {
		item, _ := q.Pop()
		served[item.Account]++
	}
	require.InDelta(t, 10, served["returning"], 1)
}

// Guards against urgent items that wait behind others, and against browse items
// that starve under a permanent urgent load.
func TestClasses(t *testing.T) {
	q := NewFair[int](4)
	push := func(class core.Class) { q.Push(&Item[int]{Account: "a", Class: class}) }
	push(core.ClassBrowse)
	push(core.ClassInteractive)
	push(core.ClassUrgent)
	first, _ := q.Pop()
	require.Equal(t, core.ClassUrgent, first.Class)
	for range 100 {
		push(core.ClassUrgent)
	}
	position := map[core.Class]int{}
	for i := range 20 {
		item, _ := q.Pop()
		if item.Class != core.ClassUrgent {
			position[item.Class] = i
		}
	}
	require.Contains(t, position, core.ClassBrowse)
	require.Contains(t, position, core.ClassInteractive)
}

// Guards against an item with a near deadline that waits behind a later one of
// its account.
func TestDeadlinesWithinAnAccount(t *testing.T) {
	q := NewFair[int](DefaultMaxBypass)
	at := time.Unix(100, 0)
	for i, offset := range []time.Duration{3, 1, 2} {
		q.Push(&Item[int]{Value: i, Account: "a", Deadline: at.Add(offset * time.Second)})
	}
	var order []int
	for q.Len() > 0 {
		item, _ := q.Pop()
		order = append(order, item.Value)
	}
	require.Equal(t, []int{1, 2, 0}, order)
}

// Guards against items that are lost, served twice or served after removal, and
// against an estimate greater than the length of the queue.
func TestEveryItemLeavesOnce(t *testing.T) {
	classNames := []core.Class{core.ClassUrgent, core.ClassInteractive, core.ClassBrowse}
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](rapid.SampledFrom([]Kind{KindFair, KindFIFO}).Draw(t, "kind"))
		in := map[*Item[int]]bool{}
		var known []*Item[int]
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				item := &Item[int]{
					Value:    i,
					Account:  core.AccountName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
					Weight:   rapid.IntRange(0, 3).Draw(t, "weight"),
					Class:    rapid.SampledFrom(classNames).Draw(t, "class"),
					Deadline: time.Unix(int64(rapid.IntRange(0, 9).Draw(t, "deadline")), 0),
				}
				ahead := q.Ahead(item.Account, item.Weight, item.Class)
				require.LessOrEqual(t, ahead, q.Len())
				q.Push(item)
				in[item] = true
				known = append(known, item)
			case 2:
				item, ok := q.Pop()
				require.Equal(t, len(in) > 0, ok)
				require.True(t, !ok || in[item])
				delete(in, item)
			case 3:
				if len(known) > 0 {
					item := rapid.SampledFrom(known).Draw(t, "removed")
					q.Remove(item)
					delete(in, item)
					require.False(t, item.Queued())
				}
			}
			require.Equal(t, len(in), q.Len())
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	q := NewFair[int](DefaultMaxBypass)
	items := make([]Item[int], 1000)
	for i := range items {
		items[i].Account = core.AccountName([]string{"a", "b", "c", "d"}[i%4])
		q.Push(&items[i])
	}
	b.ReportAllocs()
	for b.Loop() {
		item, _ := q.Pop()
		q.Push(item)
	}
}

// Guards against a class that waits in the queue of a less urgent one: two entries
// whose priorities differ then share the order of arrival.
func TestCriticalIsServedBeforeUrgent(t *testing.T) {
	q := NewFair[int](DefaultMaxBypass)
	for _, class := range []core.Class{core.ClassBrowse, core.ClassInteractive, core.ClassUrgent, core.ClassCritical} {
		q.Push(&Item[int]{Account: "a", Class: class})
	}
	var order []core.Class
	for range 4 {
		item, _ := q.Pop()
		order = append(order, item.Class)
	}
	require.Equal(t, []core.Class{core.ClassCritical, core.ClassUrgent, core.ClassInteractive, core.ClassBrowse}, order)
}

// Guards against an account that is passed over because it cannot be served and
// loses its turn, and against another one that is served out of turn instead.
func TestPopWhereKeepsTheOrder(t *testing.T) {
	for _, kind := range []Kind{KindFair, KindFIFO} {
		q := New[int](kind)
		for i, account := range []core.AccountName{"blocked", "a", "b", "blocked", "a", "b"} {
			q.Push(&Item[int]{Account: account, Value: i, Class: core.ClassUrgent})
		}
		notBlocked := func(a core.AccountName) bool { return a != "blocked" }
		for _, want := range []int{1, 2, 4, 5} {
			item, ok := q.PopWhere(notBlocked)
			require.True(t, ok)
			require.Equal(t, want, item.Value, kind)
		}
		_, ok := q.PopWhere(notBlocked)
		require.False(t, ok)
		var waiting []core.AccountName
		q.Waiting(func(account core.AccountName, items int) bool {
			waiting = append(waiting, account)
			require.Equal(t, 2, items)
			return true
		})
		require.Equal(t, []core.AccountName{"blocked"}, waiting)
		q.Push(&Item[int]{Account: "a", Value: 6, Class: core.ClassUrgent})
		item, _ := q.Pop()
		require.Equal(t, 0, item.Value, kind)
	}
}

// Guards against a less urgent item that is served before a more urgent one of an
// account that can be served too.
func TestPopWhereServesTheMostUrgentClass(t *testing.T) {
	q := NewFair[int](DefaultMaxBypass)
	q.Push(&Item[int]{Account: "a", Class: core.ClassInteractive})
	q.Push(&Item[int]{Account: "blocked", Class: core.ClassCritical})
	q.Push(&Item[int]{Account: "a", Class: core.ClassUrgent})
	notBlocked := func(a core.AccountName) bool { return a != "blocked" }
	first, _ := q.PopWhere(notBlocked)
	second, _ := q.PopWhere(notBlocked)
	require.Equal(t, []core.Class{core.ClassUrgent, core.ClassInteractive}, []core.Class{first.Class, second.Class})
}

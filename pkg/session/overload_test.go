package session

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fairqueue"
)

// serviceTime is how long the simulated member works on a statement. With two
// slots it serves 200 statements/s.
const serviceTime = 10 * time.Millisecond

// schedule holds what happens later in a simulation.
type schedule []happening

type happening struct {
	at time.Time
	do func()
}

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(happening)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// overload drives one member with an open load of several accounts.
type overload struct {
	harness
	later   schedule
	next    CallerID
	owner   map[CallerID]core.AccountName
	arrived map[CallerID]time.Time
	took    map[core.AccountName][]time.Duration
	refused map[core.AccountName]int
}

func (o *overload) after(d time.Duration, do func()) {
	heap.Push(&o.later, happening{at: o.now.Add(d), do: do})
}

// Target serves requests after the service time.
func (o *overload) Target(c TargetCommand) bool {
	switch c := c.(type) {
	case TargetOpen:
		o.after(20*time.Millisecond, func() { o.do(TargetOpened{Target: c.Target}) })
	case TargetClose:
		o.after(0, func() { o.do(TargetClosed{Target: c.Target}) })
	case TargetSend:
		o.after(serviceTime, func() { o.ready(c.Target, 'I', core.Position{}) })
	}
	return true
}

// Caller records answers; each caller asks once.
func (o *overload) Caller(c CallerCommand) bool {
	switch c := c.(type) {
	case CallerWrite:
		account := o.owner[c.Caller]
		o.took[account] = append(o.took[account], o.now.Sub(o.arrived[c.Caller]))
	case CallerFail:
		o.refused[o.owner[c.Caller]]++
	}
	return true
}

func (o *overload) arrive(account core.AccountName, every time.Duration) {
	o.next++
	id := o.next
	o.owner[id], o.arrived[id] = account, o.now
	o.do(CallerOpened{Caller: id, Account: account, Entry: core.EntryName(account), Key: "k1", Carried: at100})
	o.ask(id, "read", read)
	o.after(every, func() { o.arrive(account, every) })
}

// runOverload offers each account's load for ten seconds.
func runOverload(t *testing.T, kind fairqueue.Kind, perSecond map[core.AccountName]int) *overload {
	o := &overload{
		owner: map[CallerID]core.AccountName{}, arrived: map[CallerID]time.Time{},
		took: map[core.AccountName][]time.Duration{}, refused: map[core.AccountName]int{},
	}
	cfg := DefaultConfig()
	cfg.Policy, cfg.Queue = PolicyPrimary, kind
	o.harness = harness{t: t, now: start, cat: testCatalogue()}
	e, err := New(cfg, o)
	require.NoError(t, err)
	o.e = e
	shares := map[core.AccountName]RateShare{}
	o.cat.Accounts, o.cat.Entries = nil, nil
	for account := range perSecond {
		shares[account] = RateShare{Rate: 1e6, Burst: 1e6}
		o.cat.Accounts = append(o.cat.Accounts, catalogue.Account{Name: account, Keys: []catalogue.Key{{ID: "k1"}}})
		o.cat.Entries = append(o.cat.Entries, catalogue.Entry{
			Name: core.EntryName(account), Account: account, Database: "db",
			Class: core.ClassInteractive, DeadlineMillis: 1000,
		})
	}
	o.do(CatalogueInForce{Catalogue: o.cat})
	o.do(ShareInForce{Accounts: shares, Connections: map[core.DatabaseName]int{"db": 2}, Until: start.Add(time.Hour)})
	o.view(1, "m0", 100, 100, 100)
	o.now = o.now.Add(time.Second)
	offset := time.Duration(0)
	for _, account := range []core.AccountName{"a", "b", "c", "d"} {
		every := time.Second / time.Duration(perSecond[account])
		offset += 1300 * time.Microsecond
		o.after(offset, func() { o.arrive(account, every) })
	}
	o.play(10 * time.Second)
	return o
}

func (o *overload) play(length time.Duration) {
	end := o.now.Add(length)
	for len(o.later) > 0 && o.later[0].at.Before(end) {
		next := heap.Pop(&o.later).(happening)
		if at, armed := o.e.NextDeadline(); armed && at.Before(next.at) {
			o.now = at
			o.e.Tick(o.now)
			heap.Push(&o.later, next)
			continue
		}
		o.now = next.at
		next.do()
	}
}

func (o *overload) p99(account core.AccountName) time.Duration {
	sorted := slices.Sorted(slices.Values(o.took[account]))
	return sorted[len(sorted)*99/100]
}

// Guards against an account at five times its rate that changes the latency of
// the others, or makes the proxy refuse them.
func TestOneAccountAtFiveTimesItsRate(t *testing.T) {
	usual := map[core.AccountName]int{"a": 40, "b": 40, "c": 40, "d": 40}
	greedy := map[core.AccountName]int{"a": 200, "b": 40, "c": 40, "d": 40}
	before := runOverload(t, fairqueue.KindFair, usual)
	after := runOverload(t, fairqueue.KindFair, greedy)
	baseline := runOverload(t, fairqueue.KindFIFO, greedy)
	for _, account := range []core.AccountName{"b", "c", "d"} {
		t.Log(account, before.p99(account), after.p99(account), baseline.p99(account))
		require.LessOrEqual(t, after.p99(account), before.p99(account)*11/10, account)
		require.Zero(t, after.refused[account], account)
		require.Greater(t, baseline.p99(account), 10*serviceTime, account)
	}
	require.NotContains(t, after.e.Metrics().Refusals, core.ReasonUncertain)
	require.Positive(t, after.refused["a"], "work that cannot be served in time is refused")
}

// Guards against goodput that falls when the offered load grows.
func TestGoodputStaysFlat(t *testing.T) {
	var answered []int
	for _, factor := range []int{1, 3, 10} {
		load := map[core.AccountName]int{"a": 60 * factor, "b": 60 * factor, "c": 60 * factor, "d": 60 * factor}
		o := runOverload(t, fairqueue.KindFair, load)
		total := 0
		for _, took := range o.took {
			total += len(took)
		}
		answered = append(answered, total)
	}
	t.Log(fmt.Sprint(answered, " answers in 10 s at 1.2, 3.6 and 12 times the capacity"))
	require.InEpsilon(t, answered[0], answered[1], 0.03)
	require.InEpsilon(t, answered[0], answered[2], 0.03)
	require.Greater(t, answered[0], 1900)
}

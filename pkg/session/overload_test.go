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

// serviceTime is how long the simulated member runs a statement. With two slots
// it serves 200 statements per second.
const serviceTime = 10 * time.Millisecond

// actionQueue is a heap of the future actions of a simulation.
type actionQueue []scheduledAction

type scheduledAction struct {
	at time.Time
	do func()
}

func (s actionQueue) Len() int           { return len(s) }
func (s actionQueue) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s actionQueue) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *actionQueue) Push(x any)        { *s = append(*s, x.(scheduledAction)) }
func (s *actionQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// overload is a harness that puts an open load of several accounts on one
// member: requests arrive at fixed intervals, whether or not earlier ones are
// answered.
type overload struct {
	harness
	pending    actionQueue
	lastCaller CallerID
	owner      map[CallerID]core.AccountName
	arrived    map[CallerID]time.Time
	latencies  map[core.AccountName][]time.Duration
	refused    map[core.AccountName]int
}

func (o *overload) schedule(d time.Duration, do func()) {
	heap.Push(&o.pending, scheduledAction{at: o.now.Add(d), do: do})
}

// Target implements Outputs. It serves requests after the service time.
func (o *overload) Target(c TargetCommand) bool {
	switch c := c.(type) {
	case TargetOpen:
		o.schedule(20*time.Millisecond, func() { o.do(TargetOpened{Target: c.Target}) })
	case TargetClose:
		o.schedule(0, func() { o.do(TargetClosed{Target: c.Target}) })
	case TargetSend:
		o.schedule(serviceTime, func() { o.ready(c.Target, 'I', core.Position{}) })
	}
	return true
}

// Caller implements Outputs. It records answers; each caller sends one request.
func (o *overload) Caller(c CallerCommand) bool {
	switch c := c.(type) {
	case CallerWrite:
		account := o.owner[c.Caller]
		o.latencies[account] = append(o.latencies[account], o.now.Sub(o.arrived[c.Caller]))
	case CallerError:
		o.refused[o.owner[c.Caller]]++
	}
	return true
}

func (o *overload) sendAndRepeat(account core.AccountName, every time.Duration) {
	o.lastCaller++
	id := o.lastCaller
	o.owner[id], o.arrived[id] = account, o.now
	o.do(CallerOpened{Caller: id, Account: account, Entry: core.EntryName(account), Key: "k1", InitialPosition: at100})
	o.sendText(id, "read", read)
	o.schedule(every, func() { o.sendAndRepeat(account, every) })
}

// runOverload offers each account's load for ten seconds.
func runOverload(t *testing.T, kind fairqueue.Kind, perSecond map[core.AccountName]int) *overload {
	o := &overload{
		owner: map[CallerID]core.AccountName{}, arrived: map[CallerID]time.Time{},
		latencies: map[core.AccountName][]time.Duration{}, refused: map[core.AccountName]int{},
	}
	cfg := DefaultConfig()
	cfg.Policy, cfg.Queue = PolicyPrimary, kind
	o.harness = harness{t: t, now: startTime, catalogue: testCatalogue()}
	e, err := New(cfg, o)
	require.NoError(t, err)
	o.e = e
	shares := map[core.AccountName]RateShare{}
	o.catalogue.Accounts, o.catalogue.Entries = nil, nil
	for account := range perSecond {
		shares[account] = RateShare{Rate: 1e6, Burst: 1e6}
		o.catalogue.Accounts = append(o.catalogue.Accounts, catalogue.Account{Name: account, Keys: []catalogue.Key{{ID: "k1"}}})
		o.catalogue.Entries = append(o.catalogue.Entries, catalogue.Entry{
			Name: core.EntryName(account), Account: account, Database: "db",
			Class: core.ClassInteractive, DeadlineMillis: 1000,
		})
	}
	o.do(CatalogueUpdate{Catalogue: o.catalogue})
	o.do(ShareUpdate{Accounts: shares, Connections: map[core.DatabaseName]int{"db": 2}, ValidUntil: startTime.Add(time.Hour)})
	o.publishView(1, "m0", 100, 100, 100)
	o.now = o.now.Add(time.Second)
	offset := time.Duration(0)
	for _, account := range []core.AccountName{"a", "b", "c", "d"} {
		every := time.Second / time.Duration(perSecond[account])
		offset += 1300 * time.Microsecond
		o.schedule(offset, func() { o.sendAndRepeat(account, every) })
	}
	o.runFor(10 * time.Second)
	return o
}

func (o *overload) runFor(length time.Duration) {
	end := o.now.Add(length)
	for len(o.pending) > 0 && o.pending[0].at.Before(end) {
		next := heap.Pop(&o.pending).(scheduledAction)
		if at, armed := o.e.NextDeadline(); armed && at.Before(next.at) {
			o.now = at
			o.e.Tick(o.now)
			heap.Push(&o.pending, next)
			continue
		}
		o.now = next.at
		next.do()
	}
}

func (o *overload) p99(account core.AccountName) time.Duration {
	sorted := slices.Sorted(slices.Values(o.latencies[account]))
	return sorted[len(sorted)*99/100]
}

// Guards against an account at five times its rate that raises the latency of the
// other accounts or causes refusals for them.
func TestOneAccountAtFiveTimesItsRate(t *testing.T) {
	normal := map[core.AccountName]int{"a": 40, "b": 40, "c": 40, "d": 40}
	overloaded := map[core.AccountName]int{"a": 200, "b": 40, "c": 40, "d": 40}
	before := runOverload(t, fairqueue.KindFair, normal)
	after := runOverload(t, fairqueue.KindFair, overloaded)
	baseline := runOverload(t, fairqueue.KindFIFO, overloaded)
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
		for _, took := range o.latencies {
			total += len(took)
		}
		answered = append(answered, total)
	}
	t.Log(fmt.Sprint(answered, " answers in 10 s at 1.2, 3.6 and 12 times the capacity"))
	require.InEpsilon(t, answered[0], answered[1], 0.03)
	require.InEpsilon(t, answered[0], answered[2], 0.03)
	require.Greater(t, answered[0], 1900)
}

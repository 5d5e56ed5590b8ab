package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	usualTime = 10 * time.Millisecond
	slowTime  = 50 * time.Millisecond
)

// returningMember runs 300 homes that notice at the same time the return of a
// member, which runs at a fifth of its speed; the pacers share the initial rate among the given number of homes.
func returningMember(t testing.TB, sharing int) *simulation {
	sim := newSimulation(t, 300, sharing, time.Second, steadyService(usualTime))
	sim.runFor(20 * time.Second)
	sim.member.service = steadyService(slowTime)
	sim.restart()
	sim.eachPacer(func(p *Pacer) { p.Return(sim.now, "the member came back") })
	return sim
}

// Guards against a member that is overloaded right after its return, because all
// homes send to it at once, and against one that is left idle afterwards. The
// second part is the injected fault: with an initial rate that is not divided by
// the number of homes, the member refuses statements.
func TestReturningMemberIsNotOverloaded(t *testing.T) {
	sim := returningMember(t, 300)
	sim.runFor(3 * time.Second)
	t.Log("divided:", sim.counts, "longest queue", sim.longestQueue, "dropped", sim.dropped)
	require.Zero(t, sim.counts[Busy])
	require.Positive(t, sim.counts[OK])
	sim.member.service = steadyService(usualTime)
	sim.runFor(13 * time.Second)
	t.Log("16 s:", sim.counts, "longest queue", sim.longestQueue, "dropped", sim.dropped)
	require.Zero(t, sim.counts[Busy])
	sim.restart()
	sim.runFor(3 * time.Second)
	t.Log("16 to 19 s:", sim.counts, "dropped", sim.dropped)
	require.Greater(t, sim.counts[OK], 800, "300 statements a second are offered")

	fault := returningMember(t, 1)
	fault.runFor(3 * time.Second)
	t.Log("not divided:", fault.counts, "longest queue", fault.longestQueue)
	require.Positive(t, fault.counts[Busy])
}

// Guards against a member that is left idle by a home with little traffic.
func TestReturningMemberServesASingleHome(t *testing.T) {
	sim := newSimulation(t, 1, 1, time.Second, steadyService(slowTime))
	sim.eachPacer(func(p *Pacer) { p.Return(sim.now, "the member came back") })
	sim.runFor(10 * time.Second)
	require.GreaterOrEqual(t, sim.counts[OK], 9)
	require.Zero(t, sim.dropped)
	require.Equal(t, "steady", sim.homes[0].pacer.Status().State)
}

// Guards against a member that gets no work because it comes back again and again,
// and against one that is overloaded by each return.
func TestFlappingMember(t *testing.T) {
	sim := newSimulation(t, 50, 50, 500*time.Millisecond, steadyService(slowTime))
	for range 10 {
		sim.eachPacer(func(p *Pacer) { p.Return(sim.now, "the member came back") })
		sim.runFor(time.Second)
	}
	t.Log(sim.counts, "longest queue", sim.longestQueue)
	require.Zero(t, sim.counts[Busy])
	require.Greater(t, sim.counts[OK], 300)
}

// Guards against a member that attracts statements because it fails them fast,
// and against one that stays without work after it has recovered.
func TestFastFailures(t *testing.T) {
	sim := newSimulation(t, 20, 20, 20*time.Millisecond, steadyService(usualTime))
	sim.runFor(2 * time.Second)
	sim.member.failing = func(since time.Duration) bool { return since < 5*time.Second }
	sim.restart()
	sim.runFor(5 * time.Second)
	t.Log("failing:", sim.counts)
	require.Less(t, sim.startedWithin(2*time.Second, 5*time.Second), 20*3*3, "at most three a second and home")
	sim.member.failing = nil
	sim.runFor(5 * time.Second)
	sim.restart()
	sim.runFor(2 * time.Second)
	t.Log("afterwards:", sim.counts)
	require.Greater(t, sim.counts[OK], 600, "of 800")
}

// Guards against a single failed statement that lowers the allowance of a member
// in regular use.
func TestSomeFailuresChangeNothing(t *testing.T) {
	p := New(newTable(t), startTime, Limits{Slots: 4, Homes: 10}, 0)
	now := startTime
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		kind := OK
		if i%5 == 0 {
			kind = Failed
		}
		p.Answer(now, Answer{Kind: kind, Took: usualTime})
		require.Equal(t, "steady", p.Status().State)
	}
}

// Guards against a member that is slow for good and gets ever less work because it
// is compared with its former speed.
func TestMemberThatStaysSlow(t *testing.T) {
	sim := newSimulation(t, 20, 20, 100*time.Millisecond, steadyService(usualTime))
	sim.runFor(20 * time.Second)
	sim.member.service = steadyService(slowTime)
	sim.eachPacer(func(p *Pacer) { p.Return(sim.now, "the member came back") })
	sim.runFor(45 * time.Second)
	sim.restart()
	sim.runFor(10 * time.Second)
	t.Log(sim.counts, "longest queue", sim.longestQueue)
	require.Greater(t, sim.counts[OK], 700, "its capacity is 800 in 10 s")
	require.Less(t, sim.counts[Busy], 80)
}

// Guards against a recovery of one member that disturbs the pacer of another one
// of the group, and against a missing comparison of a new member with its peers.
func TestTwoMembersOfAGroup(t *testing.T) {
	table := newTable(t)
	first := New(table, startTime, Limits{Slots: 4, Homes: 10}, 0.3)
	second := New(table, startTime, Limits{Slots: 4, Homes: 10}, 0.6)
	first.Return(startTime, "the member appeared")
	second.Return(startTime, "the member appeared")
	now := startTime
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		first.Answer(now, Answer{Kind: OK, Took: usualTime})
		second.Answer(now, Answer{Kind: OK, Took: slowTime, Peers: first.Usual()})
	}
	require.Equal(t, "steady", first.Status().State)
	require.Equal(t, "recovering", second.Status().State)
}

// Guards against a promoted member that is used as slowly as one that has just
// started, although it works and the group's writes wait, and against all homes
// that use it at full size at once.
func TestPromotedMemberStartsAtItsCapacity(t *testing.T) {
	sim := newSimulation(t, 80, 80, 500*time.Millisecond, steadyService(usualTime))
	sim.runFor(5 * time.Second)
	sim.restart()
	// Each home has 20 statements that waited for the new primary.
	sim.eachPacer(func(p *Pacer) { p.Promote(sim.now) })
	for _, h := range sim.homes {
		for range 20 {
			h.waiting = append(h.waiting, sim.now)
		}
	}
	sim.runFor(time.Second)
	t.Log(sim.counts, "longest queue", sim.longestQueue)
	require.Greater(t, sim.counts[OK], 200, "the capacity is 400 a second")
	require.Less(t, sim.counts[Busy], 40)
}

// Guards against homes that keep a member's queue full, so that it refuses most
// statements, and against an allowance that leaves slots idle.
func TestOverloadedMemberKeepsAShortQueue(t *testing.T) {
	sim := newSimulation(t, 80, 80, 250*time.Millisecond, steadyService(usualTime))
	sim.runFor(5 * time.Second)
	for _, h := range sim.homes {
		h.every = 50 * time.Millisecond
	}
	sim.runFor(2 * time.Second)
	sim.restart()
	sim.runFor(10 * time.Second)
	t.Log(sim.counts, "longest queue", sim.longestQueue)
	require.Greater(t, sim.counts[OK], 3600, "the capacity is 4000 in 10 s")
	require.Less(t, sim.counts[Busy], sim.counts[OK]/10)
}

// Guards against an allowance that stays low after an overload.
func TestAllowanceReturnsToTheSlots(t *testing.T) {
	p := New(newTable(t), startTime, Limits{Slots: 4, Homes: 80}, 0)
	now := startTime
	for range 10 {
		now = now.Add(time.Second / 4)
		p.Answer(now, Answer{Kind: Busy})
	}
	require.Less(t, p.Status().Allowance, 0.1)
	ok, _ := p.MayStart(now.Add(2*maxPause), 0)
	require.True(t, ok, "a statement may start after the longest pause")
	p.Answer(now, Answer{Kind: OK, Took: usualTime})
	p.MayStart(now.Add(30*time.Second), 0)
	require.Equal(t, "steady", p.Status().State)
	require.EqualValues(t, 4, p.Status().Allowance)
}

// Guards against a home that exceeds its part of the configured bound of a cold
// member, also after a pause, and against a bound that outlasts its time.
func TestConfiguredBound(t *testing.T) {
	sim := newSimulation(t, 1, 1, 10*time.Millisecond, steadyService(usualTime))
	sim.homes[0].pacer.SetBound(startTime, Bound{PerSecond: 5, Until: startTime.Add(4 * time.Second)})
	sim.runFor(3900 * time.Millisecond)
	require.InDelta(t, 20, len(sim.started), 1)
	for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
		require.LessOrEqual(t, sim.startedWithin(at, at+time.Second), 6)
	}
	sim.runFor(time.Second)
	sim.restart()
	sim.runFor(time.Second)
	require.Greater(t, len(sim.started), 90)
}

// Guards against an allowance that is lowered without an overload, because short and long
// statements alternate or their times vary.
func TestOrdinaryVariationChangesNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	cases := map[string]func(i int) time.Duration{
		"short and long in blocks of ten": func(i int) time.Duration {
			if i/10%2 == 0 {
				return 2 * time.Millisecond
			}
			return 15 * time.Millisecond
		},
		"one long of ten": func(i int) time.Duration {
			if i%10 == 0 {
				return 60 * time.Millisecond
			}
			return 5 * time.Millisecond
		},
		"exponential": func(int) time.Duration { return time.Duration(random.ExpFloat64() * float64(8*time.Millisecond)) },
	}
	for name, took := range cases {
		p := New(newTable(t), startTime, Limits{Slots: 4, Homes: 10}, 0)
		now := startTime
		for i := range 5000 {
			now = now.Add(20 * time.Millisecond)
			p.Answer(now, Answer{Kind: OK, Took: took(i)})
			require.Equal(t, "steady", p.Status().State, name)
		}
	}
}

// Guards against homes that together exceed the configured bound of a cold member,
// because they begin at the same time.
func TestConfiguredBoundOverAllHomes(t *testing.T) {
	const (
		homes     = 100
		perSecond = 50
	)
	sim := newSimulation(t, homes, homes, 20*time.Millisecond, steadyService(time.Millisecond))
	sim.eachPacer(func(p *Pacer) {
		p.SetBound(startTime, Bound{PerSecond: perSecond / float64(homes), Until: startTime.Add(10 * time.Second)})
	})
	sim.runFor(9 * time.Second)
	for at := time.Duration(0); at < 8*time.Second; at += 10 * time.Millisecond {
		require.LessOrEqual(t, sim.startedWithin(at, at+time.Second), perSecond*11/10, at)
	}
	require.Greater(t, len(sim.started), perSecond*8)
}

// Guards against pauses of half a second between the statements of a home that lost one
// connection to a member with room: its callers' objectives are shorter.
func TestLostConnectionLeavesOneStatementInFlight(t *testing.T) {
	now := time.Unix(0, 0)
	p := New(newTable(t), now, Limits{Slots: 4, Homes: 80}, 0)
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		p.Started(now)
		p.Answer(now, Answer{Kind: OK, Took: 10 * time.Millisecond})
	}
	for range 10 {
		now = now.Add(150 * time.Millisecond)
		p.Answer(now, Answer{Kind: Lost})
		p.Answer(now, Answer{Kind: OK, Took: 80 * time.Millisecond})
	}
	ok, _ := p.MayStart(now, 0)
	require.True(t, ok)
	require.GreaterOrEqual(t, p.Status().Allowance, 1.0)
}

// Guards against a returning member that fails a third of its statements, is the only one
// that may run them, and therefore never gets beyond its slow start: its callers waited for
// seconds although it had room.
func TestReturningMemberThatFailsSometimesGetsItsShare(t *testing.T) {
	now := time.Unix(0, 0)
	p := New(newTable(t), now, Limits{Slots: 4, Homes: 80}, 0)
	p.Return(now, "the member is reachable again")
	started := 0
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if ok, _ := p.MayStart(now, 0); !ok {
			continue
		}
		started++
		p.Started(now)
		kind := OK
		if started%3 == 0 {
			kind = Failed
		}
		p.Answer(now, Answer{Kind: kind, Took: 10 * time.Millisecond})
	}
	require.Equal(t, "steady", p.Status().State)
}

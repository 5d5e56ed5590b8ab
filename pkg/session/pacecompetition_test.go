package session

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

const (
	// competitionHomes is the number of homes that use one member.
	competitionHomes = 40
	memberSlots      = 4
	memberQueue      = 32
	// networkDelay is the time from a home to the member and back.
	networkDelay = 2 * time.Millisecond
)

// competition runs several engines, each the home of one account, against one
// primary that has few slots and refuses statements when its queue is full.
type competition struct {
	t       testing.TB
	now     time.Time
	pending actionQueue
	homes   []*competitor
	running int
	queue   []func()
	service time.Duration
	busy    int
	sent    int
	// answered and offered count requests by class.
	answered map[core.Class]int
	offered  map[core.Class]int
}

// competitor is the engine of one home.
type competitor struct {
	harness
	in         *competition
	account    core.AccountName
	lastCaller CallerID
	classes    map[CallerID]core.Class
	arrived    map[CallerID]time.Time
}

// competitionClasses are the classes that the homes offer in equal parts.
var competitionClasses = []core.Class{core.ClassCritical, core.ClassUrgent, core.ClassInteractive}

// competitionDeadline is the time limit of every request.
const competitionDeadline = 800 * time.Millisecond

func newCompetition(t testing.TB, paced bool) *competition {
	c := &competition{
		t: t, now: startTime, service: serviceTime,
		answered: map[core.Class]int{}, offered: map[core.Class]int{},
	}
	for i := range competitionHomes {
		c.addHome(i, paced)
	}
	return c
}

func (c *competition) addHome(i int, paced bool) {
	home := &competitor{in: c, account: core.AccountName(fmt.Sprint("a", i)), classes: map[CallerID]core.Class{}, arrived: map[CallerID]time.Time{}}
	cfg := DefaultConfig()
	cfg.AckAtCommit, cfg.AsyncReplication, cfg.RatePerOperation, cfg.MemberConnections = true, true, true, 6
	// The phase of a pacer depends on the time at which the engine starts.
	c.now = c.now.Add(time.Microsecond)
	home.harness = harness{t: c.t, now: c.now, catalogue: competitionCatalogue()}
	e, err := New(cfg, home)
	require.NoError(c.t, err)
	home.e = e
	home.do(CatalogueUpdate{Catalogue: home.catalogue})
	if !paced {
		for _, m := range e.databases["db"].members {
			m.pace = nil
		}
	}
	homes, instances := map[core.AccountName]Home{}, map[core.InstanceID]bool{}
	for j := range competitionHomes {
		homes[core.AccountName(fmt.Sprint("a", j))] = Home{Local: i == j, Address: PeerAddress(fmt.Sprint("10.0.0.", j))}
		instances[core.InstanceID(fmt.Sprint("i", j))] = true
	}
	home.do(HomesUpdate{Homes: homes})
	home.do(ShareUpdate{
		Accounts: map[core.AccountName]RateShare{home.account: {Rate: 1e6, Burst: 1e6}}, Instances: instances,
		Connections: map[core.DatabaseName]int{"db": 6}, ValidUntil: c.now.Add(time.Hour),
	})
	home.announce(1, "m0")
	c.homes = append(c.homes, home)
}

// competitionCatalogue has one member and an entry of each class.
func competitionCatalogue() *catalogue.Catalogue {
	cat := testCatalogue()
	cat.Accounts, cat.Entries = nil, nil
	cat.Databases[0].Members = cat.Databases[0].Members[:1]
	cat.Databases[0].Members[0].Slots = memberSlots
	for i := range competitionHomes {
		name := core.AccountName(fmt.Sprint("a", i))
		cat.Accounts = append(cat.Accounts, catalogue.Account{Name: name, Weight: 1, Keys: []catalogue.Key{{ID: core.KeyID(name)}}})
	}
	for _, class := range competitionClasses {
		cat.Entries = append(cat.Entries, catalogue.Entry{
			Name: core.EntryName(class), Database: "db", Class: class, DeadlineMillis: int(competitionDeadline.Milliseconds()),
		})
	}
	return cat
}

func (c *competition) schedule(d time.Duration, do func()) {
	heap.Push(&c.pending, scheduledAction{at: c.now.Add(d), do: do})
}

// runFor applies the pending actions and the timers of the engines in order.
func (c *competition) runFor(d time.Duration) {
	end := c.now.Add(d)
	for {
		next, timer := end, (*competitor)(nil)
		if len(c.pending) > 0 && c.pending[0].at.Before(next) {
			next = c.pending[0].at
		}
		for _, h := range c.homes {
			if at, armed := h.e.NextDeadline(); armed && at.Before(next) {
				next, timer = at, h
			}
		}
		if !next.Before(end) {
			c.now = end
			return
		}
		if next.After(c.now) {
			c.now = next
		}
		if timer != nil {
			timer.now = c.now
			timer.e.Tick(c.now)
			continue
		}
		heap.Pop(&c.pending).(scheduledAction).do()
	}
}

// offer sends requests of the class from every home at the given rate, 1/s.
func (c *competition) offer(class core.Class, perSecond int) {
	every := time.Second / time.Duration(perSecond)
	for i, h := range c.homes {
		offset := every * time.Duration(i) / competitionHomes
		c.schedule(offset, func() { h.request(class, every) })
	}
}

func (h *competitor) input(in Input) {
	h.now = h.in.now
	h.do(in)
}

func (h *competitor) request(class core.Class, every time.Duration) {
	h.lastCaller++
	id := h.lastCaller
	h.classes[id], h.arrived[id] = class, h.in.now
	h.in.offered[class]++
	h.input(CallerOpened{Caller: id, Account: h.account, Entry: core.EntryName(class), Key: core.KeyID(h.account)})
	h.input(CallerRequest{Caller: id, Request: &Request{
		Classification: &Classification{Kind: KindWrite, Hints: Hints{MaxAge: -1}},
		Payload:        &Payload{ID: fmt.Sprint(id)}, Arrived: h.in.now,
	}})
	h.in.schedule(every, func() { h.request(class, every) })
}

// Target implements Outputs: the member runs, queues or refuses the request.
func (h *competitor) Target(command TargetCommand) bool {
	c := h.in
	switch command := command.(type) {
	case TargetOpen:
		c.schedule(20*time.Millisecond, func() { h.input(TargetOpened{Target: command.Target}) })
	case TargetClose:
		c.schedule(0, func() { h.input(TargetClosed{Target: command.Target}) })
	case TargetSend:
		c.sent++
		c.schedule(networkDelay/2, func() { c.accept(h, command.Target) })
	case TargetProbe:
		c.schedule(networkDelay, func() { h.answer(command.Target) })
	}
	return true
}

func (h *competitor) answer(target TargetID) {
	h.input(TargetReady{Target: target, Frames: []byte("done"), TxStatus: TxIdle, LogEnd: position(1, 100), VerifiedPrimary: true})
}

func (c *competition) accept(h *competitor, target TargetID) {
	if len(c.queue) >= memberQueue {
		c.busy++
		c.schedule(networkDelay/2, func() {
			h.input(TargetReady{Target: target, TxStatus: TxIdle, ErrorCode: "DENIED", Rejection: RejectionBusy})
		})
		return
	}
	c.queue = append(c.queue, func() {
		c.schedule(c.service, func() {
			c.running--
			c.schedule(networkDelay/2, func() { h.answer(target) })
			c.start()
		})
	})
	c.start()
}

// start runs queued statements in the free slots.
func (c *competition) start() {
	for c.running < memberSlots && len(c.queue) > 0 {
		run := c.queue[0]
		c.queue = c.queue[1:]
		c.running++
		run()
	}
}

// Caller implements Outputs. It counts the answers and ends the caller.
func (h *competitor) Caller(command CallerCommand) bool {
	id := CallerID(0)
	switch command := command.(type) {
	case CallerWrite:
		id = command.Caller
		if string(command.Frames) == "done" && h.in.now.Sub(h.arrived[id]) <= competitionDeadline {
			h.in.answered[h.classes[id]]++
		}
	case CallerError:
		id = command.Caller
	default:
		return true
	}
	h.in.schedule(0, func() { h.input(CallerClosed{Caller: id}) })
	return true
}

// share returns the part of the class's requests that was answered in time.
func (c *competition) share(class core.Class) float64 {
	return float64(c.answered[class]) / float64(c.offered[class])
}

// compete offers nearly twice the member's capacity in three classes for ten
// seconds, after a start below the member's capacity.
func compete(t testing.TB, paced bool) *competition {
	c := newCompetition(t, paced)
	for _, class := range competitionClasses {
		c.offer(class, 2)
	}
	c.runFor(5 * time.Second)
	c.answered, c.offered, c.busy, c.sent = map[core.Class]int{}, map[core.Class]int{}, 0, 0
	for _, class := range competitionClasses {
		c.offer(class, 4)
	}
	c.runFor(10 * time.Second)
	return c
}

// Guards against urgent requests that are served worse than others when several
// homes compete for a member: each home sends as many statements as the member has
// slots, and the member's full queue refuses them regardless of their urgency.
func TestUrgentWorkGoesFirstOverAllHomes(t *testing.T) {
	without, with := compete(t, false), compete(t, true)
	for name, c := range map[string]*competition{"without": without, "with": with} {
		t.Logf("%s: critical %.3f urgent %.3f interactive %.3f, %d of %d sent refused", name,
			c.share(core.ClassCritical), c.share(core.ClassUrgent), c.share(core.ClassInteractive), c.busy, c.sent)
	}
	require.GreaterOrEqual(t, with.share(core.ClassCritical), with.share(core.ClassUrgent))
	require.GreaterOrEqual(t, with.share(core.ClassCritical), with.share(core.ClassInteractive))
	require.Greater(t, with.share(core.ClassCritical), 0.9)
	require.Less(t, without.share(core.ClassCritical), without.share(core.ClassInteractive), "shows what the allowance changes")
	require.Greater(t, with.sent-with.busy, 3400, "of a capacity of 4000")
	require.Less(t, with.busy*10, with.sent)
}

package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// The simulation of homes runs the fleet and session engines of several instances under
// one clock, with a store, one member and callers that send many times the rate of their
// account. It counts the requests that ran in each rate window.

const (
	homeSimRate    = 144.0
	homeSimWindow  = 5 * time.Second
	homeSimLease   = 12 * time.Second
	homeSimLatency = time.Millisecond
	homeSimStore   = 5 * time.Millisecond
	// homeSimWork is how long the member works on a request, homeSimPause the pause of a
	// caller between two requests.
	homeSimWork  = 8 * time.Millisecond
	homeSimPause = 50 * time.Millisecond
	// homeSimTimeout is the time limit of a forwarded request.
	homeSimTimeout = 2 * time.Second
)

// homeSimLimit is the number of requests that may run in a rate window.
const homeSimLimit = (homeSimRate*5+homeSimRate)*1.1 + 20

type homeEvent struct {
	at  time.Time
	seq int
	run func()
}

type homeEvents []homeEvent

func (h homeEvents) Len() int { return len(h) }
func (h homeEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h homeEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *homeEvents) Push(x any)   { *h = append(*h, x.(homeEvent)) }
func (h *homeEvents) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}

// homeRun is a request that ran at the member.
type homeRun struct {
	sentAt, ranAt time.Time
	// run is the run of the instance that sent it to the member.
	run core.InstanceID
	// asHome is set if the instance was the account's home.
	asHome bool
}

// homeTransfer is the write by which the home moved from one run of an instance to one of
// another.
type homeTransfer struct {
	from, to core.InstanceID
	at       time.Time
}

type homeWorld struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	events   homeEvents
	seq      int
	nodes    []*homeNode
	revision Revision
	home     *Home
	// registered holds the registrations, by node name, with the end of their leases.
	registered map[string]Instance
	leases     map[core.InstanceID]time.Time
	// leaseNumbers holds the lease of each run, lastLease the last one.
	leaseNumbers map[core.InstanceID]Lease
	lastLease    Lease
	runs         []homeRun
	refused      int
	// refusals describes the refused requests.
	refusals []string
	// maxWatchDelay is the longest time until a change of the store reaches an instance.
	maxWatchDelay time.Duration
	// ordered delivers the changes to each instance in their order.
	ordered bool
	// noHandover ends homes with the registration, as instances without handover do.
	noHandover bool
	// transfers are the writes of handovers that were executed.
	transfers []homeTransfer
	// transferError is the outcome of the write of a handover. The write is executed if it
	// is nil or ErrUnknownOutcome.
	transferError error
	// advanceAlways takes the limit on tokens in advance out, for a planted fault.
	advanceAlways bool
}

func newHomeWorld(t *testing.T, seed uint64, instances, callers int, options ...func(*homeWorld)) *homeWorld {
	w := &homeWorld{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: startTime,
		registered: map[string]Instance{}, leases: map[core.InstanceID]time.Time{}, revision: 100,
		leaseNumbers: map[core.InstanceID]Lease{}, maxWatchDelay: 25 * time.Millisecond,
	}
	for _, o := range options {
		o(w)
	}
	for i := range instances {
		n := &homeNode{w: w, name: fmt.Sprintf("n%d", i)}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	for i := range callers {
		c := &homeCaller{w: w, next: i}
		w.after(2*time.Second, c.open)
	}
	return w
}

// after schedules run.
func (w *homeWorld) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, homeEvent{at: w.now.Add(d), seq: w.seq, run: run})
}

// runFor lets the given time pass.
func (w *homeWorld) runFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		event := heap.Pop(&w.events).(homeEvent)
		w.now = event.at
		event.run()
	}
	w.now = end
}

func (w *homeWorld) node(address session.PeerAddress) *homeNode {
	i := slices.IndexFunc(w.nodes, func(n *homeNode) bool { return n.name == string(address) })
	return w.nodes[i]
}

// homeNode returns the running instance that is the home of the account, nil if there is
// none.
func (w *homeWorld) homeNode() *homeNode {
	if w.home == nil {
		return nil
	}
	n := w.node(session.PeerAddress(w.home.Node))
	if !n.alive || n.id != w.home.Instance {
		return nil
	}
	return n
}

// publish sends a change to all instances.
func (w *homeWorld) publish(c Change) {
	w.revision++
	c.Revision = w.revision
	for _, n := range w.nodes {
		delay := homeSimStore + time.Duration(w.rng.IntN(int(w.maxWatchDelay/time.Millisecond)))*time.Millisecond
		if w.ordered {
			n.changesUntil = clock.Later(n.changesUntil, w.now.Add(delay))
			delay = n.changesUntil.Sub(w.now)
		}
		n.later(delay, func() { n.fleetInput(StoreChanges{Changes: []Change{c}, Next: c.Revision, AsOf: w.now, Since: w.now}) })
	}
}

func (w *homeWorld) setHome(home *Home) {
	w.home = home
	if home == nil {
		w.publish(Change{RemovedHome: "acct"})
		return
	}
	home.Revision = w.revision + 1
	w.publish(Change{Home: home})
}

// deregister ends the registration of a run, and with it its home.
func (w *homeWorld) deregister(node string, id core.InstanceID) {
	delete(w.leases, id)
	if w.registered[node].ID == id {
		delete(w.registered, node)
		w.publish(Change{RemovedInstance: node})
	}
	if w.home != nil && w.home.Instance == id {
		w.setHome(nil)
	}
}

// fullestWindow returns the largest number of requests that were sent and ran within a
// rate window.
func (w *homeWorld) fullestWindow() int {
	slices.SortFunc(w.runs, func(a, b homeRun) int { return a.sentAt.Compare(b.sentAt) })
	most := 0
	for i, first := range w.runs {
		count := 0
		for _, r := range w.runs[i:] {
			if r.sentAt.Sub(first.sentAt) > homeSimWindow {
				break
			}
			if r.ranAt.Sub(first.sentAt) <= homeSimWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// homeCaller sends one request after the other, at another instance after each closed
// session.
type homeCaller struct {
	w    *homeWorld
	next int
	node *homeNode
	id   session.CallerID
}

func (c *homeCaller) open() {
	w := c.w
	c.next++
	n := w.nodes[c.next%len(w.nodes)]
	if !n.alive {
		w.after(10*time.Millisecond, c.open)
		return
	}
	n.lastCaller++
	c.node, c.id = n, n.lastCaller
	n.callers[c.id] = c
	n.sessionInput(session.CallerOpened{Caller: c.id, Entry: "entry", Key: "k1"})
}

func (c *homeCaller) send() {
	if c.node == nil || !c.node.alive || c.node.callers[c.id] != c {
		return
	}
	w := c.w
	classification := session.Classification{Kind: session.KindRead, Hints: session.Hints{MaxAge: -1}}
	c.node.sessionInput(session.CallerRequest{Caller: c.id, Request: &session.Request{
		Classification: &classification, Payload: &session.Payload{Frames: []byte("READ")}, Arrived: w.now,
	}})
}

// answered continues after an answer, unless the session has ended by then.
func (c *homeCaller) answered() {
	node, id := c.node, c.id
	c.w.after(homeSimPause, func() {
		if c.node == node && c.id == id {
			c.send()
		}
	})
}

// closed opens a session elsewhere.
func (c *homeCaller) closed() {
	c.node = nil
	c.w.after(10*time.Millisecond, c.open)
}

func homeSimConfiguration() *Configuration {
	c := configuration(1)
	c.Accounts = []catalogue.Account{{Name: "acct", Rate: homeSimRate, Burst: homeSimRate, Keys: []catalogue.Key{{ID: "k1"}}}}
	c.Entries = []catalogue.Entry{{Name: "entry", Database: "g", DeadlineMillis: 2000}}
	return c
}

// checkHomes runs a schedule and returns the fullest window and the requests that ran.
func checkHomes(t *testing.T, seed uint64, advanceAlways bool, schedule func(*homeWorld), options ...func(*homeWorld)) (most, ran int) {
	const instances, callers = 6, 24
	w := newHomeWorld(t, seed, instances, callers, options...)
	w.advanceAlways = advanceAlways
	w.runFor(10 * time.Second)
	require.NotNil(t, w.homeNode(), "the account has a home")
	before := len(w.runs)
	require.Greater(t, before, 0)
	schedule(w)
	w.runFor(6 * time.Second)
	return w.fullestWindow(), len(w.runs) - before
}

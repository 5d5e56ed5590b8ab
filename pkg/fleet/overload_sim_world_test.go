package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// overloadWorld runs the fleet and session engines of many instances in virtual time against
// one primary with a few slots and a queue. The order of Go's maps
// makes two runs with the same seed differ a little.
type overloadWorld struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Time
	events overloadEvents
	order  uint64
	nodes  []*overloadNode
	byName map[string]*overloadNode
	member overloadMember
	// deaths holds the times at which an instance declared the primary dead.
	deaths []time.Duration
	// released counts the homes that were released, checks the status requests, answers the
	// requests that the primary ran.
	released, checks, answers int
}

const (
	overloadNodes = 100
	// overloadCallers is the number of callers of all homes together.
	overloadCallers = 120
	// overloadStatusLimit is the time limit of a status request, as an instance has it.
	overloadStatusLimit = 300 * time.Millisecond
)

type overloadEvent struct {
	at    time.Time
	order uint64
	run   func()
}

type overloadEvents []overloadEvent

func (q overloadEvents) Len() int { return len(q) }
func (q overloadEvents) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q overloadEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *overloadEvents) Push(x any)   { *q = append(*q, x.(overloadEvent)) }
func (q *overloadEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (w *overloadWorld) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, overloadEvent{at: w.now.Add(d), order: w.order, run: run})
}

// latency returns the time of a message.
func (w *overloadWorld) latency() time.Duration {
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(3*time.Millisecond)))
}

// newOverloadWorld returns the world of the seed with the number of homes, whose primary runs a
// statement in the time.
func newOverloadWorld(t testing.TB, seed uint64, homes int, service time.Duration) *overloadWorld {
	w := &overloadWorld{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, byName: map[string]*overloadNode{}}
	w.member = overloadMember{w: w, slots: 4, service: service, maxConnections: 113}
	snapshot := overloadSnapshot(homes)
	for i := range overloadNodes {
		n := newOverloadNode(w, snapshot.Instances[i])
		w.nodes = append(w.nodes, n)
		w.byName[n.name] = n
	}
	for i, n := range w.nodes {
		n.handle(LeaseUpdated{Until: w.now.Add(time.Hour)})
		n.handle(StoreSnapshot{Snapshot: snapshot, AsOf: w.now})
		if i < homes {
			w.after(time.Duration(w.rng.Int64N(int64(200*time.Millisecond))), func() { n.openCallers(i, overloadCallers/homes) })
		}
	}
	return w
}

// overloadSnapshot returns a store in which each of the first instances is the home of an
// account.
func overloadSnapshot(homes int) *Snapshot {
	s := &Snapshot{Revision: 100, Configuration: &Configuration{
		Version: 1, Groups: []Group{{Name: "g", MemberConnections: 113}},
		Entries: []catalogue.Entry{{Name: "entry", Database: "g", DeadlineMillis: 800}},
	}}
	for i := range overloadNodes {
		node := fmt.Sprint("n", i)
		s.Instances = append(s.Instances, Instance{Node: node, ID: core.InstanceID(node), Peer: node})
	}
	for i := range homes {
		account := core.AccountName(fmt.Sprint("a", i))
		s.Configuration.Accounts = append(s.Configuration.Accounts, catalogue.Account{
			Name: account, Weight: 1, Rate: 1000, Burst: 1000, Keys: []catalogue.Key{{ID: core.KeyID(fmt.Sprint("k", i))}},
		})
		node := s.Instances[i]
		s.Homes = append(s.Homes, Home{Account: account, Node: node.Node, Instance: node.ID, Revision: 50})
	}
	for i, role := range []core.Role{core.RolePrimary, core.RoleReplica} {
		id := core.MemberID(fmt.Sprint("m", i))
		s.Members = append(s.Members, Announcement{Member: id, Group: "g", Address: string(id), Slots: 4, Role: role, Revision: 60})
	}
	return s
}

// run processes the events and the engines' timers for the time.
func (w *overloadWorld) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		ev := heap.Pop(&w.events).(overloadEvent)
		w.now = ev.at
		ev.run()
	}
	w.now = end
}

// overloadMember is a primary that runs a few statements at a time and queues others.
type overloadMember struct {
	w              *overloadWorld
	slots          int
	service        time.Duration
	maxConnections int
	connections    int
	running        int
	queue          []overloadWork
	// frozen stops all answers, cut all connections; down refuses connections.
	frozen, cut, down bool
}

type overloadWork struct {
	cost time.Duration
	done func()
}

const (
	// overloadQueue is the number of statements that may wait at the member.
	overloadQueue = 32
	// overloadStartup is the time of a slot that a new connection takes.
	overloadStartup = 20 * time.Millisecond
)

// submit runs the work once a slot is free.
func (m *overloadMember) submit(work overloadWork) {
	m.queue = append(m.queue, work)
	m.next()
}

func (m *overloadMember) next() {
	for m.running < m.slots && len(m.queue) > 0 {
		work := m.queue[0]
		m.queue = m.queue[1:]
		m.running++
		m.w.after(work.cost, func() {
			if m.frozen {
				return
			}
			m.running--
			work.done()
			m.next()
		})
	}
}

// statement runs a statement, or reports that the queue is full.
func (m *overloadMember) statement(cost time.Duration, done func(busy bool)) {
	switch {
	case m.frozen:
	case len(m.queue) >= overloadQueue:
		done(true)
	default:
		m.submit(overloadWork{cost: cost, done: func() { done(false) }})
	}
}

// startup opens a connection.
func (m *overloadMember) startup(done func()) {
	if !m.frozen {
		m.submit(overloadWork{cost: overloadStartup, done: done})
	}
}

var _ Outputs = (*overloadNode)(nil)
var _ session.Outputs = overloadSessionOutputs{}

// openCallers connects callers of the account with the number.
func (n *overloadNode) openCallers(account, callers int) {
	for i := range callers {
		id := session.CallerID(i + 1)
		n.handleSession(session.CallerOpened{Caller: id, Entry: "entry", Key: core.KeyID(fmt.Sprint("k", account))})
		n.w.after(n.w.latency()*5, func() { n.request(id) })
	}
}

// request sends a write of the caller.
func (n *overloadNode) request(id session.CallerID) {
	n.handleSession(session.CallerRequest{Caller: id, Request: &session.Request{
		Classification: &session.Classification{Kind: session.KindWrite, Hints: session.Hints{MaxAge: -1}},
		Payload:        &session.Payload{ID: "w", Frames: []byte("w")}, Arrived: n.w.now,
	}})
}

// newOverloadNode returns a running instance.
func newOverloadNode(w *overloadWorld, self Instance) *overloadNode {
	n := &overloadNode{w: w, name: self.Node, connections: map[session.TargetID]*overloadConnection{}}
	config := Config{
		Self:   self,
		Limits: Limits{TargetDrain: 5 * time.Second, RateWindow: 5 * time.Second, RateOverage: 0.1, RateSlack: 20},
		Bounds: Bounds{
			BalancerNotice: 2 * time.Second, Stop: testStopPlan, ReregistrationGrace: 3 * time.Second,
			PromotionStepTimeout: 2 * time.Second, PromotionRetryDelay: 500 * time.Millisecond, TakeoverTimeout: 3 * time.Second,
		},
	}
	t, ok := w.t.(*testing.T)
	require.True(w.t, ok)
	var err error
	n.fleet, err = New(config, Charts{Instance: load(t, "hosted_instance"), Succession: load(t, "succession"), News: load(t, "news")}, n)
	require.NoError(t, err)
	sessionConfig := session.DefaultConfig()
	sessionConfig.AckAtCommit, sessionConfig.AsyncReplication = true, true
	sessionConfig.RatePerOperation, sessionConfig.FinishOnRevocation = true, true
	sessionConfig.MemberConnections = 2
	n.session, err = session.New(sessionConfig, overloadSessionOutputs{n})
	require.NoError(t, err)
	return n
}

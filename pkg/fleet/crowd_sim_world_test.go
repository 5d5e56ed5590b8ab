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

// crowdWorld runs the fleet and session engines of many instances in virtual time against
// one primary with a few slots and a queue. The order of Go's maps
// makes two runs with the same seed differ a little.
type crowdWorld struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Time
	events crowdEvents
	order  uint64
	nodes  []*crowdNode
	byName map[string]*crowdNode
	member crowdMember
	// deaths holds the times at which an instance declared the primary dead.
	deaths []time.Duration
	// released counts the homes that were given up, checks the status requests, answers the
	// requests that the primary ran.
	released, checks, answers int
}

const (
	crowdNodes = 100
	// crowdCallers is the number of callers of all homes together.
	crowdCallers = 120
	// crowdStatusLimit is the time limit of a status request, as an instance has it.
	crowdStatusLimit = 300 * time.Millisecond
)

type crowdEvent struct {
	at    time.Time
	order uint64
	run   func()
}

type crowdEvents []crowdEvent

func (q crowdEvents) Len() int { return len(q) }
func (q crowdEvents) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q crowdEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *crowdEvents) Push(x any)   { *q = append(*q, x.(crowdEvent)) }
func (q *crowdEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (w *crowdWorld) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, crowdEvent{at: w.now.Add(d), order: w.order, run: run})
}

// latency returns the time of a message.
func (w *crowdWorld) latency() time.Duration {
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(3*time.Millisecond)))
}

// newCrowdWorld returns the world of the seed with the number of homes, whose primary runs a
// statement in the time.
func newCrowdWorld(t testing.TB, seed uint64, homes int, service time.Duration) *crowdWorld {
	w := &crowdWorld{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, byName: map[string]*crowdNode{}}
	w.member = crowdMember{w: w, slots: 4, service: service, maxConnections: 113}
	snapshot := crowdSnapshot(homes)
	for i := range crowdNodes {
		n := newCrowdNode(w, snapshot.Instances[i])
		w.nodes = append(w.nodes, n)
		w.byName[n.name] = n
	}
	for i, n := range w.nodes {
		n.handle(LeaseUpdated{Until: w.now.Add(time.Hour)})
		n.handle(StoreSnapshot{Snapshot: snapshot, AsOf: w.now})
		if i < homes {
			w.after(time.Duration(w.rng.Int64N(int64(200*time.Millisecond))), func() { n.openCallers(i, crowdCallers/homes) })
		}
	}
	return w
}

// crowdSnapshot returns a store in which each of the first instances is the home of an
// account.
func crowdSnapshot(homes int) *Snapshot {
	s := &Snapshot{Revision: 100, Configuration: &Configuration{
		Version: 1, Groups: []Group{{Name: "g", MemberConnections: 113}},
		Entries: []catalogue.Entry{{Name: "entry", Database: "g", DeadlineMillis: 800}},
	}}
	for i := range crowdNodes {
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
func (w *crowdWorld) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		ev := heap.Pop(&w.events).(crowdEvent)
		w.now = ev.at
		ev.run()
	}
	w.now = end
}

// crowdMember is a primary that runs a few statements at a time and queues others.
type crowdMember struct {
	w              *crowdWorld
	slots          int
	service        time.Duration
	maxConnections int
	connections    int
	running        int
	queue          []crowdWork
	// frozen stops all answers, cut all connections; down refuses connections.
	frozen, cut, down bool
}

type crowdWork struct {
	cost time.Duration
	done func()
}

const (
	// crowdQueue is the number of statements that may wait at the member.
	crowdQueue = 32
	// crowdStartup is the time of a slot that a new connection takes.
	crowdStartup = 20 * time.Millisecond
)

// submit runs the work once a slot is free.
func (m *crowdMember) submit(work crowdWork) {
	m.queue = append(m.queue, work)
	m.next()
}

func (m *crowdMember) next() {
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
func (m *crowdMember) statement(cost time.Duration, done func(busy bool)) {
	switch {
	case m.frozen:
	case len(m.queue) >= crowdQueue:
		done(true)
	default:
		m.submit(crowdWork{cost: cost, done: func() { done(false) }})
	}
}

// startup opens a connection.
func (m *crowdMember) startup(done func()) {
	if !m.frozen {
		m.submit(crowdWork{cost: crowdStartup, done: done})
	}
}

var _ Outputs = (*crowdNode)(nil)
var _ session.Outputs = crowdSessionOutputs{}

// openCallers connects callers of the account with the number.
func (n *crowdNode) openCallers(account, callers int) {
	for i := range callers {
		id := session.CallerID(i + 1)
		n.handleSession(session.CallerOpened{Caller: id, Entry: "entry", Key: core.KeyID(fmt.Sprint("k", account))})
		n.w.after(n.w.latency()*5, func() { n.request(id) })
	}
}

// request sends a write of the caller.
func (n *crowdNode) request(id session.CallerID) {
	n.handleSession(session.CallerRequest{Caller: id, Request: &session.Request{
		Classification: &session.Classification{Kind: session.KindWrite, Hints: session.Hints{MaxAge: -1}},
		Payload:        &session.Payload{ID: "w", Frames: []byte("w")}, Arrived: n.w.now,
	}})
}

// newCrowdNode returns a running instance.
func newCrowdNode(w *crowdWorld, self Instance) *crowdNode {
	n := &crowdNode{w: w, name: self.Node, connections: map[session.TargetID]*crowdConnection{}}
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
	n.session, err = session.New(sessionConfig, crowdSessionOutputs{n})
	require.NoError(t, err)
	return n
}

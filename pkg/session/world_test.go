package session

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// world is a model of everything around the engine: callers, members with
// their logs, connections and the duties. It checks the guarantees as the
// engine's commands arrive.
type world struct {
	t       *rapid.T
	e       *Engine
	now     time.Time
	inputs  []Input
	callers map[CallerID]*modelCaller
	conns   map[TargetID]*modelConn
	members []*modelMember
	term    core.Term
	primary int
	history core.TermHistory
	lsn     core.LSN
	// acked is the newest position acknowledged to any caller.
	acked      core.Position
	bound      int
	admissions []time.Time
	rate       RateShare
	round      uint64
	nextCaller CallerID
	drained    bool
	notRun     int
	uncertain  int
	answers    int
}

type modelCaller struct {
	id      CallerID
	floor   core.Position
	seq     int
	open    bool
	waiting bool
	text    string
	status  byte
	// sent counts the attempts that may have run.
	sent       int
	commitSent bool
	// commit is the position of the running request's commit.
	commit core.Position
	conn   *modelConn
}

type modelConn struct {
	id     TargetID
	member *modelMember
	ready  bool
	caller *modelCaller
	text   string
	inTx   *modelCaller
	// closing is set when the engine gave the connection up; the socket still
	// counts until the close is reported.
	closing bool
}

type modelMember struct {
	id       core.MemberID
	term     core.Term
	received core.LSN
	applied  core.LSN
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testCatalogue() *catalogue.Catalogue {
	cat := &catalogue.Catalogue{
		Version: 1,
		Accounts: []catalogue.Account{{
			Name: "acct", Weight: 1,
			Keys: []catalogue.Key{{ID: "k1"}, {ID: "k2"}},
		}},
		Entries: []catalogue.Entry{{
			Name: "entry", Account: "acct", Database: "db", Class: core.ClassInteractive,
			MaxAgeMillis: 60_000, DeadlineMillis: 3000,
		}},
		Databases: []catalogue.Database{{Name: "db", State: catalogue.DatabaseActive}},
	}
	for i := range 3 {
		cat.Databases[0].Members = append(cat.Databases[0].Members, catalogue.Member{
			ID: core.MemberID(fmt.Sprint("m", i)), Address: fmt.Sprint("127.0.0.1:", 100+i), Slots: 2,
		})
	}
	return cat
}

func newWorld(t *rapid.T, cfg Config) *world {
	w := &world{
		t: t, now: start, term: 1, history: core.TermHistory{{Term: 1}},
		callers: map[CallerID]*modelCaller{}, conns: map[TargetID]*modelConn{},
		bound: 3, rate: RateShare{Rate: 200, Burst: 20},
	}
	for i := range 3 {
		w.members = append(w.members, &modelMember{id: core.MemberID(fmt.Sprint("m", i)), term: 1})
	}
	e, err := New(cfg, w)
	if err != nil {
		t.Fatal(err)
	}
	w.e = e
	w.handle(CatalogueInForce{Catalogue: testCatalogue()})
	w.share()
	w.view()
	w.advance(time.Second)
	return w
}

func (w *world) handle(in Input) {
	w.e.Handle(w.now, in)
	for len(w.inputs) > 0 {
		next := w.inputs[0]
		w.inputs = w.inputs[1:]
		w.e.Handle(w.now, next)
	}
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.e.Tick(w.now)
	for len(w.inputs) > 0 {
		next := w.inputs[0]
		w.inputs = w.inputs[1:]
		w.e.Handle(w.now, next)
	}
}

func (w *world) share() {
	w.handle(ShareInForce{
		Accounts:    map[core.AccountName]RateShare{"acct": w.rate},
		Connections: map[core.DatabaseName]int{"db": w.bound},
		Until:       w.now.Add(time.Minute),
	})
}

// view shows the engine the members as they are.
func (w *world) view() {
	view := GroupView{Database: "db", Term: w.term}
	if w.primary >= 0 {
		view.Primary = w.members[w.primary].id
	}
	for i, m := range w.members {
		status := core.MemberStatus{
			Member: m.id, Term: m.term, LogTerm: m.term, Role: core.RoleReplica,
			Received: m.received, Applied: m.applied, Terms: w.history,
		}
		if i == w.primary {
			status.Role = core.RolePrimary
		}
		view.Members = append(view.Members, MemberView{Status: status, Reachable: true, SeenAt: w.now})
	}
	w.handle(view)
}

// replicate moves a replica of the present term forward.
func (w *world) replicate(i int) {
	m := w.members[i]
	if i == w.primary || w.primary < 0 {
		return
	}
	m.term = w.term
	m.received = w.lsn
	m.applied = core.LSN(rapid.Uint64Range(uint64(min(m.applied, w.lsn)), uint64(w.lsn)).Draw(w.t, "applied"))
}

// confirm reports what a majority has received.
func (w *world) confirm() {
	if w.primary < 0 {
		return
	}
	p := core.Position{Term: w.term, LSN: w.majority()}
	w.handle(ConfirmedUpTo{Database: "db", Position: p})
}

// majority is the furthest position of the present term on two members.
func (w *world) majority() core.LSN {
	best := core.LSN(0)
	for i, m := range w.members {
		if i != w.primary && m.term == w.term {
			best = max(best, m.received)
		}
	}
	return best
}

// failover promotes the replica that has received most in the newest term.
func (w *world) failover() {
	if w.primary < 0 {
		return
	}
	best := -1
	for i, m := range w.members {
		if i == w.primary {
			continue
		}
		if best < 0 || m.term > w.members[best].term ||
			m.term == w.members[best].term && m.received > w.members[best].received {
			best = i
		}
	}
	w.term++
	w.primary = best
	m := w.members[best]
	m.applied = m.received
	m.term = w.term
	w.lsn = m.received
	w.history = append(append(core.TermHistory{}, w.history...), core.TermStart{Term: w.term, Start: w.lsn})
}

// elsewhere acknowledges a write through another instance.
func (w *world) elsewhere() {
	if w.primary < 0 {
		return
	}
	w.acked = w.commitAt(w.members[w.primary])
	w.replicate((w.primary + 1) % 3)
}

// floor answers a floor round.
func (w *world) floor() {
	if w.round == 0 {
		return
	}
	best := core.Position{}
	for i, m := range w.members {
		p := core.Position{Term: m.term, LSN: m.received}
		if i != w.primary && p.After(best) || i == w.primary && w.term > 0 && p.After(best) {
			best = p
		}
	}
	w.handle(FloorAnswer{Database: "db", Round: w.round, Position: best})
}

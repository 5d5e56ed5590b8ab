package session

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// simulation models everything around the engine: callers, members with their
// logs, connections and the duties. It implements Outputs and checks the
// guarantees as the engine's commands arrive.
type simulation struct {
	t           *rapid.T
	e           *Engine
	now         time.Time
	inputs      []Input
	callers     map[CallerID]*modelCaller
	connections map[TargetID]*modelConn
	members     []*modelMember
	term        core.Term
	primary     int
	history     core.TermHistory
	logEnd      core.LSN
	// acknowledged is the newest position acknowledged to any caller.
	acknowledged   core.Position
	bound          int
	admissions     []time.Time
	rate           RateShare
	round          uint64
	nextCaller     CallerID
	drained        bool
	notRunCount    int
	uncertainCount int
	answerCount    int
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
	// closing is set when the engine has closed the connection; the socket
	// still counts until the close is reported.
	closing bool
}

type modelMember struct {
	id       core.MemberID
	term     core.Term
	received core.LSN
	applied  core.LSN
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

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

func newSimulation(t *rapid.T, cfg Config) *simulation {
	sim := &simulation{
		t: t, now: startTime, term: 1, history: core.TermHistory{{Term: 1}},
		callers: map[CallerID]*modelCaller{}, connections: map[TargetID]*modelConn{},
		bound: 3, rate: RateShare{Rate: 200, Burst: 20},
	}
	for i := range 3 {
		sim.members = append(sim.members, &modelMember{id: core.MemberID(fmt.Sprint("m", i)), term: 1})
	}
	e, err := New(cfg, sim)
	if err != nil {
		t.Fatal(err)
	}
	sim.e = e
	sim.handle(CatalogueUpdate{Catalogue: testCatalogue()})
	sim.publishShare()
	sim.publishView()
	sim.advance(time.Second)
	return sim
}

func (sim *simulation) handle(in Input) {
	sim.e.Handle(sim.now, in)
	for len(sim.inputs) > 0 {
		next := sim.inputs[0]
		sim.inputs = sim.inputs[1:]
		sim.e.Handle(sim.now, next)
	}
}

func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	sim.e.Tick(sim.now)
	for len(sim.inputs) > 0 {
		next := sim.inputs[0]
		sim.inputs = sim.inputs[1:]
		sim.e.Handle(sim.now, next)
	}
}

func (sim *simulation) publishShare() {
	sim.handle(ShareUpdate{
		Accounts:    map[core.AccountName]RateShare{"acct": sim.rate},
		Connections: map[core.DatabaseName]int{"db": sim.bound},
		ValidUntil:  sim.now.Add(time.Minute),
	})
}

// publishView publishes the members' present state to the engine.
func (sim *simulation) publishView() {
	view := GroupView{Database: "db", Term: sim.term}
	if sim.primary >= 0 {
		view.Primary = sim.members[sim.primary].id
	}
	for i, m := range sim.members {
		status := core.MemberStatus{
			Member: m.id, Term: m.term, LogTerm: m.term, Role: core.RoleReplica,
			Received: m.received, Applied: m.applied, Terms: sim.history,
		}
		if i == sim.primary {
			status.Role = core.RolePrimary
		}
		view.Members = append(view.Members, MemberView{Status: status, Reachable: true, RespondedAt: sim.now})
	}
	sim.handle(view)
}

// replicate advances a replica to the log of the present term.
func (sim *simulation) replicate(i int) {
	m := sim.members[i]
	if i == sim.primary || sim.primary < 0 {
		return
	}
	m.term = sim.term
	m.received = sim.logEnd
	m.applied = core.LSN(rapid.Uint64Range(uint64(min(m.applied, sim.logEnd)), uint64(sim.logEnd)).Draw(sim.t, "applied"))
}

// reportConfirmed reports the position that a majority has received.
func (sim *simulation) reportConfirmed() {
	if sim.primary < 0 {
		return
	}
	p := core.Position{Term: sim.term, LSN: sim.majority()}
	sim.handle(ConfirmedUpTo{Database: "db", Position: p})
}

// majority returns the newest position of the present term that two members
// have.
func (sim *simulation) majority() core.LSN {
	best := core.LSN(0)
	for i, m := range sim.members {
		if i != sim.primary && m.term == sim.term {
			best = max(best, m.received)
		}
	}
	return best
}

// failover promotes the replica that has received most of the newest term.
func (sim *simulation) failover() {
	if sim.primary < 0 {
		return
	}
	best := -1
	for i, m := range sim.members {
		if i == sim.primary {
			continue
		}
		if best < 0 || m.term > sim.members[best].term ||
			m.term == sim.members[best].term && m.received > sim.members[best].received {
			best = i
		}
	}
	sim.term++
	sim.primary = best
	m := sim.members[best]
	m.applied = m.received
	m.term = sim.term
	sim.logEnd = m.received
	sim.history = append(append(core.TermHistory{}, sim.history...), core.TermStart{Term: sim.term, Start: sim.logEnd})
}

// commitAtOtherInstance acknowledges a write through another instance.
func (sim *simulation) commitAtOtherInstance() {
	if sim.primary < 0 {
		return
	}
	sim.acknowledged = sim.commitAt(sim.members[sim.primary])
	sim.replicate((sim.primary + 1) % 3)
}

// publishFloorResult publishes the result of the requested floor round.
func (sim *simulation) publishFloorResult() {
	if sim.round == 0 {
		return
	}
	best := core.Position{}
	for i, m := range sim.members {
		p := core.Position{Term: m.term, LSN: m.received}
		if i != sim.primary && p.After(best) || i == sim.primary && sim.term > 0 && p.After(best) {
			best = p
		}
	}
	sim.handle(FloorResult{Database: "db", Round: sim.round, Position: best})
}

package session

import (
	"fmt"
	"strings"
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

// Caller implements Outputs.
func (w *world) Caller(command CallerCommand) bool {
	switch c := command.(type) {
	case CallerWrite:
		w.callerWrite(c)
	case CallerFail:
		w.callerFail(c)
	case CallerReply:
		w.answered(w.callers[c.Caller], c.TxStatus)
	case CallerClose:
		w.callers[c.Caller].open = false
		w.refused(w.callers[c.Caller], c.Refusal)
	}
	return true
}

func (w *world) callerWrite(c CallerWrite) {
	m := w.callers[c.Caller]
	commit := m.commit
	if !commit.IsZero() {
		w.check(commit.Term == w.term && w.majority() >= commit.LSN || w.e.databases["db"].confirms(commit),
			"a write was answered before a majority had it")
	}
	if strings.HasPrefix(m.text, "write") && m.status == txIdle && !c.Done {
		w.t.Fatal("a part of a write's result was forwarded before its confirmation")
	}
	if !c.Done {
		return
	}
	if !commit.IsZero() {
		m.floor = commit
		if commit.After(w.acked) {
			w.acked = commit
		}
	}
	w.answered(m, c.Frames[len(c.Frames)-1])
}

func (w *world) callerFail(c CallerFail) {
	m := w.callers[c.Caller]
	w.refused(m, c.Refusal)
	w.answered(m, c.TxStatus)
}

// refused checks that an outcome is true.
func (w *world) refused(m *modelCaller, r *core.Refusal) {
	if r.Outcome == core.OutcomeUncertain {
		w.uncertain++
		return
	}
	w.notRun++
	if r.SQLState == core.StateTransactionAborted {
		w.check(!m.commitSent, "a transaction whose COMMIT was sent is reported as not run")
		return
	}
	w.check(m.sent == 0 || !m.waiting,
		"a statement that was sent is reported as not run: "+r.Error())
}

func (w *world) answered(m *modelCaller, status byte) {
	w.check(m.waiting, "an answer without a request")
	m.waiting = false
	m.status = status
	m.commit = core.Position{}
	w.answers++
}

func (w *world) check(ok bool, message string) {
	if !ok {
		w.t.Fatal(message)
	}
}

// Target implements Outputs.
func (w *world) Target(command TargetCommand) bool {
	switch c := command.(type) {
	case TargetOpen:
		for _, m := range w.members {
			if m.id == c.Member {
				w.conns[c.Target] = &modelConn{id: c.Target, member: m}
			}
		}
		w.check(len(w.conns) <= w.bound, "more connections than the share allows")
	case TargetSend:
		w.targetSend(c)
	case TargetClose:
		if conn := w.conns[c.Target]; conn != nil {
			conn.closing = true
		}
	case TargetCancel:
		conn := w.conns[c.Target]
		w.check(conn != nil && conn.caller != nil, "a cancel request without a running statement")
	}
	return true
}

func (w *world) targetSend(c TargetSend) {
	conn := w.conns[c.Target]
	w.check(conn != nil && conn.ready && !conn.closing && conn.caller == nil, "a request on a connection that is not idle")
	var id CallerID
	_, err := fmt.Sscanf(string(c.Payload.Frames), "%d", &id)
	w.check(err == nil, "payload")
	m := w.callers[id]
	w.check(conn.inTx == nil || conn.inTx == m, "a statement entered another caller's transaction")
	w.check(m.status == txIdle || conn.inTx == m, "a statement of a transaction left its connection")
	w.check(m.waiting, "a request was sent after its answer")
	w.check(c.NotAfter.After(w.now) || c.NotAfter.Equal(w.now), "a request was sent after its deadline")
	if strings.HasPrefix(m.text, "write") || m.text == "commit" {
		w.check(m.sent == 0, "a non-idempotent write was sent again")
	}
	if m.text == "read" && m.status == txIdle {
		w.check(w.history.Covers(conn.member.term, conn.member.applied, m.floor),
			"a read went to a member that lacks what its session has written or must see")
	}
	running := 1
	for _, other := range w.conns {
		if other.member == conn.member && other.caller != nil && !other.closing {
			running++
		}
	}
	w.check(running <= 2, "more statements run on a member than it has slots")
	m.sent++
	m.commitSent = m.commitSent || m.text == "commit"
	m.conn = conn
	conn.caller, conn.text = m, m.text
}

// Classify implements Outputs.
func (w *world) Classify(r ClassifyRequest) bool {
	w.admissions = append(w.admissions, w.now)
	v := Verdict{Hints: Hints{MaxAge: -1}}
	switch r.Texts[0] {
	case "write", "write idempotent":
		v.Kind = KindWrite
	case "begin":
		v.Kind = KindBegin
	case "commit":
		v.Kind, v.Commit = KindEnd, true
	case "rollback":
		v.Kind = KindEnd
	}
	w.inputs = append(w.inputs, ClassifyResult{Caller: r.Caller, Sequence: r.Sequence, Verdict: v})
	return true
}

// Control implements Outputs.
func (w *world) Control(report ControlReport) bool {
	switch r := report.(type) {
	case NeedFloor:
		w.round = r.Round
	case Drained:
		w.drained = true
	}
	return true
}

// Span implements Outputs.
func (w *world) Span(Span) {}

// lose ends a connection; the engine hears of it later, as from targetio.
func (w *world) lose(conn *modelConn, unsent bool) {
	delete(w.conns, conn.id)
	if unsent && conn.caller != nil {
		conn.caller.sent--
		if conn.text == "commit" {
			conn.caller.commitSent = false
		}
	}
	w.inputs = append(w.inputs, TargetClosed{Target: conn.id, Unsent: unsent, Refused: !conn.ready})
}

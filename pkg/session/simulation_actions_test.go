package session

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fairqueue"
)

func (sim *simulation) openCaller() {
	if len(sim.callers) > 12 {
		return
	}
	sim.nextCaller++
	// The session must see everything that was acknowledged to any caller
	// before.
	m := &modelCaller{id: sim.nextCaller, floor: sim.acknowledged, open: true, status: txIdle}
	sim.callers[m.id] = m
	sim.handle(CallerOpened{Caller: m.id, Account: "acct", Entry: "entry", Key: "k1"})
}

func (sim *simulation) pickCaller(want func(*modelCaller) bool) *modelCaller {
	var fit []*modelCaller
	for id := CallerID(1); id <= sim.nextCaller; id++ {
		if m := sim.callers[id]; m != nil && m.open && want(m) {
			fit = append(fit, m)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return rapid.SampledFrom(fit).Draw(sim.t, "caller")
}

func (sim *simulation) request() {
	m := sim.pickCaller(func(m *modelCaller) bool { return !m.waiting })
	if m == nil {
		return
	}
	texts := []string{"read", "read", "write", "begin"}
	if m.status != txIdle {
		texts = []string{"read", "write", "commit", "rollback"}
	}
	m.text = rapid.SampledFrom(texts).Draw(sim.t, "text")
	m.seq++
	m.waiting = true
	m.sent = 0
	m.commitSent = false
	sim.handle(CallerRequest{Caller: m.id, Request: &Request{
		Texts:   []string{m.text},
		Payload: &Payload{Frames: fmt.Append(nil, m.id)},
		Arrived: sim.now,
	}})
}

func (sim *simulation) pickConn(want func(*modelConn) bool) *modelConn {
	var fit []*modelConn
	for _, conn := range sim.connections {
		if !conn.closing && want(conn) {
			fit = append(fit, conn)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	slices.SortFunc(fit, func(a, b *modelConn) int { return int(a.id) - int(b.id) })
	return rapid.SampledFrom(fit).Draw(sim.t, "connection")
}

func (sim *simulation) connect() {
	conn := sim.pickConn(func(c *modelConn) bool { return !c.ready })
	if conn != nil {
		conn.ready = true
		sim.handle(TargetOpened{Target: conn.id})
	}
}

func (sim *simulation) sendData() {
	conn := sim.pickConn(func(c *modelConn) bool { return c.caller != nil })
	if conn != nil {
		sim.handle(TargetData{Target: conn.id, Frames: []byte("row")})
	}
}

// finish completes a request on its member.
func (sim *simulation) finish() {
	conn := sim.pickConn(func(c *modelConn) bool { return c.caller != nil })
	if conn == nil {
		return
	}
	m := conn.caller
	ready := TargetReady{Target: conn.id, TxStatus: txIdle}
	switch {
	case conn.text == "begin", conn.inTx != nil && conn.text != "commit" && conn.text != "rollback":
		ready.TxStatus = txOpen
	case conn.text == "write" || conn.text == "commit":
		ready.Position = sim.commitAt(conn.member)
		if ready.Position.IsZero() {
			ready.ErrorCode = "57P01"
		}
	}
	ready.Frames = []byte{ready.TxStatus}
	conn.caller = nil
	conn.inTx = nil
	if ready.TxStatus == txOpen {
		conn.inTx = m
	}
	m.commit = ready.Position
	sim.handle(ready)
}

// commitAt commits on the member; a replaced primary refuses writes.
func (sim *simulation) commitAt(member *modelMember) core.Position {
	if sim.primary < 0 || member != sim.members[sim.primary] {
		return core.Position{}
	}
	sim.logEnd += 10
	member.received, member.applied = sim.logEnd, sim.logEnd
	return core.Position{Term: sim.term, LSN: sim.logEnd}
}

func (sim *simulation) breakConn() {
	conn := sim.pickConn(func(*modelConn) bool { return true })
	if conn == nil {
		return
	}
	unsent := conn.caller != nil && rapid.Bool().Draw(sim.t, "unsent")
	sim.breakAndReport(conn, unsent)
	sim.advance(0)
}

func (sim *simulation) closeCaller() {
	m := sim.pickCaller(func(*modelCaller) bool { return true })
	if m != nil {
		m.open = false
		sim.handle(CallerClosed{Caller: m.id})
	}
}

func (sim *simulation) cancel() {
	if m := sim.pickCaller(func(*modelCaller) bool { return true }); m != nil {
		sim.handle(CallerCancel{Caller: m.id})
	}
}

func (sim *simulation) changeShare() {
	sim.bound = rapid.IntRange(1, 4).Draw(sim.t, "bound")
	sim.publishShare()
	for len(sim.connections) > sim.bound {
		sim.breakConn()
		sim.reportClosed()
	}
}

// reportClosed reports the connections that the engine has closed.
func (sim *simulation) reportClosed() {
	for id := TargetID(1); id <= sim.e.lastTarget; id++ {
		if conn := sim.connections[id]; conn != nil && conn.closing {
			sim.breakAndReport(conn, false)
		}
	}
	sim.advance(0)
}

// frequentAndRareActions lists the actions. Each draw is uniform, so an action
// that is listed several times is that much more frequent.
func (sim *simulation) frequentAndRareActions() []func() {
	replicate := func(i int) func() { return func() { sim.replicate(i) } }
	wait := func(d time.Duration) func() { return func() { sim.advance(d) } }
	frequent := []func(){
		sim.request, sim.request, sim.request, sim.connect, sim.finish, sim.finish, sim.finish, sim.reportConfirmed,
		sim.publishFloorResult, sim.publishView, sim.reportClosed, replicate(0), replicate(1), replicate(2), sim.sendData, wait(time.Millisecond),
	}
	rare := []func(){
		sim.openCaller, sim.breakConn, sim.closeCaller, sim.cancel, sim.changeShare, sim.failover,
		wait(40 * time.Millisecond), wait(120 * time.Millisecond), wait(time.Second),
	}
	return slices.Concat(frequent, frequent, frequent, frequent, rare, []func(){sim.openCaller, sim.breakConn, sim.commitAtOtherInstance})
}

// finishAndCheck lets all requests come to an end and checks that each was
// answered once.
func (sim *simulation) finishAndCheck() {
	for range 60 {
		sim.reportClosed()
		sim.connect()
		sim.finish()
		sim.replicate(0)
		sim.replicate(1)
		sim.replicate(2)
		sim.publishView()
		sim.publishFloorResult()
		sim.reportConfirmed()
		sim.advance(100 * time.Millisecond)
	}
	for id, m := range sim.callers {
		sim.check(!m.open || !m.waiting, fmt.Sprint("caller ", id, " was never answered: ", m.text))
	}
	sim.handle(Drain{StatementsEnd: sim.now.Add(2 * time.Second)})
	sim.advance(time.Second)
	sim.handle(EndTransactions{})
	sim.advance(time.Second)
	sim.handle(EndStatements{})
	sim.check(sim.drained, "the graceful stop did not end")
	for id, m := range sim.callers {
		sim.check(!m.open, fmt.Sprint("caller ", id, " was not told to reconnect"))
	}
}

// checkRate checks the rate in every window between two admissions.
func (sim *simulation) checkRate() {
	for i := range sim.admissions {
		for j := i; j < len(sim.admissions); j++ {
			window := sim.admissions[j].Sub(sim.admissions[i]).Seconds()
			allowed := sim.rate.Rate*window + sim.rate.Burst
			sim.check(float64(j-i+1) <= allowed+1e-6, "more requests than rate and burst allow")
		}
	}
}

// spread distributes the drawn numbers evenly, because small ones are drawn
// more often.
func spread(n uint16) int {
	return int(uint32(n)*2654435761>>8) & 0xffff
}

// Guards, under any order of events, against: a read that misses what was
// acknowledged, mixed-up transactions, a write that is sent twice, an answer
// before the confirmation, a false "not run", too many connections, a rate
// above the share, and a request without an answer.
func TestGuaranteesUnderAnyOrder(t *testing.T) {
	answers, uncertain := 0, 0
	taken := map[string]uint64{}
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.RetryFraction = rapid.SampledFrom([]float64{0.1, 1}).Draw(t, "retry fraction")
		cfg.Policy = rapid.SampledFrom([]Policy{PolicyFactors, PolicyRoundRobin, PolicyPrimary}).Draw(t, "policy")
		cfg.Queue = rapid.SampledFrom([]fairqueue.Kind{fairqueue.KindFair, fairqueue.KindFIFO}).Draw(t, "queue")
		sim := newSimulation(t, cfg)
		script := sim.frequentAndRareActions()
		order := rapid.SliceOfN(rapid.Uint16(), 300, 600).Draw(t, "order")
		for _, n := range order {
			script[spread(n)%len(script)]()
		}
		sim.finishAndCheck()
		sim.checkRate()
		answers += sim.answerCount
		uncertain += sim.uncertainCount
		for k, v := range sim.e.TransitionCounts("statement") {
			taken[k] += v
		}
	})
	t.Logf("%d answers, %d of them uncertain", answers, uncertain)
	t.Log(taken)
	require.Positive(t, answers)
	require.Positive(t, uncertain)
}

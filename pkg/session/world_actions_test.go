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

func (w *world) openCaller() {
	if len(w.callers) > 12 {
		return
	}
	w.nextCaller++
	// Whatever was acknowledged to anybody before must be seen by the session.
	m := &modelCaller{id: w.nextCaller, floor: w.acked, open: true, status: txIdle}
	w.callers[m.id] = m
	w.handle(CallerOpened{Caller: m.id, Account: "acct", Entry: "entry", Key: "k1"})
}

func (w *world) pickCaller(want func(*modelCaller) bool) *modelCaller {
	var fit []*modelCaller
	for id := CallerID(1); id <= w.nextCaller; id++ {
		if m := w.callers[id]; m != nil && m.open && want(m) {
			fit = append(fit, m)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return rapid.SampledFrom(fit).Draw(w.t, "caller")
}

func (w *world) request() {
	m := w.pickCaller(func(m *modelCaller) bool { return !m.waiting })
	if m == nil {
		return
	}
	texts := []string{"read", "read", "write", "begin"}
	if m.status != txIdle {
		texts = []string{"read", "write", "commit", "rollback"}
	}
	m.text = rapid.SampledFrom(texts).Draw(w.t, "text")
	m.seq++
	m.waiting = true
	m.sent = 0
	m.commitSent = false
	w.handle(CallerRequest{Caller: m.id, Request: &Request{
		Texts:   []string{m.text},
		Payload: &Payload{Frames: fmt.Append(nil, m.id)},
		Arrived: w.now,
	}})
}

func (w *world) pickConn(want func(*modelConn) bool) *modelConn {
	var fit []*modelConn
	for _, conn := range w.conns {
		if !conn.closing && want(conn) {
			fit = append(fit, conn)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	slices.SortFunc(fit, func(a, b *modelConn) int { return int(a.id) - int(b.id) })
	return rapid.SampledFrom(fit).Draw(w.t, "connection")
}

func (w *world) connect() {
	conn := w.pickConn(func(c *modelConn) bool { return !c.ready })
	if conn != nil {
		conn.ready = true
		w.handle(TargetOpened{Target: conn.id})
	}
}

func (w *world) data() {
	conn := w.pickConn(func(c *modelConn) bool { return c.caller != nil })
	if conn != nil {
		w.handle(TargetData{Target: conn.id, Frames: []byte("row")})
	}
}

// finish runs a request to its end on its member.
func (w *world) finish() {
	conn := w.pickConn(func(c *modelConn) bool { return c.caller != nil })
	if conn == nil {
		return
	}
	m := conn.caller
	ready := TargetReady{Target: conn.id, TxStatus: txIdle}
	switch {
	case conn.text == "begin", conn.inTx != nil && conn.text != "commit" && conn.text != "rollback":
		ready.TxStatus = txOpen
	case conn.text == "write" || conn.text == "commit":
		ready.Position = w.commitAt(conn.member)
		if ready.Position.IsZero() {
			ready.ErrorState = "57P01"
		}
	}
	ready.Frames = []byte{ready.TxStatus}
	conn.caller = nil
	conn.inTx = nil
	if ready.TxStatus == txOpen {
		conn.inTx = m
	}
	m.commit = ready.Position
	w.handle(ready)
}

// commitAt commits on the member; one that was replaced refuses writes.
func (w *world) commitAt(member *modelMember) core.Position {
	if w.primary < 0 || member != w.members[w.primary] {
		return core.Position{}
	}
	w.lsn += 10
	member.received, member.applied = w.lsn, w.lsn
	return core.Position{Term: w.term, LSN: w.lsn}
}

func (w *world) breakConn() {
	conn := w.pickConn(func(*modelConn) bool { return true })
	if conn == nil {
		return
	}
	unsent := conn.caller != nil && rapid.Bool().Draw(w.t, "unsent")
	w.lose(conn, unsent)
	w.advance(0)
}

func (w *world) closeCaller() {
	m := w.pickCaller(func(*modelCaller) bool { return true })
	if m != nil {
		m.open = false
		w.handle(CallerClosed{Caller: m.id})
	}
}

func (w *world) cancel() {
	if m := w.pickCaller(func(*modelCaller) bool { return true }); m != nil {
		w.handle(CallerCancel{Caller: m.id})
	}
}

func (w *world) changeShare() {
	w.bound = rapid.IntRange(1, 4).Draw(w.t, "bound")
	w.share()
	for len(w.conns) > w.bound {
		w.breakConn()
		w.reportClosed()
	}
}

// reportClosed reports the connections that the engine has closed.
func (w *world) reportClosed() {
	for id := TargetID(1); id <= w.e.lastTarget; id++ {
		if conn := w.conns[id]; conn != nil && conn.closing {
			w.lose(conn, false)
		}
	}
	w.advance(0)
}

// script lists the actions; each draw is uniform, so that an action that
// stands several times is as much more frequent.
func (w *world) script() []func() {
	replicate := func(i int) func() { return func() { w.replicate(i) } }
	wait := func(d time.Duration) func() { return func() { w.advance(d) } }
	frequent := []func(){
		w.request, w.request, w.request, w.connect, w.finish, w.finish, w.finish, w.confirm,
		w.floor, w.view, w.reportClosed, replicate(0), replicate(1), replicate(2), w.data, wait(time.Millisecond),
	}
	rare := []func(){
		w.openCaller, w.breakConn, w.closeCaller, w.cancel, w.changeShare, w.failover,
		wait(40 * time.Millisecond), wait(120 * time.Millisecond), wait(time.Second),
	}
	return slices.Concat(frequent, frequent, frequent, frequent, rare, []func(){w.openCaller, w.breakConn, w.elsewhere})
}

// settle lets everything come to an end and checks that each request was
// answered once.
func (w *world) settle() {
	for range 60 {
		w.reportClosed()
		w.connect()
		w.finish()
		w.replicate(0)
		w.replicate(1)
		w.replicate(2)
		w.view()
		w.floor()
		w.confirm()
		w.advance(100 * time.Millisecond)
	}
	for id, m := range w.callers {
		w.check(!m.open || !m.waiting, fmt.Sprint("caller ", id, " was never answered: ", m.text))
	}
	w.handle(Drain{})
	w.advance(w.e.cfg.Bounds.Drain)
	w.check(w.drained, "the graceful stop did not end")
	for id, m := range w.callers {
		w.check(!m.open, fmt.Sprint("caller ", id, " was not told to reconnect"))
	}
}

// checkRate checks every window between two admissions.
func (w *world) checkRate() {
	for i := range w.admissions {
		for j := i; j < len(w.admissions); j++ {
			window := w.admissions[j].Sub(w.admissions[i]).Seconds()
			allowed := w.rate.Rate*window + w.rate.Burst
			w.check(float64(j-i+1) <= allowed+1e-6, "more requests than rate and burst allow")
		}
	}
}

// mix spreads the drawn numbers, of which small ones are the most frequent.
func mix(n uint16) int {
	return int(uint32(n)*2654435761>>8) & 0xffff
}

// Guards against, under any order of events: a read that misses what was
// acknowledged, transactions that mix, a write that is sent twice, an answer
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
		w := newWorld(t, cfg)
		script := w.script()
		order := rapid.SliceOfN(rapid.Uint16(), 300, 600).Draw(t, "order")
		for _, n := range order {
			script[mix(n)%len(script)]()
		}
		w.settle()
		w.checkRate()
		answers += w.answers
		uncertain += w.uncertain
		for k, v := range w.e.TransitionCounts("statement") {
			taken[k] += v
		}
	})
	t.Logf("%d answers, %d of them uncertain", answers, uncertain)
	t.Log(taken)
	require.Positive(t, answers)
	require.Positive(t, uncertain)
}

package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// harness drives an engine step by step and records its commands.
type harness struct {
	t        testing.TB
	e        *Engine
	now      time.Time
	cat      *catalogue.Catalogue
	callers  []CallerCommand
	targets  []TargetCommand
	control  []ControlReport
	classify []ClassifyRequest
	spans    []Span
	peers    []PeerCommand
	// opens makes the requests of remote callers the first of a transaction.
	opens bool
	// full makes the callerio ring refuse commands.
	full bool
}

func (h *harness) Caller(c CallerCommand) bool {
	if !h.full {
		h.callers = append(h.callers, c)
	}
	return !h.full
}

func (h *harness) Target(c TargetCommand) bool {
	h.targets = append(h.targets, c)
	return true
}

func (h *harness) Classify(c ClassifyRequest) bool {
	h.classify = append(h.classify, c)
	return true
}

func (h *harness) Control(c ControlReport) bool {
	h.control = append(h.control, c)
	return true
}

func (h *harness) Span(s Span) { h.spans = append(h.spans, s) }

// newHarness gives an engine whose members m0 (primary), m1 and m2 are at 1/100.
func newHarness(t testing.TB, change func(*Config)) *harness {
	h := &harness{t: t, now: start, cat: testCatalogue()}
	cfg := DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	e, err := New(cfg, h)
	require.NoError(t, err)
	h.e = e
	h.do(CatalogueInForce{Catalogue: h.cat})
	h.share(6)
	h.view(1, "m0", 100, 100, 100)
	h.wait(time.Second)
	return h
}

func (h *harness) do(in Input) {
	h.e.Handle(h.now, in)
}

func (h *harness) wait(d time.Duration) {
	h.now = h.now.Add(d)
	h.e.Tick(h.now)
}

func (h *harness) share(connections int) {
	h.do(ShareInForce{
		Accounts:    map[core.AccountName]RateShare{"acct": {Rate: 1000, Burst: 1000}},
		Connections: map[core.DatabaseName]int{"db": connections},
		Until:       h.now.Add(time.Hour),
	})
}

func (h *harness) view(term core.Term, primary core.MemberID, applied ...core.LSN) {
	v := GroupView{Database: "db", Term: term, Primary: primary}
	history := core.TermHistory{{Term: 1}}
	if term > 1 {
		history = append(history, core.TermStart{Term: term, Start: 100})
	}
	for i, lsn := range applied {
		v.Members = append(v.Members, MemberView{Reachable: true, SeenAt: h.now, Status: core.MemberStatus{
			Member: h.cat.Databases[0].Members[i].ID, Term: term, LogTerm: term,
			Received: lsn, Applied: lsn, Terms: history,
		}})
	}
	h.do(v)
}

func (h *harness) open(id CallerID, carried core.Position) {
	h.do(CallerOpened{Caller: id, Account: "acct", Entry: "entry", Key: "k1", Carried: carried})
}

// ask sends a request with the given verdict.
func (h *harness) ask(id CallerID, text string, v Verdict) {
	if v.Hints.MaxAge == 0 {
		v.Hints.MaxAge = -1
	}
	before := len(h.classify)
	h.do(CallerRequest{Caller: id, Request: &Request{
		Texts: []string{text}, Payload: &Payload{Frames: []byte(text)}, Arrived: h.now,
	}})
	if len(h.classify) > before {
		h.do(ClassifyResult{Caller: id, Sequence: h.classify[before].Sequence, Verdict: v})
	}
}

// connect reports every connection as open that was asked for.
func (h *harness) connect() {
	for id := TargetID(1); id <= h.e.lastTarget; id++ {
		h.do(TargetOpened{Target: id})
	}
}

// sent returns the newest request that went to a target.
func (h *harness) sent() TargetSend {
	for i := len(h.targets) - 1; i >= 0; i-- {
		if s, ok := h.targets[i].(TargetSend); ok {
			return s
		}
	}
	require.Fail(h.t, "nothing was sent")
	return TargetSend{}
}

func (h *harness) countSent() int {
	count := 0
	for _, c := range h.targets {
		if _, ok := c.(TargetSend); ok {
			count++
		}
	}
	return count
}

// run asks and connects, and returns the request as it was sent.
func (h *harness) run(id CallerID, text string, v Verdict) TargetSend {
	before := h.countSent()
	h.ask(id, text, v)
	h.connect()
	require.Greater(h.t, h.countSent(), before, "not sent: "+text)
	return h.sent()
}

func (h *harness) ready(target TargetID, status byte, p core.Position) {
	h.do(TargetReady{Target: target, Frames: []byte("ready"), TxStatus: status, Position: p})
}

func (h *harness) last() CallerCommand {
	require.NotEmpty(h.t, h.callers)
	return h.callers[len(h.callers)-1]
}

// refusedWith checks the newest answer and returns its transaction status.
func (h *harness) refusedWith(reason core.Reason, outcome core.Outcome) byte {
	fail, ok := h.last().(CallerFail)
	require.True(h.t, ok, "%#v", h.last())
	require.Equal(h.t, reason, fail.Refusal.Reason, fail.Refusal.Message)
	require.Equal(h.t, outcome, fail.Refusal.Outcome)
	return fail.TxStatus
}

func (h *harness) closedWith(reason core.Reason, outcome core.Outcome) {
	c, ok := h.last().(CallerClose)
	require.True(h.t, ok, "%#v", h.last())
	require.Equal(h.t, reason, c.Refusal.Reason)
	require.Equal(h.t, outcome, c.Refusal.Outcome)
	require.True(h.t, c.Refusal.Fatal)
}

func (h *harness) memberOf(id TargetID) core.MemberID {
	return h.e.targets[id].member.id
}

var (
	at100  = core.Position{Term: 1, LSN: 100}
	read   = Verdict{Kind: KindRead}
	write  = Verdict{Kind: KindWrite}
	begin  = Verdict{Kind: KindBegin}
	commit = Verdict{Kind: KindEnd, Commit: true, Name: "commit"}
)

func (h *harness) Note(Decision) {}

func (h *harness) Peer(c PeerCommand) bool {
	h.peers = append(h.peers, c)
	return true
}

package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// harness drives an engine step by step and records its commands. It implements
// Outputs.
type harness struct {
	t         testing.TB
	e         *Engine
	now       time.Time
	catalogue *catalogue.Catalogue
	callers   []CallerCommand
	targets   []TargetCommand
	control   []ControlReport
	classify  []ClassifyRequest
	spans     []Span
	peers     []PeerCommand
	paces     []MemberPace
	// configurations are the reports of applied configurations.
	configurations []ConfigurationApplied
	// firstInTransaction makes the requests of remote callers the first of a
	// transaction.
	firstInTransaction bool
	// callerRingFull makes the callerio ring refuse commands.
	callerRingFull bool
}

func (h *harness) Caller(c CallerCommand) bool {
	if !h.callerRingFull {
		h.callers = append(h.callers, c)
	}
	return !h.callerRingFull
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

// newHarness returns a harness whose members m0 (primary), m1 and m2 are at
// position 1/100.
func newHarness(t testing.TB, change func(*Config)) *harness {
	h := &harness{t: t, now: startTime, catalogue: testCatalogue()}
	cfg := DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	e, err := New(cfg, h)
	require.NoError(t, err)
	h.e = e
	h.do(CatalogueUpdate{Catalogue: h.catalogue})
	h.publishShare(6)
	h.publishView(1, "m0", 100, 100, 100)
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

func (h *harness) publishShare(connections int) {
	h.do(ShareUpdate{
		Accounts:    map[core.AccountName]RateShare{"acct": {Rate: 1000, Burst: 1000}},
		Connections: map[core.DatabaseName]int{"db": connections},
		ValidUntil:  h.now.Add(time.Hour),
	})
}

// publishView publishes a view in which the members have applied the given
// positions.
func (h *harness) publishView(term core.Term, primary core.MemberID, applied ...core.LSN) {
	v := GroupView{Database: "db", Term: term, Primary: primary}
	history := core.TermHistory{{Term: 1}}
	if term > 1 {
		history = append(history, core.TermStart{Term: term, Start: 100})
	}
	for i, lsn := range applied {
		v.Members = append(v.Members, MemberView{Reachable: true, RespondedAt: h.now, Status: core.MemberStatus{
			Member: h.catalogue.Databases[0].Members[i].ID, Term: term, LogTerm: term,
			Received: lsn, Applied: lsn, Terms: history,
		}})
	}
	h.do(v)
}

// open connects a caller with the given initial position.
func (h *harness) open(id CallerID, initial core.Position) {
	h.do(CallerOpened{Caller: id, Account: "acct", Entry: "entry", Key: "k1", InitialPosition: initial})
}

// sendText sends a request and supplies its classification.
func (h *harness) sendText(id CallerID, text string, classification Classification) {
	if classification.Hints.MaxAge == 0 {
		classification.Hints.MaxAge = -1
	}
	before := len(h.classify)
	h.do(CallerRequest{Caller: id, Request: &Request{
		Texts: []string{text}, Payload: &Payload{Frames: []byte(text)}, Arrived: h.now,
	}})
	if len(h.classify) > before {
		h.do(ClassifyResult{Caller: id, Sequence: h.classify[before].Sequence, Classification: classification})
	}
}

// connect reports every connection that was opened so far as ready.
func (h *harness) connect() {
	for id := TargetID(1); id <= h.e.lastTarget; id++ {
		h.do(TargetOpened{Target: id})
	}
}

// lastSent returns the newest request sent to a target.
func (h *harness) lastSent() TargetSend {
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

// run sends a request, reports the connections as ready, and returns the
// request as it was sent to a target.
func (h *harness) run(id CallerID, text string, classification Classification) TargetSend {
	before := h.countSent()
	h.sendText(id, text, classification)
	h.connect()
	require.Greater(h.t, h.countSent(), before, "not sent: "+text)
	return h.lastSent()
}

func (h *harness) ready(target TargetID, status byte, p core.Position) {
	h.do(TargetReady{Target: target, Frames: []byte("ready"), TxStatus: status, Position: p})
}

func (h *harness) lastCallerCommand() CallerCommand {
	require.NotEmpty(h.t, h.callers)
	return h.callers[len(h.callers)-1]
}

// requireRefused checks the newest command to a caller and returns its
// transaction status.
func (h *harness) requireRefused(reason core.Reason, outcome core.Outcome) byte {
	fail, ok := h.lastCallerCommand().(CallerError)
	require.True(h.t, ok, "%#v", h.lastCallerCommand())
	require.Equal(h.t, reason, fail.Refusal.Reason, fail.Refusal.Message)
	require.Equal(h.t, outcome, fail.Refusal.Outcome)
	return fail.TxStatus
}

// requireClosed checks that the newest command closes the caller's connection.
func (h *harness) requireClosed(reason core.Reason, outcome core.Outcome) {
	c, ok := h.lastCallerCommand().(CallerClose)
	require.True(h.t, ok, "%#v", h.lastCallerCommand())
	require.Equal(h.t, reason, c.Refusal.Reason)
	require.Equal(h.t, outcome, c.Refusal.Outcome)
	require.True(h.t, c.Refusal.Fatal)
}

func (h *harness) memberOf(id TargetID) core.MemberID {
	return h.e.targets[id].member.id
}

var (
	at100  = core.Position{Term: 1, LSN: 100}
	read   = Classification{Kind: KindRead}
	write  = Classification{Kind: KindWrite}
	begin  = Classification{Kind: KindBegin}
	commit = Classification{Kind: KindEnd, Commit: true, Name: "commit"}
)

func (h *harness) LogDecision(Decision) {}

func (h *harness) LogConfiguration(c ConfigurationApplied) {
	h.configurations = append(h.configurations, c)
}

func (h *harness) LogMemberPace(p MemberPace) { h.paces = append(h.paces, p) }

func (h *harness) Peer(c PeerCommand) bool {
	h.peers = append(h.peers, c)
	return true
}

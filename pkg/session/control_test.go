package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// publishCatalogue publishes a newer catalogue.
func (h *harness) publishCatalogue(change func(*catalogue.Catalogue)) {
	cat := testCatalogue()
	cat.Version = h.e.catalogue.Version + 1
	change(cat)
	h.do(CatalogueUpdate{Catalogue: cat})
}

// Guards against a revoked key that still works for a connected caller, a new
// caller or a running statement, and against a running statement that is
// wrongly reported as not run.
func TestRevokedKey(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	h.open(2, at100)
	s := h.run(2, "write", write)
	h.do(CallerOpened{Caller: 3, Account: "acct", Entry: "entry", Key: "k2"})
	before := len(h.callers)
	h.publishCatalogue(func(c *catalogue.Catalogue) { c.Accounts[0].Keys[0].Revoked = true })
	reasons := map[CallerID]core.Reason{}
	for _, c := range h.callers[before:] {
		closed := c.(CallerClose)
		reasons[closed.Caller] = closed.Refusal.Reason
	}
	require.Equal(t, map[CallerID]core.Reason{1: core.ReasonKeyRevoked, 2: core.ReasonUncertain}, reasons)
	require.Contains(t, h.targets, TargetClose{Target: s.Target})
	h.open(4, at100)
	h.requireClosed(core.ReasonKeyRevoked, core.OutcomeNotRun)
	h.do(CallerOpened{Caller: 5, Account: "other", Entry: "entry", Key: "k2"})
	h.requireClosed(core.ReasonWrongKey, core.OutcomeNotRun)
	h.do(KeysValidUntil{Time: h.now.Add(-time.Second)})
	h.sendText(3, "read", read)
	h.requireRefused(core.ReasonKeyRevoked, core.OutcomeNotRun)
}

// Guards against callers that stay connected to an isolated instance, and
// against a release that loses a request or transaction.
func TestReleaseIdle(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	h.open(2, at100)
	h.open(3, at100)
	s := h.run(2, "begin", begin)
	h.ready(s.Target, 'T', core.Position{})
	running := h.run(3, "read", read)
	h.do(ReleaseIdle{})
	h.requireClosed(core.ReasonStopping, core.OutcomeNotRun)
	require.Len(t, h.e.callers, 2)
	h.ready(running.Target, 'I', core.Position{})
	s = h.run(2, "commit", commit)
	h.ready(s.Target, 'I', core.Position{})
	require.Len(t, h.e.callers, 2, "the other callers were not idle")
	h.do(ReleaseIdle{})
	require.Empty(t, h.e.callers)
	h.open(4, at100)
	require.Len(t, h.e.callers, 1, "the instance does not stop")
}

// Guards against new statements on a database that is being removed, and
// against an open transaction that holds it without a limit.
func TestLeavingDatabase(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	h.open(2, at100)
	s := h.run(1, "begin", begin)
	h.ready(s.Target, 'T', core.Position{})
	h.sendText(2, "read", read)
	h.publishCatalogue(func(c *catalogue.Catalogue) { c.Databases[0].State = catalogue.DatabaseLeaving })
	h.requireRefused(core.ReasonDatabaseLeaving, core.OutcomeNotRun)
	s = h.run(1, "write", write)
	h.ready(s.Target, 'T', core.Position{})
	h.wait(h.e.cfg.Bounds.Leaving + time.Millisecond)
	h.sendText(1, "write", write)
	require.Equal(t, byte('I'), h.requireRefused(core.ReasonTransactionAborted, core.OutcomeNotRun))
	require.Contains(t, h.targets, TargetClose{Target: s.Target})
	h.sendText(2, "write", write)
	h.requireRefused(core.ReasonDatabaseLeaving, core.OutcomeNotRun)
}

// Guards against settings of one session that affect another one on the same
// connection, and against settings that are lost or kept wrongly at the end of
// a transaction.
func TestSettingsAreReplayed(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Policy = PolicyPrimary })
	h.publishShare(1)
	set := func(name string) Classification { return Classification{Kind: KindSessionSet, Name: name} }
	h.open(1, at100)
	h.open(2, at100)
	s := h.run(1, "SET a = 1;", set("a"))
	h.ready(s.Target, 'I', core.Position{})
	require.Empty(t, h.run(1, "read", read).Prelude)
	h.ready(s.Target, 'I', core.Position{})
	require.Equal(t, "RESET ALL", h.run(2, "read", read).Prelude)
	h.ready(s.Target, 'I', core.Position{})
	require.Equal(t, "RESET ALL\n; SET a = 1", h.run(1, "begin", begin).Prelude)
	h.ready(s.Target, 'T', core.Position{})
	require.Empty(t, h.run(1, "SET b = 2", set("b")).Prelude)
	h.ready(s.Target, 'T', core.Position{})
	h.run(1, "rollback", Classification{Kind: KindEnd, Name: "rollback"})
	h.ready(s.Target, 'I', core.Position{})
	require.Equal(t, "RESET ALL", h.run(2, "read", read).Prelude)
	h.ready(s.Target, 'I', core.Position{})
	require.Equal(t, "RESET ALL\n; SET a = 1", h.run(1, "read", read).Prelude, "b was rolled back")
	h.ready(s.Target, 'I', core.Position{})
	h.sendText(1, "DISCARD ALL", set("discard all"))
	require.Equal(t, CallerReply{Caller: 1, Tag: "DISCARD ALL", TxStatus: 'I'}, h.lastCallerCommand())
	require.Equal(t, "RESET ALL", h.run(1, "read", read).Prelude)
	h.ready(s.Target, 'I', core.Position{})
	s = h.run(1, "CREATE TEMP TABLE", Classification{Kind: KindWrite, ChangesSessionState: true})
	h.ready(s.Target, 'I', core.Position{})
	require.Contains(t, h.targets, TargetClose{Target: s.Target})
}

// Guards against an unbounded result buffer for a slow caller, and against a
// connection that stays paused for the next caller.
func TestSlowCaller(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	s := h.run(1, "read", read)
	h.do(TargetData{Target: s.Target, Frames: []byte("row")})
	h.do(CallerBlocked{Caller: 1})
	require.Equal(t, TargetPause{Target: s.Target}, h.targets[len(h.targets)-1])
	h.wait(10 * time.Second)
	h.do(CallerWritable{Caller: 1})
	require.Equal(t, TargetResume{Target: s.Target}, h.targets[len(h.targets)-1])
	h.do(CallerBlocked{Caller: 1})
	h.ready(s.Target, 'I', core.Position{})
	require.Equal(t, TargetResume{Target: s.Target}, h.targets[len(h.targets)-1])
	h.do(CallerWritable{Caller: 1})
	s = h.run(1, "read", read)
	h.do(TargetData{Target: s.Target, Frames: []byte("row")})
	h.wait(h.e.cfg.Bounds.StreamStall)
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
}

// Guards against a cancel request that hits another caller's statement, and
// against the answer for a closed caller that reaches another one.
func TestCancelAndClosedCaller(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	h.do(CallerCancel{Caller: 1})
	s := h.run(1, "read", read)
	h.do(CallerCancel{Caller: 1})
	h.ready(s.Target, 'I', core.Position{})
	h.do(CallerCancel{Caller: 1})
	require.Equal(t, []TargetCommand{TargetCancel{Target: s.Target}, TargetClose{Target: s.Target}}, h.targets[2:])
	s = h.run(1, "write", write)
	h.do(CallerClosed{Caller: 1})
	require.Contains(t, h.targets, TargetClose{Target: s.Target})
	answers := len(h.callers)
	h.ready(s.Target, 'I', core.Position{Term: 1, LSN: 200})
	require.Len(t, h.callers, answers)
}

// Guards against a request that is sent after its deadline because it arrived
// late.
func TestLateRequestIsNotSent(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	s := h.run(1, "read", read)
	h.ready(s.Target, 'I', core.Position{})
	h.do(CallerRequest{Caller: 1, Request: &Request{Texts: []string{"read"}, Arrived: h.now.Add(-4 * time.Second)}})
	h.do(ClassifyResult{Caller: 1, Sequence: h.e.sequence, Classification: Classification{Hints: Hints{MaxAge: -1}}})
	h.requireRefused(core.ReasonDeadline, core.OutcomeNotRun)
	require.Equal(t, 1, h.countSent())
}

// Guards against a transaction that is rolled back because its account's rate
// is exceeded, and against new requests that take the token it waits for.
func TestTransactionWaitsForToken(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	h.open(2, at100)
	s := h.run(1, "begin", begin)
	h.ready(s.Target, 'T', core.Position{})
	bucket := &h.e.accounts["acct"].bucket
	bucket.Tokens, bucket.Rate = 0, 10
	h.sendText(1, "write", write)
	require.Equal(t, 1, h.countSent())
	h.now = h.now.Add(100 * time.Millisecond)
	h.sendText(2, "read", read)
	require.Equal(t, byte('I'), h.requireRefused(core.ReasonRateExceeded, core.OutcomeNotRun))
	h.wait(time.Millisecond)
	h.do(ClassifyResult{Caller: 1, Sequence: h.classify[len(h.classify)-1].Sequence, Classification: write})
	require.Equal(t, 2, h.countSent())
	h.ready(s.Target, 'T', core.Position{})
	bucket.Rate = 0
	h.sendText(1, "write", write)
	h.wait(3 * time.Second)
	require.Equal(t, byte('T'), h.requireRefused(core.ReasonRateExceeded, core.OutcomeNotRun))
}

// Guards against queueing a statement that cannot be served before its
// deadline.
func TestDeadlineIsKnownAtEntry(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Policy = PolicyPrimary })
	h.publishShare(1)
	for id := CallerID(1); id <= 20; id++ {
		h.open(id, at100)
	}
	s := h.run(1, "read", read)
	h.wait(time.Second)
	h.ready(s.Target, 'I', core.Position{})
	refused := 0
	for id := CallerID(1); id <= 20; id++ {
		h.sendText(id, "read", read)
		if fail, ok := h.lastCallerCommand().(CallerError); ok && fail.Caller == id {
			h.requireRefused(core.ReasonDeadline, core.OutcomeNotRun)
			refused++
		}
	}
	require.Equal(t, 17, refused, "one runs and two can be served within 3 s")
}

// Guards against parameters of the proxy that reach a target, and against a
// write status that is reported before a majority has the write.
func TestOwnParameters(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	h.sendText(1, "", Classification{Kind: KindProxyShow, Name: paramPosition})
	require.Equal(t, CallerReply{Caller: 1, Tag: "SHOW", Column: paramPosition, Value: "1/100", TxStatus: 'I'}, h.lastCallerCommand())
	h.sendText(1, "", Classification{Kind: KindProxySet, Name: paramMaxAge, Value: "0"})
	s := h.run(1, "read", read)
	require.Equal(t, core.MemberID("m0"), h.memberOf(s.Target), "no staleness is accepted")
	h.ready(s.Target, 'I', core.Position{})
	h.sendText(1, "", Classification{Kind: KindProxySet, Name: paramMaxAge, Value: "x"})
	h.requireRefused(core.ReasonInvalidParameter, core.OutcomeNotRun)
	s = h.run(1, "status", Classification{Kind: KindProxyShow, Name: paramWriteStatus, Value: "u"})
	require.Equal(t, core.MemberID("m0"), h.memberOf(s.Target))
	answers := len(h.callers)
	h.ready(s.Target, 'I', core.Position{})
	h.do(ConfirmedUpTo{Database: "db", Position: core.Position{Term: 1, LSN: 150}})
	require.Len(t, h.callers, answers)
	h.now = h.now.Add(time.Millisecond)
	h.publishView(1, "m0", 200, 150, 100)
	require.Len(t, h.callers, answers)
	h.do(ConfirmedUpTo{Database: "db", Position: core.Position{Term: 1, LSN: 200}})
	require.Len(t, h.callers, answers+1)
	s = h.run(1, "status", Classification{Kind: KindProxyShow, Name: paramWriteStatus, Value: "u"})
	h.ready(s.Target, 'I', core.Position{})
	h.publishView(2, "m1", 200, 200, 200)
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
	s = h.run(1, "begin", begin)
	h.ready(s.Target, 'T', core.Position{})
	s = h.run(1, "status", Classification{Kind: KindProxyShow, Name: paramWriteStatus, Value: "u"})
	answers = len(h.callers)
	h.do(TargetData{Target: s.Target, Frames: []byte("committed")})
	require.Len(t, h.callers, answers, "no status is reported before the confirmation")
}

// Guards against a member whose queue starves because other members hold every
// connection, and against a smaller share that is not applied.
func TestConnectionsMove(t *testing.T) {
	h := newHarness(t, nil)
	h.publishShare(1)
	h.open(1, at100)
	s := h.run(1, "read", read)
	h.ready(s.Target, 'I', core.Position{})
	h.sendText(1, "write", write)
	require.Equal(t, TargetClose{Target: s.Target}, h.targets[len(h.targets)-1])
	h.do(TargetClosed{Target: s.Target})
	h.connect()
	require.Equal(t, core.MemberID("m0"), h.memberOf(h.lastSent().Target))
	h.publishShare(0)
	require.NotContains(t, h.targets, TargetClose{Target: h.lastSent().Target})
	h.ready(h.lastSent().Target, 'I', core.Position{})
	require.Contains(t, h.targets, TargetClose{Target: h.lastSent().Target})
}

// Guards against more statements on a member than it has slots, when finished
// transactions have left it more connections.
func TestSlotsBoundTheStatementsInFlight(t *testing.T) {
	h := newHarness(t, nil)
	for id := CallerID(1); id <= 3; id++ {
		h.open(id, at100)
		h.ready(h.run(id, "begin", begin).Target, 'T', core.Position{})
	}
	for id := CallerID(1); id <= 3; id++ {
		h.ready(h.run(id, "commit", commit).Target, 'I', core.Position{})
	}
	before := h.countSent()
	for id := CallerID(1); id <= 3; id++ {
		h.sendText(id, "write", write)
	}
	require.Equal(t, before+2, h.countSent())
	h.ready(h.lastSent().Target, 'I', core.Position{})
	require.Equal(t, before+3, h.countSent())
}

// Guards against commands that are lost or reordered when a ring is full.
func TestFullRingKeepsCommands(t *testing.T) {
	h := newHarness(t, nil)
	h.callerRingFull = true
	h.open(1, at100)
	h.sendText(1, "", Classification{Kind: KindProxyShow, Name: paramPosition})
	require.Empty(t, h.callers)
	_, ok := h.e.NextDeadline()
	require.True(t, ok)
	h.callerRingFull = false
	require.True(t, h.e.Flush())
	require.Len(t, h.callers, 2)
	require.Equal(t, CallerAdmitted{Caller: 1}, h.callers[0])
}

// Measures one read from request to answer; the commands are discarded.
func BenchmarkRead(b *testing.B) {
	h := newHarness(b, nil)
	h.open(1, at100)
	s := h.run(1, "read", read)
	h.ready(s.Target, 'I', core.Position{})
	request := &Request{Texts: []string{"read"}, Payload: &Payload{}, Arrived: h.now}
	h.e.outbox.out = &discardOutputs{}
	h.e.accounts["acct"].bucket.Tokens = 1e12
	classification := Classification{Kind: KindRead, Hints: Hints{MaxAge: -1}}
	frames := []byte("row")
	b.ReportAllocs()
	for b.Loop() {
		h.do(CallerRequest{Caller: 1, Request: request})
		h.do(ClassifyResult{Caller: 1, Sequence: h.e.sequence, Classification: classification})
		h.do(TargetReady{Target: s.Target, Frames: frames, TxStatus: 'I'})
	}
}

// discardOutputs accepts and discards every command.
type discardOutputs struct{}

func (*discardOutputs) Caller(CallerCommand) bool     { return true }
func (*discardOutputs) Target(TargetCommand) bool     { return true }
func (*discardOutputs) Classify(ClassifyRequest) bool { return true }
func (*discardOutputs) Control(ControlReport) bool    { return true }
func (*discardOutputs) Span(Span)                     {}

func (*discardOutputs) LogDecision(Decision) {}

func (*discardOutputs) LogMemberPace(MemberPace) {}

func (*discardOutputs) LogConfiguration(ConfigurationApplied) {}

// Peer implements Outputs.
func (*discardOutputs) Peer(PeerCommand) bool { return true }

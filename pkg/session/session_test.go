package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Guards against a read at a primary that was replaced without the instance's
// knowledge: the session has seen a newer term.
func TestReadIsRefusedAtAnOlderTerm(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, core.Position{Term: 2, LSN: 100})
	h.sendText(1, "read", read)
	require.Contains(t, h.control, AppliedRequest{Database: "db", Position: core.Position{Term: 2, LSN: 100}})
	h.wait(h.e.cfg.Bounds.ReplicaWait)
	h.requireRefused(core.ReasonNoMember, core.OutcomeNotRun)
	require.Zero(t, h.countSent())
}

// Guards against a read that runs on a replica without the floor, and against
// one that never falls back to the primary.
func TestReadWaitsForReplicaThenPrimary(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, core.Position{Term: 1, LSN: 150})
	h.sendText(1, "read", read)
	h.publishView(1, "m0", 150, 100, 150)
	h.connect()
	require.Equal(t, core.MemberID("m2"), h.memberOf(h.lastSent().Target))
	h.open(2, core.Position{Term: 1, LSN: 200})
	h.sendText(2, "read", read)
	h.wait(h.e.cfg.Bounds.ReplicaWait)
	h.connect()
	require.Equal(t, core.MemberID("m0"), h.memberOf(h.lastSent().Target))
	h.ready(h.lastSent().Target, 'I', core.Position{})
	require.Equal(t, uint64(1), h.e.Metrics().PrimaryReads)
	require.Contains(t, h.e.Explain(2), "member m0")
}

// Guards against a read on a replica that became too old while the read was
// queued.
func TestQueuedReadIsCheckedAgain(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Bounds.ReplicaWait = time.Second })
	h.open(1, at100)
	h.sendText(1, "read", Classification{Kind: KindRead, Hints: Hints{MaxAge: 2 * time.Second}})
	h.wait(1500 * time.Millisecond)
	h.connect()
	require.Zero(t, h.countSent())
	h.publishView(1, "m0", 100, 100, 100)
	h.connect()
	require.Equal(t, 1, h.countSent())
}

// Guards against a session whose floor comes from a round that began before the
// session.
func TestFloorRoundBeginsAfterTheSession(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, core.Position{})
	h.sendText(1, "read", read)
	h.open(2, core.Position{})
	h.sendText(2, "read", read)
	h.do(FloorResult{Database: "db", Round: 1, Position: at100})
	h.connect()
	require.Equal(t, 1, h.countSent())
	require.Contains(t, h.control, FloorRequest{Database: "db", Round: 2})
	h.ready(h.lastSent().Target, 'I', core.Position{})
	h.do(FloorResult{Database: "db", Round: 2, Position: at100})
	h.connect()
	require.Equal(t, 2, h.countSent())
}

// Guards against an acknowledgement in a term that does not contain the commit,
// and against waiting for a confirmation that cannot come any more.
func TestCommitOfAnOlderTermIsUncertain(t *testing.T) {
	for _, newer := range []func(*harness){
		func(h *harness) { h.do(ConfirmedUpTo{Database: "db", Position: core.Position{Term: 2, LSN: 900}}) },
		func(h *harness) { h.publishView(2, "m1", 100, 100, 100) },
	} {
		h := newHarness(t, nil)
		h.open(1, at100)
		s := h.run(1, "write", write)
		h.ready(s.Target, 'I', core.Position{Term: 1, LSN: 110})
		newer(h)
		h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
		require.Equal(t, uint64(1), h.e.Metrics().WritesUncertain)
	}
}

// Guards against a write that is answered before a majority has received it, or
// never, and against a floor that does not include it.
func TestWriteIsHeldUntilConfirmed(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	s := h.run(1, "write", write)
	answers := len(h.callers)
	h.do(TargetData{Target: s.Target, Frames: []byte("row ")})
	h.ready(s.Target, 'I', core.Position{Term: 1, LSN: 110})
	h.do(ConfirmedUpTo{Database: "db", Position: core.Position{Term: 1, LSN: 109}})
	require.Len(t, h.callers, answers)
	h.do(ConfirmedUpTo{Database: "db", Position: core.Position{Term: 1, LSN: 110}})
	want := CallerWrite{Caller: 1, Frames: []byte("row ready"), Done: true, Position: core.Position{Term: 1, LSN: 110}, TxStatus: txIdle}
	require.Equal(t, want, h.lastCallerCommand())
	h.sendText(1, "read", read)
	require.Equal(t, 1, h.countSent(), "no replica has the write yet")
	h.wait(h.e.cfg.Bounds.ReplicaWait)
	require.Equal(t, core.MemberID("m0"), h.memberOf(h.lastSent().Target))
	h.ready(h.lastSent().Target, 'I', core.Position{})
	s = h.run(1, "write", write)
	h.ready(s.Target, 'I', core.Position{Term: 1, LSN: 120})
	h.wait(h.e.cfg.Bounds.Confirm)
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
}

// Guards against a COMMIT that is wrongly reported as not run, and against a
// transaction that is reported as uncertain although it certainly rolled back.
func TestLostTransaction(t *testing.T) {
	lose := func(texts []string, classifications []Classification, unsent bool) *harness {
		h := newHarness(t, nil)
		h.open(1, at100)
		var s TargetSend
		for i := range texts {
			s = h.run(1, texts[i], classifications[i])
			if i < len(texts)-1 {
				h.ready(s.Target, 'T', core.Position{})
			}
		}
		h.do(TargetClosed{Target: s.Target, Unsent: unsent})
		return h
	}
	h := lose([]string{"begin", "commit"}, []Classification{begin, commit}, false)
	require.Equal(t, byte('I'), h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain))
	h = lose([]string{"begin", "commit"}, []Classification{begin, commit}, true)
	require.Equal(t, byte('I'), h.requireRefused(core.ReasonTransactionAborted, core.OutcomeNotRun))
	h = lose([]string{"begin", "write"}, []Classification{begin, write}, false)
	require.Equal(t, byte('I'), h.requireRefused(core.ReasonTransactionAborted, core.OutcomeNotRun))

	h = newHarness(t, nil)
	h.open(1, at100)
	s := h.run(1, "begin", begin)
	h.ready(s.Target, 'T', core.Position{})
	h.do(TargetClosed{Target: s.Target})
	h.sendText(1, "commit", commit)
	require.Equal(t, byte('I'), h.requireRefused(core.ReasonTransactionAborted, core.OutcomeNotRun))
	h.sendText(1, "rollback", Classification{Kind: KindEnd, Name: "rollback"})
	require.Equal(t, CallerReply{Caller: 1, Tag: "ROLLBACK", TxStatus: 'I'}, h.lastCallerCommand())
}

// Guards against callers that wait until their deadline for an isolated
// primary, although another one has replaced it.
func TestReplacedPrimaryIsNotWaitedFor(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.RetryFraction = 1 })
	h.open(1, at100)
	h.open(2, at100)
	s := h.run(1, "begin", begin)
	h.ready(s.Target, 'T', core.Position{})
	h.run(1, "write", write)
	h.sendText(2, "write", write)
	h.wait(h.e.cfg.OpenTime)
	h.connect()
	require.Equal(t, 3, h.countSent())
	h.publishView(1, "", 100, 100, 100)
	h.publishView(2, "m1", 100, 100, 100)
	reasons := map[CallerID]core.Reason{}
	for _, c := range h.callers {
		if fail, ok := c.(CallerError); ok {
			reasons[fail.Caller] = fail.Refusal.Reason
		}
	}
	want := map[CallerID]core.Reason{1: core.ReasonTransactionAborted, 2: core.ReasonUncertain}
	require.Equal(t, want, reasons)
	s = h.run(1, "status", Classification{Kind: KindProxyShow, Name: paramWriteStatus})
	h.publishView(3, "m2", 100, 100, 100)
	h.connect()
	require.Equal(t, 5, h.countSent(), "a status query is retried at the new primary")
	require.Equal(t, core.MemberID("m2"), h.memberOf(h.lastSent().Target))
	require.Contains(t, h.targets, TargetClose{Target: s.Target})
}

// Guards against a read that fails instead of being retried, and against one
// that is retried after rows were forwarded.
func TestRepetition(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.RetryFraction = 1 })
	h.open(1, at100)
	s := h.run(1, "read", read)
	h.do(TargetClosed{Target: s.Target})
	h.connect()
	require.Equal(t, 2, h.countSent())
	h.do(TargetData{Target: h.lastSent().Target, Frames: []byte("row")})
	h.do(TargetClosed{Target: h.lastSent().Target})
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
	s = h.run(1, "write", Classification{Kind: KindWrite, Hints: Hints{Idempotent: true}})
	h.do(TargetClosed{Target: s.Target})
	h.connect()
	require.Equal(t, 4, h.countSent(), "an idempotent write is retried")
	h.do(TargetClosed{Target: h.lastSent().Target, Unsent: true})
	h.publishView(1, "", 100, 100, 100)
	h.wait(4 * time.Second)
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
}

// Guards against a write that is refused at once, or waits without a limit,
// while its group has no primary.
func TestWriteWaitsForPrimary(t *testing.T) {
	h := newHarness(t, nil)
	h.publishView(1, "", 100, 100, 100)
	h.open(1, at100)
	h.sendText(1, "write", write)
	h.open(2, at100)
	h.sendText(2, "write", write)
	h.publishView(2, "m1", 100, 100, 100)
	h.connect()
	require.Equal(t, core.MemberID("m1"), h.memberOf(h.lastSent().Target))
	h.publishView(2, "", 100, 100, 100)
	h.open(3, at100)
	h.sendText(3, "write", write)
	h.wait(3 * time.Second)
	require.Contains(t, h.e.Metrics().Refusals, core.ReasonNoPrimary)
}

// Guards against a member of unknown age that counts as fresh because its age
// overflows.
func TestUnknownAgeIsNotFresh(t *testing.T) {
	h := newHarness(t, nil)
	m := h.e.databases["db"].member("m1")
	m.view.AgeBound = 100 * 365 * 24 * time.Hour
	m.view.RespondedAt = time.Time{}
	require.Equal(t, unboundedAge, m.age())
	m.view.RespondedAt = h.now.Add(-250 * 365 * 24 * time.Hour)
	require.Equal(t, unboundedAge, m.age())
}

// Guards against a baseline that differs in more than the missing confirmation.
func TestAcknowledgeAtCommit(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.AckAtCommit = true })
	h.open(1, at100)
	s := h.run(1, "write", write)
	p := core.Position{Term: 1, LSN: 110}
	h.ready(s.Target, 'I', p)
	require.Equal(t, CallerWrite{Caller: 1, Frames: []byte("ready"), Done: true, Position: p, TxStatus: txIdle}, h.lastCallerCommand())
	require.Equal(t, p, h.e.callers[1].floor)
}

// Guards against more admissions than rate x time + burst in any window, when
// shares change, end and are renewed at arbitrary times.
func TestRateBoundOverAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, DefaultConfig())
		sim.admissions = nil
		sim.advance(10 * time.Second)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			share := sim.rate
			share.Rate *= rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "rate")
			share.Burst *= rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "burst")
			validFor := time.Duration(rapid.IntRange(-10, 200).Draw(t, "until")) * time.Millisecond
			sim.handle(ShareUpdate{ValidUntil: sim.now.Add(validFor), Accounts: map[core.AccountName]RateShare{"acct": share}})
			sim.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			sim.requestFromNewCallers(30)
		}
		sim.checkRate()
	})
}

// Guards against a share that is used, or earns tokens, after its end.
func TestShareAfterItsEnd(t *testing.T) {
	h := newHarness(t, nil)
	h.open(1, at100)
	h.wait(time.Hour - time.Second)
	h.publishView(1, "m0", 100, 100, 100)
	s := h.run(1, "read", read)
	h.ready(s.Target, 'I', core.Position{})
	bucket := &h.e.accounts["acct"].bucket
	bucket.Tokens = 0
	h.wait(time.Minute)
	h.sendText(1, "read", read)
	h.requireRefused(core.ReasonRateExceeded, core.OutcomeNotRun)
	require.Equal(t, uint64(1), h.e.Metrics().RefusalsWithoutShare)
	bucket.Tokens = 10
	h.sendText(1, "read", read)
	h.requireRefused(core.ReasonRateExceeded, core.OutcomeNotRun)
	bucket.Tokens = 0
	h.publishShare(6)
	require.Zero(t, bucket.Tokens, "nothing is earned for the time without a share")
	h.wait(10 * time.Millisecond)
	h.publishView(1, "m0", 100, 100, 100)
	h.run(1, "read", read)
}

// requestFromNewCallers sends n requests, each from a new caller.
func (sim *simulation) requestFromNewCallers(n int) {
	for range n {
		sim.nextCaller++
		m := &modelCaller{id: sim.nextCaller, open: true, status: txIdle, text: "read", waiting: true}
		sim.callers[m.id] = m
		sim.handle(CallerOpened{Caller: m.id, Account: "acct", Entry: "entry", Key: "k1"})
		sim.handle(CallerRequest{Caller: m.id, Request: &Request{
			Texts: []string{"read"}, Payload: &Payload{}, Arrived: sim.now,
		}})
	}
}

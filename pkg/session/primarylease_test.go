package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// lease publishes a lease on primaries of the given length.
func (h *harness) lease(d time.Duration) { h.do(PrimaryLease{Until: h.now.Add(d)}) }

// Guards against a write that an isolated primary commits after its replacement and
// that is acknowledged: once the lease has ended, the running write is answered as
// uncertain, later ones are refused at once, and no answer of the primary counts.
func TestNoWriteAfterTheLease(t *testing.T) {
	h := newAsyncHarness(t)
	h.lease(time.Second)
	h.open(1, core.Position{})
	h.open(2, core.Position{})
	h.sendClassified(1, "write", write)
	s := h.lastSent()
	h.wait(time.Second)
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
	answers := len(h.callers)
	h.primaryAnswers(s.Target, TxIdle, position(1, 101))
	require.Len(t, h.callers, answers, "the answer came after the lease")
	sent := h.countSent()
	h.sendClassified(2, "write", write)
	require.Equal(t, sent, h.countSent())
	h.requireRefused(core.ReasonNoPrimary, core.OutcomeNotRun)
}

// Guards against a process that was paused beyond its lease and then handles an input,
// before any timer, as if the lease still lasted.
func TestPausedProcessNoticesTheEndOfTheLease(t *testing.T) {
	h := newAsyncHarness(t)
	h.lease(time.Second)
	h.open(1, core.Position{})
	h.now = h.now.Add(time.Minute)
	h.sendClassified(1, "write", write)
	require.Zero(t, h.countSent())
}

// Guards against an instance that stays without a primary after its lease was renewed.
func TestRenewedLeaseRestoresThePrimary(t *testing.T) {
	h := newAsyncHarness(t)
	h.lease(time.Second)
	h.open(1, core.Position{})
	h.wait(2 * time.Second)
	h.lease(time.Second)
	h.sendClassified(1, "write", write)
	require.Equal(t, core.MemberID("m0"), h.memberOf(h.lastSent().Target))
}

// Guards against a confirmation while statements still run on the revoked primary, and
// against its use while another one is promoted.
func TestRevokedPrimaryIsNotUsed(t *testing.T) {
	h := newAsyncHarness(t)
	h.lease(time.Hour)
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 100))
	h.sendClassified(1, "write", write)
	s := h.lastSent()
	h.do(PrimaryRevoked{ReplyTo: "request", Database: "db", Member: "m0"})
	h.requireRefused(core.ReasonUncertain, core.OutcomeUncertain)
	require.Contains(t, h.peers, RevocationConfirmed{ReplyTo: "request"})
	answers := len(h.callers)
	h.primaryAnswers(s.Target, TxIdle, position(1, 101))
	require.Len(t, h.callers, answers)
	sent := h.countSent()
	h.announce(2, "m0")
	h.sendClassified(1, "write", write)
	require.Equal(t, sent, h.countSent(), "its renewed announcement is no proof")
	h.e.databases["db"].member("m0").observeLogEnd(h.now, &TargetReady{LogEnd: position(2, 300), VerifiedPrimary: true})
	h.connect()
	require.Equal(t, sent, h.countSent(), "a term that was not seen before may be the one that ends")
	h.announce(3, "m1")
	h.connect()
	require.Equal(t, core.MemberID("m1"), h.memberOf(h.lastSent().Target), "the write waited for the new primary")
}

// Guards against a primary that stays in use because the instance that replaces it has just
// started and does not know it.
func TestUnnamedRevocationEndsThePresentPrimary(t *testing.T) {
	h := newAsyncHarness(t)
	h.do(PrimaryRevoked{Database: "db"})
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	require.Zero(t, h.countSent())
}

// Guards against a member that cannot be used after it was promoted again.
func TestPromotionEndsARevocation(t *testing.T) {
	h := newAsyncHarness(t)
	h.do(PrimaryRevoked{Database: "db", Member: "m0"})
	h.do(PrimaryPromoted{Database: "db", Member: "m0"})
	h.announce(2, "m0")
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	require.Equal(t, core.MemberID("m0"), h.memberOf(h.lastSent().Target))
}

// Guards against a group that stays without a primary after a change that was given up.
func TestRevocationEnds(t *testing.T) {
	h := newAsyncHarness(t)
	h.do(PrimaryRevoked{Database: "db", Member: "m0"})
	h.open(1, core.Position{})
	h.wait(revocationPeriod)
	h.sendClassified(1, "write", write)
	require.Equal(t, core.MemberID("m0"), h.memberOf(h.lastSent().Target))
}

package fleet

import (
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

const testLease = time.Second

// loseMember removes the record of the primary p and claims the change.
func (h *harness) loseMember() {
	h.advance(4 * time.Second)
	h.handle(StoreChanges{Changes: []Change{{RemovedMember: "p"}}, Since: h.now, AsOf: h.now})
	h.advance(400 * time.Millisecond)
	require.Equal(h.t, JobClaim, h.lastJob().Kind)
	h.handle(JobDone{Job: h.lastJob(), Claim: Claim{Group: "g", Holder: "self-1", Token: 5}})
}

// Guards against a promotion while the old primary, which is alive but has lost its
// record, still commits writes: it has to step down first.
func TestOldPrimaryStepsDownBeforeThePromotion(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.loseMember()
	down := h.lastJob()
	require.Equal(t, JobStepDown, down.Kind)
	require.Equal(t, []Target{{Group: "g", Member: "p", Address: "p:1"}}, down.Targets)
	h.handle(JobDone{Job: down, States: []MemberState{{Member: "p", Role: core.RoleReplica, Term: 1}}})
	require.Equal(t, JobSurvey, h.lastJob().Kind)
	require.Empty(t, h.revoked)
}

// Guards against waiting for a process that has ended.
func TestEndedPrimaryIsNotRevoked(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.loseMember()
	h.handle(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrConnectionRefused, "test")})
	require.Equal(t, JobSurvey, h.lastJob().Kind)
}

// Guards against a promotion while another instance still uses the old primary, and
// against waiting longer than needed once all have confirmed that they do not.
func TestUnresponsivePrimaryIsRevokedEverywhere(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.loseMember()
	h.handle(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrNoResponse, "test")})
	require.ElementsMatch(t, []string{"a p", "b p"}, h.revoked)
	require.Contains(t, h.sessionInputs, session.PrimaryRevoked{Database: "g", Member: "p"})
	h.handle(RevocationConfirmed{Node: "a", Member: "p"})
	require.Equal(t, JobStepDown, h.lastJob().Kind, "b may still use the old primary")
	h.handle(RevocationConfirmed{Node: "b", Member: "p"})
	require.Equal(t, JobSurvey, h.lastJob().Kind)
}

// Guards against a promotion before the lease of an instance has ended that cannot be
// reached, and against waiting for it forever.
func TestPromotionWaitsForTheLeaseOfAnUnreachableInstance(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.loseMember()
	h.handle(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrNoResponse, "test")})
	h.handle(RevocationConfirmed{Node: "a", Member: "p"})
	h.advance(testLease)
	require.Equal(t, JobStepDown, h.lastJob().Kind, "the lease of b may have begun just before the revocation")
	h.advance(leaseEndMargin)
	require.Equal(t, JobSurvey, h.lastJob().Kind)
}

// Guards against waiting for the response of a primary that is known to be unresponsive,
// before the other instances are asked.
func TestDeadPrimaryIsRevokedAtOnce(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.advance(4 * time.Second)
	h.e.declareDead(h.e.members["p"], "test")
	h.advance(400 * time.Millisecond)
	h.handle(JobDone{Job: h.lastJob(), Claim: Claim{Group: "g", Holder: "self-1", Token: 5}})
	down := h.lastJob()
	require.Equal(t, JobStepDown, down.Kind)
	require.Len(t, h.revoked, 2)
	h.handle(JobDone{Job: down, Err: eris.Wrap(ErrNoResponse, "test")})
	require.Equal(t, JobStepDown, h.lastJob().Kind)
	h.handle(JobDone{Job: down, States: []MemberState{{Member: "p", Role: core.RoleReplica, Term: 1}}})
	require.Equal(t, JobSurvey, h.lastJob().Kind, "a late step down is as good")
}

// Guards against a replaced primary that renews its record and counts as newer than its
// successor.
func TestReplacedPrimaryIsNotNewerThanItsSuccessor(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.announceMember(h.announce("r1", core.RolePrimary))
	h.announceMember(h.announce("p", core.RolePrimary))
	announced := map[core.MemberID]uint64{}
	for _, m := range h.view().Members {
		announced[m.Status.Member] = m.Announced
	}
	require.Greater(t, announced["r1"], announced["p"])
}

// lease returns the end of the lease that was published last.
func (h *harness) lease() time.Time {
	for i := len(h.sessionInputs) - 1; i >= 0; i-- {
		if l, ok := h.sessionInputs[i].(session.PrimaryLease); ok {
			return l.Until
		}
	}
	return time.Time{}
}

// Guards against an isolated instance that goes on using its primary while the others
// replace it, and against one that uses it again before it knows what was replaced.
func TestPrimaryLeaseNeedsContact(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	require.Equal(t, h.now.Add(testLease), h.lease())
	sentAt := h.now
	h.advance(50 * time.Millisecond)
	h.handle(ProbeResponse{SentAt: sentAt.Add(20 * time.Millisecond)})
	require.Equal(t, sentAt.Add(20*time.Millisecond+testLease), h.lease(), "the lease counts from the sending of the probe")
	h.advance(2 * testLease)
	require.NotEmpty(t, h.probed)
	require.NotZero(t, h.storeChecks, "without a response the store is read")
	ended := h.lease()
	h.handle(ProbeResponse{SentAt: h.now})
	require.Equal(t, ended, h.lease(), "another instance does not know all primaries that were replaced")
	h.handle(StoreChanges{AsOf: h.now})
	require.Equal(t, h.now.Add(testLease), h.lease())
}

// Guards against leases where the platform stops a replaced primary.
func TestNoLeaseWhereThePlatformFences(t *testing.T) {
	h := newHarness(t)
	h.advance(time.Minute)
	require.Zero(t, h.lease())
	require.Empty(t, h.probed)
}

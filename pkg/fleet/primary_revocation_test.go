package fleet

import (
	"slices"
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

// demotionFails lets the old primary not respond and the store record its revocation.
func (h *harness) demotionFails() {
	h.handle(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrNoResponse, "test")})
	require.Equal(h.t, JobRevoke, h.lastJob().Kind)
	require.Empty(h.t, h.revoked, "the revocation is recorded first")
	h.handle(JobDone{Job: h.lastJob()})
}

// Guards against a promotion whose revocation is not recorded: an instance that returns
// would use the old primary.
func TestNoPromotionWithoutARecordedRevocation(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.loseMember()
	h.handle(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrNoResponse, "test")})
	h.handle(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrUnknownOutcome, "test")})
	h.advance(600 * time.Millisecond)
	require.Equal(t, JobClaim, h.lastJob().Kind)
}

// Guards against an instance that reads the store after it was cut off, and uses a primary
// that is being replaced.
func TestRecordedRevocationIsApplied(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.advance(2 * testLease)
	h.sessionInputs = nil
	h.handle(StoreSnapshot{AsOf: h.now, Snapshot: &Snapshot{
		Configuration: configuration(1), Successions: []Succession{{Group: "g", Revoked: "p"}},
	}})
	revoked := slices.Index(h.sessionInputs, session.Input(session.PrimaryRevoked{Database: "g", Member: "p"}))
	lease := slices.Index(h.sessionInputs, session.Input(session.PrimaryLease{Until: h.now.Add(testLease)}))
	require.NotEqual(t, -1, revoked)
	require.Greater(t, lease, revoked, "the lease is renewed last")
}

// Guards against a promotion by an instance that has just started while others use a primary
// that it does not know.
func TestUnknownPrimaryIsRevokedEverywhere(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.e.lastPrimaries = map[core.DatabaseName]Target{}
	h.e.dropMember(h.e.members["p"])
	h.advance(4 * time.Second)
	h.handle(StoreChanges{AsOf: h.now})
	h.advance(600 * time.Millisecond)
	h.handle(JobDone{Job: h.lastJob(), Claim: Claim{Group: "g", Holder: "self-1", Token: 5}})
	require.Equal(t, JobRevoke, h.lastJob().Kind)
	h.handle(JobDone{Job: h.lastJob()})
	require.ElementsMatch(t, []string{"a ", "b "}, h.revoked)
	h.handle(RevocationConfirmed{Node: "a"})
	h.handle(RevocationConfirmed{Node: "b"})
	require.Equal(t, JobSurvey, h.lastJob().Kind)
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

// Guards against a promotion while the old primary is only cut off: a partition may refuse
// connections, so that alone does not prove that the process has ended.
func TestRefusedConnectionIsNoProof(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.loseMember()
	h.handle(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrConnectionRefused, "test")})
	require.Equal(t, JobRevoke, h.lastJob().Kind)
}

// Guards against a promotion while another instance still uses the old primary, and
// against waiting longer than needed once all have confirmed that they do not.
func TestUnresponsivePrimaryIsRevokedEverywhere(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.loseMember()
	h.demotionFails()
	require.ElementsMatch(t, []string{"a p", "b p"}, h.revoked)
	require.Contains(t, h.sessionInputs, session.PrimaryRevoked{Database: "g", Member: "p"})
	h.handle(RevocationConfirmed{Node: "a", Member: "p"})
	require.Equal(t, JobRevoke, h.lastJob().Kind, "b may still use the old primary")
	h.handle(RevocationConfirmed{Node: "b", Member: "p"})
	require.Equal(t, JobSurvey, h.lastJob().Kind)
}

// Guards against a promotion before the lease of an instance has ended that cannot be
// reached, and against waiting for it forever.
func TestPromotionWaitsForTheLeaseOfAnUnreachableInstance(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.loseMember()
	h.demotionFails()
	h.handle(RevocationConfirmed{Node: "a", Member: "p"})
	h.advance(testLease)
	require.Equal(t, JobRevoke, h.lastJob().Kind, "the lease of b may have begun just before the revocation")
	h.advance(leaseEndMargin)
	require.Equal(t, JobSurvey, h.lastJob().Kind)
}

// Guards against waiting for the response of a primary that is known to be unresponsive,
// before the other instances are asked.
func TestDeadPrimaryIsRevokedAtOnce(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.advance(4 * time.Second)
	h.handle(StoreChanges{AsOf: h.now})
	h.e.declareDead(h.e.members["p"], "test", deathEvidence{})
	h.advance(400 * time.Millisecond)
	h.handle(JobDone{Job: h.lastJob(), Claim: Claim{Group: "g", Holder: "self-1", Token: 5}})
	record, down := h.jobs[len(h.jobs)-2], h.lastJob()
	require.Equal(t, JobRevoke, record.Kind)
	require.Equal(t, JobStepDown, down.Kind)
	h.handle(JobDone{Job: record})
	require.Len(t, h.revoked, 2)
	h.handle(JobDone{Job: down, Err: eris.Wrap(ErrNoResponse, "test")})
	require.Equal(t, JobStepDown, h.lastJob().Kind)
	h.handle(JobDone{Job: down, States: []MemberState{{Member: "p", Role: core.RoleReplica, Term: 1}}})
	require.Equal(t, JobSurvey, h.lastJob().Kind, "a late step down is as good")
}

// Guards against a replaced primary that renews its record, and against one that counts as
// the primary while the record of its successor has ended.
func TestSuccessionExcludesTheReplacedPrimary(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.handle(StoreChanges{Changes: []Change{{Succession: &Succession{Group: "g", Revoked: "p", Promoted: "r1", Revision: 200}}}, AsOf: h.now})
	require.Contains(t, h.sessionInputs, session.PrimaryRevoked{Database: "g", Member: "p"})
	h.announceMember(h.announce("p", core.RolePrimary))
	require.Empty(t, h.primaries(), "the successor has not announced itself")
	h.announceMember(h.announce("r1", core.RolePrimary))
	require.Equal(t, []core.MemberID{"r1"}, h.primaries())
	h.handle(StoreChanges{Changes: []Change{{Succession: &Succession{Group: "g", Promoted: "r2", Revision: 150}}}, AsOf: h.now})
	require.Equal(t, []core.MemberID{"r1"}, h.primaries(), "an older record is ignored")
}

// Guards against a change that makes the wrong member step down: an instance that learns of
// a succession and of the new primary from the same read has to replace the new primary.
func TestSnapshotNamesTheNewPrimary(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.handle(StoreChanges{Changes: []Change{{Succession: &Succession{Group: "g", Promoted: "p", Revision: 150}}}, AsOf: h.now})
	h.handle(StoreSnapshot{AsOf: h.now, Snapshot: &Snapshot{
		Configuration: configuration(1),
		Members:       []Announcement{h.announce("p", core.RoleReplica), h.announce("r1", core.RolePrimary), h.announce("r2", core.RoleReplica)},
		Successions:   []Succession{{Group: "g", Revoked: "p", Promoted: "r1", Revision: 200}},
	}})
	require.Equal(t, []core.MemberID{"r1"}, h.primaries())
	require.Equal(t, core.MemberID("r1"), h.e.lastPrimaries["g"].Member)
}

// Guards against a change that an instance continues with what it knew before it was cut
// off: its claim succeeds before it has read the store, and it makes the primary of that
// time step down while others use the successor.
func TestNoClaimBeforeTheStoreIsReadAgain(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.advance(4 * time.Second)
	h.handle(StoreChanges{Changes: []Change{{RemovedMember: "p"}}, Since: h.now, AsOf: h.now})
	h.advance(400 * time.Millisecond)
	claim := h.lastJob()
	require.Equal(t, JobClaim, claim.Kind)
	h.handle(JobDone{Job: claim, Err: eris.Wrap(ErrUnavailable, "test")})
	h.handle(StoreUnavailable{Reason: "test"})
	jobs := len(h.jobs)
	h.advance(5 * time.Second)
	require.Len(t, h.jobs, jobs)
	h.handle(StoreSnapshot{AsOf: h.now, Snapshot: &Snapshot{
		Configuration: configuration(1), Members: []Announcement{h.announce("r1", core.RoleReplica), h.announce("r2", core.RoleReplica)},
	}})
	h.advance(600 * time.Millisecond)
	require.Equal(t, JobClaim, h.lastJob().Kind)
}

// Guards against a change that makes an earlier primary step down: the member that the
// last succession promoted may be in use although it was not seen to announce itself.
func TestChangeReplacesThePromotedMember(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.handle(StoreChanges{AsOf: h.now, Changes: []Change{{Succession: &Succession{Group: "g", Revoked: "p", Promoted: "r1", Revision: 200}}}})
	h.advance(400 * time.Millisecond)
	h.handle(JobDone{Job: h.lastJob(), Claim: Claim{Group: "g", Holder: "self-1", Token: 5}})
	require.Equal(t, JobStepDown, h.lastJob().Kind)
	require.Equal(t, []Target{{Group: "g", Member: "r1", Address: "r1:1"}}, h.lastJob().Targets)
}

// primaries returns the members that the last view names as primaries.
func (h *harness) primaries() []core.MemberID {
	var list []core.MemberID
	for _, m := range h.view().Members {
		if m.Status.Role == core.RolePrimary {
			list = append(list, m.Status.Member)
		}
	}
	return list
}

// Guards against a promotion that is not recorded before it is requested.
func TestPromotionRecordsItsSuccession(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.loseMember()
	h.handle(JobDone{Job: h.lastJob(), States: []MemberState{{Member: "p", Role: core.RoleReplica, Term: 1}}})
	h.handle(JobDone{Job: h.lastJob(), States: []MemberState{{Member: "r1", Term: 1, Received: core.Position{Term: 1, LSN: 10}}}})
	require.Equal(t, Succession{Group: "g", Revoked: "p", Promoted: "r1"}, h.lastJob().Succession)
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

// Guards against a lease that another instance's response revives after its end, before the
// timer has noticed the end: only a store read shows which primaries were replaced meanwhile.
func TestEndedLeaseIsNotRevivedBeforeItIsNoticed(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.advance(100 * time.Millisecond)
	h.handle(ProbeResponse{SentAt: h.now})
	ended := h.lease()
	h.now = ended.Add(time.Millisecond)
	h.handle(ProbeResponse{SentAt: h.now})
	require.Equal(t, ended, h.lease())
	h.handle(StoreChanges{AsOf: h.now})
	require.Equal(t, h.now.Add(testLease), h.lease(), "a read after the end renews it")
}

// Guards against an instance that a short partition kept from hearing of the revocation, and
// whose lease does not end because its contact returns in time.
func TestRevocationIsRepeated(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.loseMember()
	h.demotionFails()
	h.handle(RevocationConfirmed{Node: "a", Member: "p"})
	h.revoked = nil
	h.advance(revocationRetryInterval)
	require.Equal(t, []string{"b p"}, h.revoked)
	h.handle(RevocationConfirmed{Node: "b", Member: "p"})
	h.revoked = nil
	h.advance(testLease)
	require.Empty(t, h.revoked)
}

// Guards against waiting for the takeover of a promotion that was never requested, because
// the claim had ended when its succession was to be recorded.
func TestPromotionWithoutItsRecordIsRetriedSoon(t *testing.T) {
	h := newHarnessWithLease(t, testLease)
	h.loseMember()
	h.handle(JobDone{Job: h.lastJob(), States: []MemberState{{Member: "p", Role: core.RoleReplica, Term: 1}}})
	h.handle(JobDone{Job: h.lastJob(), States: []MemberState{{Member: "r1", Term: 1, Received: core.Position{Term: 1, LSN: 10}}}})
	h.handle(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrConflict, "test")})
	h.advance(600 * time.Millisecond)
	require.Equal(t, JobClaim, h.lastJob().Kind)
}

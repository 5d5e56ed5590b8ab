package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Guards against a group that is without a primary for longer than a promotion
// takes, because the first instances in the order do not know that the primary is
// dead.
func TestLastInTheOrderClaimsSoon(t *testing.T) {
	const shortestPromotion = 600 * time.Millisecond
	h := newHarness(t)
	for i := range 30 {
		node := fmt.Sprintf("n%d", i)
		h.handle(StoreChanges{Changes: []Change{{Instance: &Instance{Node: node, ID: core.InstanceID(node), Peer: node}}}, Since: h.now})
	}
	require.Equal(t, maxRank, h.e.rankOf("g"))
	h.handle(SessionReport{Report: session.MemberSuspected{Database: "g", Member: "p"}})
	h.handle(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrConnectionRefused, "test")})
	h.advance(shortestPromotion)
	require.Equal(t, JobClaim, h.lastJob().Kind)
}

// Guards against two concurrent promotions, a promotion without a claim, the
// promotion of a replica whose log lacks what another replica has, and the reuse of
// a refused fencing token.
func TestSuccession(t *testing.T) {
	h := newHarness(t)
	h.advance(4 * time.Second)
	h.handle(StoreChanges{Changes: []Change{{RemovedMember: "p"}}, Since: h.now})
	h.advance(2 * time.Second)
	require.Equal(t, JobClaim, h.lastJob().Kind)
	h.handle(JobDone{Job: h.lastJob(), Claim: Claim{Group: "g", Holder: "other"}})
	jobs := len(h.jobs)
	h.advance(100 * time.Millisecond)
	require.Len(t, h.jobs, jobs, "another instance holds the claim")
	h.advance(time.Second)
	require.Equal(t, JobClaim, h.lastJob().Kind)
	h.handle(JobDone{Job: h.lastJob(), Claim: Claim{Group: "g", Holder: "self-1", Token: 5}})
	survey := h.lastJob()
	require.Equal(t, JobSurvey, survey.Kind)
	require.Len(t, survey.Targets, 2)
	h.handle(JobDone{Job: survey, States: []MemberState{
		{Member: "r1", Role: core.RoleReplica, Term: 1, Received: core.Position{Term: 1, LSN: 10}},
		{Member: "r2", Role: core.RoleReplica, Term: 1, Received: core.Position{Term: 1, LSN: 12}},
	}})
	promotion := h.lastJob()
	require.Equal(t, JobPromote, promotion.Kind)
	require.Equal(t, core.MemberID("r2"), promotion.Targets[0].Member)
	require.EqualValues(t, 5, promotion.Claim.Token)
	h.handle(JobDone{Job: promotion, Err: eris.Wrap(ErrFenced, "test")})
	h.advance(600 * time.Millisecond)
	require.Equal(t, JobClaim, h.lastJob().Kind, "a refused promotion needs a new claim")
	h.announceMember(h.announce("r2", core.RolePrimary))
	jobs = len(h.jobs)
	h.advance(10 * time.Second)
	require.Len(t, h.jobs, jobs, "the group has a primary")
}

// Guards against replacing a running primary whose record ended during an outage of the
// store: an instance that starts right after it cannot know the primary, which registers
// again within the grace period.
func TestStartedInstanceWaitsForRecordsToReturn(t *testing.T) {
	h := newHarness(t)
	h.e.lastPrimaries, h.e.members, h.e.groups = map[core.DatabaseName]Target{}, map[core.MemberID]*member{}, map[core.DatabaseName][]*member{}
	h.handle(StoreSnapshot{AsOf: h.now, Snapshot: &Snapshot{
		Configuration: configuration(2), Members: []Announcement{h.announce("r1", core.RoleReplica)},
	}})
	h.advance(h.e.config.Bounds.ReregistrationGrace - time.Millisecond)
	require.Empty(t, h.jobs)
	h.advance(time.Second)
	require.Equal(t, JobClaim, h.lastJob().Kind, "a primary that is still missing is gone")
}

// Guards against losing acknowledged writes in a planned change: the old primary
// steps down after the promotion was requested, while the new one still receives its
// log.
func TestPlannedSuccession(t *testing.T) {
	h := newHarness(t)
	p := h.announce("p", core.RolePrimary)
	p.Draining = true
	h.announceMember(p)
	h.advance(2 * time.Second)
	h.handle(JobDone{Job: h.lastJob(), Claim: Claim{Group: "g", Holder: "self-1", Token: 5}})
	h.handle(JobDone{Job: h.lastJob(), States: []MemberState{{Member: "r1", Term: 3, Received: core.Position{Term: 3, LSN: 10}}}})
	h.handle(JobDone{Job: h.lastJob()})
	down := h.lastJob()
	require.Equal(t, JobStepDown, down.Kind)
	require.Equal(t, core.MemberID("p"), down.Targets[0].Member)
	require.EqualValues(t, 4, down.Term)
}

// Guards against losing a commit that only an unresponsive replica holds.
func TestSurveyWithSynchronousReplicas(t *testing.T) {
	h := newHarness(t)
	c := configuration(2)
	c.Groups[0].SyncReplicas = 1
	h.handle(StoreChanges{Changes: []Change{{Configuration: c}}})
	h.advance(4 * time.Second)
	h.handle(StoreChanges{Changes: []Change{{RemovedMember: "p"}}, Since: h.now})
	h.advance(2 * time.Second)
	h.handle(JobDone{Job: h.lastJob(), Claim: Claim{Group: "g", Holder: "self-1", Token: 5}})
	survey := h.lastJob()
	require.Equal(t, JobSurvey, survey.Kind)
	require.NotZero(t, survey.Term, "the replicas stop receiving first")
	one := []MemberState{{Member: "r1", Term: 0, Received: core.Position{Term: 1, LSN: 10}}}
	h.handle(JobDone{Job: survey, States: one, Err: eris.Wrap(ErrNoResponse, "test")})
	for _, j := range h.jobs {
		require.NotEqual(t, JobPromote, j.Kind, "the unresponsive replica may hold more")
	}
}

package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

const testEvacuationBound = 5 * time.Second

// evacuationHarness records the log as well.
type evacuationHarness struct {
	*harness
	log []LogEvent
}

func (h *evacuationHarness) Log(l LogEvent) { h.log = append(h.log, l) }

// newEvacuationHarness returns a serving instance in front of a group with the primary p
// in domain zp, and the replicas r1 in z1 and r2 in z2.
func newEvacuationHarness(t *testing.T) *evacuationHarness {
	h := &evacuationHarness{harness: newHarness(t)}
	h.e.out = h
	limits := h.e.config.Limits
	limits.EvacuationBound = testEvacuationBound
	h.handle(limits)
	h.advance(2 * h.e.config.Bounds.ReregistrationGrace)
	for _, a := range []Announcement{h.announceIn("p", core.RolePrimary), h.announceIn("r1", core.RoleReplica), h.announceIn("r2", core.RoleReplica)} {
		h.announceMember(a)
	}
	return h
}

// announceIn returns an announcement with the member's failure domain.
func (h *evacuationHarness) announceIn(id core.MemberID, role core.Role) Announcement {
	a := h.announce(id, role)
	a.Domain = map[core.MemberID]core.Domain{"p": "zp", "r1": "z1", "r2": "z2"}[id]
	return a
}

// evacuate delivers the request, acknowledged any time after since.
func (h *evacuationHarness) evacuate(domain core.Domain, since time.Time) {
	h.handle(StoreChanges{Changes: []Change{{EvacuatedDomain: domain}}, Since: since})
}

func (h *evacuationHarness) restore(domain core.Domain) {
	h.handle(StoreChanges{Changes: []Change{{RestoredDomain: domain}}, Since: h.now})
}

func (h *evacuationHarness) memberView(id core.MemberID) session.MemberView {
	for _, m := range h.view().Members {
		if m.Status.Member == id {
			return m
		}
	}
	require.Fail(h.t, "no such member")
	return session.MemberView{}
}

func (h *evacuationHarness) countLogged(event string) int {
	n := 0
	for _, l := range h.log {
		if l.Event == event {
			n++
		}
	}
	return n
}

func (h *evacuationHarness) state() string {
	return h.e.primaryChangeTable.StateName(h.e.primaryChangeOf("g").state)
}

// claimAndSurvey advances a change until the survey, and answers its claim.
func (h *evacuationHarness) claimAndSurvey() Job {
	h.advance(time.Duration(maxRank+1) * rankDelay)
	require.Equal(h.t, JobClaim, h.lastJob().Kind)
	h.handle(JobDone{Job: h.lastJob(), Claim: Claim{Group: "g", Holder: "self-1", Token: 5}})
	require.Equal(h.t, JobSurvey, h.lastJob().Kind)
	return h.lastJob()
}

func survey(positions map[core.MemberID]core.LSN) []MemberState {
	var states []MemberState
	for _, id := range []core.MemberID{"r1", "r2"} {
		if lsn, ok := positions[id]; ok {
			states = append(states, MemberState{Member: id, Role: core.RoleReplica, Term: 1, Received: core.Position{Term: 1, LSN: lsn}})
		}
	}
	return states
}

// Guards against new work for a replica in an evacuated failure domain, and against
// transactions there that stay open beyond the bound, which counts from the previous read
// of the store.
func TestEvacuatedReplicaGetsNoWork(t *testing.T) {
	h := newEvacuationHarness(t)
	last := h.now
	h.advance(time.Second)
	h.evacuate("z1", last)
	require.True(t, h.usable("r1"), "its capacity is needed")
	require.Equal(t, last.Add(testEvacuationBound*3/4), h.memberView("r1").SendUntil)
	h.advance(1400 * time.Millisecond)
	require.True(t, h.usable("r1"))
	h.advance(200 * time.Millisecond)
	require.False(t, h.usable("r1"), "half of the bound has passed")
	require.False(t, h.memberView("r1").Withdrawn, "open transactions may finish")
	h.advance(1200 * time.Millisecond)
	require.True(t, h.memberView("r1").Withdrawn)
	require.True(t, h.usable("p"))
	require.True(t, h.usable("r2"))
	require.False(t, h.view().PrimaryWithheld)
	require.Zero(t, h.memberView("r2").SendUntil)
	require.Empty(t, h.jobs, "the primary stays")
	h.advance(time.Hour)
	require.False(t, h.usable("r1"))
	h.restore("z1")
	require.True(t, h.usable("r1"))
	require.False(t, h.memberView("r1").Withdrawn)
	require.Zero(t, h.memberView("r1").SendUntil)
	require.Equal(t, 1, h.countLogged("evacuation_requested"))
	require.Equal(t, 1, h.countLogged("evacuation_withdrawn"))
}

// Guards against an evacuated primary that is not replaced at once and without loss, or by
// a replica whose domain is evacuated as well.
func TestEvacuatedPrimaryIsReplaced(t *testing.T) {
	h := newEvacuationHarness(t)
	h.evacuate("z2", h.now)
	h.evacuate("zp", h.now)
	s := h.claimAndSurvey()
	require.Len(t, s.Targets, 1)
	require.Equal(t, core.MemberID("r1"), s.Targets[0].Member)
	h.handle(JobDone{Job: s, States: survey(map[core.MemberID]core.LSN{"r1": 10})})
	promotion := h.lastJob()
	require.Equal(t, JobPromote, promotion.Kind)
	require.Equal(t, core.MemberID("r1"), promotion.Targets[0].Member)
	require.True(t, h.usable("p"), "nothing else accepts writes yet")
	h.handle(JobDone{Job: promotion})
	require.Equal(t, JobStepDown, h.lastJob().Kind)
	require.Equal(t, core.MemberID("p"), h.lastJob().Targets[0].Member)
	h.announceMember(h.announceIn("r1", core.RolePrimary))
	h.announceMember(h.announceIn("p", core.RoleReplica))
	require.Equal(t, "settled", h.state())
	h.advance(testEvacuationBound)
	require.True(t, h.usable("r1"))
	require.False(t, h.usable("p"))
	require.False(t, h.usable("r2"))
	require.False(t, h.view().PrimaryWithheld)
	jobs := len(h.jobs)
	h.advance(time.Minute)
	require.Len(t, h.jobs, jobs)
}

// Guards against statements that wait for a primary until their deadline although no
// member may become it, against a promotion within the evacuated domains, and against
// repeated claims meanwhile.
func TestAllDomainsOfAGroupEvacuated(t *testing.T) {
	h := newEvacuationHarness(t)
	h.handle(StoreChanges{Changes: []Change{{EvacuatedDomain: "zp"}, {EvacuatedDomain: "z1"}, {EvacuatedDomain: "z2"}}, Since: h.now})
	require.False(t, h.view().PrimaryWithheld, "the primary is used until the end")
	h.advance(testEvacuationBound)
	require.True(t, h.view().PrimaryWithheld)
	for _, id := range []core.MemberID{"p", "r1", "r2"} {
		require.True(t, h.memberView(id).Withdrawn)
	}
	h.advance(time.Minute)
	require.Empty(t, h.jobs)
	h.restore("z2")
	require.True(t, h.usable("r2"))
	require.False(t, h.view().PrimaryWithheld, "it can become the primary")
	s := h.claimAndSurvey()
	require.Equal(t, core.MemberID("r2"), s.Targets[0].Member)
}

// Guards against a change whose candidate was evacuated after it was claimed or surveyed:
// nothing may be promoted in an evacuated domain.
func TestSecondRequestBeforeThePromotion(t *testing.T) {
	h := newEvacuationHarness(t)
	h.evacuate("zp", h.now)
	s := h.claimAndSurvey()
	h.evacuate("z1", h.now)
	h.handle(JobDone{Job: s, States: survey(map[core.MemberID]core.LSN{"r1": 12, "r2": 10})})
	require.Equal(t, JobPromote, h.lastJob().Kind)
	require.Equal(t, core.MemberID("r2"), h.lastJob().Targets[0].Member)
}

// Guards against a change that goes on claiming after its last candidate was evacuated.
func TestSecondRequestLeavesNoCandidate(t *testing.T) {
	h := newEvacuationHarness(t)
	h.evacuate("zp", h.now)
	s := h.claimAndSurvey()
	h.evacuate("z1", h.now)
	h.evacuate("z2", h.now)
	h.handle(JobDone{Job: s, States: survey(map[core.MemberID]core.LSN{"r1": 12, "r2": 10})})
	require.Equal(t, "settled", h.state())
	jobs := len(h.jobs)
	h.advance(time.Minute)
	require.Len(t, h.jobs, jobs)
	require.True(t, h.view().PrimaryWithheld)
}

// Guards against a promoted member that stays the primary of an evacuated domain for as
// long as a change waits for its result: it has to be replaced at once.
func TestSecondRequestDuringThePromotion(t *testing.T) {
	h := newEvacuationHarness(t)
	h.evacuate("zp", h.now)
	h.handle(JobDone{Job: h.claimAndSurvey(), States: survey(map[core.MemberID]core.LSN{"r1": 12, "r2": 10})})
	h.handle(JobDone{Job: h.lastJob()})
	h.evacuate("z1", h.now)
	require.Equal(t, "awaiting", h.state())
	h.announceMember(h.announceIn("r1", core.RolePrimary))
	h.announceMember(h.announceIn("p", core.RoleReplica))
	s := h.claimAndSurvey()
	require.Len(t, s.Targets, 1)
	require.Equal(t, core.MemberID("r2"), s.Targets[0].Member)
	h.handle(JobDone{Job: s, States: []MemberState{{Member: "r2", Role: core.RoleReplica, Term: 2, Received: core.Position{Term: 2, LSN: 12}}}})
	h.handle(JobDone{Job: h.lastJob()})
	require.Equal(t, JobStepDown, h.lastJob().Kind)
	require.Equal(t, core.MemberID("r1"), h.lastJob().Targets[0].Member)
	require.Equal(t, 1, h.countLogged("primary_changed"))
}

// Guards against a promotion without the step-down of the old primary, which could lose
// commits, because the evacuation was withdrawn in between; and against a member that is
// not used at once then.
func TestWithdrawalDuringThePromotion(t *testing.T) {
	h := newEvacuationHarness(t)
	h.evacuate("zp", h.now)
	h.handle(JobDone{Job: h.claimAndSurvey(), States: survey(map[core.MemberID]core.LSN{"r1": 12, "r2": 10})})
	h.restore("zp")
	require.True(t, h.usable("p"))
	require.Equal(t, "ordering", h.state())
	h.handle(JobDone{Job: h.lastJob()})
	require.Equal(t, JobStepDown, h.lastJob().Kind)
	h.announceMember(h.announceIn("r1", core.RolePrimary))
	require.Equal(t, "awaiting", h.state(), "the old primary has not stepped down")
	h.announceMember(h.announceIn("p", core.RoleReplica))
	require.Equal(t, "settled", h.state())
	require.Equal(t, 1, h.countLogged("primary_changed"))
}

// Guards against a promotion that is started although the evacuation was withdrawn before
// anything was done, and against one that is started again after a step failed.
func TestWithdrawalBeforeThePromotion(t *testing.T) {
	h := newEvacuationHarness(t)
	h.evacuate("zp", h.now)
	require.Equal(t, "turn", h.state())
	h.restore("zp")
	require.Equal(t, "settled", h.state())
	h.evacuate("zp", h.now)
	s := h.claimAndSurvey()
	h.restore("zp")
	h.handle(JobDone{Job: s, Err: ErrNoResponse})
	require.Equal(t, "settled", h.state())
	jobs := len(h.jobs)
	h.advance(time.Minute)
	require.Len(t, h.jobs, jobs)
}

// Guards against work for members of an evacuated domain by an instance that starts: how
// long ago the request was made is unknown.
func TestStartDuringAnEvacuation(t *testing.T) {
	h := newEvacuationHarness(t)
	h.handle(StoreSnapshot{Snapshot: &Snapshot{
		Configuration: configuration(1), Members: []Announcement{h.announceIn("p", core.RolePrimary), h.announceIn("r1", core.RoleReplica)},
		Evacuations: []core.Domain{"z1"},
	}})
	require.False(t, h.usable("r1"))
	require.True(t, h.memberView("r1").Withdrawn)
	require.True(t, h.usable("p"))
}

// Guards against a member of an evacuated domain that is used because it was announced
// after the request, or because the store was read again.
func TestEvacuationOutlastsReads(t *testing.T) {
	h := newEvacuationHarness(t)
	h.evacuate("z3", h.now)
	since := h.now
	h.advance(time.Second)
	h.handle(StoreSnapshot{Since: h.now, Snapshot: &Snapshot{
		Configuration: configuration(1), Evacuations: []core.Domain{"z3"}, Members: []Announcement{h.announceIn("p", core.RolePrimary)},
	}})
	h.evacuate("z3", h.now)
	r := h.announce("r3", core.RoleReplica)
	r.Domain = "z3"
	h.announceMember(r)
	require.Equal(t, since.Add(testEvacuationBound*3/4), h.memberView("r3").SendUntil, "a repeated request gives no more time")
	h.advance(testEvacuationBound)
	require.False(t, h.usable("r3"))
	h.handle(StoreSnapshot{Since: h.now, Snapshot: &Snapshot{Configuration: configuration(1), Members: []Announcement{r}}})
	require.True(t, h.usable("r3"), "the request was withdrawn")
}

// Guards against an instance without the store that uses an evacuated member, or that
// never stops using it.
func TestEvacuationWithoutTheStore(t *testing.T) {
	h := newEvacuationHarness(t)
	h.evacuate("z1", h.now)
	h.handle(StoreUnavailable{Reason: "test"})
	h.advance(testEvacuationBound)
	require.False(t, h.usable("r1"))
	require.True(t, h.memberView("r1").Withdrawn)
	h.advance(time.Minute)
	require.False(t, h.usable("r1"))
}

// Guards against a draining member of an evacuated domain that is used for longer than
// either rule allows.
func TestDrainingInAnEvacuatedDomain(t *testing.T) {
	h := newEvacuationHarness(t)
	h.evacuate("z1", h.now)
	h.evacuate("z2", h.now)
	late, early := h.announceIn("r1", core.RoleReplica), h.announceIn("r2", core.RoleReplica)
	late.Draining, early.Draining = true, true
	h.handle(StoreChanges{Changes: []Change{{Member: &late}}, Since: h.now})
	h.handle(StoreChanges{Changes: []Change{{Member: &early}}, Since: h.now.Add(-4 * time.Second)})
	h.advance(1100 * time.Millisecond)
	require.True(t, h.usable("r1"))
	require.False(t, h.usable("r2"), "its drain time is over")
	h.advance(1500 * time.Millisecond)
	require.False(t, h.usable("r1"), "half of the bound is over")
}

// Guards against status requests to a member that gets nothing more.
func TestWithdrawnMemberIsNotChecked(t *testing.T) {
	h := newEvacuationHarness(t)
	h.handle(StoreChanges{Changes: []Change{{EvacuatedDomain: "zp"}, {EvacuatedDomain: "z1"}, {EvacuatedDomain: "z2"}}, Since: h.now})
	h.advance(testEvacuationBound)
	h.handle(SessionReport{Report: session.MemberSuspected{Database: "g", Member: "p"}})
	require.Empty(t, h.jobs)
}

// Guards against losing a commit that was acknowledged when only a replica of an evacuated
// domain had received it.
func TestSynchronousCommitAtAnEvacuatedReplica(t *testing.T) {
	h := newEvacuationHarness(t)
	c := configuration(2)
	c.Groups[0].SyncReplicas = 1
	h.handle(StoreChanges{Changes: []Change{{Configuration: c}, {EvacuatedDomain: "z1"}}, Since: h.now})
	h.handle(StoreChanges{Changes: []Change{{RemovedMember: "p"}}, Since: h.now})
	s := h.claimAndSurvey()
	require.Len(t, s.Targets, 2)
	states := survey(map[core.MemberID]core.LSN{"r1": 12, "r2": 10})
	for i := range states {
		states[i].Term = 0
	}
	h.handle(JobDone{Job: s, States: states})
	require.Equal(t, JobSurvey, h.lastJob().Kind, "r2 lacks the commit, r1 may not be promoted")
	require.Equal(t, 1, h.countLogged("promotion_waits"))
}

// Guards against a change that waits for the old primary's own log: where it steps down
// before the promotion, it is a replica of the evacuated domain then, and may be ahead.
func TestSurveyWithoutTheEvacuatedOldPrimary(t *testing.T) {
	h := newEvacuationHarness(t)
	c := configuration(2)
	c.Groups[0].SyncReplicas = 1
	h.handle(StoreChanges{Changes: []Change{{Configuration: c}, {EvacuatedDomain: "zp"}}, Since: h.now})
	h.advance(time.Duration(maxRank+1) * rankDelay)
	claim := h.lastJob()
	h.announceMember(h.announceIn("p", core.RoleReplica))
	h.handle(JobDone{Job: claim, Claim: Claim{Group: "g", Holder: "self-1", Token: 5}})
	require.Equal(t, JobSurvey, h.lastJob().Kind)
	for _, target := range h.lastJob().Targets {
		require.NotEqual(t, core.MemberID("p"), target.Member)
	}
}

// Guards against an evacuation of a domain that does not exist and that has an effect, or
// is logged repeatedly or not at all.
func TestEvacuationOfAnUnknownDomain(t *testing.T) {
	h := newEvacuationHarness(t)
	h.evacuate("nowhere", h.now)
	h.evacuate("nowhere", h.now)
	h.handle(StoreSnapshot{Since: h.now, Snapshot: &Snapshot{
		Configuration: configuration(1), Evacuations: []core.Domain{"nowhere"},
		Members: []Announcement{h.announceIn("p", core.RolePrimary), h.announceIn("r1", core.RoleReplica), h.announceIn("r2", core.RoleReplica)},
	}})
	h.advance(time.Minute)
	for _, id := range []core.MemberID{"p", "r1", "r2"} {
		require.True(t, h.usable(id))
	}
	require.Empty(t, h.jobs)
	require.Equal(t, 1, h.countLogged("evacuation_ignored"))
	require.Zero(t, h.countLogged("evacuation_requested"))
	h.restore("nowhere")
	require.Zero(t, h.countLogged("evacuation_withdrawn"))
}

// Guards against evacuations in a deployment that does not support them, and against
// settings that enable them and take no effect.
func TestEvacuationNeedsABound(t *testing.T) {
	h := newEvacuationHarness(t)
	limits := h.e.config.Limits
	limits.EvacuationBound = 0
	h.handle(limits)
	h.evacuate("z1", h.now)
	h.advance(time.Minute)
	require.True(t, h.usable("r1"))
	require.Zero(t, h.memberView("r1").SendUntil)
	require.Empty(t, h.e.inspect().Evacuations)
	require.Empty(t, h.log)
	limits.EvacuationBound = testEvacuationBound
	h.handle(limits)
	require.False(t, h.usable("r1"))
	require.Equal(t, 1, h.countLogged("evacuation_requested"))
}

// Guards against a status that does not show which domains are evacuated and which members
// still get work.
func TestStatusShowsEvacuations(t *testing.T) {
	h := newEvacuationHarness(t)
	h.evacuate("z1", h.now)
	h.evacuate("nowhere", h.now)
	h.advance(testEvacuationBound)
	s := h.e.inspect()
	require.Equal(t, []EvacuationStatus{{Domain: "nowhere", Seconds: 5, Ended: true, Unknown: true}, {Domain: "z1", Seconds: 5, Ended: true}}, s.Evacuations)
	for _, m := range s.Groups[0].Members {
		require.Equal(t, m.Member == "r1", m.Evacuated)
		require.Equal(t, m.Member != "r1", m.Usable)
	}
}

// Guards against followers of a feeder that get no requests for evacuations.
func TestFeederPassesEvacuationsOn(t *testing.T) {
	text, err := json.Marshal([]Change{{Revision: 3, EvacuatedDomain: "z1"}, {Revision: 4, RestoredDomain: "z1"}})
	require.NoError(t, err)
	require.JSONEq(t, `[{"revision":3,"evacuated_domain":"z1"},{"revision":4,"restored_domain":"z1"}]`, string(text))
	for _, c := range []Change{{EvacuatedDomain: "z1"}, {RestoredDomain: "z1"}} {
		require.True(t, c.isUrgent())
		require.True(t, c.affectsMembers())
	}
}

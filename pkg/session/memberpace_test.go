package session

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// paceOf returns the status of the member's pacer.
func (h *harness) paceOf(id core.MemberID) string {
	return h.e.databases["db"].member(id).pace.Status().State
}

// publishReachable announces m0 as the primary and one member as reachable or not.
func (h *harness) publishReachable(revision uint64, id core.MemberID, reachable bool) {
	v := GroupView{Database: "db"}
	for i := range h.catalogue.Databases[0].Members {
		member := h.catalogue.Databases[0].Members[i].ID
		status := core.MemberStatus{Member: member, Role: core.RoleReplica}
		if member == "m0" {
			status.Role = core.RolePrimary
		}
		v.Members = append(v.Members, MemberView{Status: status, Reachable: member != id || reachable, Announced: revision, RespondedAt: h.now})
	}
	h.do(v)
}

// newManyHomesHarness returns a harness of one of 100 instances, so that a member
// that returns gets 0.2 statements per second from it at first.
func newManyHomesHarness(t testing.TB) *harness {
	h := newAsyncHarness(t)
	instances := map[core.InstanceID]bool{}
	for i := range 100 {
		instances[core.InstanceID(fmt.Sprint("i", i))] = true
	}
	h.do(ShareUpdate{
		Accounts:  map[core.AccountName]RateShare{"acct": {Rate: 1000, Burst: 1000}},
		Instances: instances, Connections: map[core.DatabaseName]int{"db": 4}, ValidUntil: h.now.Add(time.Hour),
	})
	return h
}

// returnOf makes the member unreachable and reachable again.
func (h *harness) returnOf(id core.MemberID) {
	h.publishReachable(2, id, false)
	h.wait(time.Second)
	h.publishReachable(3, id, true)
}

// Guards against a start of the instance, or the first primary that it sees, that
// counts as the return of the members, and against returns that go unnoticed.
func TestOnlyMembersThatReturnRecover(t *testing.T) {
	h := newManyHomesHarness(t)
	for _, id := range []core.MemberID{"m0", "m1", "m2"} {
		require.Equal(t, "steady", h.paceOf(id), id)
	}
	h.returnOf("m1")
	require.Equal(t, "recovering", h.paceOf("m1"))
	require.Equal(t, "steady", h.paceOf("m2"))
	last := h.paces[len(h.paces)-1]
	require.Equal(t, core.MemberID("m1"), last.Member)
	require.Equal(t, "the member is reachable again", last.Reason)
	require.Equal(t, 1, h.e.Metrics().Pace["db"].Limited)
	h.announce(4, "m2")
	require.Equal(t, "recovering", h.paceOf("m2"), "it was promoted")
	require.Equal(t, "steady", h.paceOf("m0"))
	h.catalogue = testCatalogue()
	h.catalogue.Version = 2
	h.catalogue.Databases[0].Members = append(h.catalogue.Databases[0].Members, catalogue.Member{ID: "m3", Address: "127.0.0.1:103", Slots: 2})
	h.do(CatalogueUpdate{Catalogue: h.catalogue})
	h.announce(5, "m2")
	require.Equal(t, "steady", h.paceOf("m3"), "its group is just starting")
	h.wait(groupStart)
	next := testCatalogue()
	next.Version, next.Databases[0].Members = 3, append(h.catalogue.Databases[0].Members, catalogue.Member{ID: "m4", Address: "127.0.0.1:104", Slots: 2})
	h.catalogue = next
	h.do(CatalogueUpdate{Catalogue: h.catalogue})
	h.announce(6, "m2")
	require.Equal(t, "recovering", h.paceOf("m4"), "it is new")
}

// Guards against reads that wait for a member which returns while another one can
// serve them, and against a member that stays without work after its return.
func TestReadsAvoidAMemberThatReturns(t *testing.T) {
	h := newManyHomesHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "read", read)
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 120))
	h.returnOf("m1")
	served := map[core.MemberID]int{}
	for range 250 {
		h.wait(200 * time.Millisecond)
		before := h.countSent()
		h.sendClassified(1, "read", read)
		require.Greater(t, h.countSent(), before, "a member with an allowance serves the read at once")
		s := h.lastSent()
		served[h.memberOf(s.Target)]++
		h.wait(5 * time.Millisecond)
		h.do(TargetReady{Target: s.Target, Frames: []byte("ready"), TxStatus: TxIdle, LogEnd: position(1, 120), VerifiedPrimary: h.memberOf(s.Target) == "m0"})
	}
	require.Equal(t, "steady", h.paceOf("m1"))
	require.Positive(t, served["m2"])
}

// Guards against a statement that waits for its deadline at a member whose
// allowance does not permit it before, and against one of an open transaction that
// the allowance delays.
func TestAllowanceRefusesAtOnceAndSparesTransactions(t *testing.T) {
	h := newManyHomesHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "begin", begin)
	h.sendClassified(1, "write", write)
	target := h.lastSent().Target
	h.primaryAnswers(target, 'T', position(1, 100))
	for range 20 {
		h.e.databases["db"].member("m0").memberReturned("test")
	}
	p := h.e.databases["db"].member("m0").pace
	p.Started(h.now)
	h.open(2, core.Position{})
	sent := h.countSent()
	h.sendClassified(2, "write", write)
	require.Equal(t, sent, h.countSent())
	h.requireRefused(core.ReasonDeadline, core.OutcomeNotRun)
	h.sendClassified(1, "write", write)
	require.Equal(t, target, h.lastSent().Target)
	require.Equal(t, sent+1, h.countSent(), "the transaction goes on")
}

// Guards against a member that restarted without having been unreachable, or that
// had just started when the instance started, and is used like one in regular use;
// and against a group that started as a whole and is throttled.
func TestStartedMembersRecover(t *testing.T) {
	view := func(started ...bool) GroupView {
		v := GroupView{Database: "db"}
		for i, just := range started {
			v.Members = append(v.Members, MemberView{
				Status: core.MemberStatus{Member: core.MemberID(fmt.Sprint("m", i))}, Reachable: true,
				Started: startTime, JustStarted: just,
			})
		}
		return v
	}
	fresh := func(v GroupView) *harness {
		h := newAsyncHarness(t)
		e, err := New(h.e.cfg, h)
		require.NoError(t, err)
		h.e = e
		h.do(CatalogueUpdate{Catalogue: h.catalogue})
		h.do(v)
		return h
	}
	h := fresh(view(true, false, false))
	require.Equal(t, "recovering", h.paceOf("m0"))
	require.Equal(t, "steady", h.paceOf("m1"))
	h = fresh(view(true, true, true))
	require.Equal(t, "steady", h.paceOf("m0"))
	restarted := view(false, false, false)
	restarted.Members[1].Started = startTime.Add(time.Minute)
	h.do(restarted)
	require.Equal(t, "recovering", h.paceOf("m1"))
	require.Equal(t, "steady", h.paceOf("m2"))
}

// Guards against a configured bound of a cold member that statements or probes
// exceed, and against one that applies without configuration.
func TestColdMemberIsBounded(t *testing.T) {
	h := newManyHomesHarness(t)
	h.catalogue = testCatalogue()
	h.catalogue.Version, h.catalogue.Databases[0].WarmupPerSecond = 2, 200
	h.do(CatalogueUpdate{Catalogue: h.catalogue})
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 100))
	v := GroupView{Database: "db", Members: []MemberView{{
		Status: core.MemberStatus{Member: "m0", Role: core.RolePrimary}, Reachable: true, Announced: 2, ColdUntil: h.now.Add(10 * time.Second),
	}}}
	h.do(v)
	handled, requests, answered := len(h.targets), 0, 0
	for range 1000 {
		if len(h.callers) > answered {
			answered = len(h.callers)
			h.sendClassified(1, "write", write)
		}
		h.wait(10 * time.Millisecond)
		for ; handled < len(h.targets); handled++ {
			switch c := h.targets[handled].(type) {
			case TargetSend:
				requests++
				h.primaryAnswers(c.Target, TxIdle, position(1, 100))
			case TargetProbe:
				requests++
				h.primaryAnswers(c.Target, TxIdle, position(1, 100))
			}
		}
	}
	require.LessOrEqual(t, requests, 21, "two a second are this home's part")
	require.Greater(t, requests, 10)
}

// Guards against a statement that its member refuses as busy and that waits for its
// deadline, although the allowance does not permit it before, and is then refused
// with the reason that the database has no primary.
func TestBusyStatementWithoutTimeIsRefusedAtOnce(t *testing.T) {
	h := newManyHomesHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	target := h.lastSent().Target
	m := h.e.databases["db"].member("m0")
	m.memberReturned("test")
	m.pace.Started(h.now)
	h.reject(target, RejectionBusy)
	h.requireRefused(core.ReasonDeadline, core.OutcomeNotRun)
}

// Guards against a statement that is sent to a busy member again at once, and
// against one that is given up after a few refusals although it has time.
func TestBusyStatementIsRepeatedAfterPauses(t *testing.T) {
	h := newAsyncHarness(t)
	h.open(1, core.Position{})
	h.sendClassified(1, "write", write)
	handled := len(h.targets)
	for range 8 {
		sent := h.countSent()
		h.reject(h.lastSent().Target, RejectionBusy)
		require.Equal(t, sent, h.countSent(), "it waits")
		for h.countSent() == sent {
			h.wait(busyBackoff)
			for ; handled < len(h.targets); handled++ {
				if probe, ok := h.targets[handled].(TargetProbe); ok {
					h.primaryAnswers(probe.Target, TxIdle, position(1, 100))
				}
			}
			require.Empty(t, h.callers[1:], "it is not given up")
		}
	}
	h.primaryAnswers(h.lastSent().Target, TxIdle, position(1, 100))
	_, ok := h.lastCallerCommand().(CallerWrite)
	require.True(t, ok)
}

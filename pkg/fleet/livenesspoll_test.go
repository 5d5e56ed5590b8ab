package fleet

import (
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Guards against replacing a healthy primary that one instance cannot reach, and
// against keeping a dead one.
func TestSilentPrimary(t *testing.T) {
	unresponsive := func(h *harness) {
		h.handle(SessionReport{Report: session.MemberSuspected{Database: "g", Member: "p"}})
		require.Equal(t, JobMemberStatus, h.lastJob().Kind)
		h.handle(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrNoResponse, "test")})
		require.ElementsMatch(t, []string{"a", "b"}, h.requested)
	}
	h := newHarness(t)
	unresponsive(h)
	h.handle(LivenessReport{Subject: session.LivenessSubject{Member: "p"}, Node: "a", Known: true, SinceContact: 10 * time.Millisecond})
	h.handle(LivenessReport{Subject: session.LivenessSubject{Member: "p"}, Node: "b", Known: true, UnresponsiveFor: time.Second, SinceContact: time.Second})
	h.advance(pollTimeout)
	require.True(t, h.usable("p"), "another instance gets responses from it")
	h = newHarness(t)
	unresponsive(h)
	h.advance(pollTimeout)
	require.True(t, h.usable("p"), "no other instance has responded")
	h = newHarness(t)
	unresponsive(h)
	h.handle(LivenessReport{Subject: session.LivenessSubject{Member: "p"}, Node: "a", Known: true, UnresponsiveFor: time.Second, SinceContact: time.Second})
	h.advance(pollTimeout)
	require.False(t, h.usable("p"))
	h = newHarness(t)
	h.handle(SessionReport{Report: session.MemberSuspected{Database: "g", Member: "p"}})
	h.handle(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrConnectionRefused, "test")})
	require.False(t, h.usable("p"), "no process listens there")
}

// Guards against accounts without a usable home while their home is isolated, and
// against two homes when only this instance is isolated.
func TestSilentHomeIsReplaced(t *testing.T) {
	const home = session.PeerAddress("10.0.0.2:1")
	atA := func() *harness {
		h := newHarness(t)
		h.handle(LeaseUpdated{Until: h.now.Add(time.Minute)})
		h.handle(StoreChanges{Changes: []Change{
			{Home: &Home{Account: "acct", Node: "a", Instance: "a-1", Revision: 300}},
			{Instance: &Instance{Node: "c", ID: "c-1", Peer: "10.0.0.4:1"}},
		}, Since: h.now})
		h.claims = nil
		h.handle(SessionReport{Report: session.HomeUnresponsive{Address: home}})
		h.advance(homePollDelay)
		require.ElementsMatch(t, []string{"a", "b", "c"}, h.requested)
		return h
	}
	report := LivenessReport{Subject: session.LivenessSubject{Home: home}, Known: true, UnresponsiveFor: time.Second, SinceContact: time.Second}
	from := func(node string) LivenessReport { r := report; r.Node = node; return r }

	h := atA()
	h.handle(from("b"))
	h.handle(from("c"))
	h.advance(5 * time.Second)
	require.NotEmpty(t, h.claims, "no instance gets a response from the home")
	require.Equal(t, Revision(300), h.claims[0].Replaces)
	h.advance(unresponsiveReplaceWindow)
	h.claims = nil
	h.advance(10 * time.Second)
	require.Empty(t, h.claims, "the home may have responded again")

	h = atA()
	h.advance(pollTimeout)
	h.e.instances["a"].Domain, h.e.instances["b"].Domain = "one", "one"
	h.requested = nil
	h.handle(SessionReport{Report: session.HomeUnresponsive{Address: home}})
	h.advance(homePollDelay)
	require.ElementsMatch(t, []string{"c"}, h.requested, "the home's failure domain may be isolated with it")

	h = atA()
	h.handle(from("b"))
	h.advance(5 * time.Second)
	require.Empty(t, h.claims, "half of the instances have not responded either")

	h = atA()
	h.handle(from("b"))
	h.handle(LivenessReport{Subject: session.LivenessSubject{Home: home}, Node: "c", Known: true, SinceContact: 100 * time.Millisecond})
	h.advance(5 * time.Second)
	require.Empty(t, h.claims, "another instance gets responses from it")
	h.requested = nil
	h.handle(SessionReport{Report: session.Demand{HomesUsed: 2, UnresponsiveHomes: []session.PeerAddress{home}}})
	h.advance(homePollDelay)
	require.NotEmpty(t, h.requested, "it is polled again while it is unresponsive")
}

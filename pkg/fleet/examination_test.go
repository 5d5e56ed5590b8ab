package fleet

import (
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Guards against a healthy primary that is replaced because one instance does
// not reach it, and against a dead one that is kept.
func TestSilentPrimary(t *testing.T) {
	silent := func(h *harness) {
		h.do(FromSession{Report: session.SuspectMember{Database: "g", Member: "p"}})
		require.Equal(t, JobExamine, h.lastJob().Kind)
		h.do(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrSilent, "test")})
		require.ElementsMatch(t, []string{"a", "b"}, h.asked)
	}
	h := newHarness(t)
	silent(h)
	h.do(Opinion{Subject: session.Subject{Member: "p"}, Node: "a", Known: true, Ago: 10 * time.Millisecond})
	h.do(Opinion{Subject: session.Subject{Member: "p"}, Node: "b", Known: true, Silence: time.Second, Ago: time.Second})
	h.wait(opinionWait)
	require.True(t, h.usable("p"), "another instance hears it")
	h = newHarness(t)
	silent(h)
	h.wait(opinionWait)
	require.True(t, h.usable("p"), "nobody else has said anything")
	h = newHarness(t)
	silent(h)
	h.do(Opinion{Subject: session.Subject{Member: "p"}, Node: "a", Known: true, Silence: time.Second, Ago: time.Second})
	h.wait(opinionWait)
	require.False(t, h.usable("p"))
	h = newHarness(t)
	h.do(FromSession{Report: session.SuspectMember{Database: "g", Member: "p"}})
	h.do(JobDone{Job: h.lastJob(), Err: eris.Wrap(ErrRefusedConnection, "test")})
	require.False(t, h.usable("p"), "no process listens there")
}

// Guards against accounts without a usable home while their home is cut off, and
// against two homes when only this instance is.
func TestSilentHomeIsReplaced(t *testing.T) {
	const home = session.PeerAddress("10.0.0.2:1")
	atA := func() *harness {
		h := newHarness(t)
		h.do(LeaseHeld{Until: h.now.Add(time.Minute)})
		h.do(StoreChanged{Changes: []Change{
			{Home: &Home{Account: "acct", Node: "a", Instance: "a-1", Revision: 300}},
			{Instance: &Instance{Node: "c", ID: "c-1", Peer: "10.0.0.4:1"}},
		}, Since: h.now})
		h.claims = nil
		h.do(FromSession{Report: session.HomeSilent{Address: home}})
		h.wait(homeDoubt)
		require.ElementsMatch(t, []string{"a", "b", "c"}, h.asked)
		return h
	}
	silence := Opinion{Subject: session.Subject{Home: home}, Known: true, Silence: time.Second, Ago: time.Second}
	from := func(node string) Opinion { o := silence; o.Node = node; return o }

	h := atA()
	h.do(from("b"))
	h.do(from("c"))
	h.wait(5 * time.Second)
	require.NotEmpty(t, h.claims, "nobody hears the home")
	require.Equal(t, Revision(300), h.claims[0].Replaces)
	h.wait(unheardFor)
	h.claims = nil
	h.wait(10 * time.Second)
	require.Empty(t, h.claims, "the home may have been heard again")

	h = atA()
	h.wait(opinionWait)
	h.e.instances["a"].Domain, h.e.instances["b"].Domain = "one", "one"
	h.asked = nil
	h.do(FromSession{Report: session.HomeSilent{Address: home}})
	h.wait(homeDoubt)
	require.ElementsMatch(t, []string{"c"}, h.asked, "the home's own domain may be cut off with it")

	h = atA()
	h.do(from("b"))
	h.wait(5 * time.Second)
	require.Empty(t, h.claims, "half of the instances are silent too")

	h = atA()
	h.do(from("b"))
	h.do(Opinion{Subject: session.Subject{Home: home}, Node: "c", Known: true, Ago: 100 * time.Millisecond})
	h.wait(5 * time.Second)
	require.Empty(t, h.claims, "another instance hears it")
	h.asked = nil
	h.do(FromSession{Report: session.Demand{HomesUsed: 2, SilentHomes: []session.PeerAddress{home}}})
	h.wait(homeDoubt)
	require.NotEmpty(t, h.asked, "it is examined again while it is silent")
}

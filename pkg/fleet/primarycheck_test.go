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

// logged returns the newest log line of the event.
func (h *harness) logged(event string) (LogEvent, bool) {
	for i := len(h.logs) - 1; i >= 0; i-- {
		if h.logs[i].Event == event {
			return h.logs[i], true
		}
	}
	return LogEvent{}, false
}

// holdHome makes this instance the home of the account.
func (h *harness) holdHome() {
	h.handle(LeaseUpdated{Until: h.now.Add(time.Minute)})
	h.handle(StoreChanges{Changes: []Change{{Home: &Home{Account: "acct", Node: "self", Instance: "self-1", Revision: 300}}}, Since: h.now})
	h.claims = nil
}

// Guards against a primary that is declared dead, or whose homes are released, because it is
// overloaded, and against one that is dead, cut off or frozen and is not found.
func TestEvidenceAboutAPrimary(t *testing.T) {
	const waiting, heard, silent = "waiting", "heard", ""
	cases := []struct {
		name  string
		err   error
		other string
		// unansweredFor is how long the session has waited when it suspects the primary.
		unansweredFor time.Duration
		// responds lets the primary respond to this instance while the others are polled.
		responds       bool
		dead, released bool
	}{
		{name: "connection refused", err: ErrConnectionRefused, dead: true},
		{name: "status answered"},
		{name: "BUSY to the status", err: &BusyError{}, other: waiting},
		{name: "CONNLIMIT, or another error reply", err: ErrRejected, other: waiting},
		{name: "startup answered, status not", err: &UnansweredError{Started: true}, other: waiting},
		{name: "accepted, nobody heard", err: &UnansweredError{}, other: waiting, dead: true},
		{name: "accepted, another heard", err: &UnansweredError{}, other: heard, unansweredFor: 400 * time.Millisecond},
		{name: "accepted, another heard, for long", err: &UnansweredError{}, other: heard, unansweredFor: maxOverloadTime, released: true},
		{name: "accepted, responded meanwhile", err: &UnansweredError{}, other: waiting, responds: true},
		{name: "accepted, no report", err: &UnansweredError{}, other: silent},
		{name: "no connection, nobody heard", err: ErrNoResponse, other: waiting, dead: true},
		{name: "no connection, another heard", err: ErrNoResponse, other: heard, released: true},
		{name: "no connection, responded meanwhile", err: ErrNoResponse, other: waiting, responds: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.holdHome()
			h.handle(SessionReport{Report: session.MemberSuspected{Database: "g", Member: "p", UnansweredFor: c.unansweredFor}})
			require.Equal(t, JobMemberStatus, h.lastJob().Kind)
			h.advance(300 * time.Millisecond)
			done := JobDone{Job: h.lastJob()}
			if c.err != nil {
				done.Err = eris.Wrap(c.err, "test")
			}
			h.handle(done)
			if c.responds {
				h.advance(10 * time.Millisecond)
				h.handle(SessionReport{Report: session.MemberResponded{Member: "p"}})
			}
			for _, node := range []string{"a", "b"} {
				report := LivenessReport{Subject: session.LivenessSubject{Member: "p"}, Node: node, Known: true}
				switch {
				case c.other == heard && node == "a":
					report.SinceContact = responsiveWithin - time.Millisecond
				case c.other != silent:
					report.UnresponsiveFor, report.SinceContact = time.Second, time.Second
				default:
					continue
				}
				h.handle(report)
			}
			h.advance(pollTimeout)
			require.Equal(t, c.dead, !h.usable("p"))
			require.Equal(t, c.released, len(h.claims) > 0)
			replied := c.err == nil || eris.Is(c.err, ErrRejected) || c.name == "startup answered, status not"
			if replied {
				require.Contains(t, h.sessionInputs, session.MemberAlive{Member: "p"})
			} else {
				require.NotContains(t, h.sessionInputs, session.MemberAlive{Member: "p"})
			}
		})
	}
}

// Guards against a change of primary whose log lines do not say which check found the old one
// dead, how long it had not responded and how many instances were asked.
func TestLogNamesTheEvidence(t *testing.T) {
	h := newHarness(t)
	h.handle(SessionReport{Report: session.MemberSuspected{Database: "g", Member: "p", UnansweredFor: 400 * time.Millisecond}})
	h.advance(300 * time.Millisecond)
	h.handle(JobDone{Job: h.lastJob(), Err: &UnansweredError{}})
	h.handle(LivenessReport{Subject: session.LivenessSubject{Member: "p"}, Node: "a", Known: true, UnresponsiveFor: time.Second, SinceContact: time.Second})
	h.advance(pollTimeout)
	dead, ok := h.logged("primary_dead")
	require.True(t, ok)
	require.Equal(t, map[string]any{
		"member": h.e.members["p"].Member, "group": h.e.members["p"].Group, "check": "its host accepted a connection, no reply",
		"unanswered_ms": int64(820), "asked": 2, "answered": 1, "heard": 0, "silent": 1,
	}, dead.Fields)
	evidence := "its host accepted a connection, no reply; no response for 820 ms; 2 instances asked, 1 answered, 0 heard from it, 1 wait for it"
	needed, _ := h.logged("primary_needed")
	require.Equal(t, evidence, needed.Fields["evidence"])
	p := h.e.primaryChangeOf("g")
	p.logPrimaryChange()
	changed, _ := h.logged("primary_changed")
	require.Equal(t, evidence, changed.Fields["evidence"])
}

// Guards against a poll about an overloaded primary that misses the homes which hear from it:
// instances that are no homes send it nothing.
func TestHomesArePolledFirst(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		h := newHarness(t)
		const others, homes = 100, 40
		var changes []Change
		for i := range others {
			node := fmt.Sprint("n", i)
			changes = append(changes, Change{Instance: &Instance{Node: node, ID: "1", Peer: node}})
			if i < homes {
				changes = append(changes, Change{Home: &Home{Account: core.AccountName(node), Node: node, Instance: "1", Revision: 300}})
			}
		}
		h.handle(StoreChanges{Changes: changes, Since: h.now})
		h.handle(SessionReport{Report: session.MemberSuspected{Database: "g", Member: "p"}})
		err := error(&UnansweredError{})
		if !accepted {
			err = ErrNoResponse
		}
		h.handle(JobDone{Job: h.lastJob(), Err: err})
		want := maxPolledInstances
		if accepted {
			want = homes
		}
		require.Len(t, h.requested, want)
		holders := h.e.homeHolders()
		for _, node := range h.requested {
			require.True(t, holders[node], node)
		}
	}
}

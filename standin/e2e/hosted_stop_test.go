package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Times of the scripts, counted from the SIGTERM.
const (
	beforeStop = -200 * time.Millisecond
	// openHalf is a time at which open transactions may go on, lateHalf and later are
	// times at which they may be ended.
	openHalf = 2500 * time.Millisecond
	lateHalf = 3300 * time.Millisecond
	later    = 4100 * time.Millisecond
	// nearEnd is a time at which the instance may have closed its connections.
	nearEnd = 4600 * time.Millisecond
	// memberDone is when members finish a statement, before the last sixth of the
	// grace period.
	memberDone = 4800 * time.Millisecond
)

// stopRoles are the roles of the stopping instance 0 for an account whose home is the
// instance of that number.
var stopRoles = []string{"at the home", "elsewhere"}

// Guards against a planned stop that closes the connection of an open transaction while
// a member runs its statement, or without an answer to a request, on the account's home
// and on an instance that passes the statement on to the home.
func TestHostedStopAnswersOpenTransactions(t *testing.T) {
	s := newStopRun(t, 4*time.Second)
	s.plan()
	for home, role := range stopRoles {
		begun := []string{"BEGIN", "WRITE k v"}
		s.run(s.connect(0, home, role+", read", begun...), stopStep{at: openHalf, text: "READ k", memberUntil: memberDone})
		s.run(s.connect(0, home, role+", commit", begun...), stopStep{at: openHalf, text: "COMMIT", memberUntil: memberDone})
		s.run(s.connect(0, home, role+", late read", begun...), stopStep{at: lateHalf, text: "READ k"})
		s.run(s.connect(0, home, role+", late held read", begun...), stopStep{at: later, text: "READ k", memberUntil: memberDone})
		s.run(s.connect(0, home, role+", late held commit", begun...), stopStep{at: later, text: "COMMIT", memberUntil: memberDone})
	}
	s.stop(0, 0)
	require.NoError(t, s.finish())
	require.NoError(t, s.checkAllAnswered())
}

// Guards against a planned stop that drops the result of a single statement which was
// sent before the sessions end and which a member finishes before the last sixth of the
// grace period.
func TestHostedStopDeliversResults(t *testing.T) {
	s := newStopRun(t, 4*time.Second)
	s.plan()
	for home, role := range stopRoles {
		s.run(s.connect(0, home, role+", read"), stopStep{at: 2 * time.Second, text: "READ k", memberUntil: memberDone - 100*time.Millisecond})
		s.run(s.connect(0, home, role+", write"), stopStep{at: 2 * time.Second, text: "WRITE k v", memberUntil: memberDone - 100*time.Millisecond})
	}
	s.stop(0, 0)
	require.NoError(t, s.finish())
	require.NoError(t, s.checkAllAnswered())
	require.NoError(t, s.checkAllRun())
}

// Guards against a planned stop that ends the connection without an answer when a member
// does not finish a statement whose time limit is longer than the grace period, that
// reports such a statement as not run although the member runs it later, or that waits
// for it beyond the grace period.
func TestHostedStopAnswersUnfinishedStatements(t *testing.T) {
	s := newStopRun(t, 2*hostedGracePeriod)
	s.plan()
	for home, role := range stopRoles {
		begun := []string{"BEGIN", "WRITE k v"}
		s.run(s.connect(0, home, role+", single read"), stopStep{at: 2 * time.Second, text: "READ k", memberUntil: never})
		s.run(s.connect(0, home, role+", single write"), stopStep{at: 2 * time.Second, text: "WRITE k v", memberUntil: never})
		s.run(s.connect(0, home, role+", read", begun...), stopStep{at: openHalf, text: "READ k", memberUntil: never})
		s.run(s.connect(0, home, role+", commit", begun...), stopStep{at: openHalf, text: "COMMIT", memberUntil: never})
	}
	s.stop(0, 0)
	require.NoError(t, s.finish())
	require.NoError(t, s.checkAllAnswered())
}

// Guards against callers of an instance that stays, or that stops half a second later,
// which lose an answer because the home of their account stops: a result that a member
// finishes in time, or the error of a statement that it does not finish. Also guards
// against a write that runs twice because it is repeated at the new home.
func TestHostedStopOfTheHome(t *testing.T) {
	for name, both := range map[string]bool{"home": false, "both": true} {
		t.Run(name, func(t *testing.T) {
			s := newStopRun(t, 2*hostedGracePeriod)
			s.plan()
			begun := []string{"BEGIN", "WRITE k v"}
			connect := func(name string, before ...string) *stopCaller { return s.connect(1, 0, name, before...) }
			s.run(connect("single read"), stopStep{at: beforeStop, text: "READ k", memberUntil: memberDone})
			s.run(connect("single write"), stopStep{at: beforeStop, text: "WRITE k v", memberUntil: memberDone})
			s.run(connect("unfinished write"), stopStep{at: beforeStop, text: "WRITE k v", memberUntil: never})
			s.run(connect("write while it stops"), stopStep{at: time.Second, text: "WRITE k v"})
			s.run(connect("read", begun...), stopStep{at: openHalf, text: "READ k", memberUntil: memberDone})
			s.run(connect("commit", begun...), stopStep{at: openHalf, text: "COMMIT", memberUntil: memberDone})
			s.run(connect("unfinished commit", begun...), stopStep{at: openHalf, text: "COMMIT", memberUntil: never})
			s.run(connect("late read", begun...), stopStep{at: lateHalf, text: "READ k"})
			s.run(connect("late commit", begun...), stopStep{at: later, text: "COMMIT"})
			s.stop(0, 0)
			if both {
				s.stop(1, 500*time.Millisecond)
			}
			require.NoError(t, s.finish())
			require.NoError(t, s.checkAllAnswered())
		})
	}
}

// Guards against a planned stop that leaves the first statement of a transaction, whose
// BEGIN was answered before, without an answer.
func TestHostedStopAfterBegin(t *testing.T) {
	s := newStopRun(t, 4*time.Second)
	s.plan()
	for home, role := range stopRoles {
		for name, at := range map[string]time.Duration{"early": time.Second, "open half": openHalf, "late half": lateHalf, "later": later, "near the end": nearEnd} {
			for _, text := range []string{"READ k", "WRITE k v", "COMMIT"} {
				s.run(s.connect(0, home, role+", "+name, "BEGIN"), stopStep{at: at, text: text, mayBeClosed: at >= nearEnd})
			}
		}
	}
	s.stop(0, 0)
	require.NoError(t, s.finish())
	require.NoError(t, s.checkAllAnswered())
}

// Guards against a planned stop that leaves the next statement of an idle transaction
// without an answer, or with one that is not true: the transaction may have been ended,
// and then nothing of it may be kept.
func TestHostedStopOfIdleTransactions(t *testing.T) {
	s := newStopRun(t, 4*time.Second)
	s.plan()
	begun := []string{"BEGIN", "WRITE k v"}
	for home, role := range stopRoles {
		s.connect(0, home, role+", idle", begun...)
		s.run(s.connect(0, home, role, begun...), stopStep{at: lateHalf, text: "COMMIT"})
		// If the read is refused, the operation is over and the session may end.
		s.run(s.connect(0, home, role, begun...), stopStep{at: lateHalf, text: "READ k"}, stopStep{at: later, text: "COMMIT", mayBeClosed: true})
		s.run(s.connect(0, home, role, begun...), stopStep{at: later, text: "COMMIT"})
		s.run(s.connect(0, home, role, begun...), stopStep{at: nearEnd, text: "COMMIT", mayBeClosed: true})
	}
	for _, at := range []time.Duration{lateHalf, nearEnd, hostedGracePeriod + 500*time.Millisecond} {
		s.run(s.connect(1, 0, "at the instance that stays", begun...), stopStep{at: at, text: "COMMIT"})
	}
	s.stop(0, 0)
	require.NoError(t, s.finish())
	require.NoError(t, s.checkAllAnswered())
}

// Guards against a planned stop that closes the connection of an idle caller after the
// instance has read a request of that caller, or that leaves such a request waiting on a
// connection that is closed later.
func TestHostedStopOfIdleCallers(t *testing.T) {
	const (
		callers = 400
		// The requests are sent before, while and after the sessions end.
		first    = 2050 * time.Millisecond
		interval = time.Millisecond
	)
	s := newStopRun(t, 4*time.Second)
	s.plan()
	for i := range callers {
		home := i % len(stopRoles)
		s.run(s.connect(0, home, stopRoles[home]), stopStep{at: first + time.Duration(i)*interval, text: []string{"READ k", "WRITE k v"}[i/2%2]})
	}
	s.stop(0, 0)
	require.NoError(t, s.finish())
}

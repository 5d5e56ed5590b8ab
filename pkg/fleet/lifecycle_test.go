package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/stopplan"
)

// testStopPlan is the plan of a stop with a grace period of 6 s.
var testStopPlan = stopplan.Plan{
	Sessions: 2 * time.Second, Transactions: 3 * time.Second, Statements: 5100 * time.Millisecond,
	Answers: 5200 * time.Millisecond, Grace: 6 * time.Second,
}

// Guards against a planned stop that disconnects callers before the balancer has
// noticed, that keeps homes, or that ends transactions and statements before their time.
func TestPlannedStop(t *testing.T) {
	h := newHarness(t)
	require.True(t, h.ready)
	stopped := h.now
	h.handle(StopRequested{})
	require.False(t, h.ready)
	require.True(t, h.deregistered)
	drain := session.Drain{StatementsEnd: stopped.Add(testStopPlan.Statements)}
	for _, step := range []struct {
		at    time.Duration
		input session.Input
	}{
		{testStopPlan.Sessions, drain},
		{testStopPlan.Transactions, session.EndTransactions{}},
		{testStopPlan.Answers, session.EndStatements{}},
	} {
		h.advance(stopped.Add(step.at).Sub(h.now) - 100*time.Millisecond)
		require.NotContains(t, h.sessionInputs, step.input)
		h.advance(200 * time.Millisecond)
		require.Contains(t, h.sessionInputs, step.input)
		require.False(t, h.finished, "session has not reported that it has answered everything")
	}
	h.handle(SessionReport{Report: session.Drained{}})
	require.True(t, h.finished)
}

// Guards against a planned stop that lasts although no session is left.
func TestPlannedStopEndsOnceDrained(t *testing.T) {
	for _, after := range []time.Duration{2500 * time.Millisecond, 4 * time.Second} {
		h := newHarness(t)
		h.handle(StopRequested{})
		h.advance(after)
		require.False(t, h.finished)
		h.handle(SessionReport{Report: session.Drained{}})
		require.True(t, h.finished)
	}
}

// Guards against a process that is killed at the end of the grace period because its
// session duty never reports that it has ended.
func TestPlannedStopIsBounded(t *testing.T) {
	h := newHarness(t)
	h.handle(StopRequested{})
	h.advance(testStopPlan.Grace - 500*time.Millisecond)
	require.True(t, h.finished)
}

package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// countSteps returns how often each step of a stop was sent to session.
func (h *harness) countSteps() (drains, releases, transactions, statements int) {
	for _, sent := range h.sessionInputs {
		switch sent.(type) {
		case session.Drain:
			drains++
		case session.ReleaseIdle:
			releases++
		case session.EndTransactions:
			transactions++
		case session.EndStatements:
			statements++
		}
	}
	return drains, releases, transactions, statements
}

// requireSteps checks how often each step of the stop was sent to session.
func (h *harness) requireSteps(drains, transactions, statements int) {
	h.t.Helper()
	d, r, tx, st := h.countSteps()
	require.Zero(h.t, r, "idle callers are released by the drain only")
	require.Equal(h.t, []int{drains, transactions, statements}, []int{d, tx, st})
}

// Guards against a planned stop that is begun again, shortened, or undone by a cut, its end,
// changed settings or a new configuration.
func TestPlannedStopOutlastsOtherChanges(t *testing.T) {
	changes := map[string]func(*harness){
		"cut off":       func(h *harness) { h.handle(StoreUnavailable{Reason: "test"}) },
		"reconnected":   func(h *harness) { h.handle(StoreSnapshot{Snapshot: &Snapshot{}}) },
		"stop again":    func(h *harness) { h.handle(StopRequested{}) },
		"settings":      func(h *harness) { h.handle(Limits{TargetDrain: time.Second, RateWindow: time.Second}) },
		"configuration": func(h *harness) { h.handle(StoreChanges{Changes: []Change{{Configuration: configuration(7)}}}) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			h := newTwoDomainHarness(t)
			h.handle(StopRequested{})
			change(h)
			h.advance(testStopPlan.Sessions)
			change(h)
			h.requireSteps(1, 0, 0)
			h.advance(testStopPlan.Transactions - testStopPlan.Sessions)
			change(h)
			h.requireSteps(1, 1, 0)
			h.advance(testStopPlan.Answers - testStopPlan.Transactions)
			change(h)
			h.requireSteps(1, 1, 1)
			require.False(t, h.finished)
			h.advance(testStopPlan.Grace - testStopPlan.Answers)
			require.True(t, h.finished)
			change(h)
			require.False(t, h.ready)
			h.requireSteps(1, 1, 1)
		})
	}
}

// Guards against an instance that cannot be stopped while it is isolated, or whose stop
// waits for the end of the cut.
func TestPlannedStopOfACutOffInstance(t *testing.T) {
	h := newTwoDomainHarness(t)
	h.handle(StoreUnavailable{Reason: "test"})
	h.advance(pollTimeout + time.Second)
	require.False(t, h.ready)
	h.handle(StopRequested{})
	require.True(t, h.deregistered)
	h.advance(testStopPlan.Sessions)
	h.requireSteps(1, 0, 0)
	h.handle(SessionReport{Report: session.Drained{}})
	require.True(t, h.finished)
}

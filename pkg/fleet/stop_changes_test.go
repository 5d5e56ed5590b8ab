package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// countInputs returns how often an input was sent to session.
func (h *harness) countInputs(in session.Input) int {
	n := 0
	for _, sent := range h.sessionInputs {
		if sent == in {
			n++
		}
	}
	return n
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
			h.advance(h.e.config.Bounds.BalancerNotice)
			change(h)
			require.Equal(t, 1, h.countInputs(session.Drain{}))
			require.Zero(t, h.countInputs(session.ReleaseIdle{}))
			require.False(t, h.finished)
			h.advance(h.e.config.Bounds.DrainTimeout)
			require.True(t, h.finished)
			change(h)
			require.False(t, h.ready)
			require.Equal(t, 1, h.countInputs(session.Drain{}))
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
	h.advance(h.e.config.Bounds.BalancerNotice)
	require.Equal(t, 1, h.countInputs(session.Drain{}))
	h.handle(SessionReport{Report: session.Drained{}})
	require.True(t, h.finished)
}

package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// rollingResult is what a schedule of planned stops led to.
type rollingResult struct {
	w *homeWorld
	// refused counts the refused requests, handedOver the stops after which another
	// instance was the home within handoverLimit.
	refused, handedOver int
	// runs are the requests that ran at the member since the first stop.
	runs []homeRun
}

// handoverLimit is far longer than an undisturbed handover and shorter than the time until
// another instance claims the home.
const handoverLimit = 100 * time.Millisecond

// rollingStops stops the home of the account three times in a row, with callers that use
// about two thirds of the rate, and store changes that take up to 300 ms to reach the
// instances.
func rollingStops(t *testing.T, seed uint64, disturb func(*homeWorld, *homeNode), options ...func(*homeWorld)) rollingResult {
	const instances, callers = 4, 6
	w := newHomeWorld(t, seed, instances, callers, append(options, func(w *homeWorld) {
		w.maxWatchDelay, w.ordered = 300*time.Millisecond, true
	})...)
	w.runFor(10 * time.Second)
	require.NotNil(t, w.homeNode(), "the account has a home")
	before := len(w.runs)
	r := rollingResult{w: w}
	w.refused = 0
	for range 3 {
		if home := w.homeNode(); home != nil {
			home.later(0, func() { home.fleetInput(StopRequested{}) })
			disturb(w, home)
			w.runFor(handoverLimit)
			if now := w.homeNode(); now != nil && now != home {
				r.handedOver++
			}
		}
		w.runFor(3400 * time.Millisecond)
	}
	w.runFor(6 * time.Second)
	r.refused, r.runs = w.refused, w.runs[before:]
	require.Greater(t, len(r.runs), 500, "seed %d: the account is served", seed)
	require.LessOrEqual(t, float64(w.fullestWindow()), homeSimLimit, "seed %d", seed)
	return r
}

// requireOneHome checks that the old home admits nothing as the home once the record names
// the successor, and the successor nothing just before that.
func (r *rollingResult) requireOneHome(seed uint64) {
	t := r.w.t
	for _, transfer := range r.w.transfers {
		for _, run := range r.runs {
			if !run.asHome {
				continue
			}
			after := run.sentAt.Sub(transfer.at)
			require.False(t, run.run == transfer.from && after > 0, "seed %d: the old home %s admits %s after the transfer", seed, transfer.from, after)
			require.False(t, run.run == transfer.to && after < 0 && after > -handoverLimit, "seed %d: the successor %s admits %s before the transfer", seed, transfer.to, -after)
		}
	}
}

func undisturbed(*homeWorld, *homeNode) {}

// Guards against requests that are refused because an account has no home: at a planned stop
// each home moves to a successor, and the old home admits nothing after the new one has
// begun.
func TestPlannedStopsRefuseNothing(t *testing.T) {
	for seed := range simSeeds(t, homeSimSeeds) {
		r := rollingStops(t, seed, undisturbed)
		require.Zero(t, r.refused, "seed %d", seed)
		require.Equal(t, 3, r.handedOver, "seed %d", seed)
		r.requireOneHome(seed)
	}
}

// Guards against a simulation that cannot fail: without a handover requests are refused.
func TestHomeSimulationNoticesStopsWithoutHandover(t *testing.T) {
	total := 0
	for seed := range uint64(homeSimSeeds) {
		total += rollingStops(t, seed, undisturbed, func(w *homeWorld) { w.noHandover = true }).refused
	}
	t.Logf("%d requests refused", total)
	require.Positive(t, total)
}

// successorOf returns the successor that the instance has chosen, nil if there is none.
func (w *homeWorld) successorOf(n *homeNode) *homeNode {
	m := n.fleet.handovers.running["acct"]
	if m == nil || m.successor.Instance.Peer == "" {
		return nil
	}
	return w.node(session.PeerAddress(m.successor.Instance.Peer))
}

// duringHandover calls run at a random time within the steps of a handover.
func duringHandover(run func(w *homeWorld, old, successor *homeNode)) func(*homeWorld, *homeNode) {
	return func(w *homeWorld, old *homeNode) {
		w.after(time.Duration(1+w.rng.IntN(14000))*time.Microsecond, func() {
			if successor := w.successorOf(old); successor != nil {
				run(w, old, successor)
			}
		})
	}
}

func pause(w *homeWorld, n *homeNode) {
	n.suspendedUntil = w.now.Add(time.Duration(100+w.rng.IntN(4000)) * time.Millisecond)
}

// Guards against two homes at a time, more than the rate, or an account that is not served
// when a step of a handover fails: a process is paused or ends, or the write fails or its
// outcome is not known.
func TestDisturbedHandover(t *testing.T) {
	for name, disturbance := range map[string]struct {
		disturb func(*homeWorld, *homeNode)
		write   error
	}{
		"old home paused":    {disturb: duringHandover(func(w *homeWorld, old, _ *homeNode) { pause(w, old) })},
		"successor paused":   {disturb: duringHandover(func(w *homeWorld, _, successor *homeNode) { pause(w, successor) })},
		"old home ends":      {disturb: duringHandover(func(_ *homeWorld, old, _ *homeNode) { old.kill() })},
		"successor ends":     {disturb: duringHandover(func(_ *homeWorld, _, successor *homeNode) { successor.kill() })},
		"write not executed": {disturb: undisturbed, write: ErrUnavailable},
		"outcome not known":  {disturb: undisturbed, write: ErrUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			refused, transfers := 0, 0
			for seed := range simSeeds(t, homeSimSeeds) {
				r := rollingStops(t, seed, disturbance.disturb, func(w *homeWorld) { w.transferError = disturbance.write })
				refused += r.refused
				transfers += len(r.w.transfers)
				r.requireOneHome(seed)
			}
			t.Logf("%d requests refused, %d transfers", refused, transfers)
		})
	}
}

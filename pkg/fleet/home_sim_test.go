package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// homeChange ends the present home of the account in one of the ways, or makes it
// unresponsive.
func homeChange(w *homeWorld) {
	n := w.homeNode()
	if n == nil {
		return
	}
	switch w.rng.IntN(4) {
	case 0, 1:
		n.kill()
	case 2:
		n.later(0, func() { n.fleetInput(StopRequested{}) })
	case 3:
		n.suspendedUntil = w.now.Add(time.Duration(500+w.rng.IntN(2500)) * time.Millisecond)
	}
}

// severalChanges changes the home two to eight times, in any order of ways, within one or
// two rate windows.
func severalChanges(w *homeWorld) {
	for range 2 + w.rng.IntN(7) {
		homeChange(w)
		w.runFor(time.Duration(400+w.rng.IntN(1400)) * time.Millisecond)
	}
}

// homeSimSeeds is the number of schedules in CI.
const homeSimSeeds = 6

// Guards against an account that gets more than its rate, burst and tolerance in a rate
// window because its home changes several times, and against one that gets next to
// nothing meanwhile.
func TestRateHoldsWhileTheHomeChanges(t *testing.T) {
	fullest := 0
	for seed := range simSeeds(t, homeSimSeeds) {
		most, ran := checkHomes(t, seed, false, severalChanges)
		fullest = max(fullest, most)
		require.LessOrEqual(t, float64(most), homeSimLimit, "seed %d", seed)
		require.Greater(t, float64(ran), homeSimRate*6/2, "seed %d: the account is served after the changes", seed)
	}
	t.Logf("fullest window: %d of %.1f", fullest, homeSimLimit)
}

// Guards against a simulation that cannot fail: with tokens in advance at each change the
// limit is exceeded. Homes are not handed over here: a handover leaves no time without a
// home, in which others use such tokens.
func TestHomeSimulationNoticesTokensAtEachChange(t *testing.T) {
	exceeded := 0
	for seed := range uint64(homeSimSeeds) {
		most, _ := checkHomes(t, seed, true, severalChanges, func(w *homeWorld) { w.noHandover = true })
		t.Logf("seed %d: %d of %.1f", seed, most, homeSimLimit)
		if float64(most) > homeSimLimit {
			exceeded++
		}
	}
	require.Positive(t, exceeded)
}

package fleet

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a primary that is declared dead, or homes that are released, because its
// queue is full or it is slow: some homes of 100 instances send it more than it can run.
// OVERLOAD_SEEDS sets the number of seeds.
//
// At 300 ms a statement, no new connection opens within its limit of 2 s. The homes without
// one get no response for longer than maxOverloadTime while others do, and are released.
func TestOverloadedPrimaryIsKept(t *testing.T) {
	overloads := []struct {
		homes   int
		service time.Duration
	}{{60, 30 * time.Millisecond}, {60, 150 * time.Millisecond}, {60, 300 * time.Millisecond}, {12, 300 * time.Millisecond}}
	for _, c := range overloads {
		t.Run(fmt.Sprint(c.homes, " homes, ", c.service), func(t *testing.T) {
			checks, answers, released := 0, 0, 0
			for seed := range overloadSeeds(t, 1) {
				w := newOverloadWorld(t, seed, c.homes, c.service)
				w.run(4 * time.Second)
				require.Empty(t, w.deaths, "seed %d", seed)
				if c.service < 300*time.Millisecond {
					require.Zero(t, w.released, "seed %d", seed)
				}
				checks += w.checks
				answers += w.answers
				released += w.released
			}
			t.Logf("%d status requests, %d answers, %d homes released", checks, answers, released)
			require.NotZero(t, answers)
		})
	}
}

// Guards against a primary that stops under load and is found later than 350 ms without a
// response, the status request and the poll of the others take. Each home repeats the check
// that a last response spoils, so the first of them counts.
func TestStoppedPrimaryIsFound(t *testing.T) {
	stops := map[string]func(*overloadMember){
		"frozen":  func(m *overloadMember) { m.frozen = true },
		"cut off": func(m *overloadMember) { m.frozen, m.cut = true, true },
		"ended":   func(m *overloadMember) { m.frozen, m.down = true, true },
	}
	for name, stop := range stops {
		for _, service := range []time.Duration{10 * time.Millisecond, 150 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", service), func(t *testing.T) {
				for seed := range overloadSeeds(t, 1) {
					w := newOverloadWorld(t, seed, 60, service)
					w.run(2 * time.Second)
					require.Empty(t, w.deaths)
					stop(&w.member)
					w.run(overloadDetection)
					require.NotEmpty(t, w.deaths, "seed %d", seed)
					t.Logf("seed %d: found after %v", seed, w.deaths[0]-2*time.Second)
				}
			})
		}
	}
}

// overloadDetection is the time within which the first home finds a stopped primary: 350 ms, up to
// 150 ms until the next look at the members, 300 ms for the status request, 120 ms for the
// poll, and messages.
const overloadDetection = 950 * time.Millisecond

// overloadSeeds returns the number of seeds to run: OVERLOAD_SEEDS, or the usual one.
func overloadSeeds(t *testing.T, usual uint64) uint64 {
	text := os.Getenv("OVERLOAD_SEEDS")
	if text == "" {
		return usual
	}
	n, err := strconv.ParseUint(text, 10, 32)
	require.NoError(t, err)
	return n
}

package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

func replica(applied core.LSN, change func(*Candidate)) Candidate {
	c := Candidate{
		Status:      &core.MemberStatus{LogTerm: 1, Applied: applied, Terms: core.TermHistory{{Term: 1}}},
		Reachable:   true,
		Slots:       2,
		Connections: 1,
		Domain:      "home",
	}
	if change != nil {
		change(&c)
	}
	return c
}

var request = Request{Floor: core.Position{Term: 1, LSN: 100}, MaxAge: time.Second, LocalDomain: "home"}

// Guards against a factor that has no effect or the opposite effect.
func TestEachFactorDecides(t *testing.T) {
	cases := map[string]func(*Candidate){
		"fresher":          func(c *Candidate) { c.Age = 900 * time.Millisecond },
		"free slots":       func(c *Candidate) { c.Running = 1 },
		"shorter queue":    func(c *Candidate) { c.Queued = 1 },
		"others' work":     func(c *Candidate) { c.Status.SlotsBusy = 2 },
		"same domain":      func(c *Candidate) { c.Domain = "away" },
		"lower latency":    func(c *Candidate) { c.Latency = 10 * time.Millisecond },
		"faster member":    func(c *Candidate) { c.Service = 10 * time.Millisecond },
		"open connection":  func(c *Candidate) { c.Connections = 0 },
		"behind the floor": func(c *Candidate) { c.Status.Applied = 99 },
		"too old":          func(c *Candidate) { c.Age = 2 * time.Second },
		"slow":             func(c *Candidate) { c.Latency = time.Second },
		"suspected":        func(c *Candidate) { c.Reachable = false },
		"unknown":          func(c *Candidate) { c.Status = nil },
		"no allowance":     func(c *Candidate) { c.Exhausted = true },
		"primary":          func(c *Candidate) { c.Primary = true },
	}
	for name, worsen := range cases {
		choice := NewFactors().Choose(&request, []Candidate{replica(100, worsen), replica(100, nil)})
		require.Equal(t, 1, choice.Index, name)
		require.NotEmpty(t, choice.Reason, name)
	}
}

// Guards against a read that takes the only connection away from the primary's
// statements.
func TestFullPoolKeepsToOpenConnections(t *testing.T) {
	busy := replica(100, func(c *Candidate) { c.Running, c.Queued = 2, 1 })
	unconnected := replica(100, func(c *Candidate) { c.Connections, c.MustReplace = 0, true })
	choice := NewFactors().Choose(&request, []Candidate{busy, unconnected})
	require.Equal(t, 0, choice.Index)
}

// Guards against a policy that violates read-your-writes or the accepted staleness.
func TestNoPolicyTakesAnUnfitReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := make([]Candidate, rapid.IntRange(0, 4).Draw(t, "members"))
		for i := range candidates {
			candidates[i] = replica(core.LSN(rapid.IntRange(90, 110).Draw(t, "applied")), func(c *Candidate) {
				c.Age = time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond
				c.Reachable = rapid.Bool().Draw(t, "reachable")
				c.Primary = i == 0
			})
		}
		for _, p := range []Policy{NewFactors(), &RoundRobin{}, PrimaryOnly{}} {
			choice := p.Choose(&request, candidates)
			if choice.Index < 0 {
				require.NotEmpty(t, choice.Reason)
				continue
			}
			c := candidates[choice.Index]
			require.True(t, c.Reachable && !c.Primary)
			require.GreaterOrEqual(t, c.Status.Applied, core.LSN(100))
			require.LessOrEqual(t, c.Age, request.MaxAge)
		}
	})
}

// Guards against a round-robin policy that does not use the replicas in turn.
func TestRoundRobinTakesTurns(t *testing.T) {
	p := &RoundRobin{}
	candidates := []Candidate{replica(100, nil), replica(99, nil), replica(100, nil)}
	var turns []int
	for range 4 {
		turns = append(turns, p.Choose(&request, candidates).Index)
	}
	require.Equal(t, []int{0, 2, 0, 2}, turns)
	require.Equal(t, -1, PrimaryOnly{}.Choose(&request, candidates).Index)
}

package catalogue

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testKeeperSettings = KeeperSettings{EditTimeout: 5 * time.Second, ReadRetry: 500 * time.Millisecond}

func loadChart(t require.TestingT, name string) *chart.Definition {
	text, err := os.ReadFile("../../charts/" + name + ".toml")
	require.NoError(t, err)
	d, err := chart.Parse(name, text)
	require.NoError(t, err)
	return d
}

// drawer returns a number from minimum to maximum for the choice that is named.
type drawer func(choice string, minimum, maximum int) int

func drawnBy(t *rapid.T) drawer {
	return func(choice string, minimum, maximum int) int {
		return rapid.IntRange(minimum, maximum).Draw(t, choice)
	}
}

// fixedDraws returns the numbers of each choice in order, and then the last
// one again.
func fixedDraws(draws map[string][]int) drawer {
	next := map[string]int{}
	return func(choice string, _, _ int) int {
		numbers := draws[choice]
		i := min(next[choice], len(numbers)-1)
		next[choice]++
		return numbers[i]
	}
}

// keeperSim runs several keepers against one record, with lost responses and
// delayed writes.
type keeperSim struct {
	t        require.TestingT
	draw     drawer
	now      time.Time
	record   Record
	keepers  []*Keeper
	delayed  []Write
	results  map[string][]Finished
	versions []uint64
	serial   int
}

func (s *keeperSim) chance(percent int, what string) bool {
	return s.draw(what, 1, 100) <= percent
}

// apply compare-and-swaps the record.
func (s *keeperSim) apply(w Write) bool {
	if w.Revision != s.record.Revision {
		return false
	}
	s.record = Record{Catalogue: w.Catalogue, Revision: s.record.Revision + 1}
	return true
}

func (s *keeperSim) answer(k *Keeper, c Command) {
	switch c := c.(type) {
	case Read:
		if s.chance(70, "read answered") {
			k.Record(s.record, SourceRead, s.now)
		} else {
			k.ReadFailed(s.now)
		}
	case Write:
		s.answerWrite(k, c)
	case Finished:
		s.results[c.EditID] = append(s.results[c.EditID], c)
	}
}

func (s *keeperSim) answerWrite(k *Keeper, w Write) {
	switch s.draw("write", 0, 4) {
	case 0:
		k.NotWritten(w.EditID, s.now)
	case 1:
		s.apply(w)
		k.OutcomeUnknown(w.EditID, s.now)
	case 2:
		s.delayed = append(s.delayed, w)
		k.OutcomeUnknown(w.EditID, s.now)
	default:
		if s.apply(w) {
			k.Written(w.EditID, s.record.Revision, s.now)
		} else {
			k.Conflict(w.EditID, s.record, s.now)
		}
	}
}

func (s *keeperSim) step() {
	s.now = s.now.Add(time.Duration(s.draw("ms", 0, 2000)) * time.Millisecond)
	index := s.draw("keeper", 0, len(s.keepers)-1)
	k := s.keepers[index]
	switch s.draw("step", 0, 4) {
	case 0:
		s.serial++
		rate := float64(s.draw("rate", 0, 5))
		edit := PutAccount{Name: core.AccountName(fmt.Sprintf("a%d", s.serial)), Weight: 1, Rate: rate, Burst: 1}
		require.NoError(s.t, k.Submit(fmt.Sprintf("e%d", s.serial), []Edit{edit}, s.now))
	case 1:
		k.Record(s.record, SourceWatch, s.now)
	case 2:
		k.PeerCatalogue(s.keepers[0].InForce(), s.now)
	case 3:
		if len(s.delayed) > 0 {
			s.apply(s.delayed[0])
			s.delayed = s.delayed[1:]
		}
	}
	k.Tick(s.now)
	s.drain(k, index)
}

func (s *keeperSim) drain(k *Keeper, index int) {
	for commands := k.TakeCommands(); len(commands) > 0; commands = k.TakeCommands() {
		for _, c := range commands {
			s.answer(k, c)
		}
	}
	version := k.InForce().Version
	require.GreaterOrEqual(s.t, version, s.versions[index], "the catalogue in force went back")
	s.versions[index] = version
}

func newKeeperSim(t require.TestingT, draw drawer) *keeperSim {
	s := &keeperSim{t: t, draw: draw, now: time.Unix(0, 0), results: map[string][]Finished{}, versions: make([]uint64, 3)}
	for range 3 {
		k, err := NewKeeper(loadChart(t, "configuration"), testKeeperSettings)
		require.NoError(t, err)
		s.keepers = append(s.keepers, k)
	}
	return s
}

// run takes the steps, applies what was delayed and lets every edit end.
func (s *keeperSim) run(steps int) {
	for range steps {
		s.step()
	}
	for _, w := range s.delayed {
		s.apply(w)
	}
	for range 40 {
		s.now = s.now.Add(time.Second)
		for i, k := range s.keepers {
			k.Tick(s.now)
			s.drain(k, i)
		}
	}
}

// Guards against an edit without a result or with two, a refusal of an edit
// that was accepted (or the reverse) when responses are lost and operators
// race, and a version that goes back.
func TestEveryEditGetsOneTrueResult(t *testing.T) {
	outcomes := map[Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newKeeperSim(t, drawnBy(t))
		s.run(s.draw("steps", 10, 60))
		s.checkResults(outcomes)
	})
	for _, o := range []Outcome{OutcomeAccepted, OutcomeConflict, OutcomeRejected, OutcomeNotWritten} {
		require.Positive(t, outcomes[o], "no edit ended as %s", o)
	}
}

// Guards against an outcome that no edit can reach, which the drawn runs reach
// only by luck, and against a wrong result in the shortest way to each.
func TestEachOutcomeIsReached(t *testing.T) {
	const (
		submit    = 0
		notTaken  = 0
		lost      = 1
		answered  = 4
		readWorks = 1
		readFails = 100
	)
	cases := map[Outcome]map[string][]int{
		OutcomeAccepted:   {"rate": {1}, "keeper": {0}, "write": {answered}, "read answered": {readWorks}},
		OutcomeRejected:   {"rate": {0}, "keeper": {0}, "write": {answered}, "read answered": {readWorks}},
		OutcomeNotWritten: {"rate": {1}, "keeper": {0}, "write": {notTaken}, "read answered": {readWorks}},
		// The third edit is written from the revision before the second.
		OutcomeConflict: {"rate": {1}, "keeper": {0, 1, 0}, "write": {answered}, "read answered": {readWorks}},
		// The record can't be read after the response to the write was lost.
		OutcomeUncertain: {"rate": {1}, "keeper": {0}, "write": {lost}, "read answered": {readWorks, readFails}},
	}
	for outcome, draws := range cases {
		t.Run(string(outcome), func(t *testing.T) {
			draws["step"], draws["ms"] = []int{submit}, []int{0}
			outcomes := map[Outcome]int{}
			s := newKeeperSim(t, fixedDraws(draws))
			s.run(len(draws["keeper"]))
			s.checkResults(outcomes)
			require.Positive(t, outcomes[outcome], "outcomes: %v", outcomes)
		})
	}
}

func (s *keeperSim) checkResults(outcomes map[Outcome]int) {
	for i := range s.serial {
		id := fmt.Sprintf("e%d", i+1)
		results := s.results[id]
		require.Len(s.t, results, 1, id)
		outcome := results[0].Outcome
		outcomes[outcome]++
		inRecord := false
		if s.record.Catalogue != nil {
			_, inRecord = s.record.Catalogue.EditVersion(id)
		}
		switch outcome {
		case OutcomeAccepted:
			require.True(s.t, inRecord, "%s was accepted and is missing", id)
		case OutcomeConflict, OutcomeRejected, OutcomeNotWritten:
			require.False(s.t, inRecord, "%s: %s, but it is in force", id, outcome)
		}
	}
}

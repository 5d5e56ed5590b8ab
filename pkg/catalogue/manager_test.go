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

var testSettings = ManagerSettings{EditTimeout: 5 * time.Second, ReadRetry: 500 * time.Millisecond}

func loadChart(t require.TestingT, name string) *chart.Definition {
	text, err := os.ReadFile("../../charts/" + name + ".toml")
	require.NoError(t, err)
	d, err := chart.Parse(name, text)
	require.NoError(t, err)
	return d
}

// drawer returns a number from minimum to maximum for the named choice.
type drawer func(choice string, minimum, maximum int) int

func drawnBy(t *rapid.T) drawer {
	return func(choice string, minimum, maximum int) int {
		return rapid.IntRange(minimum, maximum).Draw(t, choice)
	}
}

// fixedDraws returns the numbers of each choice in order, and repeats the last
// one.
func fixedDraws(draws map[string][]int) drawer {
	next := map[string]int{}
	return func(choice string, _, _ int) int {
		numbers := draws[choice]
		i := min(next[choice], len(numbers)-1)
		next[choice]++
		return numbers[i]
	}
}

// managerSim runs several catalogue managers against one record, with lost
// responses and delayed writes.
type managerSim struct {
	t         require.TestingT
	draw      drawer
	now       time.Time
	record    Record
	managers  []*Manager
	delayed   []Write
	results   map[string][]Finished
	versions  []uint64
	editCount int
}

func (s *managerSim) chance(percent int, what string) bool {
	return s.draw(what, 1, 100) <= percent
}

// apply carries out the compare-and-swap of the record.
func (s *managerSim) apply(w Write) bool {
	if w.Revision != s.record.Revision {
		return false
	}
	s.record = Record{Catalogue: w.Catalogue, Revision: s.record.Revision + 1}
	return true
}

func (s *managerSim) answer(m *Manager, c Command) {
	switch c := c.(type) {
	case Read:
		if s.chance(70, "read answered") {
			m.UpdateRecord(s.record, SourceRead, s.now)
		} else {
			m.ReadFailed(s.now)
		}
	case Write:
		s.answerWrite(m, c)
	case Finished:
		s.results[c.EditID] = append(s.results[c.EditID], c)
	}
}

func (s *managerSim) answerWrite(m *Manager, w Write) {
	switch s.draw("write", 0, 4) {
	case 0:
		m.NotWritten(w.EditID, s.now)
	case 1:
		s.apply(w)
		m.OutcomeUnknown(w.EditID, s.now)
	case 2:
		s.delayed = append(s.delayed, w)
		m.OutcomeUnknown(w.EditID, s.now)
	default:
		if s.apply(w) {
			m.Written(w.EditID, s.record.Revision, s.now)
		} else {
			m.Conflict(w.EditID, s.record, s.now)
		}
	}
}

func (s *managerSim) step() {
	s.now = s.now.Add(time.Duration(s.draw("ms", 0, 2000)) * time.Millisecond)
	index := s.draw("manager", 0, len(s.managers)-1)
	m := s.managers[index]
	switch s.draw("step", 0, 4) {
	case 0:
		s.editCount++
		rate := float64(s.draw("rate", 0, 5))
		edit := PutAccount{Name: core.AccountName(fmt.Sprintf("a%d", s.editCount)), Weight: 1, Rate: rate, Burst: 1}
		require.NoError(s.t, m.Submit(fmt.Sprintf("e%d", s.editCount), []Edit{edit}, s.now))
	case 1:
		m.UpdateRecord(s.record, SourceWatch, s.now)
	case 2:
		m.AdoptFromPeer(s.managers[0].Current(), s.now)
	case 3:
		if len(s.delayed) > 0 {
			s.apply(s.delayed[0])
			s.delayed = s.delayed[1:]
		}
	}
	m.Tick(s.now)
	s.handleCommands(m, index)
}

func (s *managerSim) handleCommands(m *Manager, index int) {
	for commands := m.TakeCommands(); len(commands) > 0; commands = m.TakeCommands() {
		for _, c := range commands {
			s.answer(m, c)
		}
	}
	version := m.Current().Version
	require.GreaterOrEqual(s.t, version, s.versions[index], "the version of the current catalogue decreased")
	s.versions[index] = version
}

func newManagerSim(t require.TestingT, draw drawer) *managerSim {
	s := &managerSim{t: t, draw: draw, now: time.Unix(0, 0), results: map[string][]Finished{}, versions: make([]uint64, 3)}
	for range 3 {
		m, err := NewManager(loadChart(t, "configuration"), testSettings)
		require.NoError(t, err)
		s.managers = append(s.managers, m)
	}
	return s
}

// run takes the steps, applies the delayed writes and lets every edit end.
func (s *managerSim) run(steps int) {
	for range steps {
		s.step()
	}
	for _, w := range s.delayed {
		s.apply(w)
	}
	for range 40 {
		s.now = s.now.Add(time.Second)
		for i, m := range s.managers {
			m.Tick(s.now)
			s.handleCommands(m, i)
		}
	}
}

// Guards against an edit without a result or with two results, an accepted edit
// that is reported as rejected (or the reverse) when responses are lost and
// operators edit concurrently, and a version that decreases.
func TestEveryEditGetsOneTrueResult(t *testing.T) {
	outcomes := map[Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newManagerSim(t, drawnBy(t))
		s.run(s.draw("steps", 10, 60))
		s.checkResults(outcomes)
	})
	for _, o := range []Outcome{OutcomeAccepted, OutcomeConflict, OutcomeRejected, OutcomeNotWritten} {
		require.Positive(t, outcomes[o], "no edit ended as %s", o)
	}
}

// Guards against an outcome that no edit can reach and against a wrong result on
// the shortest path to each outcome. The random runs reach rare outcomes only by
// chance.
func TestEachOutcomeIsReached(t *testing.T) {
	const (
		submit     = 0
		notWritten = 0
		lost       = 1
		answered   = 4
		readWorks  = 1
		readFails  = 100
	)
	cases := map[Outcome]map[string][]int{
		OutcomeAccepted:   {"rate": {1}, "manager": {0}, "write": {answered}, "read answered": {readWorks}},
		OutcomeRejected:   {"rate": {0}, "manager": {0}, "write": {answered}, "read answered": {readWorks}},
		OutcomeNotWritten: {"rate": {1}, "manager": {0}, "write": {notWritten}, "read answered": {readWorks}},
		// The third edit is written from the revision before the second.
		OutcomeConflict: {"rate": {1}, "manager": {0, 1, 0}, "write": {answered}, "read answered": {readWorks}},
		// The record can't be read after the response to the write was lost.
		OutcomeUncertain: {"rate": {1}, "manager": {0}, "write": {lost}, "read answered": {readWorks, readFails}},
	}
	for outcome, draws := range cases {
		t.Run(string(outcome), func(t *testing.T) {
			draws["step"], draws["ms"] = []int{submit}, []int{0}
			outcomes := map[Outcome]int{}
			s := newManagerSim(t, fixedDraws(draws))
			s.run(len(draws["manager"]))
			s.checkResults(outcomes)
			require.Positive(t, outcomes[outcome], "outcomes: %v", outcomes)
		})
	}
}

func (s *managerSim) checkResults(outcomes map[Outcome]int) {
	for i := range s.editCount {
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
			require.False(s.t, inRecord, "%s: %s, but the record contains it", id, outcome)
		}
	}
}

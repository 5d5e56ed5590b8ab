package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/charts"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTable(t testing.TB) *Table {
	definition, err := charts.Load("member_pace")
	require.NoError(t, err)
	table, err := NewTable(definition)
	require.NoError(t, err)
	return table
}

// queueLimit is the length of a simulated member's queue.
const queueLimit = 32

// step is the resolution of the simulated time.
const step = time.Millisecond

// simulatedMember runs statements in slots and refuses them beyond its queue.
type simulatedMember struct {
	slots int
	// service is the time of a statement that starts at the given time.
	service func(since time.Duration) time.Duration
	// failing makes statements fail at once.
	failing func(since time.Duration) bool
	running []*simulatedStatement
	queue   []*simulatedStatement
}

type simulatedStatement struct {
	home   *simulatedHome
	sentAt time.Time
	endsAt time.Time
}

// simulatedHome sends statements that wait until its pacer permits them.
type simulatedHome struct {
	pacer    *Pacer
	waiting  []time.Time
	inFlight int
	every    time.Duration
	nextAt   time.Time
}

// simulation runs homes against one member. Statements that have waited for one
// second at their home are dropped.
type simulation struct {
	now     time.Time
	begin   time.Time
	member  simulatedMember
	homes   []*simulatedHome
	started []time.Duration
	counts  map[Kind]int
	dropped int
	// longestQueue is the longest queue of the member.
	longestQueue int
}

// newSimulation creates homes whose pacers share the initial rate among the given
// number and which each send a statement per interval.
func newSimulation(t testing.TB, homes, sharing int, every time.Duration, service func(time.Duration) time.Duration) *simulation {
	sim := &simulation{now: startTime, begin: startTime, counts: map[Kind]int{}}
	sim.member = simulatedMember{slots: 4, service: service}
	table := newTable(t)
	for i := range homes {
		phase := float64(i) / float64(homes)
		sim.homes = append(sim.homes, &simulatedHome{
			pacer: New(table, startTime, Limits{Slots: 4, Homes: sharing}, phase),
			every: every, nextAt: startTime.Add(time.Duration(phase * float64(every))),
		})
	}
	return sim
}

func steadyService(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

// eachPacer calls the function for the pacer of each home.
func (sim *simulation) eachPacer(do func(*Pacer)) {
	for _, h := range sim.homes {
		do(h.pacer)
	}
}

// restart forgets the counts and takes the present as the beginning.
func (sim *simulation) restart() {
	sim.begin, sim.counts, sim.dropped, sim.longestQueue, sim.started = sim.now, map[Kind]int{}, 0, 0, nil
}

func (sim *simulation) runFor(d time.Duration) {
	end := sim.now.Add(d)
	for sim.now.Before(end) {
		sim.now = sim.now.Add(step)
		sim.serve()
		for _, h := range sim.homes {
			sim.send(h)
		}
	}
}

// send queues new statements of the home and starts those that the pacer permits.
func (sim *simulation) send(h *simulatedHome) {
	for !sim.now.Before(h.nextAt) {
		h.waiting = append(h.waiting, sim.now)
		h.nextAt = h.nextAt.Add(h.every)
	}
	for len(h.waiting) > 0 && sim.now.Sub(h.waiting[0]) > time.Second {
		h.waiting = h.waiting[1:]
		sim.dropped++
	}
	for len(h.waiting) > 0 && h.inFlight < 4 {
		if ok, _ := h.pacer.MayStart(sim.now, h.inFlight); !ok {
			return
		}
		h.waiting = h.waiting[1:]
		h.pacer.Started(sim.now)
		sim.started = append(sim.started, sim.now.Sub(sim.begin))
		sim.accept(h)
	}
}

// accept queues the statement at the member, or answers it as refused or failed.
func (sim *simulation) accept(h *simulatedHome) {
	m := &sim.member
	if m.failing != nil && m.failing(sim.now.Sub(sim.begin)) {
		sim.answer(h, Answer{Kind: Failed, Took: time.Millisecond})
		return
	}
	if len(m.queue) >= queueLimit {
		sim.answer(h, Answer{Kind: Busy, Took: time.Millisecond})
		return
	}
	h.inFlight++
	m.queue = append(m.queue, &simulatedStatement{home: h, sentAt: sim.now})
	sim.longestQueue = max(sim.longestQueue, len(m.queue))
}

func (sim *simulation) answer(h *simulatedHome, a Answer) {
	sim.counts[a.Kind]++
	h.pacer.Answer(sim.now, a)
}

// serve ends the statements that are done and starts queued ones.
func (sim *simulation) serve() {
	m := &sim.member
	kept := m.running[:0]
	for _, s := range m.running {
		if sim.now.Before(s.endsAt) {
			kept = append(kept, s)
			continue
		}
		s.home.inFlight--
		sim.answer(s.home, Answer{Kind: OK, Took: sim.now.Sub(s.sentAt)})
	}
	m.running = kept
	for len(m.running) < m.slots && len(m.queue) > 0 {
		s := m.queue[0]
		m.queue = m.queue[1:]
		s.endsAt = sim.now.Add(m.service(sim.now.Sub(sim.begin)))
		m.running = append(m.running, s)
	}
}

// startedWithin counts the starts between two times.
func (sim *simulation) startedWithin(from, to time.Duration) int {
	count := 0
	for _, at := range sim.started {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

package e2e

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// history records the results that the clients of a load got.
type history struct {
	fleet *fleet
	// interval is the pause of a client after each operation.
	interval time.Duration

	mu     sync.Mutex
	writes []write
	// counts is the number of operations by result: an operation and the code
	// of its error, such as "read 25006"; only the operation if it succeeded.
	counts     map[string]int
	violations []string

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// startLoad starts clients that run until stop, for at most a minute.
func (f *fleet) startLoad(sessions int, seed uint64) *history {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	h := &history{fleet: f, interval: 4 * time.Millisecond, counts: map[string]int{}, cancel: cancel}
	for i := range sessions {
		c := &client{history: h, session: i, instance: i, random: rand.New(rand.NewPCG(seed, uint64(i)))}
		h.running.Go(func() { c.run(ctx) })
	}
	return h
}

func (h *history) stop() {
	h.cancel()
	h.running.Wait()
}

// addWrite records and counts a write that has ended.
func (h *history) addWrite(w write) {
	h.countResult("write " + codeOf(w.err))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
}

func (h *history) countResult(result string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[strings.TrimSpace(result)]++
}

func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// summary lists how often each result occurred.
func (h *history) summary() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var parts []string
	for _, result := range slices.Sorted(maps.Keys(h.counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", result, h.counts[result]))
	}
	return strings.Join(parts, ", ")
}

// resultCount returns how often a result occurred.
func (h *history) resultCount(result string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[result]
}

// longestWriteGap returns the longest time between two consecutive
// acknowledgements of writes.
func (h *history) longestWriteGap() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ends []time.Time
	for _, w := range h.writes {
		if w.outcome == acknowledged {
			ends = append(ends, w.end)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(ends); i++ {
		longest = max(longest, ends[i].Sub(ends[i-1]))
	}
	return longest
}

// acknowledgedSince returns the number of acknowledged writes that started after t.
func (h *history) acknowledgedSince(t time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, w := range h.writes {
		if w.outcome == acknowledged && w.start.After(t) {
			n++
		}
	}
	return n
}

func sortTimes(times []time.Time) {
	slices.SortFunc(times, time.Time.Compare)
}

package pace

import "time"

const (
	// usualWindow is the length of one of the two windows whose lowest mean answer
	// time is the usual one. A member that stays slow is judged by its new
	// answer time after at most two windows.
	usualWindow = 15 * time.Second
	// recentWeight is the number of answers over which the recent time is smoothed,
	// meanWeight that of the mean from which the usual time is taken. The mean has
	// to contain short and long statements alike.
	recentWeight = 4
	meanWeight   = 16
	// staleAfter is the time after which an older answer says nothing about the
	// present.
	staleAfter = 500 * time.Millisecond
	// minSamples is the number of answers after which the mean counts.
	minSamples = 4
)

// times keeps the answer times of a member.
type times struct {
	// recent is the smoothed time of the last answers, 0 without one.
	recent time.Duration
	// lastAt is the time of the last answer.
	lastAt time.Time
	// mean is the smoothed time of more answers, and samples their number, up to
	// meanWeight.
	mean    time.Duration
	samples int
	// least is the lowest mean since the last restart, 0 without an answer.
	least time.Duration
	// current and previous are the lowest means of the two windows, 0
	// without one; the current window began at windowStart.
	current, previous time.Duration
	windowStart       time.Time
}

// add records the time of an answer.
func (t *times) add(now time.Time, took time.Duration) {
	took = max(took, time.Microsecond)
	t.rotate(now)
	if t.recent <= 0 || now.Sub(t.lastAt) > staleAfter {
		t.recent = took
	}
	t.lastAt = now
	t.recent += (took - t.recent) / recentWeight
	t.samples = min(t.samples+1, meanWeight)
	t.mean += (took - t.mean) / time.Duration(t.samples)
	if t.least <= 0 || t.mean < t.least {
		t.least = t.mean
	}
	if t.samples >= minSamples && (t.current <= 0 || t.mean < t.current) {
		t.current = t.mean
	}
}

// rotate starts a new window when the current one has ended. Without a newer
// time, the last known one is kept.
func (t *times) rotate(now time.Time) {
	if now.Sub(t.windowStart) < usualWindow {
		return
	}
	if t.current > 0 {
		t.previous, t.current = t.current, 0
	}
	t.windowStart = now
}

// usual returns the lowest mean answer time of the windows, 0 if unknown.
func (t *times) usual() time.Duration {
	switch {
	case t.current <= 0:
		return t.previous
	case t.previous <= 0:
		return t.current
	}
	return min(t.current, t.previous)
}

// forgetRecent makes the next answer the only recent one.
func (t *times) forgetRecent() { t.recent = 0 }

// restart forgets the recent time, but not the usual one, and starts a window.
func (t *times) restart(now time.Time) {
	usual := t.usual()
	t.recent, t.mean, t.least, t.samples = 0, 0, 0, 0
	t.previous, t.current = usual, 0
	t.windowStart = now
}

package storetest

import (
	"context"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

// Faults are the faults that are switched on.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool
	// Delay is added before each call takes effect.
	Delay time.Duration
	// LoseAnswers is the number of changes whose answer is still to be lost after
	// the change took effect.
	LoseAnswers int
	// WritesPerSecond and ReadsPerSecond bound the calls; zero means no bound. A
	// watch counts as one read.
	WritesPerSecond int
	ReadsPerSecond  int
	// ListLag is how old the list of instances may be.
	ListLag time.Duration
}

// window counts the calls of one second.
type window struct {
	start         time.Time
	writes, reads int
}

// SetFaults replaces the faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.noteChange()
}

// Faults returns the faults that are switched on.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// begin applies the faults before a call takes effect, and returns with the
// lock held if there is no error.
func (m *Memory) begin(ctx context.Context, change bool) error {
	if err := m.delay(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	now := time.Now()
	if m.faults.Outage {
		m.mu.Unlock()
		return outage()
	}
	if !m.window.admit(now, change, m.faults) {
		m.mu.Unlock()
		return &store.RateLimitedError{}
	}
	m.expire(now)
	return nil
}

func outage() error {
	return &store.UnavailableError{Reason: "outage"}
}

func (m *Memory) delay(ctx context.Context) error {
	delay := m.Faults().Delay
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &store.UnavailableError{Reason: ctx.Err().Error()}
	}
}

// answer loses the answer of a change if that is asked for. The caller holds
// the lock.
func (m *Memory) answer() error {
	if m.faults.LoseAnswers == 0 {
		return nil
	}
	m.faults.LoseAnswers--
	return &store.UnknownOutcomeError{Reason: "answer lost"}
}

func (w *window) admit(now time.Time, change bool, f Faults) bool {
	if now.Sub(w.start) >= time.Second {
		*w = window{start: now}
	}
	count, bound := &w.reads, f.ReadsPerSecond
	if change {
		count, bound = &w.writes, f.WritesPerSecond
	}
	if bound > 0 && *count >= bound {
		return false
	}
	*count++
	return true
}

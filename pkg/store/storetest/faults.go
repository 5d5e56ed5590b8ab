package storetest

import (
	"context"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

// Faults are the injected faults.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool
	// Delay is the time before each call takes effect.
	Delay time.Duration
	// LoseResponses is the number of the next changes that take effect and return an
	// *UnknownOutcomeError.
	LoseResponses int
	// WritesPerSecond and ReadsPerSecond are rate limits; zero means no limit. A
	// watch counts as one read.
	WritesPerSecond int
	ReadsPerSecond  int
	// InstanceListLag is the greatest age of the list of instances.
	InstanceListLag time.Duration
}

// rateWindow counts the calls of one second.
type rateWindow struct {
	start         time.Time
	writes, reads int
}

// SetFaults replaces the injected faults.
func (m *Memory) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
	m.notifyWatches()
}

// Faults returns the injected faults.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// beginCall applies the faults that occur before a call takes effect. It returns
// with the lock held if there is no error.
func (m *Memory) beginCall(ctx context.Context, change bool) error {
	if err := m.waitDelay(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	now := time.Now()
	if m.faults.Outage {
		m.mu.Unlock()
		return outageError()
	}
	if !m.rateWindow.admit(now, change, m.faults) {
		m.mu.Unlock()
		return &store.RateLimitedError{}
	}
	m.expire(now)
	return nil
}

func outageError() error {
	return &store.UnavailableError{Reason: "outage"}
}

func (m *Memory) waitDelay(ctx context.Context) error {
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

// endChange returns an *UnknownOutcomeError if the response to the change is to be
// lost. The caller holds the lock.
func (m *Memory) endChange() error {
	if m.faults.LoseResponses == 0 {
		return nil
	}
	m.faults.LoseResponses--
	return &store.UnknownOutcomeError{Reason: "response lost"}
}

// admit counts the call and reports whether it is within its rate limit.
func (w *rateWindow) admit(now time.Time, change bool, f Faults) bool {
	if now.Sub(w.start) >= time.Second {
		*w = rateWindow{start: now}
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

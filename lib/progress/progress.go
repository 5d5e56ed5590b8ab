// Package progress bounds a call by the progress of its response. A fixed time limit for a
// whole call fails for a response that is larger than the link carries in that time, and
// fails again with each attempt.
package progress

import (
	"context"
	"io"
	"time"
)

// Limits bound a call and the transfer of its response.
type Limits struct {
	// First bounds the time until the first byte of the response, and Idle the time
	// between two parts of it.
	First time.Duration
	Idle  time.Duration
	// Total bounds the whole call.
	Total time.Duration
}

// timerKey is the key of the context value that holds the *idleTimer.
type timerKey struct{}

// idleTimer cancels the call's context unless it is reset.
type idleTimer struct {
	timer *time.Timer
	idle  time.Duration
}

// WithLimits returns a context for one call. It ends when a limit is exceeded, with the cause
// context.DeadlineExceeded, when parent ends, or when the returned function is called.
func WithLimits(parent context.Context, limits Limits) (context.Context, context.CancelFunc) {
	ctx, cancelTotal := context.WithTimeout(parent, limits.Total)
	ctx, cancel := context.WithCancelCause(ctx)
	t := &idleTimer{idle: limits.Idle}
	t.timer = time.AfterFunc(limits.First, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, timerKey{}, t), func() {
		t.timer.Stop()
		cancel(context.Canceled)
		cancelTotal()
	}
}

// Reader returns a reader of a response that reports each part to the limits of ctx. Without
// limits it returns r.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	t, limited := ctx.Value(timerKey{}).(*idleTimer)
	if !limited {
		return r
	}
	return &reader{from: r, timer: t}
}

type reader struct {
	from  io.Reader
	timer *idleTimer
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	// A timer that has fired must not be started again: the call has ended.
	if n > 0 && r.timer.timer.Stop() {
		r.timer.timer.Reset(r.timer.idle)
	}
	return n, err
}

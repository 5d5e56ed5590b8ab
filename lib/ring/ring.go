// Package ring provides the bounded queue that connects duties.
//
// A Ring has any number of producers and exactly one consumer. Producers never
// block: TryPush reports false when the ring is full, and the producer decides
// what to refuse. The consumer parks when the ring is empty.
package ring

import (
	"sync/atomic"
	"time"
)

// cacheLine is the size of a cache line in bytes. Padding of this size keeps the
// producers' and the consumer's index on different cache lines.
const cacheLine = 64

// Waker wakes a waiting thread, such as the consumer of a ring. Wake is called on
// other threads, must not block and may be called more often than necessary.
type Waker interface {
	Wake()
}

// cell holds one item. Its sequence is the tail position at which a producer may fill
// it, and that position plus one once the item may be read.
type cell[T any] struct {
	sequence atomic.Uint64
	value    T
}

// Ring is a bounded multi-producer, single-consumer queue.
type Ring[T any] struct {
	cells  []cell[T]
	mask   uint64
	_      [cacheLine]byte
	tail   atomic.Uint64
	_      [cacheLine]byte
	head   atomic.Uint64
	_      [cacheLine]byte
	parked atomic.Bool
	waker  Waker
	// freeWaiters lists the producers that wait for free cells.
	freeWaiters atomic.Pointer[freeWaiter]
	refusals    atomic.Uint64
	highWater   atomic.Uint64
}

type freeWaiter struct {
	waker Waker
	next  *freeWaiter
}

func (w *freeWaiter) contains(waker Waker) bool {
	for ; w != nil; w = w.next {
		if w.waker == waker {
			return true
		}
	}
	return false
}

// New returns a ring for at least capacity items; the capacity is rounded up to a
// power of two. The waker is called when an item arrives while the consumer is
// parked.
func New[T any](capacity int, waker Waker) *Ring[T] {
	size := uint64(2)
	for size < uint64(capacity) {
		size <<= 1
	}
	r := &Ring[T]{cells: make([]cell[T], size), mask: size - 1, waker: waker}
	for i := range r.cells {
		r.cells[i].sequence.Store(uint64(i))
	}
	return r
}

// TryPush appends v. It reports false, and counts a refusal, if the ring is full.
func (r *Ring[T]) TryPush(v T) bool {
	for {
		tail := r.tail.Load()
		c := &r.cells[tail&r.mask]
		sequence := c.sequence.Load()
		switch {
		case sequence == tail:
			if !r.tail.CompareAndSwap(tail, tail+1) {
				continue
			}
			c.value = v
			c.sequence.Store(tail + 1)
			r.wakeConsumer()
			return true
		case sequence < tail:
			r.refusals.Add(1)
			return false
		}
	}
}

func (r *Ring[T]) wakeConsumer() {
	if r.parked.Load() && r.parked.CompareAndSwap(true, false) {
		r.waker.Wake()
	}
}

// Pop removes and returns the oldest item. It reports false if the ring is empty.
// Only the consumer may call it.
func (r *Ring[T]) Pop() (T, bool) {
	var zero T
	head := r.head.Load()
	c := &r.cells[head&r.mask]
	if c.sequence.Load() != head+1 {
		return zero, false
	}
	r.recordDepth(r.tail.Load() - head)
	v := c.value
	c.value = zero
	c.sequence.Store(head + r.mask + 1)
	r.head.Store(head + 1)
	r.wakeProducers()
	return v, true
}

func (r *Ring[T]) recordDepth(depth uint64) {
	if depth > r.highWater.Load() {
		r.highWater.Store(depth)
	}
}

func (r *Ring[T]) wakeProducers() {
	if r.freeWaiters.Load() == nil || r.Free() < len(r.cells)/2 {
		return
	}
	for w := r.freeWaiters.Swap(nil); w != nil; w = w.next {
		w.waker.Wake()
	}
}

// Park declares that the consumer is about to wait. It reports false if the ring is
// not empty; the consumer must not wait then.
func (r *Ring[T]) Park() bool {
	r.parked.Store(true)
	if r.Len() > 0 {
		r.parked.Store(false)
		return false
	}
	return true
}

// Unpark revokes Park after a wait that may have ended for another reason.
func (r *Ring[T]) Unpark() {
	r.parked.Store(false)
}

// NotifySpace requests one call of w.Wake as soon as at least half of the ring is
// free. It reports false if that is the case already; w may then have been woken
// unnecessarily. Several producers can wait at the same time.
func (r *Ring[T]) NotifySpace(w Waker) bool {
	for {
		first := r.freeWaiters.Load()
		if first.contains(w) {
			break
		}
		if r.freeWaiters.CompareAndSwap(first, &freeWaiter{waker: w, next: first}) {
			break
		}
	}
	if r.Free() >= len(r.cells)/2 {
		r.wakeProducers()
		return false
	}
	return true
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	return int(r.tail.Load() - r.head.Load())
}

// Free returns the number of free cells.
func (r *Ring[T]) Free() int {
	return len(r.cells) - r.Len()
}

// Stats holds the figures of a ring that the metrics page shows.
type Stats struct {
	Depth     int    `json:"depth"`
	Capacity  int    `json:"capacity"`
	HighWater uint64 `json:"high_water"`
	Refusals  uint64 `json:"refusals"`
}

// Stats returns the current depth, the capacity, the maximum depth so far and the
// number of refused pushes.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Depth:     r.Len(),
		Capacity:  len(r.cells),
		HighWater: r.highWater.Load(),
		Refusals:  r.refusals.Load(),
	}
}

// Signal is a Waker on which a thread can wait with a deadline.
type Signal struct {
	wake  chan struct{}
	timer *time.Timer
}

// NewSignal returns a Signal on which no wake-up is pending.
func NewSignal() *Signal {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &Signal{wake: make(chan struct{}, 1), timer: t}
}

// Wake ends the current or the next Wait. It never blocks.
func (s *Signal) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Wait blocks the calling thread until Wake is called or d has passed. A negative
// d waits indefinitely. Only one thread may wait.
func (s *Signal) Wait(d time.Duration) {
	if d < 0 {
		<-s.wake
		return
	}
	s.timer.Reset(d)
	select {
	case <-s.wake:
		s.timer.Stop()
	case <-s.timer.C:
	}
}

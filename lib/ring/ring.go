// Package ring provides the bounded queue that joins duties.
//
// A Ring has any number of producers and exactly one consumer. Producers never
// wait: TryPush reports false when the ring is full and the producer decides
// what to refuse. The consumer parks when the ring is empty.
package ring

import (
	"sync/atomic"
	"time"
)

// cacheLine is the size in bytes of one cache line; the padding keeps the
// producer and consumer indexes from sharing one.
const cacheLine = 64

// Waker wakes the consumer of a ring. Wake is called by producers, must not
// block and may be called more often than needed.
type Waker interface {
	Wake()
}

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
	// room lists the producer duties that wait for free cells.
	room      atomic.Pointer[roomWaiter]
	refusals  atomic.Uint64
	highWater atomic.Uint64
}

type roomWaiter struct {
	waker Waker
	next  *roomWaiter
}

func (w *roomWaiter) contains(waker Waker) bool {
	for ; w != nil; w = w.next {
		if w.waker == waker {
			return true
		}
	}
	return false
}

// New returns a ring that holds at least capacity items; the capacity is
// rounded up to a power of two. The waker is told when an item arrives while
// the consumer is parked.
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

// TryPush appends v and reports whether there was room.
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

// Pop removes the oldest item. Only the consumer calls it.
func (r *Ring[T]) Pop() (T, bool) {
	var zero T
	head := r.head.Load()
	c := &r.cells[head&r.mask]
	if c.sequence.Load() != head+1 {
		return zero, false
	}
	r.noteDepth(r.tail.Load() - head)
	v := c.value
	c.value = zero
	c.sequence.Store(head + r.mask + 1)
	r.head.Store(head + 1)
	r.wakeProducers()
	return v, true
}

func (r *Ring[T]) noteDepth(depth uint64) {
	if depth > r.highWater.Load() {
		r.highWater.Store(depth)
	}
}

func (r *Ring[T]) wakeProducers() {
	if r.room.Load() == nil || r.Free() < len(r.cells)/2 {
		return
	}
	for w := r.room.Swap(nil); w != nil; w = w.next {
		w.waker.Wake()
	}
}

// Park announces that the consumer is about to wait. It reports false when an
// item is already there, in which case the consumer must not wait.
func (r *Ring[T]) Park() bool {
	r.parked.Store(true)
	if r.Len() > 0 {
		r.parked.Store(false)
		return false
	}
	return true
}

// Unpark withdraws the announcement after a wait that ended for another reason.
func (r *Ring[T]) Unpark() {
	r.parked.Store(false)
}

// NotifyRoom asks for one call of w.Wake when at least half of the ring is
// free. It reports false when that is already so; w may then be woken without
// need. Several producers can wait at once.
func (r *Ring[T]) NotifyRoom(w Waker) bool {
	for {
		first := r.room.Load()
		if first.contains(w) {
			break
		}
		if r.room.CompareAndSwap(first, &roomWaiter{waker: w, next: first}) {
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

// Stats describes a ring for the metrics page.
type Stats struct {
	Depth     int    `json:"depth"`
	Capacity  int    `json:"capacity"`
	HighWater uint64 `json:"high_water"`
	Refusals  uint64 `json:"refusals"`
}

// Stats returns the current depth, the capacity, the greatest depth seen and
// the number of refused pushes.
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

// NewSignal returns a Signal.
func NewSignal() *Signal {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &Signal{wake: make(chan struct{}, 1), timer: t}
}

// Wake ends the current or the next Wait.
func (s *Signal) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Wait parks the calling thread until Wake is called or d has passed. A
// negative d waits without bound. Only one thread may wait.
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

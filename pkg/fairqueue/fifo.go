package fairqueue

import (
	"container/heap"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// FIFO serves items in the order of arrival, whatever their account and class.
// It is the baseline that the fair queue is measured against.
type FIFO[T any] struct {
	items arrivalHeap[T]
	seq   uint64
}

// NewFIFO returns an empty first-in-first-out queue.
func NewFIFO[T any]() *FIFO[T] {
	return &FIFO[T]{}
}

// Push implements Queue.
func (q *FIFO[T]) Push(item *Item[T]) {
	q.seq++
	item.seq = q.seq
	item.queued = true
	heap.Push(&q.items, item)
}

// Pop implements Queue.
func (q *FIFO[T]) Pop() (*Item[T], bool) {
	if len(q.items.itemHeap) == 0 {
		return nil, false
	}
	item := heap.Pop(&q.items).(*Item[T])
	item.queued = false
	return item, true
}

// Remove implements Queue.
func (q *FIFO[T]) Remove(item *Item[T]) {
	if !item.queued {
		return
	}
	heap.Remove(&q.items, item.index)
	item.queued = false
}

// Len implements Queue.
func (q *FIFO[T]) Len() int {
	return len(q.items.itemHeap)
}

// Ahead implements Queue.
func (q *FIFO[T]) Ahead(core.AccountName, int, core.Class) int {
	return q.Len()
}

// arrivalHeap orders items by arrival.
type arrivalHeap[T any] struct {
	itemHeap[T]
}

func (h arrivalHeap[T]) Less(i, j int) bool {
	return h.itemHeap[i].seq < h.itemHeap[j].seq
}

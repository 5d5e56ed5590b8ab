// Package timerq keeps deadlines of many items for one thread.
package timerq

import (
	"container/heap"
	"time"
)

// Item is an armed deadline. The zero value is not armed.
type Item[T any] struct {
	Value T
	at    time.Time
	index int
	armed bool
}

// Queue orders items by deadline. It is not safe for concurrent use.
type Queue[T any] struct {
	items itemHeap[T]
}

// Arm sets or moves the deadline of item.
func (q *Queue[T]) Arm(item *Item[T], at time.Time) {
	item.at = at
	if item.armed {
		heap.Fix(&q.items, item.index)
		return
	}
	item.armed = true
	heap.Push(&q.items, item)
}

// Disarm removes the deadline of item, if any.
func (q *Queue[T]) Disarm(item *Item[T]) {
	if item.armed {
		heap.Remove(&q.items, item.index)
	}
}

// Next returns the earliest deadline.
func (q *Queue[T]) Next() (time.Time, bool) {
	if len(q.items) == 0 {
		return time.Time{}, false
	}
	return q.items[0].at, true
}

// PopDue removes and returns the earliest item whose deadline is not after now.
func (q *Queue[T]) PopDue(now time.Time) (*Item[T], bool) {
	if len(q.items) == 0 || q.items[0].at.After(now) {
		return nil, false
	}
	return heap.Pop(&q.items).(*Item[T]), true
}

// Len returns the number of armed items.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	item.armed = false
	return item
}

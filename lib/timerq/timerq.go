// Package timerq provides a queue of deadlines for one thread.
package timerq

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/indexheap"
)

// Item is a value with a deadline. The zero value is not armed.
type Item[T any] struct {
	Value T
	at    time.Time
	index int
	armed bool
}

// Queue orders items by deadline. It is not safe for concurrent use.
type Queue[T any] struct {
	items indexheap.Heap[*Item[T]]
}

// Arm sets or changes the deadline of item.
func (q *Queue[T]) Arm(item *Item[T], at time.Time) {
	item.at = at
	if item.armed {
		q.items.Fix(item.index)
		return
	}
	q.items.Push(item)
}

// Disarm removes the deadline of item, if any.
func (q *Queue[T]) Disarm(item *Item[T]) {
	if item.armed {
		q.items.Remove(item.index)
	}
}

// Next returns the earliest deadline. It reports false if no item is armed.
func (q *Queue[T]) Next() (time.Time, bool) {
	first, ok := q.items.First()
	if !ok {
		return time.Time{}, false
	}
	return first.at, true
}

// PopDue removes and returns the item with the earliest deadline if that is not
// after now. It reports false otherwise.
func (q *Queue[T]) PopDue(now time.Time) (*Item[T], bool) {
	if first, ok := q.items.First(); !ok || first.at.After(now) {
		return nil, false
	}
	return q.items.Pop(), true
}

// Len returns the number of armed items.
func (q *Queue[T]) Len() int {
	return q.items.Len()
}

// Before implements indexheap.Element.
func (i *Item[T]) Before(other *Item[T]) bool { return i.at.Before(other.at) }

// SetIndex implements indexheap.Element.
func (i *Item[T]) SetIndex(index int) {
	i.index = index
	i.armed = index != indexheap.Removed
}

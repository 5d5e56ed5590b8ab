// Package indexheap is a binary heap whose elements store their index, so that they
// can be reordered and removed.
package indexheap

import "container/heap"

// Element is an element of a Heap.
type Element[T any] interface {
	// Before reports whether the element sorts before other.
	Before(other T) bool
	// SetIndex receives the element's new index, or Removed.
	SetIndex(i int)
}

// Removed is the index of an element that is in no heap.
const Removed = -1

// Heap keeps the smallest element first. The zero value is an empty heap. It is not
// safe for concurrent use.
type Heap[T Element[T]] struct {
	list list[T]
}

// Push adds an element.
func (h *Heap[T]) Push(e T) { heap.Push(&h.list, e) }

// Fix restores the order after the element at index i has changed.
func (h *Heap[T]) Fix(i int) { heap.Fix(&h.list, i) }

// Remove removes the element at index i.
func (h *Heap[T]) Remove(i int) { heap.Remove(&h.list, i) }

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.list) }

// First returns the first element without removing it. It reports false if the heap
// is empty.
func (h *Heap[T]) First() (T, bool) {
	if len(h.list) == 0 {
		var zero T
		return zero, false
	}
	return h.list[0], true
}

// Pop removes and returns the first element. The heap must not be empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.list).(T) }

// list implements heap.Interface.
type list[T Element[T]] []T

func (l list[T]) Len() int           { return len(l) }
func (l list[T]) Less(i, j int) bool { return l[i].Before(l[j]) }

func (l list[T]) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].SetIndex(i)
	l[j].SetIndex(j)
}

func (l *list[T]) Push(x any) {
	e := x.(T)
	e.SetIndex(len(*l))
	*l = append(*l, e)
}

func (l *list[T]) Pop() any {
	var zero T
	old := *l
	e := old[len(old)-1]
	old[len(old)-1] = zero
	*l = old[:len(old)-1]
	e.SetIndex(Removed)
	return e
}

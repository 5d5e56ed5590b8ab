// Package indexheap is a binary heap whose elements know their place, so that
// they can be moved and removed.
package indexheap

import "container/heap"

// Element is something that a Heap holds.
type Element[T any] interface {
	// Before reports whether the element comes before another.
	Before(other T) bool
	// SetIndex tells the element its place, or Removed.
	SetIndex(i int)
}

// Removed is the place of an element that is in no heap.
const Removed = -1

// Heap orders elements. The zero value is empty. It is not safe for concurrent
// use.
type Heap[T Element[T]] struct {
	list list[T]
}

// Push adds an element.
func (h *Heap[T]) Push(e T) { heap.Push(&h.list, e) }

// Fix restores the order after the element at i has changed.
func (h *Heap[T]) Fix(i int) { heap.Fix(&h.list, i) }

// Remove takes the element at i out.
func (h *Heap[T]) Remove(i int) { heap.Remove(&h.list, i) }

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.list) }

// First returns the first element, and false if there is none.
func (h *Heap[T]) First() (T, bool) {
	if len(h.list) == 0 {
		var none T
		return none, false
	}
	return h.list[0], true
}

// Pop takes the first element out. The heap must not be empty.
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
	var none T
	old := *l
	e := old[len(old)-1]
	old[len(old)-1] = none
	*l = old[:len(old)-1]
	e.SetIndex(Removed)
	return e
}

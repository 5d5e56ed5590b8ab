package fairqueue

import (
	"github.com/sassafrasshunt/sassafrasshunt/lib/indexheap"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// FIFO serves items in the order of arrival, regardless of account and class.
// It is the baseline that the fair queue is measured against.
type FIFO[T any] struct {
	items indexheap.Heap[byArrival[T]]
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
	q.items.Push(byArrival[T]{item})
}

// Pop implements Queue.
func (q *FIFO[T]) Pop() (*Item[T], bool) {
	if q.items.Len() == 0 {
		return nil, false
	}
	item := q.items.Pop().Item
	item.queued = false
	return item, true
}

// PopWhere implements Queue.
func (q *FIFO[T]) PopWhere(may func(core.AccountName) bool) (*Item[T], bool) {
	var skipped []byArrival[T]
	var found *Item[T]
	for found == nil && q.items.Len() > 0 {
		first := q.items.Pop()
		if may(first.Account) {
			found = first.Item
			continue
		}
		skipped = append(skipped, first)
	}
	for _, item := range skipped {
		q.items.Push(item)
	}
	if found == nil {
		return nil, false
	}
	found.queued = false
	return found, true
}

// Waiting implements Queue.
func (q *FIFO[T]) Waiting(visit func(account core.AccountName, items int) bool) {
	var accounts []core.AccountName
	count := map[core.AccountName]int{}
	var all []byArrival[T]
	for q.items.Len() > 0 {
		item := q.items.Pop()
		all = append(all, item)
		if count[item.Account] == 0 {
			accounts = append(accounts, item.Account)
		}
		count[item.Account]++
	}
	for _, item := range all {
		q.items.Push(item)
	}
	for _, account := range accounts {
		if !visit(account, count[account]) {
			return
		}
	}
}

// Remove implements Queue.
func (q *FIFO[T]) Remove(item *Item[T]) {
	if !item.queued {
		return
	}
	q.items.Remove(item.index)
	item.queued = false
}

// Len implements Queue.
func (q *FIFO[T]) Len() int {
	return q.items.Len()
}

// Ahead implements Queue. Every queued item is served before a new one.
func (q *FIFO[T]) Ahead(core.AccountName, int, core.Class) int {
	return q.Len()
}

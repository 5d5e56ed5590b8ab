// Package fairqueue orders waiting work: by traffic class, then fairly over
// client accounts by weight, then by deadline within an account.
package fairqueue

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Item is a unit of work. The zero value is not queued. The exported fields
// must be set before Push and must not change until the item has left the
// queue.
type Item[T any] struct {
	Value   T
	Account core.AccountName
	// Weight is the account's relative share of the service; values below 1
	// count as 1.
	Weight int
	Class  core.Class
	// Deadline orders the items of one account.
	Deadline time.Time

	seq    uint64
	index  int
	queued bool
	flow   *flow[T]
}

// Queued reports whether the item is in a queue.
func (i *Item[T]) Queued() bool {
	return i.queued
}

// Queue holds waiting items. Implementations are not safe for concurrent use.
type Queue[T any] interface {
	// Push adds an item that is not in any queue.
	Push(*Item[T])
	// Pop removes and returns the item to serve next; false when the queue is
	// empty.
	Pop() (*Item[T], bool)
	// PopWhere removes and returns the item to serve next among those of the
	// accounts for which the function returns true; false when there is none.
	PopWhere(func(core.AccountName) bool) (*Item[T], bool)
	// Waiting calls the function for the accounts of waiting items, in about the
	// order of service, until it returns false. An account with items of several
	// classes may be passed once for each class, with the number of its items. The
	// function must not change the queue.
	Waiting(func(account core.AccountName, items int) bool)
	// Remove removes a queued item; it has no effect on any other item.
	Remove(*Item[T])
	// Len returns the number of queued items.
	Len() int
	// Ahead estimates how many items would be served before a new one.
	Ahead(account core.AccountName, weight int, class core.Class) int
}

// Kind names an implementation of Queue.
type Kind string

// Kinds of queue.
const (
	// KindFair is the weighted fair queue.
	KindFair Kind = "fair"
	// KindFIFO is the first-in-first-out baseline.
	KindFIFO Kind = "fifo"
)

// New returns an empty queue of the given kind. Any value but KindFIFO selects
// the fair queue.
func New[T any](kind Kind) Queue[T] {
	if kind == KindFIFO {
		return NewFIFO[T]()
	}
	return NewFair[T](DefaultMaxBypass)
}

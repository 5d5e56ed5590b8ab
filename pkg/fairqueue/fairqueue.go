// Package fairqueue orders waiting work: by class of traffic, then fairly over
// client accounts by weight, then by deadline within an account.
package fairqueue

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Item is a piece of work. The zero value is not queued. Set the exported
// fields before Push and leave them until the item has left the queue.
type Item[T any] struct {
	Value   T
	Account core.AccountName
	// Weight is the account's part of the service; below 1 counts as 1.
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
	// Push adds an item that is in no queue.
	Push(*Item[T])
	// Pop removes the item that is served next.
	Pop() (*Item[T], bool)
	// Remove takes out a queued item, and does nothing for any other.
	Remove(*Item[T])
	// Len returns the number of queued items.
	Len() int
	// Ahead estimates how many items would be served before a new one.
	Ahead(account core.AccountName, weight int, class core.Class) int
}

// Kind selects an implementation.
type Kind string

// Kinds of queue.
const (
	// KindFair is the weighted fair queue.
	KindFair Kind = "fair"
	// KindFIFO is the first-in-first-out baseline.
	KindFIFO Kind = "fifo"
)

// New returns an empty queue of the given kind; any name but KindFIFO gives
// the fair queue.
func New[T any](kind Kind) Queue[T] {
	if kind == KindFIFO {
		return NewFIFO[T]()
	}
	return NewFair[T](DefaultMaxBypass)
}

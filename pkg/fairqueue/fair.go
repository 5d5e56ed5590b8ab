package fairqueue

import (
	"github.com/sassafrasshunt/sassafrasshunt/lib/indexheap"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// DefaultPassBound is how many items of more urgent classes may pass a waiting
// class before one of its items is served. With 16, browse traffic keeps at
// least 1/17 of the service under any urgent load.
const DefaultPassBound = 16

// classes is the number of levels: urgent, interactive, browse.
const classes = 3

// Fair is start-time fair queueing over the accounts of each class. Push, Pop
// and Remove take O(log n) for n accounts and items.
type Fair[T any] struct {
	levels    [classes]level[T]
	passBound int
	seq       uint64
	length    int
}

// level holds the waiting accounts of one class.
type level[T any] struct {
	flows  map[core.AccountName]*flow[T]
	active indexheap.Heap[*flow[T]]
	// virtual is the start tag of the item served last.
	virtual float64
	weights int
	length  int
	passed  int
}

// flow is the work of one account in one class.
type flow[T any] struct {
	level  *level[T]
	weight int
	// start is the virtual time at which the next item may start.
	start float64
	// order is the arrival of the item in front; it decides between equal
	// start tags, also while the flow is empty on its way out of the heap.
	order uint64
	index int
	items indexheap.Heap[*Item[T]]
}

// NewFair returns an empty fair queue; see DefaultPassBound for the bound.
func NewFair[T any](passBound int) *Fair[T] {
	q := &Fair[T]{passBound: max(passBound, 1)}
	for i := range q.levels {
		q.levels[i].flows = map[core.AccountName]*flow[T]{}
	}
	return q
}

func levelOf(class core.Class) int {
	switch class {
	case core.ClassUrgent:
		return 0
	case core.ClassInteractive:
		return 1
	}
	return 2
}

// Push implements Queue.
func (q *Fair[T]) Push(item *Item[T]) {
	l := &q.levels[levelOf(item.Class)]
	q.seq++
	item.seq = q.seq
	item.queued = true
	item.flow = l.flow(item.Account, item.Weight)
	l.add(item)
	q.length++
}

// flow returns the account's flow with its newest weight.
func (l *level[T]) flow(account core.AccountName, weight int) *flow[T] {
	weight = max(weight, 1)
	f, ok := l.flows[account]
	if !ok {
		f = &flow[T]{level: l, weight: weight, start: l.virtual}
		l.flows[account] = f
	}
	if f.items.Len() > 0 {
		l.weights += weight - f.weight
	}
	f.weight = weight
	return f
}

func (l *level[T]) add(item *Item[T]) {
	f := item.flow
	if f.items.Len() == 0 {
		f.start = max(f.start, l.virtual)
		f.order = item.seq
		l.weights += f.weight
		l.active.Push(f)
	}
	f.items.Push(item)
	l.length++
}

// Pop implements Queue.
func (q *Fair[T]) Pop() (*Item[T], bool) {
	chosen := q.next()
	if chosen < 0 {
		return nil, false
	}
	q.countPassed(chosen)
	l := &q.levels[chosen]
	f, _ := l.active.First()
	l.virtual = f.start
	f.start += 1 / float64(f.weight)
	item, _ := f.items.First()
	q.take(item)
	return item, true
}

// next returns the class to serve: the least urgent one that was passed too
// often, or else the most urgent one that waits; -1 when all are empty.
func (q *Fair[T]) next() int {
	for i := classes - 1; i > 0; i-- {
		if q.levels[i].length > 0 && q.levels[i].passed >= q.passBound {
			return i
		}
	}
	for i := range q.levels {
		if q.levels[i].length > 0 {
			return i
		}
	}
	return -1
}

func (q *Fair[T]) countPassed(chosen int) {
	q.levels[chosen].passed = 0
	for i := chosen + 1; i < classes; i++ {
		if q.levels[i].length > 0 {
			q.levels[i].passed++
		}
	}
}

// Remove implements Queue.
func (q *Fair[T]) Remove(item *Item[T]) {
	if item.queued {
		q.take(item)
	}
}

func (q *Fair[T]) take(item *Item[T]) {
	f := item.flow
	l := f.level
	f.items.Remove(item.index)
	item.queued = false
	item.flow = nil
	l.length--
	q.length--
	if front, waits := f.items.First(); waits {
		f.order = front.seq
		l.active.Fix(f.index)
		return
	}
	l.active.Remove(f.index)
	l.weights -= f.weight
	if l.length == 0 {
		l.forget()
	}
}

// forget drops the accounts of an empty class whose start tag carries no debt;
// the others keep theirs, so that leaving the queue for a moment gains nothing.
func (l *level[T]) forget() {
	l.passed = 0
	for account, f := range l.flows {
		if f.start <= l.virtual {
			delete(l.flows, account)
		}
	}
}

// Len implements Queue.
func (q *Fair[T]) Len() int {
	return q.length
}

// Ahead implements Queue. It counts the more urgent classes whole, and of the
// same class what fair sharing serves until the account's own items are done.
func (q *Fair[T]) Ahead(account core.AccountName, weight int, class core.Class) int {
	chosen := levelOf(class)
	ahead := 0
	for i := range chosen {
		ahead += q.levels[i].length
	}
	return ahead + q.levels[chosen].ahead(account, max(weight, 1))
}

func (l *level[T]) ahead(account core.AccountName, weight int) int {
	own, others := 0, l.weights
	if f, ok := l.flows[account]; ok && f.items.Len() > 0 {
		own = f.items.Len()
		others -= f.weight
	}
	fair := own + (own+1)*others/weight
	return min(fair, l.length)
}

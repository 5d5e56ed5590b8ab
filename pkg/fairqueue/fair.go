package fairqueue

import (
	"github.com/sassafrasshunt/sassafrasshunt/lib/indexheap"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// DefaultPassBound is how many items of more urgent classes may pass a waiting
// class before one of its items is served. With 16, browse traffic keeps at
// least 1/17 of the service under any urgent load.
const DefaultMaxBypass = 16

// classes is the number of levels: urgent, interactive, browse.
const classCount = 3

// Fair is start-time fair queueing over the accounts of each class. Push, Pop
// and Remove take O(log n) for n accounts and items.
type Fair[T any] struct {
	classQueues [classCount]classQueue[T]
	maxBypass   int
	seq         uint64
	length      int
}

// level holds the waiting accounts of one class.
type classQueue[T any] struct {
	flows      map[core.AccountName]*flow[T]
	backlogged indexheap.Heap[*flow[T]]
	// virtual is the start tag of the item served last.
	virtualTime  float64
	activeWeight int
	length       int
	bypassed     int
}

// flow is the work of one account in one class.
type flow[T any] struct {
	queue  *classQueue[T]
	weight int
	// start is the virtual time at which the next item may start.
	startTag float64
	// order is the arrival of the item in front; it decides between equal
	// start tags, also while the flow is empty on its way out of the heap.
	arrivalSeq uint64
	index      int
	items      indexheap.Heap[*Item[T]]
}

// NewFair returns an empty fair queue; see DefaultPassBound for the bound.
func NewFair[T any](maxBypass int) *Fair[T] {
	q := &Fair[T]{maxBypass: max(maxBypass, 1)}
	for i := range q.classQueues {
		q.classQueues[i].flows = map[core.AccountName]*flow[T]{}
	}
	return q
}

func classIndex(class core.Class) int {
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
	l := &q.classQueues[classIndex(item.Class)]
	q.seq++
	item.seq = q.seq
	item.queued = true
	item.flow = l.flow(item.Account, item.Weight)
	l.add(item)
	q.length++
}

// flow returns the account's flow with its newest weight.
func (l *classQueue[T]) flow(account core.AccountName, weight int) *flow[T] {
	weight = max(weight, 1)
	f, ok := l.flows[account]
	if !ok {
		f = &flow[T]{queue: l, weight: weight, startTag: l.virtualTime}
		l.flows[account] = f
	}
	if f.items.Len() > 0 {
		l.activeWeight += weight - f.weight
	}
	f.weight = weight
	return f
}

func (l *classQueue[T]) add(item *Item[T]) {
	f := item.flow
	if f.items.Len() == 0 {
		f.startTag = max(f.startTag, l.virtualTime)
		f.arrivalSeq = item.seq
		l.activeWeight += f.weight
		l.backlogged.Push(f)
	}
	f.items.Push(item)
	l.length++
}

// Pop implements Queue.
func (q *Fair[T]) Pop() (*Item[T], bool) {
	chosen := q.nextClass()
	if chosen < 0 {
		return nil, false
	}
	q.countBypassed(chosen)
	l := &q.classQueues[chosen]
	f, _ := l.backlogged.First()
	l.virtualTime = f.startTag
	f.startTag += 1 / float64(f.weight)
	item, _ := f.items.First()
	q.detach(item)
	return item, true
}

// next returns the class to serve: the least urgent one that was passed too
// often, or else the most urgent one that waits; -1 when all are empty.
func (q *Fair[T]) nextClass() int {
	for i := classCount - 1; i > 0; i-- {
		if q.classQueues[i].length > 0 && q.classQueues[i].bypassed >= q.maxBypass {
			return i
		}
	}
	for i := range q.classQueues {
		if q.classQueues[i].length > 0 {
			return i
		}
	}
	return -1
}

func (q *Fair[T]) countBypassed(chosen int) {
	q.classQueues[chosen].bypassed = 0
	for i := chosen + 1; i < classCount; i++ {
		if q.classQueues[i].length > 0 {
			q.classQueues[i].bypassed++
		}
	}
}

// Remove implements Queue.
func (q *Fair[T]) Remove(item *Item[T]) {
	if item.queued {
		q.detach(item)
	}
}

func (q *Fair[T]) detach(item *Item[T]) {
	f := item.flow
	l := f.queue
	f.items.Remove(item.index)
	item.queued = false
	item.flow = nil
	l.length--
	q.length--
	if front, waits := f.items.First(); waits {
		f.arrivalSeq = front.seq
		l.backlogged.Fix(f.index)
		return
	}
	l.backlogged.Remove(f.index)
	l.activeWeight -= f.weight
	if l.length == 0 {
		l.dropIdleFlows()
	}
}

// forget drops the accounts of an empty class whose start tag carries no debt;
// the others keep theirs, so that leaving the queue for a moment gains nothing.
func (l *classQueue[T]) dropIdleFlows() {
	l.bypassed = 0
	for account, f := range l.flows {
		if f.startTag <= l.virtualTime {
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
	chosen := classIndex(class)
	ahead := 0
	for i := range chosen {
		ahead += q.classQueues[i].length
	}
	return ahead + q.classQueues[chosen].ahead(account, max(weight, 1))
}

func (l *classQueue[T]) ahead(account core.AccountName, weight int) int {
	own, others := 0, l.activeWeight
	if f, ok := l.flows[account]; ok && f.items.Len() > 0 {
		own = f.items.Len()
		others -= f.weight
	}
	estimate := own + (own+1)*others/weight
	return min(estimate, l.length)
}

package fairqueue

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/lib/indexheap"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// DefaultMaxBypass is the number of items of more urgent classes that may be
// served ahead of a waiting class before one of its own items is served. With
// 16, browse traffic keeps at least 1/17 of the service under any urgent load.
const DefaultMaxBypass = 16

// classCount is the number of classes: critical, urgent, interactive, browse.
const classCount = 4

// Fair is a start-time fair queue over the accounts of each class. Push, Pop
// and Remove take O(log n) for n accounts and items.
type Fair[T any] struct {
	classQueues [classCount]classQueue[T]
	maxBypass   int
	seq         uint64
	length      int
}

// classQueue holds the waiting items of one class, by account.
type classQueue[T any] struct {
	flows map[core.AccountName]*flow[T]
	// backlogged orders the flows that have items.
	backlogged indexheap.Heap[*flow[T]]
	// virtualTime is the highest start tag of the items served.
	virtualTime float64
	// activeWeight is the sum of the weights of the backlogged flows.
	activeWeight int
	length       int
	// bypassed counts the items of more urgent classes served since the class
	// was last served.
	bypassed int
}

// flow holds the items of one account in one class.
type flow[T any] struct {
	queue  *classQueue[T]
	weight int
	// startTag is the virtual time at which the next item may start.
	startTag float64
	// arrivalSeq is the sequence number of the first item. It decides between
	// equal start tags, also while the flow is empty and about to leave the
	// heap.
	arrivalSeq uint64
	index      int
	items      indexheap.Heap[*Item[T]]
}

// NewFair returns an empty fair queue. DefaultMaxBypass explains maxBypass;
// values below 1 count as 1.
func NewFair[T any](maxBypass int) *Fair[T] {
	q := &Fair[T]{maxBypass: max(maxBypass, 1)}
	for i := range q.classQueues {
		q.classQueues[i].flows = map[core.AccountName]*flow[T]{}
	}
	return q
}

// classIndex returns the index of the class in classQueues, the most urgent
// first.
func classIndex(class core.Class) int {
	switch class {
	case core.ClassCritical:
		return 0
	case core.ClassUrgent:
		return 1
	case core.ClassInteractive:
		return 2
	}
	return 3
}

// Push implements Queue.
func (q *Fair[T]) Push(item *Item[T]) {
	c := &q.classQueues[classIndex(item.Class)]
	q.seq++
	item.seq = q.seq
	item.queued = true
	item.flow = c.flow(item.Account, item.Weight)
	c.add(item)
	q.length++
}

// flow returns the account's flow and updates its weight.
func (c *classQueue[T]) flow(account core.AccountName, weight int) *flow[T] {
	weight = max(weight, 1)
	f, ok := c.flows[account]
	if !ok {
		f = &flow[T]{queue: c, weight: weight, startTag: c.virtualTime}
		c.flows[account] = f
	}
	if f.items.Len() > 0 {
		c.activeWeight += weight - f.weight
	}
	f.weight = weight
	return f
}

// add appends the item to its flow.
func (c *classQueue[T]) add(item *Item[T]) {
	f := item.flow
	if f.items.Len() == 0 {
		f.startTag = max(f.startTag, c.virtualTime)
		f.arrivalSeq = item.seq
		c.activeWeight += f.weight
		c.backlogged.Push(f)
	}
	f.items.Push(item)
	c.length++
}

// Pop implements Queue.
func (q *Fair[T]) Pop() (*Item[T], bool) {
	chosen := q.nextClass()
	if chosen < 0 {
		return nil, false
	}
	f, _ := q.classQueues[chosen].backlogged.First()
	return q.take(chosen, f), true
}

// PopWhere implements Queue. It takes time proportional to the number of accounts.
func (q *Fair[T]) PopWhere(may func(core.AccountName) bool) (*Item[T], bool) {
	if first := q.nextClass(); first >= 0 {
		if f := q.classQueues[first].firstWhere(may); f != nil {
			return q.take(first, f), true
		}
	}
	for i := range q.classQueues {
		if f := q.classQueues[i].firstWhere(may); f != nil {
			return q.take(i, f), true
		}
	}
	return nil, false
}

// firstWhere returns the flow to serve next among those of the accounts for which
// the function returns true, or nil.
func (c *classQueue[T]) firstWhere(may func(core.AccountName) bool) *flow[T] {
	if c.length == 0 {
		return nil
	}
	var first *flow[T]
	for account, f := range c.flows {
		if f.items.Len() > 0 && (first == nil || f.Before(first)) && may(account) {
			first = f
		}
	}
	return first
}

// Waiting implements Queue.
func (q *Fair[T]) Waiting(visit func(account core.AccountName, items int) bool) {
	for i := range q.classQueues {
		c := &q.classQueues[i]
		if c.length == 0 {
			continue
		}
		var waiting []core.AccountName
		for account, f := range c.flows {
			if f.items.Len() > 0 {
				waiting = append(waiting, account)
			}
		}
		slices.SortFunc(waiting, func(a, b core.AccountName) int {
			if c.flows[a].Before(c.flows[b]) {
				return -1
			}
			return 1
		})
		for _, account := range waiting {
			if !visit(account, c.flows[account].items.Len()) {
				return
			}
		}
	}
}

// take removes the first item of the flow, which is the next one served of the class.
func (q *Fair[T]) take(chosen int, f *flow[T]) *Item[T] {
	q.countBypassed(chosen)
	c := &q.classQueues[chosen]
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag += 1 / float64(f.weight)
	item, _ := f.items.First()
	q.detach(item)
	return item
}

// nextClass returns the class to serve: the least urgent one that was bypassed
// maxBypass times, or else the most urgent one with items; -1 when all are
// empty.
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

// countBypassed counts one item of the chosen class against the less urgent
// classes that wait.
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

// detach removes a queued item from its flow.
func (q *Fair[T]) detach(item *Item[T]) {
	f := item.flow
	c := f.queue
	f.items.Remove(item.index)
	item.queued = false
	item.flow = nil
	c.length--
	q.length--
	if front, waits := f.items.First(); waits {
		f.arrivalSeq = front.seq
		c.backlogged.Fix(f.index)
		return
	}
	c.backlogged.Remove(f.index)
	c.activeWeight -= f.weight
	if c.length == 0 {
		c.dropIdleFlows()
	}
}

// dropIdleFlows drops the flows of an empty class whose start tag is not ahead of
// the virtual time. The other flows keep theirs, so that an account gains nothing
// by leaving the queue for a moment.
func (c *classQueue[T]) dropIdleFlows() {
	c.bypassed = 0
	for account, f := range c.flows {
		if f.startTag <= c.virtualTime {
			delete(c.flows, account)
		}
	}
}

// Len implements Queue.
func (q *Fair[T]) Len() int {
	return q.length
}

// Ahead implements Queue. It counts all items of more urgent classes, and of
// the same class those that fair sharing serves until the account's own items
// are done.
func (q *Fair[T]) Ahead(account core.AccountName, weight int, class core.Class) int {
	chosen := classIndex(class)
	ahead := 0
	for i := range chosen {
		ahead += q.classQueues[i].length
	}
	return ahead + q.classQueues[chosen].ahead(account, max(weight, 1))
}

// ahead estimates the items of this class that are served before a new item of
// the account.
func (c *classQueue[T]) ahead(account core.AccountName, weight int) int {
	own, others := 0, c.activeWeight
	if f, ok := c.flows[account]; ok && f.items.Len() > 0 {
		own = f.items.Len()
		others -= f.weight
	}
	estimate := own + (own+1)*others/weight
	return min(estimate, c.length)
}

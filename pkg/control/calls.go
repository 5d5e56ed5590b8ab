package control

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// maxOpenCalls bounds the platform calls without an answer. One thread runs
// them one after the other, and each takes its whole timeout in an outage: in
// its ring, the calls of many groups would stop the control duty and hold up
// the renewal of the lease.
const maxOpenCalls = 8

// callQueue holds the platform calls that wait for others to be answered.
type callQueue struct {
	open int
	// urgent calls of the lease go before the others.
	urgent  callList
	waiting callList
}

// callList is a queue in which a call may replace one with the same key.
type callList struct {
	order []any
	calls map[any]StoreOperation
}

func (l *callList) put(op StoreOperation) {
	key := replaceKey(op)
	if key == nil {
		key = new(int)
	}
	if l.calls == nil {
		l.calls = map[any]StoreOperation{}
	}
	if _, exists := l.calls[key]; !exists {
		l.order = append(l.order, key)
	}
	l.calls[key] = op
}

func (l *callList) pop() (StoreOperation, bool) {
	if len(l.order) == 0 {
		return nil, false
	}
	key := l.order[0]
	l.order = l.order[1:]
	op := l.calls[key]
	delete(l.calls, key)
	return op, true
}

// readOf and swapOf identify the calls that replace an older one of the same
// group, as long as that has not been sent.
type (
	readOf core.DatabaseName
	swapOf core.DatabaseName
)

// replaceKey returns equal keys for calls of which only the newest is wanted,
// nil for a call that is always sent.
func replaceKey(op StoreOperation) any {
	switch v := op.(type) {
	case ReadGroup:
		return readOf(v.Database)
	case SwapGroup:
		return swapOf(v.Database)
	case CreateLease, RenewLease, ListInstances, ReadCatalogue:
		return op
	}
	return nil
}

func isUrgent(op StoreOperation) bool {
	switch op.(type) {
	case CreateLease, RenewLease, RevokeLease, PutClaim:
		return true
	}
	return false
}

// store sends a platform call, now or when enough others are answered. Each
// call is answered once, except one that a newer call has replaced.
func (e *Engine) store(op StoreOperation) {
	c := &e.calls
	if c.open < maxOpenCalls {
		c.open++
		e.out.Store(op)
		return
	}
	if isUrgent(op) {
		c.urgent.put(op)
		return
	}
	c.waiting.put(op)
}

// callAnswered sends the next call that waits.
func (e *Engine) callAnswered() {
	c := &e.calls
	c.open--
	next, ok := c.urgent.pop()
	if !ok {
		next, ok = c.waiting.pop()
	}
	if ok {
		e.store(next)
	}
}

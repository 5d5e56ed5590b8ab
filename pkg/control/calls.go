package control

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// maxOutstandingCalls bounds the platform calls without a response. One thread
// runs the calls one after the other, and in an outage each call takes its whole
// timeout. If the calls of many groups filled its ring, the control duty would
// block and the renewal of the lease would be late.
const maxOutstandingCalls = 8

// callQueue holds the platform calls that wait until earlier calls are answered.
type callQueue struct {
	outstanding int
	// urgent holds the calls of the lease, which are sent before the normal ones.
	urgent callList
	normal callList
}

// callList is a FIFO queue in which a call replaces a queued call with the same
// key.
type callList struct {
	order []any
	calls map[any]StoreOperation
}

// put appends a call, or puts it in the place of the queued call with the same
// key.
func (l *callList) put(op StoreOperation) {
	key := dedupKey(op)
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

// pop removes the first call. It reports false if the list is empty.
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

// readKey and swapKey identify the calls that replace a queued call for the same
// group.
type (
	readKey core.DatabaseName
	swapKey core.DatabaseName
)

// dedupKey returns equal keys for calls of which only the newest is needed, and
// nil for a call that must always be sent.
func dedupKey(op StoreOperation) any {
	switch v := op.(type) {
	case ReadGroup:
		return readKey(v.Database)
	case SwapGroup:
		return swapKey(v.Database)
	case CreateLease, RenewLease, ListInstances, ReadCatalogue:
		return op
	}
	return nil
}

// isUrgent reports whether the call belongs to the lease or slot of this
// instance.
func isUrgent(op StoreOperation) bool {
	switch op.(type) {
	case CreateLease, RenewLease, RevokeLease, PutClaim:
		return true
	}
	return false
}

// callPlatform sends a platform call, or queues it while too many calls are
// outstanding. Each call gets one response, except a queued call that a newer one
// has replaced.
func (e *Engine) callPlatform(op StoreOperation) {
	c := &e.platformCalls
	if c.outstanding < maxOutstandingCalls {
		c.outstanding++
		e.out.CallStore(op)
		return
	}
	if isUrgent(op) {
		c.urgent.put(op)
		return
	}
	c.normal.put(op)
}

// sendNextCall records that a call was answered and sends the next queued one.
func (e *Engine) sendNextCall() {
	c := &e.platformCalls
	c.outstanding--
	next, ok := c.urgent.pop()
	if !ok {
		next, ok = c.normal.pop()
	}
	if ok {
		e.callPlatform(next)
	}
}

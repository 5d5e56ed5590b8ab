package usage

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Origins measures what other instances' callers use at the homes on this instance.
type Origins struct {
	// idleAfter is the time after its last request from which an instance may have
	// stopped to send messages because it has no requests.
	idleAfter time.Duration
	instances map[core.InstanceID]*origin
}

// origin is another instance whose callers' requests run on this one.
type origin struct {
	lastContact time.Time
	// lastRequest is the time of its last request.
	lastRequest time.Time
	accounts    map[core.AccountName]*Counter
}

// NewOrigins returns a measurement without instances.
func NewOrigins(idleAfter time.Duration) *Origins {
	return &Origins{idleAfter: idleAfter, instances: map[core.InstanceID]*origin{}}
}

// RecordMessage records a message from the instance.
func (o *Origins) RecordMessage(id core.InstanceID, now time.Time) {
	o.contact(id, now)
}

// RecordRequest records a request of a caller of the instance.
func (o *Origins) RecordRequest(id core.InstanceID, account core.AccountName, now time.Time) {
	from := o.contact(id, now)
	counter := from.accounts[account]
	if counter == nil {
		counter = &Counter{}
		from.accounts[account] = counter
	}
	counter.Add(now)
	from.lastRequest = now
}

func (o *Origins) contact(id core.InstanceID, now time.Time) *origin {
	from := o.instances[id]
	if from == nil {
		from = &origin{accounts: map[core.AccountName]*Counter{}}
		o.instances[id] = from
	}
	from.lastContact = now
	return from
}

// Known reports whether a message of the instance has arrived.
func (o *Origins) Known(id core.InstanceID) bool { return o.instances[id] != nil }

// Rates returns the account's usage in requests per second through instances that have
// sent a message within the bound, and through the others.
func (o *Origins) Rates(account core.AccountName, bound time.Duration, now time.Time) (responsive, unresponsive float64) {
	for _, from := range o.instances {
		counter := from.accounts[account]
		switch {
		case counter == nil:
		case o.unresponsive(from, bound, now):
			unresponsive += counter.Rate(from.lastContact)
		default:
			responsive += counter.Rate(from.lastContact)
		}
	}
	return responsive, unresponsive
}

// unresponsive reports whether no message of the instance has arrived within the bound,
// unless it sends none because it has no requests.
func (o *Origins) unresponsive(from *origin, bound time.Duration, now time.Time) bool {
	idle := from.lastContact.Sub(from.lastRequest) >= o.idleAfter
	return !idle && now.Sub(from.lastContact) > bound
}

// Retain drops the instances that are not registered any more.
func (o *Origins) Retain(registered map[core.InstanceID]bool) {
	for id := range o.instances {
		if !registered[id] {
			delete(o.instances, id)
		}
	}
}

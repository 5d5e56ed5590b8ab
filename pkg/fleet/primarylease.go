package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

const (
	// leaseContactInterval is the time between two contacts that renew the lease.
	leaseContactInterval = 250 * time.Millisecond
	// leaseStoreCheckInterval is the shortest time between two reads of the store that
	// are made only to renew the lease.
	leaseStoreCheckInterval = time.Second
	// leaseEndMargin covers the time that an instance needs to apply the end of its
	// lease.
	leaseEndMargin = 100 * time.Millisecond
)

// primaryLease decides how long this instance may use primaries, where nothing else
// stops the writes to a primary that another instance replaces. A response of the store
// or of an instance in another failure domain (of any other one, if there is a single
// domain) renews the lease, counted from the sending of the request. Once it has ended,
// only a newer read of the store renews it: the primaries that this instance knows may have
// been replaced meanwhile.
type primaryLease struct {
	e     *Engine
	timer timerq.Item[func()]
	// contactAt is when the newest request that got a response was sent.
	contactAt time.Time
	// probedAt is when the last probe was sent, storeCheckedAt when a read of the
	// store was last requested.
	probedAt       time.Time
	storeCheckedAt time.Time
	// endedAt is when the lease ended, zero while it lasts.
	endedAt time.Time
	// nextProbe rotates the instances that are probed.
	nextProbe int
}

func (l *primaryLease) init(e *Engine) {
	l.e = e
	l.timer.Value = l.renew
}

// required reports whether this instance needs a lease.
func (l *primaryLease) required() bool { return l.e.config.Bounds.PrimaryLease > 0 }

// storeRead records a read of the store that began at the given time.
func (l *primaryLease) storeRead(at time.Time) {
	if !l.required() || !at.After(l.contactAt) {
		return
	}
	first := l.contactAt.IsZero()
	l.noticeEnd()
	if at.After(l.endedAt) {
		l.endedAt = time.Time{}
	}
	l.extend(at)
	if first {
		l.renew()
	}
}

// instanceResponded records the response of an instance to a probe.
func (l *primaryLease) instanceResponded(sentAt time.Time) {
	if !l.required() || l.contactAt.IsZero() || !sentAt.After(l.contactAt) {
		return
	}
	l.noticeEnd()
	if l.endedAt.IsZero() {
		l.extend(sentAt)
	}
}

// extend records a contact and publishes the new end of the lease.
func (l *primaryLease) extend(at time.Time) {
	l.contactAt = at
	if l.endedAt.IsZero() {
		l.e.out.Session(session.PrimaryLease{Until: l.end()})
	}
}

func (l *primaryLease) end() time.Time {
	return l.contactAt.Add(l.e.config.Bounds.PrimaryLease)
}

// renew looks for a contact that extends the lease, and notices its end.
func (l *primaryLease) renew() {
	e := l.e
	l.noticeEnd()
	others := e.otherInstances()
	if len(others) == 0 {
		// Nobody else could replace a primary.
		l.storeRead(e.now)
	}
	probes := 1
	if l.probedAt.After(l.contactAt) {
		probes = probesPerRound
		l.checkStore()
	}
	for i := range min(probes, len(others)) {
		e.out.ProbeInstance(session.PeerAddress(others[(l.nextProbe+i)%len(others)].Peer))
	}
	l.nextProbe += probes
	l.probedAt = e.now
	e.timers.Arm(&l.timer, e.now.Add(leaseContactInterval))
}

// noticeEnd records and logs the end of the lease. The session duty, which knows the
// time until which it lasts, has stopped on its own.
func (l *primaryLease) noticeEnd() {
	e := l.e
	if l.contactAt.IsZero() || !l.endedAt.IsZero() || e.now.Before(l.end()) {
		return
	}
	l.endedAt = l.end()
	e.out.Log(LogEvent{Warning: true, Event: "primary_lease_ended",
		Message: "neither the store nor another failure domain responds; primaries are not used until the store is read again",
		Fields:  map[string]any{"last_contact_ms": e.now.Sub(l.contactAt).Milliseconds()}})
}

// checkStore requests a read of the store, not more often than every
// leaseStoreCheckInterval.
func (l *primaryLease) checkStore() {
	if l.e.storeLost || l.e.now.Sub(l.storeCheckedAt) < leaseStoreCheckInterval {
		return
	}
	l.storeCheckedAt = l.e.now
	l.e.out.CheckStore()
}

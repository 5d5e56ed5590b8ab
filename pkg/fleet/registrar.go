package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
)

// Registrar keeps the instance registered in the store, on a thread of its own.
type Registrar struct {
	registry Registry
	self     Instance
	bounds   RegistrarBounds
	log      func(LogEvent)
	deliver  func(Input) bool
	claims   *ring.Ring[HomeClaim]
	signal   *ring.Signal
	// leaving is set by Deregister.
	leaving atomic.Bool
	// renewAt is when the lease is renewed next.
	renewAt time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	// lease is the lease of the registration and of the homes. granted is set once it
	// exists, leaseHeld once the instance is registered under it.
	lease     Lease
	granted   bool
	leaseHeld bool
	// replaces is the revision of the record that the registration is to replace, as far as
	// it is known. again is set by RegisterAgain.
	replaces Revision
	again    atomic.Bool
}

// RegistrarBounds are the time limits of a Registrar.
type RegistrarBounds struct {
	// TTL is the lease's duration, RenewInterval the interval between renewals.
	TTL           time.Duration
	RenewInterval time.Duration
	// ResponseTimeout limits one call.
	ResponseTimeout time.Duration
	// Margin is how long before the end of the lease the instance stops relying on
	// it.
	Margin time.Duration
}

// claimRingCapacity is the number of home claims that can wait; there are a few per
// instance.
const claimRingCapacity = 64

// NewRegistrar returns a registrar. deliver hands an input to the fleet duty.
func NewRegistrar(registry Registry, self Instance, bounds RegistrarBounds, deliver func(Input) bool, log func(LogEvent)) *Registrar {
	ctx, cancel := context.WithCancel(context.Background())
	signal := ring.NewSignal()
	return &Registrar{
		registry: registry, self: self, bounds: bounds, deliver: deliver, log: log,
		claims: ring.New[HomeClaim](claimRingCapacity, signal), signal: signal, ctx: ctx, cancel: cancel,
	}
}

// ClaimHome queues a claim. It returns false if the ring had no free space.
func (r *Registrar) ClaimHome(c HomeClaim) bool { return r.claims.TryPush(c) }

// Deregister ends the registration, and with it the homes, while the thread keeps
// running.
func (r *Registrar) Deregister() {
	r.leaving.Store(true)
	r.signal.Wake()
}

// RegisterAgain writes the registration again, because the store holds none or that of another
// run.
func (r *Registrar) RegisterAgain() {
	r.again.Store(true)
	r.signal.Wake()
}

// Start starts the registrar's thread in g.
func (r *Registrar) Start(g *duty.Group) {
	g.Start("registration", r.run)
}

// Stop ends the registration and the thread.
func (r *Registrar) Stop() {
	r.cancel()
	r.signal.Wake()
}

func (r *Registrar) run() {
	for r.ctx.Err() == nil {
		if r.leaving.Load() {
			r.deregister()
			r.signal.Wait(r.bounds.RenewInterval)
			continue
		}
		if r.again.Swap(false) && r.leaseHeld {
			r.leaseHeld, r.renewAt = false, time.Time{}
		}
		if !clock.Now().Before(r.renewAt) {
			r.renewAt = clock.Now().Add(r.bounds.RenewInterval)
			if err := r.renewOrRegister(); err != nil {
				r.renewAt = clock.Earlier(r.renewAt, clock.Now().Add(r.bounds.RenewInterval/2))
				r.logFailure(err)
			}
		}
		if claim, ok := r.claims.Pop(); ok {
			r.claim(claim)
			continue
		}
		if r.claims.Park() {
			r.signal.Wait(max(r.renewAt.Sub(clock.Now()), time.Millisecond))
			r.claims.Unpark()
		}
	}
	r.deregister()
}

func (r *Registrar) logFailure(err error) {
	if err != nil {
		r.log(LogEvent{Warning: true, Event: "registration_failed", Message: err.Error()})
	}
}

// renewOrRegister renews the lease, or creates one and registers the instance. The
// lease lasts from the arrival of the call at the store, so its end is calculated
// from the time of sending.
func (r *Registrar) renewOrRegister() error {
	ctx, cancel := context.WithTimeout(r.ctx, r.bounds.ResponseTimeout)
	defer cancel()
	sentAt := clock.Now()
	if r.leaseHeld {
		err := r.renew(ctx)
		if err == nil {
			r.reportLease(sentAt)
		}
		return err
	}
	if err := r.register(ctx); err != nil {
		return err
	}
	r.leaseHeld = true
	r.reportLease(sentAt)
	return nil
}

// renew renews the lease. If the lease has ended, the fleet duty learns of it at once, also
// while the instance registers again: it must not act under the lease any more.
func (r *Registrar) renew(ctx context.Context) error {
	err := r.registry.RenewLease(ctx, r.lease)
	if eris.Is(err, ErrLeaseEnded) {
		r.leaseHeld, r.granted = false, false
		r.deliver(LeaseUpdated{})
		r.renewAt = time.Time{}
	}
	return err
}

// register publishes the instance under a new lease. If only the publication failed, the
// next attempt uses the lease that was granted, after a renewal: it may be about to end.
func (r *Registrar) register(ctx context.Context) error {
	if r.granted {
		if err := r.renew(ctx); err != nil {
			return err
		}
		return r.publish(ctx)
	}
	lease, err := r.registry.GrantLease(ctx, r.bounds.TTL)
	if err != nil {
		return err
	}
	r.lease, r.granted = lease, true
	return r.publish(ctx)
}

// publish writes the registration in place of the record that the store holds. An earlier
// attempt whose response was lost counts as done.
func (r *Registrar) publish(ctx context.Context) error {
	err := r.registry.Register(ctx, r.self, r.lease, r.replaces)
	var registered *RegisteredError
	if !eris.As(err, &registered) {
		return err
	}
	if registered.Instance == r.self.ID && registered.Lease == r.lease {
		return nil
	}
	r.replaces = registered.Revision
	return r.registry.Register(ctx, r.self, r.lease, r.replaces)
}

// reportLease delivers the time until which the lease may be relied on.
func (r *Registrar) reportLease(sentAt time.Time) {
	r.deliver(LeaseUpdated{Until: sentAt.Add(r.bounds.TTL - r.bounds.Margin), Lease: r.lease})
}

// claim executes a home claim. The engine retries a failed claim.
func (r *Registrar) claim(c HomeClaim) {
	if c.Successor.Lease != 0 {
		r.transfer(c)
		return
	}
	if !r.leaseHeld {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.bounds.ResponseTimeout)
	defer cancel()
	err := r.registry.ClaimHome(ctx, c, r.self, r.lease)
	if err != nil {
		r.log(LogEvent{Event: "home_not_claimed", Message: err.Error(), Fields: map[string]any{"account": c.Account}})
	}
}

// transfer names the successor in the record of a home of this instance, under the
// successor's lease.
func (r *Registrar) transfer(c HomeClaim) {
	ctx, cancel := context.WithTimeout(r.ctx, r.bounds.ResponseTimeout)
	defer cancel()
	err := r.registry.ClaimHome(ctx, c, c.Successor.Instance, c.Successor.Lease)
	if err != nil {
		r.log(LogEvent{Warning: true, Event: "home_not_transferred", Message: err.Error(), Fields: map[string]any{"account": c.Account}})
	}
	r.deliver(HomeTransferred{Account: c.Account, Err: err})
}

// deregister revokes the lease so that others need not wait for it to expire.
func (r *Registrar) deregister() {
	if !r.granted {
		return
	}
	r.leaseHeld, r.granted = false, false
	ctx, cancel := context.WithTimeout(context.Background(), r.bounds.ResponseTimeout)
	defer cancel()
	if err := r.registry.RevokeLease(ctx, r.lease); err != nil {
		r.log(LogEvent{Warning: true, Event: "registration_end_failed", Message: err.Error()})
	}
}

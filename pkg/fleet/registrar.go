package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
)

// Registrar keeps the instance registered in the store on a thread of its own.
type Registrar struct {
	registry Registry
	self     Instance
	bounds   RegistrarBounds
	log      func(LogEvent)
	ctx      context.Context
	cancel   context.CancelFunc
	lease    Lease
	held     bool
}

// RegistrarBounds are the periods of a Registrar.
type RegistrarBounds struct {
	// TTL is the lease's duration, Renew the period of renewals.
	TTL   time.Duration
	Renew time.Duration
	// Answer bounds one call.
	Answer time.Duration
}

// NewRegistrar returns a registrar.
func NewRegistrar(registry Registry, self Instance, bounds RegistrarBounds, log func(LogEvent)) *Registrar {
	ctx, cancel := context.WithCancel(context.Background())
	return &Registrar{registry: registry, self: self, bounds: bounds, log: log, ctx: ctx, cancel: cancel}
}

// Start starts the thread in g.
func (r *Registrar) Start(g *duty.Group) {
	g.Start("registration", r.run)
}

// Stop ends the registration and the thread.
func (r *Registrar) Stop() {
	r.cancel()
}

func (r *Registrar) run() {
	ticker := time.NewTicker(r.bounds.Renew)
	defer ticker.Stop()
	for {
		if err := r.keep(); err != nil {
			r.log(LogEvent{Warning: true, Event: "registration_failed", Message: err.Error()})
		}
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			r.end()
			return
		}
	}
}

// keep renews the lease, or registers anew.
func (r *Registrar) keep() error {
	ctx, cancel := context.WithTimeout(r.ctx, r.bounds.Answer)
	defer cancel()
	if r.held {
		err := r.registry.Renew(ctx, r.lease)
		if eris.Is(err, ErrLeaseEnded) {
			r.held = false
		}
		return err
	}
	lease, err := r.registry.Grant(ctx, r.bounds.TTL)
	if err != nil {
		return err
	}
	if err := r.registry.Register(ctx, r.self, lease); err != nil {
		return err
	}
	r.lease, r.held = lease, true
	return nil
}

// end gives the lease back, so that others need not wait for its end.
func (r *Registrar) end() {
	if !r.held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.bounds.Answer)
	defer cancel()
	if err := r.registry.End(ctx, r.lease); err != nil {
		r.log(LogEvent{Warning: true, Event: "registration_end_failed", Message: err.Error()})
	}
}

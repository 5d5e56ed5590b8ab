package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Job is work for the worker; its kind decides which fields are used.
type Job struct {
	Kind  JobKind
	Group core.DatabaseName
	// Claim is used by JobPromote.
	Claim Claim
	// Targets are the replicas to survey, or the member to ask or to order.
	Targets []Target
	// Term is used by JobStepDown, and by JobSurvey when the replicas have to
	// stop receiving first.
	Term core.Term
}

// JobKind is what a job does.
type JobKind uint8

// Kinds of jobs.
const (
	JobClaim JobKind = iota
	JobSurvey
	JobPromote
	JobStepDown
	JobExamine
)

// JobDone is the result of a job.
type JobDone struct {
	Job    Job
	Claim  Claim
	States []MemberState
	// Err is nil, or one of the errors of Registry and Orders.
	Err error
}

func (JobDone) fleetInput() {}

// WorkerBounds bound the calls of a Worker.
type WorkerBounds struct {
	// Call bounds a call to the store or the platform, Member one to a member.
	Call   time.Duration
	Member time.Duration
	// ClaimTTL is how long a claim lasts after its last use.
	ClaimTTL time.Duration
}

// workerRing is the number of jobs that can wait; each group has one or two.
const workerRing = 64

// workerIdle is the longest wait of the idle thread; a push ends it earlier.
const workerIdle = time.Minute

// Worker runs the calls of promotions one after the other on a thread of its own.
type Worker struct {
	registry Registry
	orders   Orders
	self     core.InstanceID
	bounds   WorkerBounds
	deliver  func(Input) bool
	jobs     *ring.Ring[Job]
	signal   *ring.Signal
	ctx      context.Context
	cancel   context.CancelFunc
	lease    Lease
	held     bool
}

// NewWorker returns a worker. deliver hands an input to the fleet duty and
// reports false once the instance stops.
func NewWorker(registry Registry, orders Orders, self core.InstanceID, bounds WorkerBounds, deliver func(Input) bool) *Worker {
	ctx, cancel := context.WithCancel(context.Background())
	signal := ring.NewSignal()
	return &Worker{
		registry: registry, orders: orders, self: self, bounds: bounds, deliver: deliver,
		jobs: ring.New[Job](workerRing, signal), signal: signal, ctx: ctx, cancel: cancel,
	}
}

// Push hands over a job and reports whether there was room.
func (w *Worker) Push(j Job) bool { return w.jobs.TryPush(j) }

// Start starts the thread in g.
func (w *Worker) Start(g *duty.Group) { g.Start("promotions", w.run) }

// Stop ends the thread after the present call, which is cancelled.
func (w *Worker) Stop() {
	w.cancel()
	w.signal.Wake()
}

func (w *Worker) run() {
	for w.ctx.Err() == nil {
		job, ok := w.jobs.Pop()
		if ok {
			w.deliver(w.do(job))
			continue
		}
		if w.jobs.Park() {
			w.signal.Wait(workerIdle)
			w.jobs.Unpark()
		}
	}
}

func (w *Worker) do(j Job) JobDone {
	done := JobDone{Job: j}
	switch j.Kind {
	case JobClaim:
		done.Claim, done.Err = w.claim(j.Group)
	case JobSurvey:
		done.States, done.Err = w.survey(j)
	case JobPromote:
		done.Err = w.promote(j)
	case JobStepDown:
		done.States, done.Err = w.ask(j.Targets, func(ctx context.Context, t Target) (MemberState, error) {
			return w.orders.StepDown(ctx, t, j.Term)
		})
	case JobExamine:
		done.States, done.Err = w.ask(j.Targets, w.orders.Status)
	}
	return done
}

func (w *Worker) claim(group core.DatabaseName) (Claim, error) {
	ctx, cancel := context.WithTimeout(w.ctx, w.bounds.Call)
	defer cancel()
	if err := w.keepLease(ctx); err != nil {
		return Claim{}, err
	}
	return w.registry.Claim(ctx, group, w.self, w.lease)
}

// keepLease renews the lease of the claims, or takes a new one.
func (w *Worker) keepLease(ctx context.Context) error {
	if w.held {
		err := w.registry.Renew(ctx, w.lease)
		if !eris.Is(err, ErrLeaseEnded) {
			return err
		}
		w.held = false
	}
	lease, err := w.registry.Grant(ctx, w.bounds.ClaimTTL)
	if err != nil {
		return err
	}
	w.lease, w.held = lease, true
	return nil
}

// survey asks the replicas for their positions. Where they have to stop
// receiving, one that does not answer fails the survey.
func (w *Worker) survey(j Job) ([]MemberState, error) {
	if j.Term == 0 {
		// A replica that does not answer is no candidate, and no reason to wait.
		states, _ := w.ask(j.Targets, w.orders.Status)
		return states, nil
	}
	return w.ask(j.Targets, func(ctx context.Context, t Target) (MemberState, error) {
		return w.orders.Pause(ctx, t, j.Term)
	})
}

// ask returns the states of the members that answered and the last error.
func (w *Worker) ask(targets []Target, order func(context.Context, Target) (MemberState, error)) ([]MemberState, error) {
	var states []MemberState
	var failed error
	for _, t := range targets {
		ctx, cancel := context.WithTimeout(w.ctx, w.bounds.Member)
		state, err := order(ctx, t)
		cancel()
		if err != nil {
			failed = err
			continue
		}
		states = append(states, state)
	}
	return states, failed
}

func (w *Worker) promote(j Job) error {
	ctx, cancel := context.WithTimeout(w.ctx, w.bounds.Call)
	defer cancel()
	return w.orders.Promote(ctx, j.Claim, j.Targets[0].Member)
}

package fleet

import (
	"context"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// WorkerBounds are the time limits of a Worker.
type WorkerBounds struct {
	// Call limits a call to the store or the platform, Member a call to a member.
	Call   time.Duration
	Member time.Duration
	// ClaimTTL is the lifetime of a claim's lease after its last renewal.
	ClaimTTL time.Duration
}

// jobRingCapacity is the number of jobs that can wait; each group has one or two.
const jobRingCapacity = 64

// idleWait is the longest wait of the idle thread; a push ends it earlier.
const idleWait = time.Minute

// Worker makes the calls of primary changes, and the status requests to suspected
// primaries, one after the other on a thread of its own.
type Worker struct {
	registry      Registry
	memberControl MemberControl
	self          core.InstanceID
	bounds        WorkerBounds
	deliver       func(Input) bool
	jobs          *ring.Ring[Job]
	signal        *ring.Signal
	ctx           context.Context
	cancel        context.CancelFunc
	// lease is the lease of this instance's claims, valid if leaseHeld is set.
	lease     Lease
	leaseHeld bool
}

// NewWorker returns a worker. deliver hands an input to the fleet duty and returns
// false once the instance stops.
func NewWorker(registry Registry, memberControl MemberControl, self core.InstanceID, bounds WorkerBounds, deliver func(Input) bool) *Worker {
	ctx, cancel := context.WithCancel(context.Background())
	signal := ring.NewSignal()
	return &Worker{
		registry: registry, memberControl: memberControl, self: self, bounds: bounds, deliver: deliver,
		jobs: ring.New[Job](jobRingCapacity, signal), signal: signal, ctx: ctx, cancel: cancel,
	}
}

// Push queues a job. It returns false if the ring had no free space.
func (w *Worker) Push(j Job) bool { return w.jobs.TryPush(j) }

// Start starts the worker's thread in g.
func (w *Worker) Start(g *duty.Group) { g.Start("promotions", w.run) }

// Stop cancels the call in progress and ends the thread.
func (w *Worker) Stop() {
	w.cancel()
	w.signal.Wake()
}

func (w *Worker) run() {
	for w.ctx.Err() == nil {
		job, ok := w.jobs.Pop()
		if ok {
			w.deliver(w.execute(job))
			continue
		}
		if w.jobs.Park() {
			w.signal.Wait(idleWait)
			w.jobs.Unpark()
		}
	}
}

// execute makes the calls of one job.
func (w *Worker) execute(j Job) JobDone {
	done := JobDone{Job: j}
	switch j.Kind {
	case JobClaim:
		done.Claim, done.Err = w.claim(j)
	case JobSurvey:
		w.survey(j, &done)
	case JobCatchUp:
		w.catchUp(j, &done)
	case JobPromote:
		done.Err = w.promote(j)
	case JobStepDown:
		done.States, done.Err = w.callMembers(j.Targets, func(ctx context.Context, t Target) (MemberState, error) {
			return w.stepDown(ctx, t, j.Term)
		})
	case JobPause:
		done.States, done.Err = w.pause(j.Targets, j.Term)
	case JobResume:
		done.States, done.Err = w.callMembers(j.Targets, w.memberControl.Resume)
	case JobRevoke:
		done.Err = w.recordSuccession(j)
	case JobMemberStatus:
		done.States, done.Err = w.callMembers(j.Targets, w.memberControl.Status)
	case JobRecordTerm:
		done.States, done.Err = w.recordTerm(j)
	}
	return done
}

package fleet

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

// FeedAsked is the question of a follower for the changes after a revision. It
// is answered as soon as there are some, or after the wait.
type FeedAsked struct {
	// Reply comes back with the answer.
	Reply any
	After Revision
	Wait  time.Duration
}

func (FeedAsked) fleetInput() {}

// FeedAnswer answers FeedAsked.
type FeedAnswer struct {
	// Unfit is set when this instance has not got the changes: it does not follow
	// the store itself, cannot read it, or began after the revision.
	Unfit   bool     `json:"unfit,omitempty"`
	Changes []Change `json:"changes,omitempty"`
	// Next is the revision to go on from.
	Next Revision `json:"next,omitempty"`
	// Age is the time since the store had no news beyond Next.
	Age time.Duration `json:"age,omitempty"`
}

const (
	// feedKept bounds the changes that a feeder keeps for slow followers; a start
	// of all instances makes about three for each.
	feedKept = 4096
	// maxFollowers bounds the questions that wait.
	maxFollowers = 256
)

// feed passes the store's changes on to the instances that follow this one.
type feed struct {
	e *Engine
	// serving is set while this instance is to feed others, fresh since it has
	// read the store and until it loses it.
	serving, fresh bool
	// changes are those after from, up to the revision to; the store had no more
	// at the time current.
	changes  []Change
	from, to Revision
	current  time.Time
	waiting  []follower
	timer    timerq.Item[func()]
}

// follower is a question that waits for changes.
type follower struct {
	reply any
	after Revision
	until time.Time
}

func (f *feed) init(e *Engine) {
	f.e = e
	f.timer.Value = f.expire
}

// restart begins anew after everything was read.
func (f *feed) restart(revision Revision, current time.Time) {
	f.refuseAll()
	f.changes = nil
	f.from, f.to, f.current = revision, revision, current
	f.fresh = true
}

// add takes the changes up to a revision, possibly none.
func (f *feed) add(changes []Change, next Revision, current time.Time) {
	f.to = max(f.to, next)
	f.current = current
	if !f.serving {
		// Nobody asks; the first follower goes on from here.
		f.from, f.changes = f.to, nil
		return
	}
	f.changes = append(f.changes, changes...)
	if surplus := len(f.changes) - feedKept; surplus > 0 {
		f.from = f.changes[surplus-1].Revision
		f.changes = slices.Delete(f.changes, 0, surplus)
	}
	if len(changes) > 0 {
		f.answerWaiting(func(*follower) bool { return true })
	}
}

// lost tells the followers that the store cannot be read here.
func (f *feed) lost() {
	f.fresh = false
	f.refuseAll()
}

// stop ends the service.
func (f *feed) stop() {
	f.serving = false
	f.refuseAll()
}

func (f *feed) asked(in FeedAsked) {
	w := follower{reply: in.Reply, after: in.After, until: f.e.now.Add(in.Wait)}
	unfit := !f.serving || !f.fresh || in.After < f.from || len(f.waiting) >= maxFollowers
	switch {
	case unfit:
		f.e.out.GiveFeed(w.reply, FeedAnswer{Unfit: true})
	case in.After < f.to || in.Wait <= 0:
		f.answer(&w)
	default:
		f.waiting = append(f.waiting, w)
		f.arm()
	}
}

func (f *feed) answer(w *follower) {
	first, _ := slices.BinarySearchFunc(f.changes, w.after, func(c Change, after Revision) int {
		if c.Revision <= after {
			return -1
		}
		return 1
	})
	f.e.out.GiveFeed(w.reply, FeedAnswer{
		Changes: slices.Clone(f.changes[first:]), Next: max(f.to, w.after), Age: f.e.now.Sub(f.current),
	})
}

// answerWaiting answers the questions that the condition names.
func (f *feed) answerWaiting(due func(*follower) bool) {
	kept := f.waiting[:0]
	for i := range f.waiting {
		if w := f.waiting[i]; due(&w) {
			f.answer(&w)
			continue
		}
		kept = append(kept, f.waiting[i])
	}
	clear(f.waiting[len(kept):])
	f.waiting = kept
}

func (f *feed) refuseAll() {
	for i := range f.waiting {
		f.e.out.GiveFeed(f.waiting[i].reply, FeedAnswer{Unfit: true})
	}
	f.waiting = nil
}

func (f *feed) expire() {
	f.answerWaiting(func(w *follower) bool { return !f.e.now.Before(w.until) })
	f.arm()
}

func (f *feed) arm() {
	if len(f.waiting) == 0 {
		return
	}
	next := f.waiting[0].until
	for _, w := range f.waiting {
		next = clock.Earlier(next, w.until)
	}
	f.e.timers.Arm(&f.timer, next)
}

package fleet

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

// FeedRequest is a follower's request for the changes after a revision, or for
// everything if the revision is 0. The response is sent as soon as there are changes or
// the store was read again, or after Wait.
type FeedRequest struct {
	// ReplyTo is returned with the response.
	ReplyTo any
	After   Revision
	Wait    time.Duration
}

func (FeedRequest) fleetInput() {}

// FeedResponse is the response to FeedRequest.
type FeedResponse struct {
	// Unavailable is set when this instance cannot serve the changes: it is not a
	// feeder, cannot read the store, or does not keep changes as far back as the
	// requested revision.
	Unavailable bool `json:"unfit,omitempty"`
	// StoreLost is set besides Unavailable if the reason is that this instance cannot
	// read the store.
	StoreLost bool     `json:"store_lost,omitempty"`
	Changes   []Change `json:"changes,omitempty"`
	// Snapshot holds all records, in the response to a request for everything.
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	// Next is the revision for the next request.
	Next Revision `json:"next,omitempty"`
	// Age is the time since the store was known to have no changes after Next. Held is
	// the time between the request and the response.
	Age  time.Duration `json:"age,omitempty"`
	Held time.Duration `json:"held,omitempty"`
}

const (
	// maxFeedHistory limits the changes kept for slow followers. A start of all
	// instances causes about three changes per instance.
	maxFeedHistory = 4096
	// maxPendingFeedRequests limits the requests that wait for changes.
	maxPendingFeedRequests = 256
)

// feed serves the store's changes to the instances that follow this one.
type feed struct {
	e *Engine
	// serving is set while this instance is a feeder. storeReadable is set from a
	// complete read of the store until it is lost.
	serving, storeReadable bool
	// outdated is set from the selection as a feeder until the next read: until then
	// the store may have newer changes.
	outdated bool
	// changes are the changes after revision base, up to revision head. At asOf the
	// store had no later ones.
	changes    []Change
	base, head Revision
	asOf       time.Time
	pending    []pendingRequest
	timer      timerq.Item[func()]
	responses  FeedCounts
}

// FeedCounts counts the responses to followers.
type FeedCounts struct {
	Changes uint64 `json:"changes"`
	// Snapshots are responses with all records.
	Snapshots   uint64 `json:"snapshots"`
	Unavailable uint64 `json:"unavailable"`
	StoreLost   uint64 `json:"store_lost"`
}

// send counts and sends a response.
func (f *feed) send(replyTo any, response FeedResponse) {
	switch {
	case response.StoreLost:
		f.responses.StoreLost++
	case response.Unavailable:
		f.responses.Unavailable++
	case response.Snapshot != nil:
		f.responses.Snapshots++
	default:
		f.responses.Changes++
	}
	f.e.out.SendFeed(replyTo, response)
}

// pendingRequest is a request that waits for changes.
type pendingRequest struct {
	replyTo    any
	after      Revision
	receivedAt time.Time
	deadline   time.Time
}

func (f *feed) init(e *Engine) {
	f.e = e
	f.timer.Value = f.expire
}

// reset starts a new history after a complete read of the store.
func (f *feed) reset(revision Revision, asOf time.Time) {
	f.rejectAll()
	f.changes = nil
	f.base, f.head, f.asOf = revision, revision, asOf
	f.storeReadable, f.outdated = true, false
}

// start makes this instance a feeder.
func (f *feed) start() {
	f.outdated = f.outdated || !f.serving
	f.serving = true
}

// record adds the changes up to revision next, possibly none.
func (f *feed) record(changes []Change, next Revision, asOf time.Time) {
	newer := asOf.After(f.asOf)
	f.outdated = false
	f.head = max(f.head, next)
	f.asOf = clock.Later(f.asOf, asOf)
	if !f.serving {
		// Without followers no history is needed; the first follower continues from
		// here.
		f.base, f.changes = f.head, nil
		return
	}
	f.changes = withoutSuperseded(append(f.changes, changes...))
	if surplus := len(f.changes) - maxFeedHistory; surplus > 0 {
		f.base = f.changes[surplus-1].Revision
		f.changes = slices.Delete(f.changes, 0, surplus)
	}
	// Without changes, the followers learn that there are none. Otherwise the
	// feeders among them would serve their own followers with an older age than they could.
	if len(changes) > 0 || newer {
		f.respondPending(func(*pendingRequest) bool { return true })
	}
}

// withoutSuperseded removes all configurations but the newest: they replace each other, and
// large ones would fill the memory and the links of followers.
func withoutSuperseded(changes []Change) []Change {
	newest := -1
	for i := range changes {
		if changes[i].Configuration != nil {
			newest = i
		}
	}
	kept := changes[:0]
	for i := range changes {
		if changes[i].Configuration == nil || i == newest {
			kept = append(kept, changes[i])
		}
	}
	clear(changes[len(kept):])
	return kept
}

// storeLost rejects the waiting requests because the store cannot be read.
func (f *feed) storeLost() {
	f.storeReadable = false
	f.rejectAll()
}

// stop ends serving and rejects the waiting requests.
func (f *feed) stop() {
	f.serving = false
	f.rejectAll()
}

// handleRequest answers a request at once if it cannot be served, if there are
// changes, or if it does not wait. Other requests wait.
func (f *feed) handleRequest(in FeedRequest) {
	now := f.e.now
	req := pendingRequest{replyTo: in.ReplyTo, after: in.After, receivedAt: now, deadline: now.Add(in.Wait)}
	switch {
	case f.serving && !f.storeReadable:
		f.send(req.replyTo, FeedResponse{Unavailable: true, StoreLost: true})
	case f.serving && !f.outdated && in.After == 0:
		f.send(req.replyTo, FeedResponse{Snapshot: f.e.recordsSnapshot(f.head), Next: f.head, Age: now.Sub(f.asOf)})
	case !f.serving, f.outdated, in.After < f.base, len(f.pending) >= maxPendingFeedRequests:
		f.send(req.replyTo, FeedResponse{Unavailable: true})
	case in.After < f.head || in.Wait <= 0:
		f.respond(&req)
	default:
		f.pending = append(f.pending, req)
		f.arm()
	}
}

// respond answers a request with the changes after its revision.
func (f *feed) respond(req *pendingRequest) {
	first, _ := slices.BinarySearchFunc(f.changes, req.after, func(c Change, after Revision) int {
		if c.Revision <= after {
			return -1
		}
		return 1
	})
	f.send(req.replyTo, FeedResponse{
		Changes: slices.Clone(f.changes[first:]), Next: max(f.head, req.after), Age: f.e.now.Sub(f.asOf),
		Held: f.e.now.Sub(req.receivedAt),
	})
}

// respondPending answers the waiting requests for which due returns true.
func (f *feed) respondPending(due func(*pendingRequest) bool) {
	kept := f.pending[:0]
	for i := range f.pending {
		if req := f.pending[i]; due(&req) {
			f.respond(&req)
			continue
		}
		kept = append(kept, f.pending[i])
	}
	clear(f.pending[len(kept):])
	f.pending = kept
}

// rejectAll answers the waiting requests that they cannot be served.
func (f *feed) rejectAll() {
	for i := range f.pending {
		f.send(f.pending[i].replyTo, FeedResponse{Unavailable: true, StoreLost: !f.storeReadable})
	}
	f.pending = nil
}

// expire answers the requests whose deadline has passed.
func (f *feed) expire() {
	f.respondPending(func(req *pendingRequest) bool { return !f.e.now.Before(req.deadline) })
	f.arm()
}

// arm sets the timer to the earliest deadline.
func (f *feed) arm() {
	if len(f.pending) == 0 {
		return
	}
	next := f.pending[0].deadline
	for _, req := range f.pending {
		next = clock.Earlier(next, req.deadline)
	}
	f.e.timers.Arm(&f.timer, next)
}

package kvservice

import (
	"net/http"
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

const (
	// requestRing is the number of calls that can wait for the service duty.
	requestRingCapacity = 4096
	// idleWait bounds the wait without any timer.
	maxIdleWait = time.Minute
	// maxWatch bounds a watch.
	maxWatchTimeout = 10 * time.Minute
)

// Options describes a service.
type Options struct {
	// WriteRate and ReadRate are in calls per second.
	WriteRate float64
	ReadRate  float64
	// InstanceLag is how far the list of instances is behind.
	InstanceLag time.Duration
}

// DefaultOptions returns the platform's rates.
func DefaultOptions() Options {
	return Options{WriteRate: DefaultWriteRate, ReadRate: DefaultReadRate, InstanceLag: time.Second}
}

// request is an item of the service's ring; exactly one field next to reply
// is set.
type request struct {
	operation operation
	watch     *watchCall
	faults    *Faults
	stats     bool
	stop      bool
	// reply has room for the one answer.
	responses chan response
}

// watchCall waits for a change.
type watchCall struct {
	prefix    store.Key
	after     store.Revision
	timeout   time.Duration
	responses chan response
	timer     timerq.Item[timerEvent]
}

// event is what a timer of the service stands for: a watch that ends or an
// answer that was delayed.
type timerEvent struct {
	watch     *watchCall
	responses chan response
	response  response
}

// Service is the service duty.
type Service struct {
	state            *State
	requests         *ring.Ring[request]
	signal           *ring.Signal
	writes           *tokenBucket
	reads            *tokenBucket
	timers           timerq.Queue[timerEvent]
	watches          []*watchCall
	notifiedRevision store.Revision
	faults           Faults
	outageEnd        time.Time
	stats            Stats
	stopped          bool
}

// NewService returns a service that does not run yet. It returns the error of
// the lease chart when that is not valid.
func NewService(o Options) (*Service, error) {
	state, err := NewState(o.InstanceLag)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	s := &Service{
		state:  state,
		signal: ring.NewSignal(),
		writes: newTokenBucket(o.WriteRate, now),
		reads:  newTokenBucket(o.ReadRate, now),
		stats:  Stats{Calls: map[string]uint64{}},
	}
	s.requests = ring.New[request](requestRingCapacity, s.signal)
	return s, nil
}

// Start starts the service duty in g.
func (s *Service) Start(g *duty.Group) {
	g.Start("platform-service", s.run)
}

// Stop ends the duty. Waiting calls are dropped.
func (s *Service) Stop() {
	s.requests.TryPush(request{stop: true})
}

func (s *Service) run() {
	for !s.stopped {
		s.runTimers(time.Now())
		r, ok := s.requests.Pop()
		if !ok {
			s.waitForRequest()
			continue
		}
		s.handleRequest(r, time.Now())
	}
	for _, w := range s.watches {
		w.responses <- response{drop: true}
	}
}

func (s *Service) waitForRequest() {
	if !s.requests.Park() {
		return
	}
	s.signal.Wait(s.waitTimeout())
	s.requests.Unpark()
}

func (s *Service) waitTimeout() time.Duration {
	wait := maxIdleWait
	if next, ok := s.timers.Next(); ok {
		wait = min(wait, time.Until(next))
	}
	if next, ok := s.state.NextExpiry(); ok {
		wait = min(wait, time.Until(next))
	}
	return max(wait, 0)
}

// advance ends leases and watches and sends delayed answers.
func (s *Service) runTimers(now time.Time) {
	s.state.Expire(now)
	s.notifyWatches(now)
	for {
		item, ok := s.timers.PopDue(now)
		if !ok {
			return
		}
		if w := item.Value.watch; w != nil {
			s.endWatch(w, now)
			continue
		}
		item.Value.responses <- item.Value.response
	}
}

func (s *Service) handleRequest(r request, now time.Time) {
	switch {
	case r.stop:
		s.stopped = true
	case r.stats:
		r.responses <- response{status: http.StatusOK, body: s.snapshot()}
	case r.faults != nil:
		s.setFaults(*r.faults, now)
		r.responses <- response{status: http.StatusOK, body: struct{}{}}
	case r.watch != nil:
		s.startWatch(r.watch, now)
	default:
		s.handleOperation(r, now)
	}
}

func (s *Service) setFaults(f Faults, now time.Time) {
	s.faults = f
	s.outageEnd = now.Add(time.Duration(f.OutageMS) * time.Millisecond)
	if f.InstanceLagMS != nil {
		s.state.SetLag(time.Duration(*f.InstanceLagMS) * time.Millisecond)
	}
	if f.OutageMS == 0 {
		return
	}
	for _, w := range s.watches {
		s.timers.Disarm(&w.timer)
		w.responses <- s.outageResponse()
	}
	s.watches = nil
}

func (s *Service) snapshot() Stats {
	stats := s.stats
	stats.Calls = map[string]uint64{}
	for name, n := range s.stats.Calls {
		stats.Calls[name] = n
	}
	stats.Watching = len(s.watches)
	stats.Revision = uint64(s.state.Revision())
	return stats
}

// dropped is the answer to a call during an outage.
func (s *Service) outageResponse() response {
	s.stats.Dropped++
	if s.faults.Refuse {
		return response{status: http.StatusServiceUnavailable, body: store.ErrorDocument{Error: "outage"}}
	}
	return response{drop: true}
}

// admit counts a call and answers one that is dropped or over the rate.
func (s *Service) checkLimits(name string, class callClass, now time.Time) (response, bool) {
	s.stats.Calls[name]++
	if now.Before(s.outageEnd) {
		return s.outageResponse(), false
	}
	limit := s.reads
	if class == writeCall {
		limit = s.writes
	}
	if !limit.allow(now) {
		s.stats.Limited++
		return response{status: http.StatusTooManyRequests, body: store.ErrorDocument{Error: "rate exceeded"}}, false
	}
	return response{}, true
}

func (s *Service) handleOperation(r request, now time.Time) {
	refusal, admitted := s.checkLimits(r.operation.name(), r.operation.class(), now)
	if !admitted {
		s.sendResponse(r.responses, refusal, now)
		return
	}
	a := r.operation.apply(s.state, now)
	if r.operation.mutates() && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		s.stats.Lost++
		a = response{drop: true}
	}
	s.notifyWatches(now)
	s.sendResponse(r.responses, a, now)
}

// reply answers at once or after the delay that a test has set.
func (s *Service) sendResponse(reply chan response, a response, now time.Time) {
	if s.faults.DelayMS == 0 {
		reply <- a
		return
	}
	item := &timerq.Item[timerEvent]{Value: timerEvent{responses: reply, response: a}}
	s.timers.Arm(item, now.Add(time.Duration(s.faults.DelayMS)*time.Millisecond))
}

func (s *Service) startWatch(w *watchCall, now time.Time) {
	if refusal, admitted := s.checkLimits("watch", readCall, now); !admitted {
		s.sendResponse(w.responses, refusal, now)
		return
	}
	changes := s.state.Changes(w.prefix, w.after)
	if len(changes.Records) > 0 {
		s.sendResponse(w.responses, resultResponse(changes, nil), now)
		return
	}
	w.timer.Value = timerEvent{watch: w}
	s.timers.Arm(&w.timer, now.Add(w.timeout))
	s.watches = append(s.watches, w)
}

// wakeWatches answers the watches that the changes since the last call concern.
func (s *Service) notifyWatches(now time.Time) {
	if s.notifiedRevision == s.state.Revision() {
		return
	}
	s.notifiedRevision = s.state.Revision()
	s.watches = slices.DeleteFunc(s.watches, func(w *watchCall) bool {
		changes := s.state.Changes(w.prefix, w.after)
		if len(changes.Records) == 0 {
			return false
		}
		s.timers.Disarm(&w.timer)
		s.sendResponse(w.responses, resultResponse(changes, nil), now)
		return true
	})
}

func (s *Service) endWatch(w *watchCall, now time.Time) {
	s.watches = slices.DeleteFunc(s.watches, func(other *watchCall) bool { return other == w })
	s.sendResponse(w.responses, resultResponse(s.state.Changes(w.prefix, w.after), nil), now)
}

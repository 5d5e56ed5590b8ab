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
	// requestRingCapacity is the number of requests that can wait for the
	// service duty.
	requestRingCapacity = 4096
	// maxIdleWait is the longest wait when no timer is armed.
	maxIdleWait = time.Minute
	// maxWatchTimeout limits the timeout that a watch can request.
	maxWatchTimeout = 10 * time.Minute
)

// Options describes a service.
type Options struct {
	// WriteRate and ReadRate are in calls per second.
	WriteRate float64
	ReadRate  float64
	// InstanceLag is the time by which the list of instances lags behind.
	InstanceLag time.Duration
}

// DefaultOptions returns the rate limits of the platform and a lag of one second.
func DefaultOptions() Options {
	return Options{WriteRate: DefaultWriteRate, ReadRate: DefaultReadRate, InstanceLag: time.Second}
}

// request is an item of the request ring. Exactly one field other than responseCh is
// set.
type request struct {
	operation operation
	watch     *watchCall
	faults    *Faults
	stats     bool
	stop      bool
	// responseCh has a buffer for the single response.
	responseCh chan response
}

// watchCall is a pending watch.
type watchCall struct {
	prefix     store.Key
	after      store.Revision
	timeout    time.Duration
	responseCh chan response
	timer      timerq.Item[timerEvent]
}

// timerEvent is an event that a timer of the service triggers: the end of a watch or
// a delayed response.
type timerEvent struct {
	watch      *watchCall
	responseCh chan response
	response   response
}

// Service is the service duty, which applies all calls to one State.
type Service struct {
	state    *State
	requests *ring.Ring[request]
	signal   *ring.Signal
	writes   *tokenBucket
	reads    *tokenBucket
	timers   timerq.Queue[timerEvent]
	watches  []*watchCall
	// notifiedRevision is the revision up to which watches have been notified.
	notifiedRevision store.Revision
	faults           Faults
	// outageEnd is the time until which calls are dropped.
	outageEnd time.Time
	stats     Stats
	stopped   bool
}

// NewService returns a service that is not running yet. It returns the error of an
// invalid lease chart.
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

// Stop ends the duty and closes the connections of pending watches.
func (s *Service) Stop() {
	s.requests.TryPush(request{stop: true})
}

// run is the service duty.
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
		w.responseCh <- response{drop: true}
	}
}

func (s *Service) waitForRequest() {
	if !s.requests.Park() {
		return
	}
	s.signal.Wait(s.waitTimeout())
	s.requests.Unpark()
}

// waitTimeout returns the time until the next timer or lease expires.
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

// runTimers expires leases, ends watches and sends delayed responses.
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
		item.Value.responseCh <- item.Value.response
	}
}

func (s *Service) handleRequest(r request, now time.Time) {
	switch {
	case r.stop:
		s.stopped = true
	case r.stats:
		r.responseCh <- response{status: http.StatusOK, body: s.snapshot()}
	case r.faults != nil:
		s.setFaults(*r.faults, now)
		r.responseCh <- response{status: http.StatusOK, body: struct{}{}}
	case r.watch != nil:
		s.startWatch(r.watch, now)
	default:
		s.handleOperation(r, now)
	}
}

// setFaults replaces the faults. An outage ends all pending watches.
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
		w.responseCh <- s.outageResponse()
	}
	s.watches = nil
}

// snapshot returns a copy of the statistics.
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

// outageResponse counts a call during an outage and returns its response.
func (s *Service) outageResponse() response {
	s.stats.Dropped++
	if s.faults.Unavailable {
		return response{status: http.StatusServiceUnavailable, body: store.ErrorDocument{Error: "outage"}}
	}
	return response{drop: true}
}

// checkLimits counts a call. It returns false and a response for a call that is
// dropped by an outage or over the rate limit.
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

// handleOperation applies an operation; the fault LoseResponses can drop the
// response.
func (s *Service) handleOperation(r request, now time.Time) {
	rejection, allowed := s.checkLimits(r.operation.name(), r.operation.class(), now)
	if !allowed {
		s.sendResponse(r.responseCh, rejection, now)
		return
	}
	a := r.operation.apply(s.state, now)
	if r.operation.mutates() && s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		s.stats.Lost++
		a = response{drop: true}
	}
	s.notifyWatches(now)
	s.sendResponse(r.responseCh, a, now)
}

// sendResponse sends a response, after the delay that the faults set.
func (s *Service) sendResponse(responseCh chan response, a response, now time.Time) {
	if s.faults.DelayMS == 0 {
		responseCh <- a
		return
	}
	item := &timerq.Item[timerEvent]{Value: timerEvent{responseCh: responseCh, response: a}}
	s.timers.Arm(item, now.Add(time.Duration(s.faults.DelayMS)*time.Millisecond))
}

// startWatch responds at once when there are changes; otherwise the watch is pending.
func (s *Service) startWatch(w *watchCall, now time.Time) {
	if rejection, allowed := s.checkLimits("watch", readCall, now); !allowed {
		s.sendResponse(w.responseCh, rejection, now)
		return
	}
	changes := s.state.Changes(w.prefix, w.after)
	if len(changes.Records) > 0 {
		s.sendResponse(w.responseCh, resultResponse(changes, nil), now)
		return
	}
	w.timer.Value = timerEvent{watch: w}
	s.timers.Arm(&w.timer, now.Add(w.timeout))
	s.watches = append(s.watches, w)
}

// notifyWatches responds to the pending watches whose records have changed since the
// previous call.
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
		s.sendResponse(w.responseCh, resultResponse(changes, nil), now)
		return true
	})
}

// endWatch responds to a watch whose timeout has passed.
func (s *Service) endWatch(w *watchCall, now time.Time) {
	s.watches = slices.DeleteFunc(s.watches, func(other *watchCall) bool { return other == w })
	s.sendResponse(w.responseCh, resultResponse(s.state.Changes(w.prefix, w.after), nil), now)
}

package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// The simulation of the store's load runs the fleet engines and watchers of many
// instances against a store in memory, in the virtual time of testing/synctest. It counts
// the calls that the store gets.

const (
	loadInstances = 120
	loadDomains   = 3
	loadAccounts  = 80
	loadGroups    = 8
	loadLatency   = time.Millisecond
	loadStoreTime = 3 * time.Millisecond
	// loadLeaseTTL and loadRenewInterval are those of hosted instances.
	loadLeaseTTL      = 12 * time.Second
	loadRenewInterval = 1500 * time.Millisecond
	// loadCallLimit is the bound of a call that does not wait.
	loadCallLimit = time.Second
	// snapshotRequests is the number of requests that a snapshot consists of.
	snapshotRequests = 3
	// renewalWeight is the weight of a lease renewal in the store's load.
	renewalWeight = 0.1
)

// storeMode is how the store treats calls.
type storeMode int32

const (
	storeServes storeMode = iota
	// storeRefuses answers each call at once that it is not available.
	storeRefuses
	// storeSilent answers no call.
	storeSilent
)

// loadStore is a store in memory.
type loadStore struct {
	mode      atomic.Int32
	mutex     sync.Mutex
	changed   chan struct{}
	revision  Revision
	compacted Revision
	events    []Change
	config    *Configuration
	members   map[core.MemberID]Announcement
	instances map[string]Instance
	homes     map[core.AccountName]Home
	leases    map[Lease]time.Time
	owners    map[Lease][]func()
	// attempts are the times of the reads that the store did not serve.
	attempts []time.Time
}

func newLoadStore() *loadStore {
	return &loadStore{
		changed: make(chan struct{}), revision: 10, members: map[core.MemberID]Announcement{}, instances: map[string]Instance{},
		homes: map[core.AccountName]Home{}, leases: map[Lease]time.Time{}, owners: map[Lease][]func(){},
	}
}

// enter lets the time of a call pass. It fails if the store does not serve calls.
func (s *loadStore) enter(ctx context.Context) error {
	time.Sleep(loadStoreTime)
	switch storeMode(s.mode.Load()) {
	case storeServes:
		return nil
	case storeSilent:
		<-ctx.Done()
		return eris.Wrap(ErrUnknownOutcome, "silent")
	}
	return eris.Wrap(ErrUnavailable, "refused")
}

// enterRead is enter for a read. It records the time of a read that is not served.
func (s *loadStore) enterRead(ctx context.Context) error {
	if storeMode(s.mode.Load()) != storeServes {
		s.mutex.Lock()
		s.attempts = append(s.attempts, time.Now())
		s.mutex.Unlock()
	}
	return s.enter(ctx)
}

// setMode changes how calls are treated, also those that wait.
func (s *loadStore) setMode(mode storeMode) {
	s.mode.Store(int32(mode))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if mode == storeRefuses {
		s.notify()
	}
}

// notify wakes the watches. The caller holds the mutex.
func (s *loadStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// publish records a change. The caller holds the mutex.
func (s *loadStore) publish(c Change) Revision {
	s.revision++
	c.Revision = s.revision
	s.events = append(s.events, c)
	s.notify()
	return s.revision
}

func (s *loadStore) putConfiguration(c *Configuration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.config = c
	s.publish(Change{Configuration: c})
}

func (s *loadStore) putMember(a Announcement) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a.Revision = s.revision + 1
	s.members[a.Member] = a
	s.publish(Change{Member: &a})
}

// compact drops the history, and one event more than any instance has read.
func (s *loadStore) compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.compacted = s.revision
	s.events = nil
	s.notify()
}

func (s *loadStore) Snapshot(ctx context.Context) (*Snapshot, error) {
	if err := s.enterRead(ctx); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	snapshot := &Snapshot{Configuration: s.config, Revision: s.revision}
	for _, m := range s.members {
		snapshot.Members = append(snapshot.Members, m)
	}
	for _, i := range s.instances {
		snapshot.Instances = append(snapshot.Instances, i)
	}
	for _, h := range s.homes {
		snapshot.Homes = append(snapshot.Homes, h)
	}
	return snapshot, nil
}

func (s *loadStore) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	if err := s.enterRead(ctx); err != nil {
		return nil, after, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for ended := wait <= 0; ; {
		s.mutex.Lock()
		first, _ := slices.BinarySearchFunc(s.events, after+1, func(c Change, r Revision) int { return int(c.Revision) - int(r) })
		changes, head, compacted, changed := slices.Clone(s.events[first:]), s.revision, s.compacted, s.changed
		s.mutex.Unlock()
		switch {
		case storeMode(s.mode.Load()) == storeSilent:
			<-ctx.Done()
			return nil, after, eris.Wrap(ErrUnknownOutcome, "silent")
		case storeMode(s.mode.Load()) == storeRefuses:
			return nil, after, eris.Wrap(ErrUnavailable, "refused")
		case after < compacted:
			return nil, after, eris.Wrap(ErrCompacted, "test")
		case len(changes) > 0 || ended:
			return changes, max(after, head), nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			ended = true
		case <-ctx.Done():
			return nil, after, eris.Wrap(ErrUnknownOutcome, "cancelled")
		}
	}
}

func (s *loadStore) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	lease := Lease(s.revision)
	s.leases[lease] = time.Now().Add(ttl)
	return lease, nil
}

func (s *loadStore) RenewLease(ctx context.Context, lease Lease) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, exists := s.leases[lease]; !exists {
		return eris.Wrap(ErrLeaseEnded, "test")
	}
	s.leases[lease] = time.Now().Add(loadLeaseTTL)
	return nil
}

// expireLeases ends the leases that were not renewed.
func (s *loadStore) expireLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for lease, until := range s.leases {
		if time.Now().Before(until) {
			continue
		}
		delete(s.leases, lease)
		for _, end := range s.owners[lease] {
			end()
		}
		delete(s.owners, lease)
	}
}

func (s *loadStore) RevokeLease(context.Context, Lease) error { return nil }

func (s *loadStore) Register(ctx context.Context, i Instance, lease Lease) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.instances[i.Node] = i
	s.publish(Change{Instance: &i})
	s.owners[lease] = append(s.owners[lease], func() {
		delete(s.instances, i.Node)
		s.publish(Change{RemovedInstance: i.Node})
	})
	return nil
}

func (s *loadStore) ClaimHome(ctx context.Context, c HomeClaim, holder Instance, lease Lease) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.homes[c.Account].Revision != c.Replaces || c.Release {
		return eris.Wrap(ErrConflict, "test")
	}
	h := Home{Account: c.Account, Node: holder.Node, Instance: holder.ID, Revision: s.revision + 1}
	s.homes[c.Account] = h
	s.publish(Change{Home: &h})
	s.owners[lease] = append(s.owners[lease], func() {
		if s.homes[c.Account] == h {
			delete(s.homes, c.Account)
			s.publish(Change{RemovedHome: c.Account})
		}
	})
	return nil
}

func (s *loadStore) Claim(context.Context, core.DatabaseName, core.InstanceID, Lease) (Claim, error) {
	return Claim{}, eris.Wrap(ErrConflict, "test")
}

func (s *loadStore) RecordSuccession(context.Context, Claim, Succession) error { return nil }
func (s *loadStore) RecordTerm(context.Context, GroupTerm) error               { return nil }

// loadWorld is the store with its instances.
type loadWorld struct {
	t      *testing.T
	ctx    context.Context
	cancel context.CancelFunc
	store  *loadStore
	calls  *StoreCalls
	nodes  []*loadNode
	duties duty.Group
}

// newLoadWorld starts the instances within 0.3 s, as a deployment does.
func newLoadWorld(t *testing.T) *loadWorld {
	w := &loadWorld{t: t, store: newLoadStore(), calls: NewStoreCalls()}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.store.putConfiguration(loadConfiguration(1))
	for g := range loadGroups {
		for m := range 3 {
			w.store.putMember(loadMember(g, m))
		}
	}
	for i := range loadInstances {
		w.nodes = append(w.nodes, w.newNode(i))
	}
	go func() {
		for _, n := range w.nodes {
			n.start()
			time.Sleep(300 * time.Millisecond / loadInstances)
		}
	}()
	go w.every(100*time.Millisecond, w.store.expireLeases)
	return w
}

func loadMember(group, i int) Announcement {
	a := Announcement{
		Member: core.MemberID(fmt.Sprintf("g%d-%d", group, i)), Group: core.DatabaseName(fmt.Sprintf("g%d", group)),
		Address: "10.1.1.1:1", Slots: 4, Role: core.RoleReplica, Domain: core.Domain(fmt.Sprintf("d%d", (group+i)%loadDomains)),
	}
	if i == 0 {
		a.Role = core.RolePrimary
	}
	return a
}

func loadConfiguration(version uint64) *Configuration {
	c := &Configuration{Version: version}
	for i := range loadAccounts {
		c.Accounts = append(c.Accounts, catalogue.Account{Name: core.AccountName(fmt.Sprintf("a%d", i)), Rate: 100, Burst: 100})
	}
	for g := range loadGroups {
		c.Groups = append(c.Groups, Group{Name: core.DatabaseName(fmt.Sprintf("g%d", g)), MemberConnections: 100})
	}
	return c
}

// every calls run at each interval until the simulation ends.
func (w *loadWorld) every(interval time.Duration, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			run()
		case <-w.ctx.Done():
			return
		}
	}
}

// end stops all instances.
func (w *loadWorld) end() {
	w.cancel()
	for _, n := range w.nodes {
		n.watcher.Stop()
	}
	require.Empty(w.t, w.duties.WaitFor(time.Minute))
}

// loadCost is the load of the store by kind, in requests; a renewal counts as a tenth.
type loadCost map[StoreCallKind]float64

// cost returns the load since the start.
func (w *loadWorld) cost() loadCost {
	cost := loadCost{}
	w.calls.Visit(func(kind StoreCallKind, outcome StoreCallOutcome, count uint64) {
		weight := 1.0
		switch {
		case kind == CallLeaseRenew:
			weight = renewalWeight
		case kind == CallSnapshot && outcome == OutcomeOK:
			weight = snapshotRequests
		}
		cost[kind] += weight * float64(count)
	})
	return cost
}

func (c loadCost) minus(earlier loadCost) loadCost {
	rest := loadCost{}
	for kind, value := range c {
		rest[kind] = value - earlier[kind]
	}
	return rest
}

func (c loadCost) total() float64 {
	sum := 0.0
	for _, value := range c {
		sum += value
	}
	return sum
}

// reads returns the load of the calls that read the store.
func (c loadCost) reads() float64 {
	return c[CallWatch] + c[CallRead] + c[CallSnapshot]
}

func (c loadCost) String() string {
	text := fmt.Sprintf("total %.0f:", c.total())
	for _, kind := range storeCallKinds {
		if c[kind] > 0 {
			text += fmt.Sprintf(" %s %.0f", kind, c[kind])
		}
	}
	return text
}

// configure publishes a new version of the configuration and returns how long it takes
// until every running instance has it, except one.
func (w *loadWorld) configure(version uint64, except *loadNode) time.Duration {
	w.store.putConfiguration(loadConfiguration(version))
	return w.await(func(n *loadNode) bool { return n == except || n.version.Load() >= version })
}

// await returns how long it takes until the condition holds for every running instance.
func (w *loadWorld) await(holds func(*loadNode) bool) time.Duration {
	began := time.Now()
	for time.Since(began) < 20*time.Second {
		if !slices.ContainsFunc(w.nodes, func(n *loadNode) bool { return n.ctx.Err() == nil && !holds(n) }) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// fullestWindow returns the largest number of unserved reads within a window.
func (w *loadWorld) fullestWindow(window time.Duration) int {
	w.store.mutex.Lock()
	defer w.store.mutex.Unlock()
	most, first := 0, 0
	for i, at := range w.store.attempts {
		for at.Sub(w.store.attempts[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// cuttableStore is the store for an instance that may be cut off from it. A call of that
// instance gets no response.
type cuttableStore struct {
	*loadStore
	cut *atomic.Bool
}

func (s cuttableStore) Snapshot(ctx context.Context) (*Snapshot, error) {
	snapshot, err := s.loadStore.Snapshot(ctx)
	return snapshot, s.response(ctx, err)
}

func (s cuttableStore) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	changes, next, err := s.loadStore.Watch(ctx, after, wait)
	return changes, next, s.response(ctx, err)
}

func (s cuttableStore) response(ctx context.Context, err error) error {
	if !s.cut.Load() {
		return err
	}
	<-ctx.Done()
	return eris.Wrap(ErrUnknownOutcome, "cut off")
}

// loadNode is one instance.
type loadNode struct {
	// cut is set while the instance gets no response to its reads of the store.
	cut     atomic.Bool
	w       *loadWorld
	self    Instance
	e       *Engine
	watcher *Watcher
	store   StoreClient
	inputs  chan Input
	claims  chan HomeClaim
	ctx     context.Context
	cancel  context.CancelFunc
	// version is the version of the instance's configuration. storeLost, feeding and
	// following are its state as of the last input.
	version                       atomic.Uint64
	storeLost, feeding, following atomic.Bool
}

func (w *loadWorld) newNode(i int) *loadNode {
	name := fmt.Sprintf("n%03d", i)
	n := &loadNode{
		w: w, inputs: make(chan Input, 4096), claims: make(chan HomeClaim, 64),
		self: Instance{Node: name, ID: core.InstanceID(name + "-1"), Peer: name + ":1", Domain: core.Domain(fmt.Sprintf("d%d", i%loadDomains))},
	}
	n.store = w.calls.Count(cuttableStore{w.store, &n.cut})
	n.ctx, n.cancel = context.WithCancel(w.ctx)
	var err error
	n.e, err = New(Config{
		Self:   n.self,
		Limits: Limits{TargetDrain: 5 * time.Second, RateWindow: 5 * time.Second, RateOverage: 0.1, RateSlack: 20},
		Bounds: Bounds{
			BalancerNotice: 2 * time.Second, Stop: testStopPlan, ReregistrationGrace: 3 * time.Second,
			PromotionStepTimeout: time.Second, PromotionRetryDelay: time.Second, TakeoverTimeout: time.Second,
		},
	}, Charts{Instance: load(w.t, "hosted_instance"), Succession: load(w.t, "succession"), News: load(w.t, "news")}, n)
	require.NoError(w.t, err)
	n.watcher = NewWatcher(n.store, n, loadWatcherBounds, n.deliver)
	n.watcher.now = time.Now
	n.watcher.random = rand.New(rand.NewPCG(uint64(i), 11)).Int64N
	return n
}

func (n *loadNode) start() {
	n.watcher.Start(&n.w.duties)
	go n.runEngine()
	go n.runRegistration()
}

// kill ends the process without an answer to its followers.
func (n *loadNode) kill() {
	n.cancel()
	n.watcher.Stop()
}

func (n *loadNode) deliver(in Input) bool {
	select {
	case n.inputs <- in:
		return true
	case <-n.ctx.Done():
		return false
	}
}

func (n *loadNode) runEngine() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for n.ctx.Err() == nil {
		wait := time.Hour
		if at, armed := n.e.NextDeadline(); armed {
			wait = max(time.Until(at), 0)
		}
		timer.Reset(wait)
		select {
		case in := <-n.inputs:
			n.e.Handle(time.Now(), in)
		case <-timer.C:
			n.e.Tick(time.Now())
		case <-n.ctx.Done():
			return
		}
		if n.e.configuration != nil {
			n.version.Store(n.e.configuration.Version)
		}
		n.storeLost.Store(n.e.storeLost)
		n.feeding.Store(n.e.sourceSelector.current.Feeding)
		n.following.Store(n.e.sourceSelector.current.Feeder != "")
	}
}

// runRegistration registers the instance, renews its lease and makes its claims, as the
// registrar does.
func (n *loadNode) runRegistration() {
	var lease Lease
	renewal := time.NewTicker(loadRenewInterval)
	defer renewal.Stop()
	call := func(run func(ctx context.Context) error) error {
		ctx, cancel := context.WithTimeout(n.ctx, loadCallLimit)
		defer cancel()
		return run(ctx)
	}
	sentAt := time.Now()
	require.NoError(n.w.t, call(func(ctx context.Context) (err error) {
		if lease, err = n.store.GrantLease(ctx, loadLeaseTTL); err != nil {
			return err
		}
		return n.store.Register(ctx, n.self, lease)
	}))
	for n.deliver(LeaseUpdated{Until: sentAt.Add(loadLeaseTTL - loadRenewInterval)}) {
		select {
		case <-renewal.C:
			at := time.Now()
			if call(func(ctx context.Context) error { return n.store.RenewLease(ctx, lease) }) == nil {
				sentAt = at
			}
		case claim := <-n.claims:
			_ = call(func(ctx context.Context) error { return n.store.ClaimHome(ctx, claim, n.self, lease) })
		case <-n.ctx.Done():
			return
		}
	}
}

// node returns the running instance at the address, nil if there is none.
func (w *loadWorld) node(address session.PeerAddress) *loadNode {
	i := slices.IndexFunc(w.nodes, func(n *loadNode) bool { return n.self.Peer == string(address) })
	if w.nodes[i].ctx.Err() != nil {
		return nil
	}
	return w.nodes[i]
}

// Feed implements Feeder.
func (n *loadNode) Feed(ctx context.Context, feeder session.PeerAddress, after Revision, wait time.Duration) (FeedResponse, error) {
	const margin = 300 * time.Millisecond
	limit := time.NewTimer(wait + margin)
	defer limit.Stop()
	reply := make(chan FeedResponse, 1)
	time.Sleep(loadLatency)
	if to := n.w.node(feeder); to != nil {
		to.deliver(FeedRequest{ReplyTo: reply, After: after, Wait: wait})
	}
	select {
	case response := <-reply:
		time.Sleep(loadLatency)
		return response, nil
	case <-limit.C:
	case <-ctx.Done():
	}
	return FeedResponse{}, eris.Wrap(ErrUnavailable, "no response")
}

func (n *loadNode) SendFeed(replyTo any, response FeedResponse) {
	replyTo.(chan FeedResponse) <- response
}

func (n *loadNode) ProbeInstance(address session.PeerAddress) {
	sentAt := time.Now()
	time.AfterFunc(2*loadLatency, func() {
		if n.w.node(address) != nil {
			n.deliver(ProbeResponse{SentAt: sentAt})
		}
	})
}

func (n *loadNode) ClaimHome(c HomeClaim) {
	select {
	case n.claims <- c:
	default:
	}
}

func (n *loadNode) SetChangeSource(source ChangeSource) { n.watcher.SetSource(source) }
func (n *loadNode) CheckStore()                         { n.watcher.RereadStore() }

func (n *loadNode) Session(session.Input)                                                       {}
func (n *loadNode) RequestLiveness(string, session.PeerAddress, session.LivenessSubject)        {}
func (n *loadNode) RevokePrimary(string, session.PeerAddress, core.DatabaseName, core.MemberID) {}
func (n *loadNode) RequestConfiguration(session.PeerAddress)                                    {}
func (n *loadNode) SendConfiguration(any, *Configuration)                                       {}
func (n *loadNode) Deregister()                                                                 {}
func (n *loadNode) SubmitJob(Job) bool                                                          { return true }
func (n *loadNode) SetReady(bool)                                                               {}
func (n *loadNode) Finish()                                                                     {}
func (n *loadNode) Log(LogEvent)                                                                {}

func (n *loadNode) RequestHandover(Instance, HandoverRequest) {}
func (n *loadNode) AnswerHandover(any, HandoverResponse)      {}

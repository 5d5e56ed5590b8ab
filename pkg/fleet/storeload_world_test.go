package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

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
	loadLeaseTTL      = 13500 * time.Millisecond
	loadRenewInterval = 3 * time.Second
	// loadCallLimit is the bound of a call that does not wait.
	loadCallLimit = time.Second
	// snapshotRequests is the number of requests as which a snapshot counts: these
	// records fit into one page.
	snapshotRequests = 1
	// renewalWeight is the weight of a lease renewal in the store's load.
	renewalWeight = 0.1
)

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

// node returns the running instance at the address, nil if there is none.
func (w *loadWorld) node(address session.PeerAddress) *loadNode {
	i := slices.IndexFunc(w.nodes, func(n *loadNode) bool { return n.self.Peer == string(address) })
	if w.nodes[i].ctx.Err() != nil {
		return nil
	}
	return w.nodes[i]
}

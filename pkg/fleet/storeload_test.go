package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// loadWatcherBounds are those of hosted instances.
var loadWatcherBounds = WatcherBounds{
	Wait: 2500 * time.Millisecond, Feed: time.Second, ResponseTimeout: 500 * time.Millisecond,
	RetryInterval: 100 * time.Millisecond, MaxRetryDelay: 800 * time.Millisecond, BatchDelay: 250 * time.Millisecond,
}

const (
	// loadStart is the time for the start of all instances; what follows is counted for
	// loadTime.
	loadStart = 10 * time.Second
	loadTime  = 40 * time.Second
	// loadConfigurationBound is the time within which a configuration must be known
	// everywhere.
	loadConfigurationBound = 3 * time.Second
	// loadReturnBound is the time within which all instances must read the store again
	// after an outage.
	loadReturnBound = 2 * time.Second
	// loadOutage is the length of an outage of the store.
	loadOutage = 5 * time.Second
)

// runStoreLoad starts the instances and runs a schedule for loadTime. It returns the load
// of the store at the start and from then on.
func runStoreLoad(t *testing.T, schedule func(*testing.T, *loadWorld)) (start, then loadCost) {
	synctest.Test(t, func(t *testing.T) {
		w := newLoadWorld(t)
		defer w.end()
		time.Sleep(loadStart)
		start = w.cost()
		began := time.Now()
		schedule(t, w)
		time.Sleep(loadTime - time.Since(began))
		then = w.cost().minus(start)
		w.requireConfigured(t, 9)
	})
	t.Logf("start: %v", start)
	t.Logf("then: %v", then)
	return start, then
}

// Guards against a start of all instances that reads the store more often than needed:
// each reads everything once, and then the changes once or twice until it has a feeder. It
// fails if an instance turns to the store whenever a feeder is not ready.
func TestStoreLoadAtTheStartAndOnAQuietDay(t *testing.T) {
	start, then := runStoreLoad(t, func(*testing.T, *loadWorld) {})
	require.LessOrEqual(t, start.reads()-start[CallSnapshot], 2.0*loadInstances)
	require.EqualValues(t, snapshotRequests*loadInstances, start[CallSnapshot])
	// Guards against several watches in one failure domain: one for each second and
	// domain is needed to notice an unresponsive store. It fails if each feeder watches.
	require.LessOrEqual(t, then.reads(), 1.05*loadDomains*loadTime.Seconds())
	require.LessOrEqual(t, then[CallHomeClaim], 0.0)
}

// Guards against watches that are issued again for each change.
func TestStoreLoadWithChangesOfMembers(t *testing.T) {
	_, then := runStoreLoad(t, func(_ *testing.T, w *loadWorld) {
		go w.every(300*time.Millisecond, func() { w.store.putMember(loadMember(1, 2)) })
		go w.every(2*time.Second, func() { w.store.putMember(loadMember(2, 0)) })
	})
	// A batch of changes takes BatchDelay, and an urgent change ends it early.
	perSecond := float64(time.Second/loadWatcherBounds.BatchDelay) + 0.5
	require.LessOrEqual(t, then.reads(), perSecond*loadDomains*loadTime.Seconds())
}

// Guards against instances that all repeat the same call in an outage, against followers
// that do not notice an unresponsive store because each change of their source starts their
// watch again, and against a late return.
func TestStoreLoadInAnOutage(t *testing.T) {
	for name, outage := range map[string]struct {
		mode storeMode
		// noticed is the time within which all instances have noticed the outage.
		noticed time.Duration
	}{
		"refused": {storeRefuses, 500 * time.Millisecond},
		"silent":  {storeUnresponsive, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, then := runStoreLoad(t, func(t *testing.T, w *loadWorld) {
				w.store.setMode(outage.mode)
				lost := w.await(func(n *loadNode) bool { return n.storeLost.Load() })
				require.Less(t, lost, outage.noticed)
				time.Sleep(loadOutage - lost)
				w.store.setMode(storeServes)
				back := w.await(func(n *loadNode) bool { return !n.storeLost.Load() })
				require.Less(t, back, loadReturnBound)
				const window = 100 * time.Millisecond
				fullest := w.fullestWindow(window)
				t.Logf("lost after %v, back after %v, at most %d reads in %v", lost, back, fullest, window)
				require.Less(t, fullest, loadInstances/2)
			})
			quiet := loadDomains * loadTime.Seconds()
			// In 5 s a follower tries the store three times on average, a feeder ten times.
			require.LessOrEqual(t, then.reads()-quiet, 6.0*loadInstances)
		})
	}
}

// Guards against followers of a lost feeder that read the store although another feeder
// serves, and against a configuration that they miss.
func TestStoreLoadWithoutAFeeder(t *testing.T) {
	_, then := runStoreLoad(t, func(t *testing.T, w *loadWorld) {
		w.feeders("d1", func(n *loadNode) bool { return !n.following.Load() })[0].kill()
		w.requireConfigured(t, 2)
	})
	quiet := loadDomains * loadTime.Seconds()
	// The other feeders of the domain read the store until the lease has ended. If they
	// waited long for the lost feeder in each attempt to return, all followers would leave
	// them and read the store.
	require.LessOrEqual(t, then.reads()-quiet, 40.0)
}

// Guards against a failure domain that misses a configuration, or counts the store as
// lost, because its first feeder alone does not reach the store.
func TestStoreLoadWithAFeederThatLostTheStore(t *testing.T) {
	_, then := runStoreLoad(t, func(t *testing.T, w *loadWorld) {
		first := w.feeders("d1", func(n *loadNode) bool { return !n.following.Load() })[0]
		first.cut.Store(true)
		w.requireConfiguredExcept(t, 2, first)
		time.Sleep(5 * time.Second)
		lost := 0
		for _, n := range w.nodes {
			if n.storeLost.Load() {
				lost++
			}
		}
		require.LessOrEqual(t, lost, 1)
		first.cut.Store(false)
	})
	quiet := loadDomains * loadTime.Seconds()
	require.LessOrEqual(t, then.reads()-quiet, 1.0*loadInstances)
}

// Guards against a configuration that the followers miss when all feeders of their
// failure domain are lost at once.
func TestStoreLoadWithoutTheFeedersOfADomain(t *testing.T) {
	_, then := runStoreLoad(t, func(t *testing.T, w *loadWorld) {
		for _, n := range w.feeders("d1", func(*loadNode) bool { return true }) {
			n.kill()
		}
		w.requireConfigured(t, 2)
	})
	quiet := loadDomains * loadTime.Seconds()
	require.LessOrEqual(t, then.reads()-quiet, 5.0*loadInstances)
}

// Guards against a snapshot of each instance when the store drops its history.
func TestStoreLoadWhenHistoryIsDropped(t *testing.T) {
	const drops = 3
	_, then := runStoreLoad(t, func(_ *testing.T, w *loadWorld) {
		for range drops {
			w.store.compact()
			time.Sleep(5 * time.Second)
		}
	})
	// The first feeder of each domain reads everything, the others get it from there.
	require.LessOrEqual(t, then[CallSnapshot], 2.0*drops*loadDomains*snapshotRequests)
}

// requireConfigured publishes a version of the configuration, which all instances must
// know within the bound.
func (w *loadWorld) requireConfigured(t *testing.T, version uint64) {
	w.requireConfiguredExcept(t, version, nil)
}

// requireConfiguredExcept is requireConfigured for all instances but one.
func (w *loadWorld) requireConfiguredExcept(t *testing.T, version uint64, except *loadNode) {
	took := w.configure(version, except)
	t.Logf("version %d of the configuration is known everywhere after %v", version, took)
	require.Less(t, took, loadConfigurationBound)
}

// feeders returns the running feeders of a failure domain that fulfil a condition.
func (w *loadWorld) feeders(domain string, fulfils func(*loadNode) bool) []*loadNode {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *loadNode) bool {
		return string(n.self.Domain) != domain || n.ctx.Err() != nil || !n.feeding.Load() || !fulfils(n)
	})
}

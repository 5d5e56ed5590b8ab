package e2e

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/standin/member"
)

// Guards against a share that is used twice: by its holder until it was killed, and
// by the instance that got the share afterwards.
func TestLimitRateKilled(t *testing.T) { runScript(t, "limit_rate_killed") }

// Guards against a share that is used twice: by a holder that resumes after it was
// suspended for longer than the cutoff bound, and by the instances that got the share
// meanwhile.
func TestLimitRateFrozen(t *testing.T) { runScript(t, "limit_rate_frozen") }

// Guards against a share that exceeds the account's limit while the platform is down.
func TestLimitRateOutage(t *testing.T) { runScript(t, "limit_rate_outage") }

// Guards against a graceful stop that interrupts a request.
func TestLimitPlannedStop(t *testing.T) {
	runParallel(t)
	f := startFleet(t, defaultOptions())
	h := f.startLoad(9, 1)
	time.Sleep(1500 * time.Millisecond)
	require.NoError(t, f.instances[1].stop())
	stopped := time.Now()
	require.NoError(t, eventually(maxFailoverTime, func() error {
		if h.acknowledgedSince(stopped) < 20 {
			return errors.New("fewer than 20 writes were acknowledged after the stop")
		}
		return nil
	}))
	h.stop()
	t.Log(h.summary())
	for _, result := range []string{"write lost", "read lost", "constant lost", "write 40003", "read 40003"} {
		require.Zero(t, h.resultCount(result), "%s: %s", result, h.summary())
	}
	require.NoError(t, h.check())
}

// Guards against statements that still run on a database in the state "leaving".
func TestLimitLeavingDatabase(t *testing.T) {
	runParallel(t)
	f := startFleet(t, defaultOptions())
	h := f.startLoad(6, 1)
	time.Sleep(time.Second)
	out, _, err := f.editCatalogue(0, editOperation("set_database_state", map[string]any{"name": database, "state": "leaving"}))
	require.NoError(t, err, out)
	deadline := time.Now().Add(propagationTimeout)
	time.Sleep(propagationTimeout + time.Second)
	h.stop()
	t.Log(h.summary())
	records, err := f.readRecords()
	require.NoError(t, err)
	for _, r := range records {
		if r.Kind == member.KindStatement && strings.Contains(r.SQL, "items") {
			require.True(t, r.Time.Before(deadline), "%s ran %q %s after the deadline", r.Member, r.SQL, r.Time.Sub(deadline))
		}
	}
	require.NotZero(t, h.resultCount("write SH006"), h.summary())
	// Only the log is checked, because the database no longer accepts queries for the
	// write status.
	_, err = h.checkLog()
	require.NoError(t, err)
}

// Guards against more target connections to a database than its limit, over all
// instances and members, also while one instance is killed and another suspended.
func TestLimitConnections(t *testing.T) {
	runParallel(t)
	o := defaultOptions()
	o.connections, o.serviceTime, o.slots = 8, 5*time.Millisecond, 8
	// With the default of 24 slots the guaranteed share of an instance would be zero
	// connections.
	o.settings = []string{"share.max_instances = 4"}
	f := startFleet(t, o)
	ctx, cancel := context.WithCancel(context.Background())
	var peak atomic.Int64
	var sampling sync.WaitGroup
	sampling.Go(func() { f.sampleConnections(ctx, &peak) })
	h := f.startLoad(24, 1)
	time.Sleep(2 * time.Second)
	f.instances[0].kill()
	time.Sleep(2 * time.Second)
	require.NoError(t, f.freeze("instance-1"))
	time.Sleep(2 * time.Second)
	require.NoError(t, f.thaw("instance-1"))
	time.Sleep(time.Second)
	h.stop()
	cancel()
	sampling.Wait()
	t.Logf("peak of %d connections, limit %d; %s", peak.Load(), o.connections, h.summary())
	require.LessOrEqual(t, peak.Load(), int64(o.connections))
	require.Greater(t, peak.Load(), int64(1))
	records, err := f.readRecords()
	require.NoError(t, err)
	for _, r := range records {
		require.NotEqual(t, member.KindRefused, r.Kind, "%s refused a connection above the limit", r.Member)
	}
	require.NoError(t, h.check())
}

// sampleConnections stores the greatest number of connections to the members that
// were established at the same moment. The kernel's table is not read atomically, but
// a connection that is in two consecutive readings existed all the time between them.
func (f *fleet) sampleConnections(ctx context.Context, peak *atomic.Int64) {
	var suffixes []string
	for _, m := range f.members {
		_, port, _ := net.SplitHostPort(m.sqlAddress)
		var n int
		_, _ = fmt.Sscan(port, &n)
		suffixes = append(suffixes, fmt.Sprintf(":%04X", n))
	}
	for ctx.Err() == nil {
		first, second := establishedConnections(suffixes), establishedConnections(suffixes)
		both := int64(0)
		for pair := range first {
			if second[pair] {
				both++
			}
		}
		peak.Store(max(peak.Load(), both))
		time.Sleep(5 * time.Millisecond)
	}
}

// establishedConnections returns the established connections to local ports with the
// given suffixes, as concatenated local and remote addresses.
func establishedConnections(suffixes []string) map[string]bool {
	const stateEstablished = "01"
	text, _ := os.ReadFile("/proc/net/tcp")
	pairs := map[string]bool{}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] != stateEstablished {
			continue
		}
		for _, s := range suffixes {
			if strings.HasSuffix(fields[1], s) {
				pairs[fields[1]+fields[2]] = true
			}
		}
	}
	return pairs
}

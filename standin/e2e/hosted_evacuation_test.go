package e2e

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// evacuationBound is evacuateMs of the settings.
	evacuationBound = 5 * time.Second
	// evacuationWatch is how long the test watches members after the bound.
	evacuationWatch = 1500 * time.Millisecond
)

// requestEvacuation requests the evacuation of failure domains and returns the time after
// which no member there may receive anything.
func (f *hostedFleet) requestEvacuation(domains ...string) time.Time {
	for _, domain := range domains {
		f.store.put("op/evacuate/"+domain, "maintenance")
	}
	return time.Now().Add(evacuationBound)
}

// keepStoreChanging writes a key that nothing reads five times a second until the test
// ends. Instances count an evacuation from their previous read of the store; without other
// changes that may be seconds back, and members would be left long before the bound.
func (f *hostedFleet) keepStoreChanging() {
	done := make(chan struct{})
	f.t.Cleanup(func() { close(done) })
	go func() {
		ticker := time.NewTicker(200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				f.store.put("other/tick", "")
			case <-done:
				return
			}
		}
	}()
}

// requireEvacuated watches the members of the failure domains after the bound.
func (f *hostedFleet) requireEvacuated(end time.Time, domains ...string) {
	time.Sleep(time.Until(end.Add(evacuationWatch)))
	for _, m := range f.group.members {
		for _, domain := range domains {
			if m.domain == domain {
				require.False(f.t, m.receivedAfter(end), "%s in %s received something after the bound", m.id, domain)
			}
		}
	}
}

// Guards against a request, probe or status query that reaches a member of an evacuated
// failure domain after the bound, against writes that are lost, duplicated or wrongly
// reported while its primary is replaced, against members that are not used again, and
// against requests that wait although no member may serve them.
func TestHostedEvacuation(t *testing.T) {
	f := startHostedFleet(t, 3)
	for i, m := range f.group.members {
		m.domain = fmt.Sprintf("z%d", i)
		m.register()
	}
	f.keepStoreChanging()
	l := f.startLoad(8)
	time.Sleep(time.Second)

	end := f.requestEvacuation("z0")
	f.store.put("op/evacuate/z0/x", "malformed")
	f.store.put("op/evacuate/nowhere", "")
	f.requireEvacuated(end, "z0")
	require.NotEqual(t, "z0", f.group.primary().domain)
	require.Greater(t, l.acknowledgedSince(end), 20)
	out, err := exec.Command(filepath.Join(binDir, "sassafrasshuntctl"), "status", "-hosted", f.instances[0].metricsAddress).CombinedOutput()
	require.NoError(t, err, "%s", out)
	require.Contains(t, string(out), "evacuation of z0:")
	require.Contains(t, string(out), "evacuated=true, gets work=false")
	require.NoError(t, f.checkLogged(0, "evacuation_requested"))
	require.NoError(t, f.checkLogged(0, "evacuation_ignored"))

	f.store.remove("op/evacuate/z0")
	end = f.requestEvacuation("z1", "z2")
	f.requireEvacuated(end, "z1", "z2")
	require.Equal(t, "z0", f.group.primary().domain)
	require.Greater(t, l.acknowledgedSince(end), 20)
	require.NoError(t, f.checkLogged(0, "evacuation_withdrawn"))
	require.Len(t, f.group.tokens, 2, "each evacuation of the primary must be one promotion")

	end = f.requestEvacuation("z0")
	f.requireEvacuated(end, "z0", "z1", "z2")
	c, err := connectHosted(f.instances[0].callerAddress, "ledger", "key-1")
	require.NoError(t, err)
	defer c.conn.Close()
	sent := time.Now()
	_, a, err := c.query("WRITE other value")
	require.NoError(t, err)
	require.Equal(t, "BUSY", a.errorCode, "the code of a request that did not run")
	require.Less(t, time.Since(sent), 500*time.Millisecond, "it must be refused at once")

	f.store.remove("op/evacuate/z0")
	require.NoError(t, l.awaitWrites(time.Now()))
	l.stop()
	require.NoError(t, l.check(f.group))
	require.Zero(t, l.interruptedWrites(f.group))
}

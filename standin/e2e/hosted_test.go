package e2e

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hostedFleet runs instances as the hosting platform does, in front of one database of
// three members.
type hostedFleet struct {
	t *testing.T
	// domain is the failure domain of all instances. If it is empty, each instance
	// has its own.
	domain    string
	dir       string
	store     *hostedStore
	group     *hostedGroup
	instances []*hostedNode
}

// hostedNode is an instance process with its addresses.
type hostedNode struct {
	*process
	callerAddress, readyAddress, metricsAddress string
	settingsFile                                string
}

const (
	hostedGracePeriod = 6 * time.Second
	// hostedRate is the rate and burst of the account, far above what the tests send.
	hostedRate = 5000
)

// hostedSettings is the format of a settings file. Its arguments are the number of the
// instance, its first and last internal port, the addresses for callers and for the
// readiness probe, the grace period in seconds, the address of the store and the failure
// domain.
const hostedSettings = `
nodeName = "n%[1]d"
ip = "127.0.0.1"
zone = %[8]q
internalPorts = [%[2]d, %[3]d]
[listenAddrs]
front = %[4]q
ready = %[5]q
[limits]
memoryMb = 206
maxFds = 2940
[bounds]
drainMs = 7000
evacuateMs = 5000
graceS = %[6]d
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
[platform]
address = %[7]q
[cloudApi]
address = %[7]q
`

// startHostedFleet starts instances in a failure domain each.
func startHostedFleet(t *testing.T, instances int) *hostedFleet {
	return startHostedFleetInDomain(t, instances, "")
}

// startHostedFleetInDomain starts instances in one failure domain, or in a domain each
// if it is empty, and waits until they are in service.
func startHostedFleetInDomain(t *testing.T, instances int, domain string) *hostedFleet {
	runParallel(t)
	f := &hostedFleet{t: t, domain: domain, dir: outputDir(t.TempDir(), t.Name()), store: newHostedStore(t)}
	require.NoError(t, os.MkdirAll(f.dir, 0o755))
	f.group = newHostedGroup(t, f.store, "db", 3)
	f.store.promote = func(_, member string, token uint64) int { return f.group.promoteMember(member, token) }
	f.store.put("op/config", f.configuration(1))
	for i := range instances {
		f.startInstance(i)
	}
	for i := range instances {
		// When the account has a home, the instances know each other and the home
		// applies the whole rate.
		require.NoError(t, eventually(startTimeout, func() error { return f.checkLogged(i, "home") }))
	}
	return f
}

// configuration returns the operator's configuration with a version.
func (f *hostedFleet) configuration(version int) map[string]any {
	return map[string]any{
		"configVersion": version,
		"routes":        []any{map[string]any{"database": "ledger", "backend": "db", "type": "primary", "priority": 0, "timeoutMs": 1000}},
		"backendPools":  []any{map[string]any{"name": "db", "maxConns": 60, "syncReplicas": 1}},
		"tenants":       []any{map[string]any{"name": "acct", "apiKeys": []string{"key-1"}, "ratePerS": hostedRate, "burst": hostedRate}},
		"limits":        map[string]any{"txIdleMs": 5000},
	}
}

// startInstance starts instance i, the next one or a replacement, and waits until it is
// ready. Another process may take a port between freeAddress and its use; then the
// instance is started again with other ports.
func (f *hostedFleet) startInstance(i int) {
	const attempts = 3
	for range attempts {
		n := f.newNode(i)
		require.NoError(f.t, n.start())
		f.t.Cleanup(n.kill)
		if i == len(f.instances) {
			f.instances = append(f.instances, nil)
		}
		f.instances[i] = n
		err := eventually(startTimeout, func() error {
			if !n.isRunning() {
				return nil
			}
			return f.checkReady(i)
		})
		if n.isRunning() {
			require.NoError(f.t, err)
			return
		}
		text, err := os.ReadFile(n.logPath)
		require.NoError(f.t, err)
		require.Contains(f.t, string(text), errAddressInUse.Error())
	}
	require.Fail(f.t, "the instance found no free ports in three attempts")
}

// newNode writes the settings file of instance i. The process is not started.
func (f *hostedFleet) newNode(i int) *hostedNode {
	n := &hostedNode{callerAddress: freeAddress(f.t), readyAddress: freeAddress(f.t)}
	n.settingsFile = filepath.Join(f.dir, fmt.Sprintf("settings-%d.toml", i))
	first := freeAdjacentPorts(f.t)
	n.metricsAddress = net.JoinHostPort("127.0.0.1", strconv.Itoa(first+1))
	text := fmt.Sprintf(hostedSettings, i, first, first+2, n.callerAddress, n.readyAddress, int(hostedGracePeriod.Seconds()), f.store.address(), cmp.Or(f.domain, fmt.Sprintf("z%d", i)))
	require.NoError(f.t, os.WriteFile(n.settingsFile, []byte(text), 0o600))
	name := fmt.Sprintf("hosted-%d", i)
	n.process = &process{
		name: name, args: []string{"sassafrasshunt", "hosted"}, logPath: filepath.Join(f.dir, name+".log"),
		env: []string{"SASSAFRASSHUNT_BOOT=" + n.settingsFile},
	}
	return n
}

// checkReady returns nil if the readiness probe of instance i succeeds.
func (f *hostedFleet) checkReady(i int) error {
	response, err := http.Get("http://" + f.instances[i].readyAddress + "/v1/ready")
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}

// checkNotReady returns nil if the readiness probe of instance i fails.
func (f *hostedFleet) checkNotReady(i int) error {
	if f.checkReady(i) == nil {
		return errors.New("the instance is still ready")
	}
	return nil
}

// startLoad starts callers that write and read through all instances.
func (f *hostedFleet) startLoad(callers int) *hostedLoad {
	var addresses []string
	for _, n := range f.instances {
		addresses = append(addresses, n.callerAddress)
	}
	l := startHostedLoad(addresses, callers)
	f.t.Cleanup(l.stop)
	return l
}

// checkLogged returns nil if instance i has logged an event of that name.
func (f *hostedFleet) checkLogged(i int, event string) error {
	text, err := os.ReadFile(f.instances[i].logPath)
	if err == nil && !strings.Contains(string(text), `"event":"`+event+`"`) {
		err = fmt.Errorf("%s has not logged %s", f.instances[i].name, event)
	}
	return err
}

// Guards against instances on the hosting platform that, without any fault, serve
// nothing, lose or duplicate a write, or return a stale value.
func TestHostedCalm(t *testing.T) {
	f := startHostedFleet(t, 2)
	l := f.startLoad(6)
	time.Sleep(2 * time.Second)
	l.stop()
	require.NoError(t, l.check(f.group))
	require.Greater(t, len(l.acknowledgedAt), 100)
	require.Zero(t, l.interruptedWrites(f.group))
}

// Guards against a killed primary that is not replaced in time, a promotion with a
// decreased fencing token, and writes that are lost, duplicated, or reported as not run
// although they are committed.
func TestHostedPromotion(t *testing.T) {
	f := startHostedFleet(t, 3)
	l := f.startLoad(8)
	time.Sleep(time.Second)
	for change := range 2 {
		f.group.primary().kill()
		killed := time.Now()
		require.NoError(t, l.awaitWrites(killed.Add(f.group.promotionTime)), "change %d", change)
	}
	l.stop()
	require.NoError(t, l.check(f.group))
	require.Len(t, f.group.tokens, 2, "each failover must be one promotion")
	require.GreaterOrEqual(t, f.group.tokens[1], f.group.tokens[0])
}

// Guards against a graceful stop that interrupts a request or takes longer than the
// grace period.
func TestHostedPlannedStop(t *testing.T) {
	f := startHostedFleet(t, 2)
	l := f.startLoad(6)
	time.Sleep(time.Second)
	stopped := time.Now()
	require.NoError(t, f.instances[1].signal(syscall.SIGTERM))
	require.NoError(t, eventually(time.Second, func() error { return f.checkNotReady(1) }))
	select {
	case <-f.instances[1].done:
	case <-time.After(hostedGracePeriod):
		require.Fail(t, "the process did not end within the grace period, after which the platform kills it")
	}
	ended := time.Now()
	require.NoError(t, l.awaitWrites(ended))
	l.stop()
	require.NoError(t, l.check(f.group))
	require.Zero(t, l.interruptedWrites(f.group), "a request was interrupted")
	require.Greater(t, l.acknowledgedSince(stopped), 20)
}

// Guards against an instance that stays in service although neither the store nor
// another failure domain responds, against an outage of the store alone that takes
// instances out of service, and against an instance that does not return to service.
func TestHostedCutOff(t *testing.T) {
	f := startHostedFleet(t, 2)
	f.store.setDown(true)
	require.NoError(t, eventually(startTimeout, func() error { return f.checkLogged(0, "store_lost") }))
	time.Sleep(2 * time.Second)
	require.NoError(t, f.checkReady(0), "the other failure domain responds, so the instance must stay ready")
	require.NoError(t, f.instances[1].signal(syscall.SIGSTOP))
	require.NoError(t, eventually(startTimeout, func() error { return f.checkNotReady(0) }))
	require.NoError(t, f.checkLogged(0, "cut_off"))
	require.NoError(t, f.instances[1].signal(syscall.SIGCONT))
	require.NoError(t, eventually(startTimeout, func() error { return f.checkReady(0) }))
	f.store.setDown(false)
	l := f.startLoad(4)
	time.Sleep(2 * time.Second)
	l.stop()
	require.NoError(t, l.check(f.group))
	require.Greater(t, len(l.acknowledgedAt), 50)
}

// Guards against a status command that fails on a healthy fleet, or that differs from
// the state of the instance.
func TestHostedStatus(t *testing.T) {
	f := startHostedFleet(t, 2)
	out, err := exec.Command(filepath.Join(binDir, "sassafrasshuntctl"), "status", "-hosted", f.instances[0].metricsAddress).CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, line := range []string{
		"instance n0 in z0: serving, ready=true, store lost=false", "configuration version 1",
		"database db: primary i-db0, succession settled", "account acct: home n", "instance n1 in z1: missing=false",
	} {
		require.Contains(t, string(out), line)
	}
}

// Guards against changed settings that are not applied, and against an invalid settings
// file that disrupts the running instance.
func TestHostedReload(t *testing.T) {
	f := startHostedFleet(t, 1)
	n := f.instances[0]
	text, err := os.ReadFile(n.settingsFile)
	require.NoError(t, err)
	changed := strings.Replace(string(text), "quotaSlack = 20", "quotaSlack = 40", 1)
	require.NoError(t, os.WriteFile(n.settingsFile, []byte(changed), 0o600))
	require.NoError(t, n.signal(syscall.SIGHUP))
	require.NoError(t, eventually(startTimeout, func() error { return f.checkLogged(0, "settings_reloaded") }))
	require.NoError(t, os.WriteFile(n.settingsFile, []byte("nothing"), 0o600))
	require.NoError(t, eventually(startTimeout, func() error { return f.checkLogged(0, "settings_rejected") }))
	require.NoError(t, f.checkReady(0))
	c, err := connectHosted(n.callerAddress, "ledger", "key-1")
	require.NoError(t, err)
	defer c.conn.Close()
	_, a, err := c.query("WRITE k v")
	require.NoError(t, err)
	require.Empty(t, a.errorCode)
}

// Guards against invalid input that affects other connections or gets no error
// response.
func TestHostedBadInput(t *testing.T) {
	f := startHostedFleet(t, 1)
	address := f.instances[0].callerAddress
	healthy, err := connectHosted(address, "ledger", "key-1")
	require.NoError(t, err)
	defer healthy.conn.Close()
	for _, lines := range [][]string{
		{"HELLO"},
		{"STARTUP ledger key-1", "NONSENSE"},
		{"STARTUP ledger key-1", "QUERY x1 DROP everything"},
		{"STARTUP ledger key-1", "QUERY x2 WRITE k v", "QUERY x2 WRITE k v"},
		{"STARTUP ledger wrong-key"},
		{"STARTUP absent key-1"},
		{"STARTUP ledger key-1", "QUERY x3 WRITE k " + strings.Repeat("v", 2<<20)},
	} {
		conn, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		c := &hostedCaller{conn: conn}
		response := c.sendLines(lines)
		require.Contains(t, response, "ERROR ", "%.60q", lines)
		conn.Close()
		_, a, err := healthy.query("WRITE k healthy")
		require.NoError(t, err)
		require.Empty(t, a.errorCode)
	}
}

// sendLines sends the lines, reads once after each, and returns all that was received.
func (c *hostedCaller) sendLines(lines []string) string {
	if err := c.conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return err.Error()
	}
	var text strings.Builder
	buffer := make([]byte, 4096)
	for _, line := range lines {
		// A failed write is no error here: the instance may close the connection
		// before all is sent, after a response that gives the reason.
		_, _ = c.conn.Write([]byte(line + "\r\n"))
		n, _ := c.conn.Read(buffer)
		text.Write(buffer[:n])
	}
	return text.String()
}

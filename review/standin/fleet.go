package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// add writes a line with the seconds since the start.
func (r *record) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// instance is a process of the project, with its addresses.
type instance struct {
	name, front, ready, peer, settings, log string
	mutex                                   sync.Mutex
	command                                 *exec.Cmd
	ended                                   chan struct{}
}

// settingsFormat is the platform's settings file, with the bounds of the site rnac-pool.
const settingsFormat = `
nodeName = %[1]q
role = "proxy"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %[2]q
region = "sn-ouest"
internalPorts = [%[3]d, %[4]d]
bootstrap = true
discovery = "platform"
entryMode = "vip"
heartbeatMs = 1200
[zones]
%[2]s = "sn-ouest"
[listenAddrs]
front = %[5]q
ready = %[6]q
[limits]
cpuShare = 0.272
cpuCores = 1
memoryMb = 206
maxFds = 3010
linkMbps = 700.0
diskMb = 0
[bounds]
contactMs = 4000
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
recoveryS = 12
requireFencing = true
[platform]
address = %[7]q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
address = %[7]q
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
`

// fleet is the store, the databases and the instances of a case.
type fleet struct {
	record    *record
	store     *store
	group     *group
	instances []*instance
	directory string
}

// freePorts returns the first of n free ports in a row, below the range from which the
// kernel takes the ports of outgoing connections.
func freePorts(n int) (int, error) {
	const lowest, highest, attempts = 12_000, 30_000, 1000
	for range attempts {
		first := lowest + rand.IntN(highest-lowest)
		if portsFree(first, n) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

func portsFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// newFleet starts the store, a service of three members and the instances, and waits
// until all are ready and every tenant has been served by each of them.
func newFleet(r *record, instances int, configuration map[string]any) (*fleet, error) {
	f := &fleet{record: r}
	var err error
	if f.directory, err = os.MkdirTemp("", "review"); err != nil {
		return f, err
	}
	if f.store, err = newStore(); err != nil {
		return f, err
	}
	if f.group, err = newGroup(f.store, r, "huvo11a", 3, 3, 77); err != nil {
		return f, err
	}
	f.store.promote = func(_, id string, token uint64) int { return f.group.promoteMember(id, token) }
	f.store.put("op/config", configuration)
	for i := range instances {
		n, err := f.newInstance(i)
		if err != nil {
			return f, err
		}
		f.instances = append(f.instances, n)
		if err := n.start(f); err != nil {
			return f, err
		}
	}
	for _, n := range f.instances {
		if err := eventually(10*time.Second, n.isReady); err != nil {
			return f, fmt.Errorf("%s: %w", n.name, err)
		}
	}
	return f, nil
}

func (f *fleet) newInstance(i int) (*instance, error) {
	first, err := freePorts(8)
	if err != nil {
		return nil, err
	}
	address := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	n := &instance{
		name: fmt.Sprintf("edge-%d", i), front: address(first + 6), ready: address(first + 7),
		settings: filepath.Join(f.directory, fmt.Sprintf("node-%d.toml", i)), log: filepath.Join(f.directory, fmt.Sprintf("edge-%d.log", i)),
	}
	text := fmt.Sprintf(settingsFormat, n.name, fmt.Sprintf("z%d", i%2), first, first+5, n.front, n.ready, f.store.address)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *instance) start(f *fleet) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/sassafrasshunt", "hosted")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASSHUNT_BOOT=" + n.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mutex.Lock()
	n.command, n.ended = command, ended
	n.mutex.Unlock()
	f.record.add("%s started, front %s", n.name, n.front)
	go func() {
		err := command.Wait()
		f.record.add("%s ended: %v", n.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *instance) signal(s syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(s)
	}
}

// running reports whether the process has not ended.
func (n *instance) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (n *instance) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}

func (n *instance) isReady() error {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("not ready: %s", response.Status)
	}
	return nil
}

// home returns the instance that is the home of a tenant, nil if there is none.
func (f *fleet) home(tenant string) *instance {
	var home struct {
		Node string `json:"node"`
	}
	if json.Unmarshal(f.store.value("sassafrasshunt/home/"+tenant), &home) != nil {
		return nil
	}
	for _, n := range f.instances {
		if n.name == home.Node {
			return n
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder. With REVIEW_LOGS set, it
// keeps the folder there.
func (f *fleet) stop() {
	for _, n := range f.instances {
		if n.command != nil {
			n.kill()
		}
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.directory))
	}
	os.RemoveAll(f.directory)
}

// eventually calls check until it succeeds or the time is over.
func eventually(limit time.Duration, check func() error) error {
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		err := check()
		if err == nil || time.Now().After(end) {
			return err
		}
	}
}

// tenant returns an entry of the configuration's tenants.
func tenant(name string, rate float64, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys, "priority": 1, "ratePerS": rate, "burst": rate}
}

// configuration returns a configuration with the three routes of the site rnac-pool.
func configuration(version int, tenants ...map[string]any) map[string]any {
	route := func(database, kind string, timeout, priority, staleness int) map[string]any {
		r := map[string]any{
			"name": "r-" + database, "database": database, "prefix": "/", "type": kind, "timeoutMs": timeout, "targetLatencyMs": 200,
			"priority": priority, "backend": "huvo11a", "attempts": 2, "public": false,
		}
		if staleness > 0 {
			r["maxStalenessMs"] = staleness
		}
		return r
	}
	return map[string]any{
		"configVersion": version,
		"routes": []any{
			route("entry", "primary", 1000, 1, 0),
			route("search", "bounded_staleness", 2000, 2, 1500),
			route("status", "read_your_writes", 1000, 2, 2500),
		},
		"backendPools": []any{map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConns": 77, "protocol": "h1", "tls": false, "syncReplicas": 0}},
		"limits":       map[string]any{"txIdleMs": 3000},
		"tenants":      tenants,
	}
}

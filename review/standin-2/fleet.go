package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file record.txt of the case.
var record struct {
	sync.Mutex
	file  *os.File
	start time.Time
}

// note writes a line to record.txt.
func note(who, format string, arguments ...any) {
	record.Lock()
	defer record.Unlock()
	if record.file != nil {
		fmt.Fprintf(record.file, "%9.3f %-9s %s\n", time.Since(record.start).Seconds(), who, fmt.Sprintf(format, arguments...))
	}
}

// Node is an instance process, started with the command of the deploy file.
type Node struct {
	index        int
	name, zone   string
	front, ready string
	settings     string
	log          *os.File
	mu           sync.Mutex
	cmd          *exec.Cmd
	ended        chan struct{}
	fleet        *Fleet
	// stopped is set once the process must not be started again.
	stopped bool
}

// Fleet is the instances of a case.
type Fleet struct {
	repository, dir string
	nodes           []*Node
	// restartAfter is the platform's delay before a process that has ended is started again.
	restartAfter time.Duration
}

const settingsText = `
nodeName = "%[1]s"
role = "proxy"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "%[2]s"
region = "r"
internalPorts = [%[3]d,%[4]d]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entryMode = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","tenants","quota","platform"]
[zones]
za = "r"
zb = "r"
zc = "r"
[listenAddrs]
front = "%[5]s"
ready = "%[6]s"
[limits]
cpuShare = 0.272
cpuCores = 1
memoryMb = 206
maxFds = 3010
linkMbps = 700.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
skewMaxMs = 12000
strictRevoke = false
revokeMs = 5000
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
recoveryS = 12
requireFencing = true
thawSlackMs = 300
[platform]
address = "%[7]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
address = "%[7]s"
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
`

// freePorts returns the first of several adjacent free ports below the range from which the
// kernel takes ports for outgoing connections.
func freePorts(count int) (int, error) {
	const lowest, highest = 12000, 32000
	for range 500 {
		first := lowest + rand.IntN(highest-lowest)
		var held []net.Listener
		for i := range count {
			l, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(first+i)))
			if err != nil {
				break
			}
			held = append(held, l)
		}
		for _, l := range held {
			l.Close()
		}
		if len(held) == count {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d adjacent free ports", count)
}

// newFleet writes the settings files of instances in the given zones. It starts none.
func newFleet(repository, dir, store string, zones []string) (*Fleet, error) {
	f := &Fleet{repository: repository, dir: dir, restartAfter: 500 * time.Millisecond}
	for i, zone := range zones {
		n := &Node{index: i, name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, fleet: f}
		first, err := freePorts(5)
		if err != nil {
			return nil, err
		}
		n.front = net.JoinHostPort("127.0.0.1", strconv.Itoa(first+3))
		n.ready = net.JoinHostPort("127.0.0.1", strconv.Itoa(first+4))
		n.settings = filepath.Join(dir, n.name+".toml")
		text := fmt.Sprintf(settingsText, n.name, zone, first, first+2, n.front, n.ready, store)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if n.log, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// start starts the process. It is started again when it ends, as the platform does.
func (n *Node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil
	}
	cmd := exec.Command(filepath.Join(n.fleet.repository, "target", "sassafrasshunt"), "hosted")
	cmd.Dir = n.fleet.repository
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASSHUNT_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.ended = cmd, make(chan struct{})
	note("platform", "%s is started, pid %d", n.name, cmd.Process.Pid)
	go n.wait(cmd, n.ended)
	return nil
}

func (n *Node) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	note("platform", "%s has ended: %v", n.name, err)
	close(ended)
	time.Sleep(n.fleet.restartAfter)
	if err := n.start(); err != nil {
		note("platform", "%s is not started: %v", n.name, err)
	}
}

func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	note("platform", "%s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// stop ends the process for good.
func (n *Node) stop() {
	n.mu.Lock()
	n.stopped = true
	cmd, ended := n.cmd, n.ended
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

func (f *Fleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
}

var probe = http.Client{Timeout: time.Second}

func (n *Node) isReady() bool {
	response, err := probe.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all instances and waits until each is ready.
func (f *Fleet) startAll(wait time.Duration) error {
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return f.awaitReady(wait)
}

func (f *Fleet) awaitReady(wait time.Duration) error {
	for end := time.Now().Add(wait); ; time.Sleep(50 * time.Millisecond) {
		var missing []string
		for _, n := range f.nodes {
			if !n.isReady() {
				missing = append(missing, n.name)
			}
		}
		if len(missing) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not ready in time: %s", strings.Join(missing, " "))
		}
	}
}

package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/standin/faultproxy"
)

const (
	memberCount = 3
	database    = "notices"
	entry       = "hazards"
	account     = "inspectors"
	operatorKey = "operator-key-of-the-test"
	// startTimeout is how long each wait during the start of a fleet may take.
	startTimeout = 20 * time.Second
)

var domains = []string{"jylland", "fyn", "sjaelland", "bornholm"}

// options configures a fleet.
type options struct {
	instances int
	// proxied routes the connections between instances and members through the
	// fault proxy. Connections to the platform always go through it.
	proxied bool
	// receiveDelay is the time until replicas have received a commit, applyLag
	// the time from then until they apply it.
	receiveDelay time.Duration
	applyLag     time.Duration
	// serviceTime is how long a statement holds its slot at a member.
	serviceTime time.Duration
	slots       int
	connections int
	rate, burst int
	// settings are additional lines for the settings file of every instance.
	settings []string
}

func defaultOptions() options {
	return options{
		instances: 3, receiveDelay: 2 * time.Millisecond, applyLag: 5 * time.Millisecond, serviceTime: time.Millisecond,
		slots: 2, connections: 35, rate: 4000, burst: 4000,
	}
}

// memberNode is a member process with its addresses.
type memberNode struct {
	*process
	id, sqlAddress, statusAddress string
	// advertisedSQL and advertisedStatus are the addresses in the catalogue; with
	// the fault proxy they are those of link routers.
	advertisedSQL, advertisedStatus string
	recordFile                      string
}

// instanceNode is an instance process with its addresses.
type instanceNode struct {
	*process
	callerAddress, peerAddress, adminAddress string
}

// fleet is a platform stand-in, one database with three members, and instances.
type fleet struct {
	options  options
	dir      string
	platform *process
	// platformAddress is the address of the platform without the fault proxy.
	platformAddress string
	members         []*memberNode
	instances       []*instanceNode
	proxy           *faultproxy.Proxy
	proxyDuties     duty.Group
	linkRouters     []*linkRouter
	// key is a key of the test account, keyID its id.
	key, keyID string
}

// outputDir returns the folder for the logs and records of a test: a folder below
// $E2E_KEEP, or dir if that variable is not set.
func outputDir(dir, name string) string {
	if parent := os.Getenv("E2E_KEEP"); parent != "" {
		return filepath.Join(parent, strings.ReplaceAll(name, "/", "_"))
	}
	return dir
}

// newFleet starts a fleet. Another process may take a port between
// findFreeAddress and its use. The process that should listen on it then ends
// at once, and the whole fleet is started again with other ports.
func newFleet(dir string, o options) (*fleet, error) {
	const attempts = 3
	for attempt := 1; ; attempt++ {
		f, err := tryStartFleet(filepath.Join(dir, fmt.Sprint(attempt)), o)
		if attempt == attempts || !errors.Is(err, errAddressInUse) {
			return f, err
		}
	}
}

// errAddressInUse reports a process that could not listen on its port. Its text
// is that of the system error in the logs.
var errAddressInUse = errors.New("address already in use")

// tryStartFleet starts a fleet once. The error includes errAddressInUse if a
// process could not listen on its port.
func tryStartFleet(dir string, o options) (*fleet, error) {
	f := &fleet{options: o, dir: dir}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	for _, step := range []func() error{
		f.startPlatform, f.startMembers, f.startProxy, f.startInstances, f.awaitListening, f.writeCatalogue, f.awaitInstancesReady,
	} {
		if err := step(); err != nil {
			f.close()
			return nil, errors.Join(err, f.addressInUse())
		}
	}
	return f, nil
}

// addressInUse returns errAddressInUse if the log of any process contains it.
func (f *fleet) addressInUse() error {
	for _, p := range f.processes() {
		text, err := os.ReadFile(p.logPath)
		if err == nil && strings.Contains(string(text), errAddressInUse.Error()) {
			return errAddressInUse
		}
	}
	return nil
}

// close ends all processes of the fleet, the link routers and the fault proxy.
func (f *fleet) close() {
	for _, p := range f.processes() {
		p.kill()
	}
	for _, r := range f.linkRouters {
		r.close()
	}
	if f.proxy != nil {
		f.proxy.Stop()
		f.proxyDuties.Wait()
	}
}

// processes returns all processes that were started, the platform last.
func (f *fleet) processes() []*process {
	var all []*process
	for _, i := range f.instances {
		all = append(all, i.process)
	}
	for _, m := range f.members {
		all = append(all, m.process)
	}
	if f.platform != nil {
		all = append(all, f.platform)
	}
	return all
}

func (f *fleet) process(name string) (*process, error) {
	for _, p := range f.processes() {
		if p.name == name {
			return p, nil
		}
	}
	return nil, errors.New("no process " + name)
}

func (f *fleet) startPlatform() (err error) {
	if f.platformAddress, err = findFreeAddress(); err != nil {
		return err
	}
	f.platform, err = f.startProcess("platform", "standin-platform", "-listen", f.platformAddress, "-instance-lag", "500ms")
	return err
}

func (f *fleet) startMembers() error {
	var peers []string
	for i := range memberCount {
		m := &memberNode{id: fmt.Sprintf("member-%d", i)}
		m.recordFile = filepath.Join(f.dir, m.id+".records")
		var err, statusErr error
		m.sqlAddress, err = findFreeAddress()
		m.statusAddress, statusErr = findFreeAddress()
		if err := errors.Join(err, statusErr); err != nil {
			return err
		}
		m.advertisedSQL, m.advertisedStatus = m.sqlAddress, m.statusAddress
		peers = append(peers, m.id+"="+m.statusAddress)
		f.members = append(f.members, m)
	}
	for i, m := range f.members {
		if err := f.startMember(i, m, strings.Join(peers, ",")); err != nil {
			f.members = f.members[:i]
			return err
		}
	}
	return nil
}

func (f *fleet) startMember(i int, m *memberNode, peers string) (err error) {
	args := []string{
		"-member", m.id, "-listen", m.sqlAddress, "-status", m.statusAddress, "-peers", peers,
		"-slots", fmt.Sprint(f.options.slots), "-service-time", f.options.serviceTime.String(),
		"-connect-delay", "12ms", "-max-connections", fmt.Sprint(f.options.connections),
		"-receive-delay", f.options.receiveDelay.String(), "-apply-lag", f.options.applyLag.String(), "-record", m.recordFile, "-data", filepath.Join(f.dir, m.id+".data"),
	}
	if i == 0 {
		args = append(args, "-role", "primary")
	} else {
		args = append(args, "-role", "replica", "-follow", "member-0")
	}
	m.process, err = f.startProcess(m.id, "standin-member", args...)
	return err
}

// startProxy starts the fault proxy with links from every instance to the platform
// and to the two addresses of every member. If options.proxied is set, the link
// routers' addresses go into the catalogue, so that the links to members are used.
func (f *fleet) startProxy() (err error) {
	var links []faultproxy.LinkOptions
	addLink := func(name, target string) {
		links = append(links, faultproxy.LinkOptions{Name: name, Listen: "127.0.0.1:0", Target: target})
	}
	for i := range f.options.instances {
		addLink(fmt.Sprintf("instance-%d/platform", i), f.platformAddress)
		for _, m := range f.members {
			addLink(fmt.Sprintf("instance-%d/%s/sql", i, m.id), m.sqlAddress)
			addLink(fmt.Sprintf("instance-%d/%s/status", i, m.id), m.statusAddress)
		}
	}
	if f.proxy, err = faultproxy.New("127.0.0.1:0", links); err != nil {
		return err
	}
	f.proxy.Start(&f.proxyDuties)
	if !f.options.proxied {
		return nil
	}
	for _, m := range f.members {
		if m.advertisedSQL, err = f.routeLinks(m.id+"/sql", m.sqlAddress); err != nil {
			return err
		}
		if m.advertisedStatus, err = f.routeLinks(m.id+"/status", m.statusAddress); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startInstances() error {
	for range f.options.instances {
		if _, err := f.addInstance(nil); err != nil {
			return err
		}
	}
	return nil
}

// addInstance starts another instance. Instances beyond options.instances connect
// to the platform directly, because the fault proxy has no link for them.
func (f *fleet) addInstance(settings []string) (*instanceNode, error) {
	i := len(f.instances)
	n := &instanceNode{}
	var errs [3]error
	n.callerAddress, errs[0] = findFreeAddress()
	n.peerAddress, errs[1] = findFreeAddress()
	n.adminAddress, errs[2] = findFreeAddress()
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	platform := f.platformAddress
	if i < f.options.instances {
		platform = f.proxy.Address(fmt.Sprintf("instance-%d/platform", i)).String()
	}
	sum := sha256.Sum256([]byte(operatorKey))
	lines := []string{
		fmt.Sprintf("instance.domain = %q", domains[i%len(domains)]),
		fmt.Sprintf("listen.callers = %q", n.callerAddress),
		fmt.Sprintf("listen.peers = %q", n.peerAddress),
		fmt.Sprintf("listen.admin = %q", n.adminAddress),
		fmt.Sprintf("platform.address = %q", platform),
		fmt.Sprintf("admin.operator_key_sha256 = %q", hex.EncodeToString(sum[:])),
	}
	lines = append(append(lines, f.options.settings...), settings...)
	name := fmt.Sprintf("instance-%d", i)
	file := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		return nil, err
	}
	var err error
	if n.process, err = f.startProcess(name, "sassafrasshunt", "run", "-settings", file); err != nil {
		return nil, err
	}
	f.instances = append(f.instances, n)
	return n, nil
}

// awaitListening waits until the admin address of every instance responds. It
// fails at once if any process has ended.
func (f *fleet) awaitListening() error {
	for i := range f.instances {
		var ended error
		err := eventually(startTimeout, func() error {
			if ended = f.checkProcesses(); ended != nil {
				return nil
			}
			return f.checkPage(i, "/healthz")
		})
		if err := errors.Join(err, ended); err != nil {
			return err
		}
	}
	return nil
}

// checkProcesses returns an error with the end of the log if a process has ended.
func (f *fleet) checkProcesses() error {
	for _, p := range f.processes() {
		if !p.isRunning() {
			text, _ := os.ReadFile(p.logPath)
			return fmt.Errorf("%s has ended: %s", p.name, tail(string(text), 1000))
		}
	}
	return nil
}

func (f *fleet) awaitInstancesReady() error {
	for i := range f.instances {
		if err := f.awaitInstanceReady(i); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) awaitInstanceReady(i int) error {
	err := eventually(startTimeout, func() error { return f.checkReady(i) })
	if err == nil {
		return nil
	}
	text, _ := os.ReadFile(f.instances[i].logPath)
	return fmt.Errorf("instance-%d is not ready: %w\n%s", i, err, tail(string(text), 4000))
}

// tail returns the last n bytes of a text.
func tail(text string, n int) string {
	return text[max(0, len(text)-n):]
}

// freeze suspends a process with SIGSTOP; thaw resumes it.
func (f *fleet) freeze(name string) error {
	return f.signal(name, syscall.SIGSTOP)
}

func (f *fleet) thaw(name string) error {
	return f.signal(name, syscall.SIGCONT)
}

func (f *fleet) signal(name string, sig syscall.Signal) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	return p.signal(sig)
}

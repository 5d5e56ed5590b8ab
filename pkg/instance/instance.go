// Package instance builds the duties of one proxy instance, connects them by
// rings, and starts and stops them. It also translates between the typed
// messages of the decision engines and their encoded forms.
package instance

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/admin"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/callerio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/targetio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
)

// ErrStart reports an instance that cannot start.
var ErrStart = eris.New("instance cannot start")

const (
	// classifyCacheEntries is the number of statement texts whose classification is cached.
	classifyCacheEntries = 10_000
	// instanceIDBytes is the length in bytes of the random part of an instance ID.
	instanceIDBytes = 6
	// socketsShutdownTimeout bounds the wait for the sockets of callers and of other
	// instances to close. It covers the flush timeouts of callerio (5 s) and rpc (1 s).
	socketsShutdownTimeout = 6 * time.Second
	// dutiesShutdownTimeout bounds the wait for the other duties to end after that. Calls to
	// the platform are cancelled, and the last outputs wait for stopFlushTimeout at most.
	dutiesShutdownTimeout = 4 * time.Second
)

// Instance is one run of the proxy with settings from a TOML file. Hosted is the kind
// of instance that runs on the users' platform.
type Instance struct {
	runner
	settings    *settings.Settings
	self        control.Identity
	callers     *callerio.Duty
	targets     *targetio.Duty
	sessionDuty *decisionDuty[session.Input]
	engine      *session.Engine
	classify    *classifyDuty
	controlDuty *decisionDuty[control.Input]
	control     *control.Engine
	rpc         *rpc.Duty
	peers       netip.AddrPort
	platform    *store.Duty
	callSpace   *ring.Signal
	watchSpace  *ring.Signal
	ready       atomic.Bool
	admin       *admin.Server
}

// New builds an instance and binds its addresses. It returns ErrStart,
// wrapped, when an address, chart or setting cannot be used.
func New(s *settings.Settings, output io.Writer) (*Instance, error) {
	i := &Instance{
		settings:   s,
		self:       control.Identity{Instance: newInstanceID(string(s.Domain)), Domain: s.Domain, PeerAddress: s.PeerAddress},
		callSpace:  ring.NewSignal(),
		watchSpace: ring.NewSignal(),
		runner:     runner{stopped: make(chan struct{})},
	}
	i.sessionDuty = newDecisionDuty[session.Input](s.RingCapacity)
	i.controlDuty = newDecisionDuty[control.Input](s.RingCapacity)
	steps := []func() error{
		func() error { return i.buildTelemetry(output) },
		i.buildIODuties,
		i.buildSession,
		i.buildControl,
		i.buildAdmin,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, eris.Wrap(ErrStart, err.Error())
		}
	}
	return i, nil
}

// newInstanceID returns an ID with the given prefix and a random part that no
// earlier run had. A restarted instance must not be mistaken for its predecessor,
// because it does not hold its predecessor's share.
func newInstanceID(prefix string) core.InstanceID {
	var random [instanceIDBytes]byte
	_, _ = rand.Read(random[:])
	return core.InstanceID(prefix + "-" + hex.EncodeToString(random[:]))
}

// buildTelemetry creates the log and trace duty, which writes to output.
func (i *Instance) buildTelemetry(output io.Writer) error {
	base := telemetry.Fields{"instance": string(i.self.Instance), "domain": string(i.self.Domain)}
	exporter, err := telemetry.NewExporter(i.settings.TraceExporter, i.settings.OTLPEndpoint, output, base)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(i.settings.LogLevel)
	if err != nil {
		return err
	}
	i.telemetry = telemetry.New(telemetry.Config{
		Output: output, Level: level, Exporter: exporter, CommonFields: base, Capacity: i.settings.RingCapacity,
	})
	return nil
}

// Run starts every duty. A value from stop starts the planned stop; Run returns
// when the stop is complete.
func (i *Instance) Run(stop <-chan os.Signal) {
	i.startLog()
	i.platform.Start(&i.duties)
	i.duties.Start(dutyPeers, func() { i.rpc.Run(i.deliverRPC) })
	i.startCritical("target-io", i.targets.Run)
	i.duties.Start("classify", i.classify.run)
	i.duties.Start("session", i.sessionDuty.run)
	i.duties.Start("control", func() {
		i.control.Start(time.Now())
		i.controlDuty.run()
	})
	i.startCritical(dutyCallers, i.callers.Run)
	i.publishMetrics()
	i.duties.Start("admin", i.admin.Run)
	i.log(logrus.InfoLevel, "instance_started", "instance started", telemetry.Fields{
		"callers": i.callers.Address().String(), "peers": i.settings.PeerAddress, "admin": i.settings.AdminAddress,
	})
	i.awaitStop(stop, i.Stop)
	i.stopDuties()
}

// stopDuties stops the duties: first the sockets of callers and of other instances, and
// only after these the duties that answer the requests which they have accepted.
func (i *Instance) stopDuties() {
	i.log(logrus.InfoLevel, "instance_stopped", "planned stop complete", nil)
	i.admin.Stop()
	i.callers.Stop()
	i.rpc.Send(rpc.Stop{})
	i.duties.WaitFor(socketsShutdownTimeout, dutyCallers, dutyPeers)
	i.sessionDuty.stop()
	i.classify.stop()
	i.targets.Stop()
	i.controlDuty.stop()
	i.platform.Stop()
	i.shutDown(dutiesShutdownTimeout, logFlushTimeout)
}

// Stop starts the planned stop: the instance reports not ready, callers are asked
// to reconnect, and running work finishes. Run returns when the stop is complete.
// Stop blocks while the ring of the control duty is full.
func (i *Instance) Stop() {
	waker := ring.NewSignal()
	for !pushOrNotify[control.Input](i.controlDuty.input, control.StopRequested{}, waker) {
		waker.Wait(-1)
	}
}

// Ready reports whether the balancer may send callers to this instance.
func (i *Instance) Ready() bool {
	return i.ready.Load()
}

package instance

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/linkio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/placement"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/stopplan"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
	"github.com/sassafrasshunt/sassafrasshunt/platform"
)

// Hosted is an instance whose addresses and limits are given by the users'
// platform. It uses the same session engine as Instance with different I/O
// duties, and the fleet engine instead of control.
type Hosted struct {
	runner
	settings        *settings.Hosted
	reloader        *reloader
	callers         *linkio.Callers
	targets         *linkio.Targets
	sessionDuty     *decisionDuty[session.Input]
	fleetDuty       *decisionDuty[fleet.Input]
	watcher         *fleet.Watcher
	registrar       *fleet.Registrar
	worker          *fleet.Worker
	stores          []*platform.Store
	storeCalls      *fleet.StoreCalls
	memberControl   *platform.MemberControl
	rpc             *rpc.Duty
	feedClient      *feedClient
	self            fleet.Instance
	readyListener   net.Listener
	readyServer     *http.Server
	metricsListener net.Listener
	metricsServer   *http.Server
	ready           atomic.Bool
	stopping        atomic.Bool
	// stopRequestedAt is when the planned stop was requested, zero if it was not. It
	// belongs to the thread that calls Run.
	stopRequestedAt time.Time
	// plan holds the times of a planned stop.
	plan stopplan.Plan
}

// NewHosted builds an instance and binds its addresses. It returns ErrStart,
// wrapped, when an address or chart cannot be used.
func NewHosted(s *settings.Hosted, output io.Writer) (*Hosted, error) {
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * heapLimitFraction))
	h := &Hosted{settings: s, runner: runner{stopped: make(chan struct{})}, storeCalls: fleet.NewStoreCalls()}
	h.sessionDuty = newDecisionDuty[session.Input](hostedRingCapacity)
	h.sessionDuty.now = clock.Now
	h.fleetDuty = newDecisionDuty[fleet.Input](hostedRingCapacity)
	h.fleetDuty.now = clock.Now
	h.self = fleet.Instance{
		Node: s.Name, ID: newInstanceID(s.Name), Domain: s.Domain,
		Peer:     net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)),
		Capacity: placement.CapacityOf(s.Capacity, s.LinkMbps, s.MemoryBytes),
	}
	h.telemetry = telemetry.New(telemetry.Config{
		Output: output, Level: logrus.InfoLevel, Capacity: hostedRingCapacity,
		CommonFields: telemetry.Fields{"instance": s.Name},
	})
	for _, step := range []func() error{h.buildCallers, h.buildTargets, h.buildPeers, h.buildSession, h.buildFleet, h.buildReadyServer, h.buildMetricsServer} {
		if err := step(); err != nil {
			return nil, eris.Wrap(ErrStart, err.Error())
		}
	}
	return h, nil
}

// logSkippedValue logs a stored value that could not be decoded and is ignored.
func (h *Hosted) logSkippedValue(key string, err error) {
	h.log(logrus.WarnLevel, "store_value_skipped", err.Error(), telemetry.Fields{"key": key})
}

// deliverFleet pushes an input to the fleet duty and waits while its ring is full.
// It reports false when the instance stops before the input was accepted.
func (h *Hosted) deliverFleet(in fleet.Input) bool {
	waker := ring.NewSignal()
	for !h.stopping.Load() {
		if pushOrNotify(h.fleetDuty.input, in, waker) {
			return true
		}
		waker.Wait(time.Second)
	}
	return false
}

// Names of the duties that a stop waits for first.
const (
	dutyCallers = "caller-io"
	dutyPeers   = "rpc"
)

// Run starts every duty. A value from stop starts the planned stop; Run returns
// when the stop is complete. A value from reload reads the settings file again.
func (h *Hosted) Run(stop, reload <-chan os.Signal) {
	h.startLog()
	h.startCritical("target-io", h.targets.Run)
	h.duties.Start(dutyPeers, func() { h.rpc.Run(h.deliverPeer) })
	h.duties.Start("session", h.sessionDuty.run)
	h.duties.Start("fleet", h.fleetDuty.run)
	h.watcher.Start(&h.duties)
	h.registrar.Start(&h.duties)
	h.worker.Start(&h.duties)
	h.startCritical(dutyCallers, h.callers.Run)
	if h.reloader != nil {
		h.duties.Start("settings", func() { h.reloader.run(reload) })
	}
	h.startHTTP("ready", h.readyServer, h.readyListener)
	h.startHTTP("metrics", h.metricsServer, h.metricsListener)
	h.log(logrus.InfoLevel, "instance_started", "instance started", telemetry.Fields{
		"callers": h.settings.CallerAddress, "store": h.settings.StoreAddress, "domain": string(h.settings.Domain),
	})
	h.awaitStop(stop, h.requestStop)
	h.stopDuties()
}

// requestStop starts the planned stop.
func (h *Hosted) requestStop() {
	if h.stopRequestedAt.IsZero() {
		h.stopRequestedAt = clock.Now()
	}
	h.deliverFleet(fleet.StopRequested{})
}

// socketsTimeout returns how long the sockets may take to send the last answers and to
// close.
func (h *Hosted) socketsTimeout() time.Duration {
	if h.stopRequestedAt.IsZero() {
		return callerFlushTimeout
	}
	return max(h.plan.Sockets-clock.Now().Sub(h.stopRequestedAt), 0)
}

// shutdownTimeouts returns how long the duties may take to end, and then the log to be
// written. Both fit into what is left until the end of a planned stop.
func (h *Hosted) shutdownTimeouts() (duties, log time.Duration) {
	if h.stopRequestedAt.IsZero() {
		return hostedShutdownTimeout, logFlushTimeout
	}
	left := max(h.plan.End-clock.Now().Sub(h.stopRequestedAt), 0)
	return min(left/2, hostedShutdownTimeout), min(left/2, logFlushTimeout)
}

// startHTTP starts a duty that serves HTTP. The instance keeps working when it
// fails. net/http runs a goroutine for each connection.
func (h *Hosted) startHTTP(name string, server *http.Server, listener net.Listener) {
	h.duties.Start(name, func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.log(logrus.ErrorLevel, "duty_failed", err.Error(), telemetry.Fields{"duty": name})
		}
	})
}

// closeHTTP closes an HTTP server with its listener and connections.
func (h *Hosted) closeHTTP(server *http.Server) {
	if err := server.Close(); err != nil {
		h.log(logrus.WarnLevel, "listener_not_closed", err.Error(), nil)
	}
}

// stopDuties stops the duties: first those that call the store, then the sockets of
// callers and of other instances, and the session duty only after these, because it
// answers the requests that they have accepted.
func (h *Hosted) stopDuties() {
	h.log(logrus.InfoLevel, "instance_stopped", "planned stop complete", nil)
	h.stopping.Store(true)
	if h.reloader != nil {
		h.reloader.stop()
	}
	h.registrar.Stop()
	h.watcher.Stop()
	h.worker.Stop()
	h.callers.StopWithin(h.socketsTimeout())
	h.rpc.Send(rpc.Stop{})
	h.duties.WaitFor(h.socketsTimeout(), dutyCallers, dutyPeers)
	h.sessionDuty.stop()
	h.targets.Stop()
	h.fleetDuty.stop()
	h.closeHTTP(h.readyServer)
	h.closeHTTP(h.metricsServer)
	h.shutDown(h.shutdownTimeouts())
}

// logFleetEvent queues a log line of the fleet duty.
func (h *Hosted) logFleetEvent(l fleet.LogEvent) {
	h.log(logLevel(l.Warning), l.Event, l.Message, telemetry.Fields(l.Fields))
}

// BootFileVariable names the environment variable with the path of the
// platform's settings file.
const BootFileVariable = platform.BootVariable

// LoadHosted reads the platform's settings file and builds an instance. It
// returns the errors of platform.LoadBoot and NewHosted.
func LoadHosted(path string, output io.Writer) (*Hosted, error) {
	s, err := platform.LoadBoot(path)
	if err != nil {
		return nil, err
	}
	h, err := NewHosted(s, output)
	if err != nil {
		return nil, err
	}
	h.reloader = newReloader(path, h)
	return h, nil
}

// CheckHostedSettings reads the platform's settings file as LoadHosted does. It
// returns the errors of platform.LoadBoot.
func CheckHostedSettings(path string) error {
	_, err := platform.LoadBoot(path)
	return err
}

// apply applies the changed settings that do not need a restart.
func (h *Hosted) apply(s *settings.Hosted) {
	for _, store := range h.stores {
		store.SetAddress(s.StoreAddress)
	}
	h.memberControl.SetPromotionAddress(s.PromotionAddress)
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * heapLimitFraction))
	h.deliverFleet(fleetLimits(s))
}

// fleetLimits returns the limits that the fleet engine takes from the settings.
func fleetLimits(s *settings.Hosted) fleet.Limits {
	return fleet.Limits{
		TargetDrain: time.Duration(float64(s.TargetDrain) * targetDrainFraction),
		RateWindow:  s.RateWindow, RateOverage: s.RateOverage, RateSlack: s.RateSlack,

		EvacuationBound: s.EvacuationBound,
	}
}

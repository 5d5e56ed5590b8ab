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
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
	"github.com/sassafrasshunt/sassafrasshunt/platform"
)

// Hosted is an instance whose addresses and bounds are given by the users'
// platform. It has the same decisions as Instance and other edges.
type Hosted struct {
	runner
	settings  *settings.Hosted
	reloader  *reloader
	callers   *linkio.Callers
	targets   *linkio.Targets
	sessions  *decisionDuty[session.Input]
	fleets    *decisionDuty[fleet.Input]
	watcher   *fleet.Watcher
	registrar *fleet.Registrar
	worker    *fleet.Worker
	stores    []*platform.Store
	orders    *platform.Orders
	rpc       *rpc.Duty
	feedCalls *feedCalls
	self      fleet.Instance
	probe     net.Listener
	probes    *http.Server
	metricsAt net.Listener
	metrics   *http.Server
	ready     atomic.Bool
	stopping  atomic.Bool
}

// NewHosted builds an instance and binds its addresses. It returns ErrStart,
// wrapped, when an address or chart cannot be used.
func NewHosted(s *settings.Hosted, output io.Writer) (*Hosted, error) {
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryFraction))
	h := &Hosted{settings: s, runner: runner{stopped: make(chan struct{})}}
	h.sessions = newDecisionDuty[session.Input](hostedRing)
	h.sessions.now = clock.Now
	h.fleets = newDecisionDuty[fleet.Input](hostedRing)
	h.fleets.now = clock.Now
	h.self = fleet.Instance{
		Node: s.Name, ID: newInstanceID(s.Name), Domain: s.Domain,
		Peer: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)),
	}
	h.telemetry = telemetry.New(telemetry.Config{
		Output: output, Level: logrus.InfoLevel, Capacity: hostedRing,
		Base: telemetry.Fields{"instance": s.Name},
	})
	for _, step := range []func() error{h.buildCallers, h.buildTargets, h.buildPeers, h.buildSession, h.buildFleet, h.buildProbe, h.buildMetrics} {
		if err := step(); err != nil {
			return nil, eris.Wrap(ErrStart, err.Error())
		}
	}
	return h, nil
}

func (h *Hosted) skipped(key string, err error) {
	h.log(logrus.WarnLevel, "store_value_skipped", err.Error(), telemetry.Fields{"key": key})
}

func (h *Hosted) deliverFleet(in fleet.Input) bool {
	room := ring.NewSignal()
	for !h.stopping.Load() {
		if deliver(h.fleets.input, in, room) {
			return true
		}
		room.Wait(time.Second)
	}
	return false
}

// Run starts every duty. A value from stop begins the planned stop; Run returns
// when it is complete. A value from reload reads the settings again.
func (h *Hosted) Run(stop, reload <-chan os.Signal) {
	h.startLog()
	h.serve("target-io", h.targets.Run)
	h.duties.Start("rpc", func() { h.rpc.Run(h.deliverPeer) })
	h.duties.Start("session", h.sessions.run)
	h.duties.Start("fleet", h.fleets.run)
	h.watcher.Start(&h.duties)
	h.registrar.Start(&h.duties)
	h.worker.Start(&h.duties)
	h.serve("caller-io", h.callers.Run)
	if h.reloader != nil {
		h.duties.Start("settings", func() { h.reloader.run(reload) })
	}
	h.servePages("ready", h.probes, h.probe)
	h.servePages("metrics", h.metrics, h.metricsAt)
	h.log(logrus.InfoLevel, "instance_started", "instance started", telemetry.Fields{
		"callers": h.settings.CallerAddress, "store": h.settings.StoreAddress, "domain": string(h.settings.Domain),
	})
	h.awaitStop(stop, func() { h.deliverFleet(fleet.StopRequested{}) })
	h.stopDuties()
}

// servePages starts a duty that serves HTTP; net/http runs a goroutine for each
// request.
func (h *Hosted) servePages(name string, server *http.Server, listener net.Listener) {
	h.duties.Start(name, func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.log(logrus.ErrorLevel, "duty_failed", err.Error(), telemetry.Fields{"duty": name})
		}
	})
}

func (h *Hosted) closePages(server *http.Server) {
	if err := server.Close(); err != nil {
		h.log(logrus.WarnLevel, "listener_not_closed", err.Error(), nil)
	}
}

func (h *Hosted) stopDuties() {
	h.log(logrus.InfoLevel, "instance_stopped", "planned stop complete", nil)
	h.stopping.Store(true)
	if h.reloader != nil {
		h.reloader.stop()
	}
	h.registrar.Stop()
	h.watcher.Stop()
	h.worker.Stop()
	h.callers.Stop()
	h.sessions.stop()
	h.targets.Stop()
	h.fleets.stop()
	h.rpc.Send(rpc.Stop{})
	h.closePages(h.probes)
	h.closePages(h.metrics)
	h.end(hostedEnd)
}

func (h *Hosted) fleetLog(l fleet.LogEvent) {
	h.log(logLevel(l.Warning), l.Event, l.Message, telemetry.Fields(l.Fields))
}

// HostedVariable names the environment variable with the path of the
// platform's settings file.
const HostedVariable = platform.BootVariable

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

// apply takes over what a running instance can of changed settings.
func (h *Hosted) apply(s *settings.Hosted) {
	for _, store := range h.stores {
		store.Use(s.StoreAddress)
	}
	h.orders.Use(s.PromotionAddress)
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryFraction))
	h.deliverFleet(fleetLimits(s))
}

func fleetLimits(s *settings.Hosted) fleet.Limits {
	return fleet.Limits{
		TargetDrain: time.Duration(float64(s.TargetDrain) * targetDrainPart),
		RateWindow:  s.RateWindow, RateOverage: s.RateOverage, RateSlack: s.RateSlack,
	}
}

package instance

import (
	"net"
	"net/http"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/linkio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/platform"
)

// The duties of a hosted instance are built here, each with its chart and bounds.

func (h *Hosted) buildCallers() error {
	definition, err := charts.Load("link_caller")
	if err != nil {
		return err
	}
	h.callers, err = linkio.NewCallers(linkio.CallerConfig{
		Address: h.settings.CallerAddress, RingCapacity: hostedRing,
		MaxCallers: max(h.settings.Descriptors/callerDescriptors, 1), MaxInput: maxCallerInput,
		Startup: callerStartup, Admission: callerAdmission, Linger: callerLinger,
		NewCodec: platform.NewCallerCodec,
	}, definition, h.sessions.input)
	return err
}

func (h *Hosted) buildTargets() error {
	definition, err := charts.Load("link_target")
	if err != nil {
		return err
	}
	h.targets, err = linkio.NewTargets(linkio.TargetConfig{
		RingCapacity: hostedRing, Connect: targetConnect, Startup: targetStartup,
		NewCodec: platform.NewTargetCodec,
	}, definition, h.sessions.input)
	return err
}

func (h *Hosted) buildPeers() error {
	config := rpc.DefaultConfig()
	config.MaxIncoming = max(config.MaxIncoming, h.settings.Descriptors/peerDescriptors)
	duty, err := rpc.New(config)
	if err != nil {
		return err
	}
	h.rpc = duty
	_, err = duty.Listen(h.self.Peer)
	return err
}

func (h *Hosted) buildSession() error {
	out := &hostedSession{
		callers: &port[session.CallerCommand]{ring: h.callers.Commands},
		targets: &port[session.TargetCommand]{ring: h.targets.Commands},
		fleet:   h.fleets.input,
		peers:   &port[rpc.Command]{ring: h.rpc.Commands()},
		hosted:  h,
	}
	config := session.DefaultConfig()
	config.Domain = h.settings.Domain
	config.AckAtCommit = true
	config.AsyncReplication = true
	config.RatePerOperation = true
	config.FinishOnRevocation = true
	config.MemberConnections = firstConnections
	config.Bounds.TransactionIdle = firstTransactionIdle
	config.Bounds.ConnectionOpen = connectionOpen
	config.Bounds.HomeWait = homeWait
	config.Bounds.Drain = h.settings.StopGrace / sessionDrainPart
	engine, err := session.New(config, out)
	if err != nil {
		return err
	}
	h.sessions.engine = engine
	h.sessions.outlets = []outlet{out.callers, out.targets, out.peers}
	return nil
}

// fleetCharts loads the charts of the fleet duty.
func fleetCharts() (fleet.Charts, error) {
	var c fleet.Charts
	for name, definition := range map[string]**chart.Definition{
		"hosted_instance": &c.Instance, "succession": &c.Succession, "news": &c.News,
	} {
		loaded, err := charts.Load(name)
		if err != nil {
			return fleet.Charts{}, err
		}
		*definition = loaded
	}
	return c, nil
}

func (h *Hosted) buildFleet() error {
	definitions, err := fleetCharts()
	if err != nil {
		return err
	}
	out := &hostedFleet{hosted: h, session: &port[session.Input]{ring: h.sessions.input}}
	engine, err := fleet.New(fleet.Config{Self: h.self, Limits: fleetLimits(h.settings), Bounds: fleet.Bounds{
		BalancerNotice: balancerNotice,
		Drain:          h.settings.StopGrace - balancerNotice - stopReserve,
		ReturnWait:     returnWait,
		PromotionCall:  promotionStep,
		PromotionRetry: promotionRetry,
		Takeover:       takeover,
	}}, definitions, out)
	if err != nil {
		return err
	}
	h.fleets.engine = engine
	h.fleets.outlets = []outlet{out.session}
	h.feedCalls = newFeedCalls(h.rpc)
	h.watcher = fleet.NewWatcher(h.newStore(), h.feedCalls, fleet.WatchBounds{
		Wait: storeWait, Feed: feedWait, Answer: storeAnswer, Pause: storePause, Gather: storeGather,
	}, h.deliverFleet)
	h.registrar = fleet.NewRegistrar(h.newStore(), h.self, fleet.RegistrarBounds{
		TTL: leaseTTL, Renew: leaseRenew, Answer: callBound, Margin: leaseMargin,
	}, h.deliverFleet, h.fleetLog)
	h.orders = platform.NewOrders(h.settings.Name, h.settings.PromotionAddress)
	h.worker = fleet.NewWorker(h.newStore(), h.orders, h.self.ID, fleet.WorkerBounds{
		Call: callBound, Member: memberOrder, ClaimTTL: claimTTL,
	}, h.deliverFleet)
	return nil
}

// newStore returns a client of the store for one duty.
func (h *Hosted) newStore() *platform.Store {
	store := platform.NewStore(h.settings.StoreAddress, h.skipped)
	h.stores = append(h.stores, store)
	return store
}

func (h *Hosted) buildProbe() error {
	listener, err := net.Listen("tcp4", h.settings.ReadyAddress)
	if err != nil {
		return err
	}
	h.probe = listener
	h.probes = &http.Server{Handler: platform.ReadyHandler(h.ready.Load), ReadHeaderTimeout: 5 * time.Second}
	return nil
}

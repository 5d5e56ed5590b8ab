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
	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/stopplan"
	"github.com/sassafrasshunt/sassafrasshunt/platform"
)

// buildCallers creates the duty of the caller sockets and binds its address.
func (h *Hosted) buildCallers() error {
	definition, err := charts.Load("link_caller")
	if err != nil {
		return err
	}
	h.callers, err = linkio.NewCallers(linkio.CallerConfig{
		Address: h.settings.CallerAddress, RingCapacity: hostedRingCapacity,
		MaxCallers: max(h.settings.Descriptors/callerDescriptorDivisor, 1), MaxInputBytes: maxCallerInputBytes,
		Startup: callerStartupTimeout, Admission: callerAdmissionTimeout,
		Flush: callerLastOutputTimeout, PeerClose: callerPeerCloseTimeout, FlushTimeout: callerFlushTimeout,
		NewCodec: platform.NewCallerCodec, Log: h.logCaller,
	}, definition, h.sessionDuty.input)
	return err
}

// buildTargets creates the duty of the target sockets.
func (h *Hosted) buildTargets() error {
	definition, err := charts.Load("link_target")
	if err != nil {
		return err
	}
	h.targets, err = linkio.NewTargets(linkio.TargetConfig{
		RingCapacity: hostedRingCapacity, Connect: targetConnectTimeout, Startup: targetStartupTimeout,
		NewCodec: platform.NewTargetCodec,
	}, definition, h.sessionDuty.input)
	return err
}

// buildPeers creates the rpc duty and listens for other instances.
func (h *Hosted) buildPeers() error {
	config := rpc.DefaultConfig()
	config.MaxIncoming = max(config.MaxIncoming, h.settings.Descriptors/peerDescriptorDivisor)
	config.FlushTimeout = peerFlushTimeout
	duty, err := rpc.New(config)
	if err != nil {
		return err
	}
	h.rpc = duty
	_, err = duty.Listen(h.self.Peer)
	return err
}

// buildSession creates the session engine and connects it to the rings of the other duties.
func (h *Hosted) buildSession() error {
	out := &hostedSessionOutputs{
		callers: &ringWriter[session.CallerCommand]{ring: h.callers.Commands},
		targets: &ringWriter[session.TargetCommand]{ring: h.targets.Commands},
		fleet:   h.fleetDuty.input,
		peers:   &ringWriter[rpc.Command]{ring: h.rpc.Commands()},
		hosted:  h,
	}
	config := session.DefaultConfig()
	config.Domain = h.settings.Domain
	config.AckAtCommit = true
	config.AsyncReplication = true
	config.RatePerOperation = true
	config.FinishOnRevocation = true
	config.MemberConnections = initialMemberConnections
	config.Bounds.TransactionIdle = initialTransactionIdleTimeout
	config.Bounds.ConnectionOpen = connectionOpenTimeout
	config.Bounds.HomeWait = homeWaitTimeout
	engine, err := session.New(config, out)
	if err != nil {
		return err
	}
	h.sessionDuty.engine = engine
	h.sessionDuty.ended = h.logLeftWork
	h.sessionDuty.writers = []outputWriter{out.callers, out.targets, out.peers}
	return nil
}

// loadFleetCharts loads the state charts of the fleet engine.
func loadFleetCharts() (fleet.Charts, error) {
	var c fleet.Charts
	for name, definition := range map[string]**chart.Definition{
		"hosted_instance": &c.Instance, "succession": &c.Succession, "news": &c.News, "home_handover": &c.HomeHandover,
	} {
		loaded, err := charts.Load(name)
		if err != nil {
			return fleet.Charts{}, err
		}
		*definition = loaded
	}
	return c, nil
}

// buildFleet creates the fleet engine and the duties that call the store and the
// members for it.
func (h *Hosted) buildFleet() error {
	definitions, err := loadFleetCharts()
	if err != nil {
		return err
	}
	if h.plan, err = stopplan.New(h.settings.StopGrace, balancerNoticeTime); err != nil {
		return err
	}
	out := &hostedFleetOutputs{hosted: h, session: &ringWriter[session.Input]{ring: h.sessionDuty.input}}
	engine, err := fleet.New(fleet.Config{Self: h.self, Limits: fleetLimits(h.settings), Bounds: fleet.Bounds{
		BalancerNotice:       balancerNoticeTime,
		Stop:                 h.plan,
		ReregistrationGrace:  storeRecoveryGrace,
		PromotionStepTimeout: promotionStepTimeout,
		PromotionRetryDelay:  promotionRetryDelay,
		TakeoverTimeout:      takeoverTimeout,
		PrimaryLease:         primaryLeaseDuration(h.settings),
	}}, definitions, out)
	if err != nil {
		return err
	}
	h.fleetDuty.engine = engine
	h.fleetDuty.writers = []outputWriter{out.session}
	h.feedClient = newFeedClient(h.rpc)
	h.watcher = fleet.NewWatcher(h.newStore(), h.feedClient, fleet.WatcherBounds{
		Wait: storeWatchWait, Feed: feedWatchWait, ResponseTimeout: storeResponseTimeout,
		RetryInterval: storeRetryDelay, MaxRetryDelay: storeMaxRetryDelay, BatchDelay: storeBatchDelay,
	}, h.deliverFleet)
	h.registrar = fleet.NewRegistrar(h.newStore(), h.self, fleet.RegistrarBounds{
		TTL: leaseTTL, RenewInterval: leaseRenewInterval, ResponseTimeout: platformCallTimeout, Margin: leaseSafetyMargin,
	}, h.deliverFleet, h.logFleetEvent)
	h.memberControl = platform.NewMemberControl(h.settings.Name, h.settings.PromotionAddress)
	h.worker = fleet.NewWorker(h.newStore(), h.memberControl, h.self.ID, fleet.WorkerBounds{
		Call: platformCallTimeout, Member: memberCommandTimeout, ClaimTTL: claimTTL,
	}, h.deliverFleet)
	return nil
}

// primaryLeaseDuration returns the duration of the leases on primaries, 0 where the
// platform stops a replaced primary.
func primaryLeaseDuration(s *settings.Hosted) time.Duration {
	if s.PromotionsFenced {
		return 0
	}
	return primaryLeaseTime
}

// newStore returns a store client for one duty, whose calls are counted; a changed
// store address reaches all of them.
func (h *Hosted) newStore() fleet.StoreClient {
	store := platform.NewStore(h.settings.StoreAddress, h.logSkippedValue)
	h.stores = append(h.stores, store)
	return h.storeCalls.Count(store)
}

// buildReadyServer binds the address of the readiness probe.
func (h *Hosted) buildReadyServer() error {
	listener, err := net.Listen("tcp4", h.settings.ReadyAddress)
	if err != nil {
		return err
	}
	h.readyListener = listener
	h.readyServer = &http.Server{Handler: platform.ReadyHandler(h.ready.Load), ReadHeaderTimeout: 5 * time.Second}
	return nil
}

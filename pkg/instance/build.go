package instance

import (
	"math/rand/v2"

	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/admin"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/callerio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/classify"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fairqueue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/stopplan"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/targetio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
)

// buildIODuties creates the duties that own sockets, and binds the listening
// addresses of callers and peers.
func (i *Instance) buildIODuties() error {
	callerChart, err := charts.Load("caller_startup")
	if err != nil {
		return err
	}
	targetChart, err := charts.Load("target_startup")
	if err != nil {
		return err
	}
	i.callers, err = callerio.New(callerio.Config{
		Address: i.settings.CallerAddress, RingCapacity: i.settings.RingCapacity,
		MaxCallers: i.settings.MaxCallers, MaxInputBytes: i.settings.MaxMessage,
	}, callerio.Deps{Session: i.sessionDuty.input, Chart: callerChart, Log: i.logCallerRefusal})
	if err != nil {
		return err
	}
	i.targets, err = targetio.New(targetio.Config{
		RingCapacity: i.settings.RingCapacity, User: i.settings.TargetUser, Password: i.settings.TargetPassword,
	}, targetio.Deps{Session: i.sessionDuty.input, Chart: targetChart})
	if err != nil {
		return err
	}
	return i.buildControlIO()
}

// buildControlIO creates the I/O duties that only the control duty uses: rpc to
// instances and members, and calls to the platform.
func (i *Instance) buildControlIO() error {
	var err error
	config := rpc.DefaultConfig()
	config.RingCapacity = max(config.RingCapacity, i.settings.RingCapacity)
	if i.rpc, err = rpc.New(config); err != nil {
		return err
	}
	if i.peers, err = i.rpc.Listen(i.settings.PeerAddress); err != nil {
		return err
	}
	client, err := store.NewClient("http://" + i.settings.PlatformAddress)
	if err != nil {
		return err
	}
	i.platform = store.NewDuty(client, store.Output{
		Deliver:    i.deliverPlatform,
		CallSpace:  i.callSpace,
		WatchSpace: i.watchSpace,
	})
	return nil
}

// logCallerRefusal logs a connection that callerio rejected, or a protocol violation.
func (i *Instance) logCallerRefusal(n callerio.LogEvent) {
	i.log(logrus.WarnLevel, "caller_refused", string(n.Kind), telemetry.Fields{
		"remote": n.Remote.String(), "account": n.Account, "entry": n.Entry, "reason": n.Reason,
	})
}

// buildSession creates the session engine and connects it to the rings of the other duties.
func (i *Instance) buildSession() error {
	i.classify = newClassifyDuty(i.settings.RingCapacity, classify.New(classifyCacheEntries), i.sessionDuty.input)
	out := &sessionOutputs{
		callers:   &ringWriter[callerio.Input]{ring: i.callers.Ring()},
		targets:   &ringWriter[targetio.Input]{ring: i.targets.Ring()},
		classify:  &ringWriter[session.ClassifyRequest]{ring: i.classify.input},
		control:   i.controlDuty.input,
		telemetry: i.telemetry,
	}
	config := session.DefaultConfig()
	config.Domain = i.settings.Domain
	config.Bounds.CallerIdle = i.settings.CallerIdleTimeout
	config.Bounds.ReplicaWait = i.settings.ReplicaWait
	config.Bounds.Confirm = i.settings.ConfirmBound
	config.Bounds.ConnectionOpen = i.settings.TargetConnectTimeout
	config.Bounds.ConnectionIdle = i.settings.TargetIdleClose
	config.RetryFraction = i.settings.RetryBudget
	config.TraceSeed = i.traceSeed()
	config.AckAtCommit = i.settings.AcknowledgeAtCommit
	config.Policy = session.Policy(i.settings.ReadPolicy)
	config.Queue = fairqueue.Kind(i.settings.Queue)
	engine, err := session.New(config, out)
	if err != nil {
		return err
	}
	i.engine = engine
	i.sessionDuty.engine = engine
	i.sessionDuty.writers = []outputWriter{out.callers, out.targets, out.classify}
	return nil
}

// traceSeed returns a random seed, so that different runs create different trace
// IDs. It returns 0 when no exporter is configured.
func (i *Instance) traceSeed() uint64 {
	if !i.telemetry.Tracing() {
		return 0
	}
	return rand.Uint64() | 1
}

// buildControl creates the control engine and connects it to the rings of the other duties.
func (i *Instance) buildControl() error {
	definitions, err := loadControlCharts()
	if err != nil {
		return err
	}
	out := i.controlOutputs()
	timing := failover.DefaultConfig()
	timing.Heartbeat = i.settings.HeartbeatPeriod
	timing.DetectionBound = i.settings.DetectionBound
	plan, err := stopplan.New(i.settings.DrainBound, 0)
	if err != nil {
		return err
	}
	engine, err := control.New(control.Config{
		Self:     i.self,
		Seeds:    i.settings.Seeds,
		Failover: timing,
		Share: share.Settings{
			MaxInstances: i.settings.MaxInstances, FloorFraction: i.settings.FloorFraction,
			CutoffBound: i.settings.CutoffBound, CutoffMargin: share.DefaultCutoffMargin,
			AcknowledgementTimeout: share.DefaultAcknowledgementTimeout,
		},
		LeaseRenewInterval: i.settings.LeaseRenew,
		CallTimeout:        i.settings.PlatformCallTimeout,
		Stop:               plan,
		KeyStaleness:       i.settings.KeyStalenessBound,
	}, definitions, out)
	if err != nil {
		return err
	}
	i.control = engine
	i.controlDuty.engine = engine
	i.controlDuty.writers = []outputWriter{out.rpc, out.calls, out.watches, out.callers}
	return nil
}

// loadControlCharts loads the state charts of the control engine.
func loadControlCharts() (control.Charts, error) {
	var c control.Charts
	targets := map[string]**chart.Definition{
		"group": &c.Group, "member": &c.Member, "share": &c.Share,
		"lease": &c.Lease, "instance": &c.Instance, "configuration": &c.Configuration, "key": &c.Key,
	}
	for name, target := range targets {
		definition, err := charts.Load(name)
		if err != nil {
			return c, err
		}
		*target = definition
	}
	return c, nil
}

// buildAdmin binds the administration address.
func (i *Instance) buildAdmin() error {
	server, err := admin.New(i.settings.AdminAddress, i.settings.OperatorKeyHash, i)
	if err != nil {
		return err
	}
	i.admin = server
	return nil
}

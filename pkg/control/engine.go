package control

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/stopplan"
)

// ErrCharts reports charts that do not match the guards, actions and timeouts of
// the code.
var ErrCharts = eris.New("state charts do not match the code")

// Identity identifies this instance.
type Identity struct {
	Instance    core.InstanceID
	Domain      core.Domain
	PeerAddress string
}

// Config holds the settings of the control duty.
type Config struct {
	Self     Identity
	Failover failover.Config
	Share    share.Settings
	// Seeds are peer addresses. An instance requests the catalogue and the share
	// table from them if the platform is unavailable when it starts.
	Seeds []string
	// LeaseRenewInterval is the period of lease renewals.
	LeaseRenewInterval time.Duration
	// CallTimeout bounds one platform call.
	CallTimeout time.Duration
	// Stop holds the times of a planned stop, counted from the request to the callers to
	// reconnect.
	Stop stopplan.Plan
	// KeyStaleness bounds how long keys that may have been revoked are accepted.
	KeyStaleness time.Duration
}

// Charts are the chart definitions that New compiles.
type Charts struct {
	Group         *chart.Definition
	Member        *chart.Definition
	Share         *chart.Definition
	Lease         *chart.Definition
	Instance      *chart.Definition
	Configuration *chart.Definition
	Key           *chart.Definition
}

// Engine holds the state of all decisions of the control duty. It is not safe for
// concurrent use; the control duty is its only caller.
type Engine struct {
	config        Config
	out           Outputs
	now           time.Time
	timers        schedule
	platformCalls callQueue
	rules         *failover.Rules
	groups        map[core.DatabaseName]*group
	configuration *configuration
	holder        *share.Holder
	allocator     *share.Allocator
	cache         recordCache
	lease         *lease
	lifecycle     *lifecycle
	shares        shares
	peers         *peers
	failovers     []failover.Report
}

// New returns an engine that has sent no request yet. It returns a wrapped
// ErrCharts if a chart does not match the code.
func New(config Config, charts Charts, out Outputs) (*Engine, error) {
	e := &Engine{
		config: config,
		out:    out,
		groups: map[core.DatabaseName]*group{},
		holder: share.NewHolder(share.Identity{Instance: config.Self.Instance, PeerAddress: config.Self.PeerAddress}, config.Share),
		cache:  newRecordCache(),
	}
	if err := e.initModules(charts); err != nil {
		return nil, eris.Wrap(ErrCharts, err.Error())
	}
	e.peers = newPeers(e)
	return e, nil
}

// initModules creates the modules that interpret a chart.
func (e *Engine) initModules(charts Charts) error {
	var err error
	if e.rules, err = failover.NewRules(e.config.Failover, charts.Group, charts.Member); err != nil {
		return err
	}
	if e.allocator, err = share.NewAllocator(charts.Share, e.config.Share); err != nil {
		return err
	}
	if e.configuration, err = newConfiguration(e, charts.Configuration, charts.Key); err != nil {
		return err
	}
	if e.lease, err = newLease(e, charts.Lease); err != nil {
		return err
	}
	e.lifecycle, err = newLifecycle(e, charts.Instance)
	return err
}

// Start sends the first requests to the platform and arms the periodic work.
func (e *Engine) Start(now time.Time) {
	e.now = now
	e.cache.start(e)
	e.lease.start()
	e.lease.fire(chart.TimeoutEvent)
	e.lifecycle.start()
	e.shares.start(e)
	e.configuration.start()
	e.peers.start()
}

// Handle processes one input.
func (e *Engine) Handle(now time.Time, in Input) {
	e.now = now
	switch m := in.(type) {
	case FromMember:
		e.updateGroup(m.Database, func(g *failover.Group) { g.MemberResponded(now, m.Response) })
	case FromMemberFailed:
		e.updateGroup(m.Database, func(g *failover.Group) { g.MemberFailed(now, m.Failed) })
	case SessionReport:
		e.handleSessionReport(m.Report)
	case FromStore:
		e.handlePlatformResponse(m.Response)
	case FromPeer:
		e.peers.handleRequest(m)
	case FromPeerResponse:
		e.peers.callCompleted(m)
	case FromOperator:
		e.handleOperatorRequest(m)
	case StopRequested:
		e.lifecycle.fire("stop_requested")
	}
}

// Tick runs all timers that are due.
func (e *Engine) Tick(now time.Time) {
	e.now = now
	e.timers.run(now)
}

// NextDeadline returns when Tick is due next. It reports false if no timer is
// armed.
func (e *Engine) NextDeadline() (time.Time, bool) {
	return e.timers.next()
}

// handleSessionReport passes a report of the session duty to the module that
// needs it.
func (e *Engine) handleSessionReport(r session.ControlReport) {
	switch m := r.(type) {
	case session.FloorRequest:
		e.updateGroup(m.Database, func(g *failover.Group) { g.RequestFloor(e.now, m) })
	case session.ConfirmRequest:
		e.updateGroup(m.Database, func(g *failover.Group) { g.RequestConfirm(e.now, m) })
	case session.AppliedRequest:
		e.updateGroup(m.Database, func(g *failover.Group) { g.RequestApplied(e.now, m) })
	case session.MemberSuspected:
		e.updateGroup(m.Database, func(g *failover.Group) { g.SuspectMember(e.now, m) })
	case session.Demand:
		e.shares.demand = m
	case session.ShareApplied:
		e.shares.shareApplied(e, m)
	case session.Drained:
		e.lifecycle.fire("drained")
	case session.StopProgress:
		e.log("stop_progress", "sessions that are open during the planned stop", m.Fields())
	}
}

func (e *Engine) log(event, message string, fields map[string]any) {
	e.out.Log(LogEvent{Event: event, Message: message, Fields: fields})
}

func (e *Engine) warn(event, message string, fields map[string]any) {
	e.out.Log(LogEvent{Event: event, Message: message, Warning: true, Fields: fields})
}

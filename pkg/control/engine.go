package control

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

// ErrCharts reports charts that do not fit the code.
var ErrCharts = eris.New("state charts do not fit the code")

// Identity names this instance.
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
	// Seeds are peer addresses that are asked for the catalogue and the share
	// table when the platform is down at start.
	Seeds []string
	// LeaseRenew is the period of lease renewals.
	LeaseRenew time.Duration
	// CallTimeout bounds one platform call.
	CallTimeout time.Duration
	// DrainBound bounds a planned stop.
	DrainBound time.Duration
	// KeyStaleness bounds the work for keys that may have been revoked.
	KeyStaleness time.Duration
}

// Charts are the definitions that New binds.
type Charts struct {
	Group         *chart.Definition
	Member        *chart.Definition
	Share         *chart.Definition
	Lease         *chart.Definition
	Instance      *chart.Definition
	Configuration *chart.Definition
	Key           *chart.Definition
}

// Engine is the decision state of the control duty.
type Engine struct {
	config    Config
	out       Outputs
	now       time.Time
	timers    schedule
	calls     callQueue
	rules     *failover.Rules
	groups    map[core.DatabaseName]*group
	settings  *configuration
	holder    *share.Holder
	allocator *share.Allocator
	mirror    mirror
	lease     *lease
	life      *life
	shares    shares
	peers     *peers
	failovers []failover.Report
}

// New returns an engine that has asked nothing yet. It returns ErrCharts,
// wrapped, when a chart does not fit.
func New(config Config, charts Charts, out Outputs) (*Engine, error) {
	e := &Engine{
		config: config,
		out:    out,
		groups: map[core.DatabaseName]*group{},
		holder: share.NewHolder(share.Identity{Instance: config.Self.Instance, PeerAddress: config.Self.PeerAddress}, config.Share),
		mirror: newMirror(),
	}
	if err := e.bind(charts); err != nil {
		return nil, eris.Wrap(ErrCharts, err.Error())
	}
	e.peers = newPeers(e)
	return e, nil
}

func (e *Engine) bind(charts Charts) error {
	var err error
	if e.rules, err = failover.NewRules(e.config.Failover, charts.Group, charts.Member); err != nil {
		return err
	}
	if e.allocator, err = share.NewAllocator(charts.Share, e.config.Share); err != nil {
		return err
	}
	if e.settings, err = newConfiguration(e, charts.Configuration, charts.Key); err != nil {
		return err
	}
	if e.lease, err = newLease(e, charts.Lease); err != nil {
		return err
	}
	e.life, err = newLife(e, charts.Instance)
	return err
}

// Start asks the platform for everything and arms the periodic work.
func (e *Engine) Start(now time.Time) {
	e.now = now
	e.mirror.start(e)
	e.lease.start()
	e.lease.fire(chart.TimeoutEvent)
	e.life.start()
	e.shares.start(e)
	e.settings.start()
	e.peers.start()
}

// Handle processes one input.
func (e *Engine) Handle(now time.Time, in Input) {
	e.now = now
	switch m := in.(type) {
	case FromMember:
		e.decide(m.Database, func(g *failover.Group) { g.MemberAnswered(now, m.Answer) })
	case FromMemberFailed:
		e.decide(m.Database, func(g *failover.Group) { g.MemberFailed(now, m.Failed) })
	case FromSession:
		e.sessionReport(m.Report)
	case FromStore:
		e.storeAnswer(m.Answer)
	case FromPeer:
		e.peers.request(m)
	case FromPeerAnswer:
		e.peers.answer(m)
	case FromOperator:
		e.operatorRequest(m)
	case StopRequested:
		e.life.fire("stop_requested")
	}
}

// Tick runs the work that is due.
func (e *Engine) Tick(now time.Time) {
	e.now = now
	e.timers.run(now)
}

// NextDeadline returns when Tick is due.
func (e *Engine) NextDeadline() (time.Time, bool) {
	return e.timers.next()
}

func (e *Engine) sessionReport(r session.ControlReport) {
	switch m := r.(type) {
	case session.NeedFloor:
		e.decide(m.Database, func(g *failover.Group) { g.NeedFloor(e.now, m) })
	case session.NeedConfirm:
		e.decide(m.Database, func(g *failover.Group) { g.NeedConfirm(e.now, m) })
	case session.NeedApplied:
		e.decide(m.Database, func(g *failover.Group) { g.NeedApplied(e.now, m) })
	case session.SuspectMember:
		e.decide(m.Database, func(g *failover.Group) { g.SuspectMember(e.now, m) })
	case session.Demand:
		e.shares.demand = m
	case session.ShareApplied:
		e.shares.applied(e, m)
	case session.Drained:
		e.life.fire("drained")
	}
}

func (e *Engine) log(event, message string, fields map[string]any) {
	e.out.Log(LogEvent{Event: event, Message: message, Fields: fields})
}

func (e *Engine) warn(event, message string, fields map[string]any) {
	e.out.Log(LogEvent{Event: event, Message: message, Warning: true, Fields: fields})
}

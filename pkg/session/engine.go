package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/route"
)

// Engine holds the state of the session duty. It has no I/O and no clock: the
// time comes with each call and must not go backwards. It is not safe for
// concurrent use.
type Engine struct {
	cfg    Config
	charts *chartTables
	outbox outbox
	now    time.Time
	timers timerq.Queue[timed]

	catalogue *catalogue.Catalogue
	entries   map[core.EntryName]*entry
	databases map[core.DatabaseName]*database
	accounts  map[core.AccountName]*account
	callers   map[CallerID]*caller
	targets   map[TargetID]*target

	// homes are the homes of the accounts, peers what is known of the instances
	// that are some.
	homes map[core.AccountName]Home
	peers map[PeerAddress]*homePeer
	// origins are the instances whose callers' requests run here.
	origins map[core.InstanceID]*origin
	// instances are the registered runs of instances, with the time at which each
	// was first seen.
	instances map[core.InstanceID]time.Time
	// remotes are the callers of other instances, opening the one that is being
	// admitted.
	remotes          map[RemoteID]CallerID
	lastRemote       CallerID
	admittingRemote  *remoteCaller
	remoteSweepTimer timer
	// transactionIdle bounds the pauses of callers in a transaction.
	transactionIdle time.Duration
	// anonymous is the account of callers without a key on open entries that
	// belong to no account.
	anonymous    *account
	shares       map[core.AccountName]RateShare
	connections  map[core.DatabaseName]int
	idleTimeouts map[core.DatabaseName]time.Duration
	openHomes    map[core.DatabaseName]Home
	// homeAddresses are the other instances that are homes, in order.
	homeAddresses   []PeerAddress
	shareValidUntil time.Time
	// grant and shareRevision identify the share in force.
	grant         uint64
	shareRevision uint64
	// toCheck are the members to serve at the end of the input.
	dispatchQueue []*member
	// held are the databases with reports that control had no room for.
	pendingReports    []*database
	targetStates      targetStates
	keysValidUntil    time.Time
	stopping          bool
	drained           bool
	drainTimer        timer
	demandTimer       timer
	pendingAdmissions pendingAdmissions
	demandSince       time.Time
	retryBudget       retryBudget
	sequence          uint64
	// sampled counts answers, for the sample that is noted.
	answerCount uint64
	lastTarget  TargetID
	policy      route.Policy
	candidates  []route.Candidate
	metrics     Metrics
}

// timed is anything with a deadline in the engine's queue.
type timed interface {
	timeOut()
}

// timer is a deadline that calls a method of the engine.
type timer struct {
	item timerq.Item[timed]
	run  func()
}

func (t *timer) timeOut() {
	t.run()
}

// New returns an engine that sends its commands to out. It returns a
// *ConfigError for an unusable configuration, and the errors of the chart
// loader for a chart that does not fit the code.
func New(cfg Config, out Outputs) (*Engine, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	charts, err := loadTables(&cfg.Bounds)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		cfg:          cfg,
		charts:       charts,
		targetStates: charts.targetStates(),
		outbox:       outbox{out: out},
		entries:      map[core.EntryName]*entry{},
		databases:    map[core.DatabaseName]*database{},
		accounts:     map[core.AccountName]*account{},
		callers:      map[CallerID]*caller{},
		targets:      map[TargetID]*target{},
		peers:        map[PeerAddress]*homePeer{},
		origins:      map[core.InstanceID]*origin{},
		instances:    map[core.InstanceID]time.Time{},
		remotes:      map[RemoteID]CallerID{},

		transactionIdle: cfg.Bounds.TransactionIdle,

		retryBudget: retryBudget{fraction: cfg.RetryFraction, limit: cfg.RetryBurst},
		policy:      newPolicy(&cfg),
		metrics:     newMetrics(),
	}
	e.anonymous = e.newAccount("")
	e.anonymous.unlimited = true
	e.drainTimer.run = e.endAllCallers
	e.drainTimer.item.Value = &e.drainTimer
	e.remoteSweepTimer.run = e.dropIdleRemotes
	e.remoteSweepTimer.item.Value = &e.remoteSweepTimer
	e.pendingAdmissions.timer.run = e.endAdmissionWait
	e.pendingAdmissions.timer.item.Value = &e.pendingAdmissions.timer
	e.demandTimer.run = e.reportDemand
	e.demandTimer.item.Value = &e.demandTimer
	return e, nil
}

func newPolicy(cfg *Config) route.Policy {
	switch cfg.Policy {
	case PolicyRoundRobin:
		return &route.RoundRobin{}
	case PolicyPrimary:
		return route.PrimaryOnly{}
	}
	latency := route.Latency{Slow: cfg.SlowMember}
	return route.NewFactors(route.Lag{}, route.Slots{}, route.Domain{}, latency)
}

// Handle applies one input.
func (e *Engine) Handle(now time.Time, in Input) {
	e.now = now
	if e.demandSince.IsZero() {
		e.startDemandReports()
	}
	e.handle(in)
	e.runDispatch()
	e.finishStop()
}

func (e *Engine) handle(in Input) {
	switch in := in.(type) {
	case CallerRequest:
		e.callerRequest(in)
	case TargetReady:
		e.targetReady(in)
	case TargetData:
		e.targetData(in)
	case ClassifyResult:
		e.applyClassification(in)
	case ConfirmedUpTo:
		e.confirmedUpTo(in)
	case CallerOpened:
		e.callerOpened(in)
	case CallerClosed:
		e.callerClosed(in)
	case CallerCancel:
		e.callerCancel(in)
	case CallerBlocked:
		e.callerBlocked(in.Caller, true)
	case CallerDrained:
		e.callerBlocked(in.Caller, false)
	case TargetOpened:
		e.targetOpened(in)
	case TargetClosed:
		e.targetClosed(in)
	case RemoteRequest:
		e.remoteRequest(in)
	case RelayResult:
		e.relayResult(in)
	case RelayLost:
		e.relayLost(in)
	case RoomAsked:
		e.releaseUnusedConnection(in.Member)
	case PeerAlive:
		e.peerAlive(in.Address)
	case HeardAsked:
		e.heardAsked(in)
	case OriginAlive:
		e.originAlive(in.Instance)
	case RemoteGone:
		e.remoteGone(in)
	default:
		e.handleControl(in)
	}
}

func (e *Engine) handleControl(in Input) {
	switch in := in.(type) {
	case GroupView:
		e.groupView(in)
	case FloorAnswer:
		e.floorAnswer(in)
	case CatalogueInForce:
		e.catalogueInForce(in.Catalogue)
	case ShareInForce:
		e.shareInForce(in)
	case Inspect:
		e.answerInspect(in)
	case LimitsInForce:
		if in.TransactionIdle > 0 {
			e.transactionIdle = in.TransactionIdle
		}
	case HomesInForce:
		e.homesInForce(in)
	case KeysRevoked:
		e.keysRevoked(in.Keys)
	case KeysTrusted:
		e.keysValidUntil = in.Until
	case ReleaseIdle:
		e.releaseIdle()
	case Drain:
		e.startStop()
	}
}

// Tick applies every deadline that is due and offers held commands again.
func (e *Engine) Tick(now time.Time) {
	e.now = now
	e.Flush()
	for {
		item, ok := e.timers.PopDue(now)
		if !ok {
			break
		}
		item.Value.timeOut()
	}
	e.runDispatch()
	e.finishStop()
}

// NextDeadline returns when Tick is needed next, if at all.
func (e *Engine) NextDeadline() (time.Time, bool) {
	next, ok := e.timers.Next()
	if !e.holdsOutput() {
		return next, ok
	}
	retry := e.now.Add(e.cfg.Bounds.OutputRetry)
	if !ok || retry.Before(next) {
		return retry, true
	}
	return next, true
}

func (e *Engine) holdsOutput() bool {
	return len(e.outbox.callers) > 0 || len(e.outbox.targets) > 0 || len(e.pendingReports) > 0
}

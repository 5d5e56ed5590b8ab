package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/route"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session/retry"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session/usage"
)

// Engine holds the state of the session duty. It has no I/O and no clock: the
// time is passed to each call and must not go backwards. It is not safe for
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

	// homes holds the homes of the accounts, peers the state of the instances
	// that are homes.
	homes map[core.AccountName]Home
	peers map[PeerAddress]*homePeer
	// origins measures what callers of other instances use at homes on this one.
	origins *usage.Origins
	// instances holds the registered instances, where each run of an instance
	// has its own ID, with the time at which each was first seen.
	instances map[core.InstanceID]time.Time
	// remotes holds the callers of other instances; admittingRemote is the one
	// that is being admitted.
	remotes          map[RemoteID]CallerID
	remoteEnds       map[RemoteID]remoteEnd
	lastRemote       CallerID
	admittingRemote  *remoteCaller
	remoteSweepTimer timer
	// transactionIdle bounds the pauses of callers inside a transaction.
	transactionIdle time.Duration
	// anonymous is the account of callers without a key on open entries that
	// belong to no account.
	anonymous      *account
	shares         map[core.AccountName]RateShare
	connections    map[core.DatabaseName]int
	idleTimeouts   map[core.DatabaseName]time.Duration
	anonymousHomes map[core.DatabaseName]Home
	// homeAddresses holds the sorted addresses of the other instances that are
	// homes.
	homeAddresses   []PeerAddress
	shareValidUntil time.Time
	// rateWindow is the time over which the rates are enforced.
	rateWindow time.Duration
	// grant and shareRevision identify the current share.
	grant         uint64
	shareRevision uint64
	// dispatchQueue holds the members to dispatch at the end of the current
	// input.
	dispatchQueue []*member
	// pendingReports holds the databases with reports that found control's ring
	// full.
	pendingReports []*database
	targetStates   targetStates
	keysValidUntil time.Time
	stopping       bool
	stop           stopState
	primaryLease   primaryLease
	// nextWithdrawal is the earliest end of sending of a member that is not withdrawn, zero
	// if there is none.
	nextWithdrawal time.Time
	// primaryWithheld holds the databases with GroupView.PrimaryWithheld.
	primaryWithheld   map[core.DatabaseName]bool
	demandTimer       timer
	pendingAdmissions pendingAdmissions
	demandSince       time.Time
	retryBudget       retry.Budget
	sequence          uint64
	// answerCount counts answers, for sampling the decisions that are logged.
	answerCount uint64
	lastTarget  TargetID
	policy      route.Policy
	candidates  []route.Candidate
	metrics     Metrics
}

// timed is implemented by everything that has a deadline in the engine's timer
// queue.
type timed interface {
	timeOut()
}

// timer is a deadline that calls a function.
type timer struct {
	item timerq.Item[timed]
	run  func()
}

func (t *timer) timeOut() {
	t.run()
}

// New returns an engine that sends its commands to out. It returns a
// *ConfigError for an unusable configuration, and the errors of the chart
// loader for a chart that does not match the code.
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
		origins:      usage.NewOrigins(peerUseWindow - 2*peerProbeInterval),
		instances:    map[core.InstanceID]time.Time{},
		remotes:      map[RemoteID]CallerID{},
		remoteEnds:   map[RemoteID]remoteEnd{},

		primaryWithheld: map[core.DatabaseName]bool{},

		transactionIdle: cfg.Bounds.TransactionIdle,

		retryBudget: retry.NewBudget(cfg.RetryFraction, cfg.RetryBurst),
		policy:      newPolicy(&cfg),
		metrics:     newMetrics(),
	}
	e.anonymous = e.newAccount("")
	e.anonymous.unlimited = true
	e.stop.retry.run = e.finishStop
	e.stop.retry.item.Value = &e.stop.retry
	e.remoteSweepTimer.run = e.dropIdleRemotes
	e.remoteSweepTimer.item.Value = &e.remoteSweepTimer
	e.pendingAdmissions.timer.run = e.endAdmissionWait
	e.pendingAdmissions.timer.item.Value = &e.pendingAdmissions.timer
	e.primaryLease.timer.run = e.checkPrimaryLease
	e.primaryLease.timer.item.Value = &e.primaryLease.timer
	e.demandTimer.run = e.reportDemand
	e.demandTimer.item.Value = &e.demandTimer
	return e, nil
}

// newPolicy returns the routing policy of the configuration.
func newPolicy(cfg *Config) route.Policy {
	switch cfg.Policy {
	case PolicyRoundRobin:
		return &route.RoundRobin{}
	case PolicyPrimary:
		return route.PrimaryOnly{}
	}
	latency := route.Latency{Limit: cfg.SlowMember}
	return route.NewFactors(route.Lag{}, route.Slots{}, route.Domain{}, latency)
}

// Handle applies one input at the given time.
func (e *Engine) Handle(now time.Time, in Input) {
	e.now = now
	if e.demandSince.IsZero() {
		e.startDemandReports()
	}
	e.checkPrimaryLease()
	e.checkWithdrawals()
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
	case CallerWritable:
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
	case ReleaseConnectionRequested:
		e.releaseUnusedConnection(in.Member)
	case PeerProbeReply:
		e.peerProbeReply(in.Address)
	case LivenessQuery:
		e.livenessQuery(in)
	case OriginHeartbeat:
		e.origins.RecordMessage(in.Instance, e.now)
	case RemoteClosed:
		e.remoteClosed(in)
	default:
		e.handleControl(in)
	}
}

// handleControl applies the inputs that come from control.
func (e *Engine) handleControl(in Input) {
	switch in := in.(type) {
	case GroupView:
		e.groupView(in)
	case FloorResult:
		e.floorResult(in)
	case CatalogueUpdate:
		e.catalogueUpdate(in)
	case ShareUpdate:
		e.shareUpdate(in)
	case Inspect:
		e.answerInspect(in)
	case LimitsUpdate:
		if in.TransactionIdle > 0 {
			e.transactionIdle = in.TransactionIdle
		}
	case HomesUpdate:
		e.homesUpdate(in)
	case homeMove:
		in.apply(e)
	case KeysRevoked:
		e.keysRevoked(in.Keys)
	case MemberAlive:
		e.memberAlive(in)
	case KeysValidUntil:
		e.keysValidUntil = in.Time
	case PrimaryLease:
		e.renewPrimaryLease(in)
	case PrimaryRevoked:
		e.revokePrimary(in)
	case PrimaryPromoted:
		e.primaryPromoted(in)
	case ReleaseIdle:
		e.releaseIdle()
	case Drain:
		e.startStop(in)
	case EndTransactions:
		e.endTransactions()
	case EndStatements:
		e.endStatements()
	}
}

// Tick runs every timer that is due, and offers the commands again that found a
// full ring.
func (e *Engine) Tick(now time.Time) {
	e.now = now
	e.checkPrimaryLease()
	e.checkWithdrawals()
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

// NextDeadline returns the time at which Tick is needed next; false if there is
// none.
func (e *Engine) NextDeadline() (time.Time, bool) {
	next, ok := e.timers.Next()
	if !e.outputPending() {
		return next, ok
	}
	retry := e.now.Add(e.cfg.Bounds.OutputRetry)
	if !ok || retry.Before(next) {
		return retry, true
	}
	return next, true
}

// outputPending reports whether commands or reports wait for free space in a
// ring.
func (e *Engine) outputPending() bool {
	return len(e.outbox.callers) > 0 || len(e.outbox.targets) > 0 || len(e.pendingReports) > 0
}

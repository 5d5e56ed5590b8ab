package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/stopplan"
)

// Config configures an Engine.
type Config struct {
	Self   Instance
	Bounds Bounds
	Limits Limits
}

// Limits are set by the installation and may change while the instance runs. As an
// Input they replace the current limits.
type Limits struct {
	// TargetDrain is how long a draining target may still get new work.
	TargetDrain time.Duration
	// EvacuationBound is the time after a request to evacuate a failure domain within
	// which its members get no more requests; zero if such requests are ignored.
	EvacuationBound time.Duration
	// RateWindow, RateOverage and RateSlack define how rates are enforced: in any
	// window of length RateWindow, the requests of an account may exceed its rate
	// and burst by the fraction RateOverage plus RateSlack requests.
	RateWindow  time.Duration
	RateOverage float64
	RateSlack   float64
}

func (Limits) fleetInput() {}

// Bounds are the engine's time limits.
type Bounds struct {
	// BalancerNotice is how long the balancer may keep sending callers to an
	// instance after it became not ready.
	BalancerNotice time.Duration
	// Stop holds the times of a planned stop.
	Stop stopplan.Plan
	// ReregistrationGrace is the grace period after a store outage: members and
	// instances that the store lacks are kept this long so that they can
	// register again.
	ReregistrationGrace time.Duration
	// PromotionStepTimeout limits one step of a promotion, PromotionRetryDelay is
	// the delay before the next attempt, and TakeoverTimeout limits the wait for the
	// new primary to announce itself.
	PromotionStepTimeout time.Duration
	PromotionRetryDelay  time.Duration
	TakeoverTimeout      time.Duration
	// PrimaryLease is how long an instance uses primaries after its last contact. It is
	// zero where the platform stops a replaced primary.
	PrimaryLease time.Duration
}

// Engine holds the state of the fleet duty. It performs no I/O, reads no clock, and
// is not safe for concurrent use.
type Engine struct {
	config Config
	out    Outputs
	now    time.Time
	timers timerq.Queue[func()]

	// lifecycle is the compiled chart "hosted_instance", state its current state.
	lifecycle      *chart.Table[*Engine]
	events         lifecycleEvents
	state          chart.State
	lifecycleTimer timerq.Item[func()]

	configuration *Configuration
	members       map[core.MemberID]*member
	departed      departedMembers
	// groups holds the members of each group, sorted by member ID.
	groups    map[core.DatabaseName][]*member
	instances map[string]*instance
	topology  topology
	// storeLost is set while the store cannot be read. storeRestoredAt is when it
	// last became readable.
	storeLost       bool
	storeRestoredAt time.Time
	// changesSince is the time after which the changes being applied were made, as
	// in StoreSnapshot.Since.
	changesSince time.Time
	// changesFrom is where the records being applied were read.
	changesFrom recordSource
	// registeredAt is when this instance last wrote its registration, as far as the engine
	// knows.
	registeredAt time.Time
	// configurationRequestedAt is when another instance's configuration was last requested.
	configurationRequestedAt time.Time

	sweepTimer timerq.Item[func()]
	// publishedVersion counts the published catalogues.
	publishedVersion uint64
	shares           shares
	isolation        isolationDetector
	primaryLease     primaryLease
	feed             feed
	sourceSelector   sourceSelector
	homes            homes
	handovers        handovers

	// These chart states are compared with in code.
	settledState  chart.State
	standbyState  chart.State
	revokingState chart.State
	awaitingState chart.State
	servingState  chart.State
	// changeUnderWay holds the states of the chart "succession" in which a change must
	// be completed.
	changeUnderWay map[chart.State]bool

	primaryChangeTable  *chart.Table[*primaryChange]
	primaryChangeEvents primaryChangeEvents
	primaryChanges      map[core.DatabaseName]*primaryChange
	// lastPrimaries holds the newest primary of each group. Its record may have ended since.
	lastPrimaries map[core.DatabaseName]Target
	// successions holds the recorded changes of primary.
	successions map[core.DatabaseName]Succession
	// terms holds the newest term that each group is known to have reached.
	terms map[core.DatabaseName]core.Term
	// recordedTerms holds the terms that the store holds.
	recordedTerms map[core.DatabaseName]GroupTerm
	// polls are the liveness polls in progress.
	polls map[session.LivenessSubject]*livenessPoll
	// evacuations holds the requests to evacuate failure domains.
	evacuations map[core.Domain]*evacuation
}

// Charts are the state charts that the engine interprets.
type Charts struct {
	Instance   *chart.Definition
	Succession *chart.Definition
	News       *chart.Definition
	// HomeHandover may be nil: homes then end with the registration.
	HomeHandover *chart.Definition
}

// New returns an engine. It returns the chart loader's error if a chart does not
// match the guards, actions and timeouts registered in code.
func New(config Config, charts Charts, out Outputs) (*Engine, error) {
	e := &Engine{
		config:    config,
		out:       out,
		members:   map[core.MemberID]*member{},
		departed:  departedMembers{},
		groups:    map[core.DatabaseName][]*member{},
		instances: map[string]*instance{},

		primaryChanges: map[core.DatabaseName]*primaryChange{},
		lastPrimaries:  map[core.DatabaseName]Target{},
		successions:    map[core.DatabaseName]Succession{},
		terms:          map[core.DatabaseName]core.Term{},
		recordedTerms:  map[core.DatabaseName]GroupTerm{},
		polls:          map[session.LivenessSubject]*livenessPoll{},
		evacuations:    map[core.Domain]*evacuation{},
	}
	if err := e.loadPrimaryChange(charts.Succession); err != nil {
		return nil, err
	}
	table, err := chart.Compile(charts.Instance, e.lifecycleRegistry())
	if err != nil {
		return nil, err
	}
	e.lifecycle = table
	e.state = table.Initial()
	e.servingState = table.StateID("serving")
	e.events = lifecycleEvents{
		configured: table.Event("configured"), stop: table.Event("stop"),
		drained: table.Event("drained"), cutOff: table.Event("cut_off"),
		reconnected: table.Event("reconnected"), timedOut: table.Event(chart.TimeoutEvent),
	}
	e.lifecycleTimer.Value = func() { e.fireLifecycle(e.events.timedOut) }
	e.sweepTimer.Value = e.sweep
	e.shares.init(e)
	e.isolation.init(e)
	e.primaryLease.init(e)
	e.feed.init(e)
	if err := e.sourceSelector.load(e, charts.News); err != nil {
		return nil, err
	}
	e.homes.init(e)
	if err := e.handovers.load(e, charts.HomeHandover); err != nil {
		return nil, err
	}
	return e, nil
}

// Handle applies one input at the given time.
func (e *Engine) Handle(now time.Time, in Input) {
	e.now = now
	switch in := in.(type) {
	case StoreSnapshot:
		e.changesSince, e.changesFrom = in.Since, sourceOf(in.Feeder)
		e.applySnapshot(in.Snapshot)
		e.checkOwnRegistration(in.AsOf)
		e.feed.reset(in.Snapshot.Revision, in.AsOf)
		e.sourceSelector.reselect()
		e.primaryLease.storeRead(in.AsOf)
	case StoreChanges:
		e.changesSince, e.changesFrom = in.Since, sourceOf(in.Feeder)
		e.applyChanges(in.Changes)
		e.checkOwnRegistration(in.AsOf)
		e.feed.record(in.Changes, in.Next, in.AsOf)
		if len(in.Changes) > 0 {
			e.sourceSelector.reselect()
		}
		e.primaryLease.storeRead(in.AsOf)
	case FeedRequest:
		e.feed.handleRequest(in)
	case FeederFailed:
		e.sourceSelector.feederFailed(in)
	case StoreUnavailable:
		e.handleStoreLost(in.Reason)
	case SessionReport:
		e.handleSessionReport(in.Report)
	case ProbeResponse:
		e.isolation.responses++
		e.primaryLease.instanceResponded(in.SentAt)
	case RevocationConfirmed:
		e.revocationConfirmed(in)
	case LivenessReport:
		e.handleLivenessReport(in)
	case ConfigurationRequest:
		e.out.SendConfiguration(in.ReplyTo, e.configuration)
	case ConfigurationReceived:
		e.configurationReceived(in.Configuration)
	case LeaseUpdated:
		e.leaseUpdated(in)
	case HandoverRequested:
		e.handovers.requested(in)
	case HandoverAnswered:
		e.handovers.answered(in)
	case HomeTransferred:
		e.handovers.transferred(in)
	case JobDone:
		e.jobDone(&in)
	case Inspect:
		in.Reply <- e.inspect()
	case Limits:
		e.setLimits(in)
	case StopRequested:
		e.out.Log(LogEvent{Event: "stop_requested", Message: "planned stop requested"})
		e.fireLifecycle(e.events.stop)
	}
}

// Tick runs every timer that is due at the given time.
func (e *Engine) Tick(now time.Time) {
	e.now = now
	for {
		item, due := e.timers.PopDue(now)
		if !due {
			return
		}
		item.Value()
	}
}

// NextDeadline returns when Tick must be called next, and false if no timer is
// armed.
func (e *Engine) NextDeadline() (time.Time, bool) {
	return e.timers.Next()
}

// handleSessionReport applies a report of the session duty.
func (e *Engine) handleSessionReport(report session.ControlReport) {
	switch r := report.(type) {
	case session.Drained:
		e.fireLifecycle(e.events.drained)
	case session.StopProgress:
		e.logStopProgress(r)
	case session.Demand:
		e.homes.handleDemand(r)
		e.isolation.handleDemand(r)
	case session.HomeUnresponsive:
		e.isolation.homeUnresponsive()
		if e.homes.hasHomeAt(r.Address) {
			e.pollHome(r.Address)
		}
	case session.NewerVersion:
		e.requestConfiguration(r)
	case session.PeerConnectionRefused:
		e.homes.allowReplacement(r.Address, "the home's host refuses connections", endedReplaceWindow)
	case session.MemberSuspected:
		// A member of an evacuated failure domain gets no status requests either.
		if m := e.members[r.Member]; m == nil || !e.withdrawn(m) {
			e.checkSuspect(r)
		}
	case session.MemberResponded:
		e.memberResponded(r.Member)
	case session.AccountHeld:
		e.handovers.held(r)
	case session.TermObserved:
		e.termObserved(r.Database, r.Term)
	}
}

// handleStoreLost records that the store cannot be read. Repeated reports are
// ignored.
func (e *Engine) handleStoreLost(reason string) {
	if e.storeLost {
		return
	}
	e.storeLost = true
	e.feed.storeLost()
	e.out.Log(LogEvent{Warning: true, Event: "store_lost", Message: "the store cannot be read",
		Fields: map[string]any{"reason": reason}})
	e.isolation.storeLost()
}

// setLimits applies the limits of reloaded settings, also to members that already drain.
func (e *Engine) setLimits(l Limits) {
	e.config.Limits = l
	e.logEvacuations()
	if e.configuration != nil {
		e.publish()
	}
	e.armSweep()
}

package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Config configures an Engine.
type Config struct {
	Self   Instance
	Bounds Bounds
	Limits Limits
}

// Limits are given by the installation and may change while the instance runs.
type Limits struct {
	// TargetDrain is how long a draining target may still get work.
	TargetDrain time.Duration
	// RateWindow, RateOverage and RateSlack say how rates are counted: over any
	// window of this length, with a tolerated part and number above the rate.
	RateWindow  time.Duration
	RateOverage float64
	RateSlack   float64
}

func (Limits) fleetInput() {}

// Bounds are the durations that the engine keeps to.
type Bounds struct {
	// BalancerNotice is how long the balancer may still send callers to an
	// instance that is not ready.
	BalancerNotice time.Duration
	// Drain bounds the end of the sessions at a planned stop.
	Drain time.Duration
	// ReturnWait is how long members that a returning store lacks may take to
	// announce themselves again.
	ReturnWait time.Duration
	// PromotionCall bounds one step of a promotion, PromotionRetry is the pause
	// before another attempt, and Takeover the wait for the new primary.
	PromotionCall  time.Duration
	PromotionRetry time.Duration
	Takeover       time.Duration
}

// Engine holds the state of the fleet duty. It has no I/O and no clock, and is
// not safe for concurrent use.
type Engine struct {
	config Config
	out    Outputs
	now    time.Time
	timers timerq.Queue[func()]

	life      *chart.Table[*Engine]
	on        lifeEvents
	state     chart.State
	lifeTimer timerq.Item[func()]

	configuration *Configuration
	members       map[core.MemberID]*member
	// groups holds the members by their group, in the order of their identities.
	groups    map[core.DatabaseName][]*member
	instances map[string]*instance
	roster    roster
	// storeLost is set while the store cannot be read, storeBack when it could
	// be read again.
	storeLost bool
	storeBack time.Time
	// since is the age of the news under way, as in StoreSeen.
	since     time.Time
	sweep     timerq.Item[func()]
	published uint64
	shares    shares
	reach     reach
	feed      feed
	news      news
	homes     homes

	// steadyState and servingState are states that decisions ask for.
	steadyState  chart.State
	servingState chart.State

	succession  *chart.Table[*succession]
	change      successionEvents
	successions map[core.DatabaseName]*succession
	// examinations are the inquiries under way.
	examinations map[session.Subject]*examination
}

// Charts are the life cycles of the fleet duty.
type Charts struct {
	Instance   *chart.Definition
	Succession *chart.Definition
	News       *chart.Definition
}

// New returns an engine. It returns the errors of the chart loader for a chart
// that does not fit the code.
func New(config Config, charts Charts, out Outputs) (*Engine, error) {
	e := &Engine{
		config:    config,
		out:       out,
		members:   map[core.MemberID]*member{},
		groups:    map[core.DatabaseName][]*member{},
		instances: map[string]*instance{},

		successions:  map[core.DatabaseName]*succession{},
		examinations: map[session.Subject]*examination{},
	}
	if err := e.loadSuccession(charts.Succession); err != nil {
		return nil, err
	}
	table, err := chart.Compile(charts.Instance, e.registry())
	if err != nil {
		return nil, err
	}
	e.life = table
	e.state = table.Initial()
	e.servingState = table.StateID("serving")
	e.on = lifeEvents{
		configured: table.Event("configured"), stop: table.Event("stop"),
		drained: table.Event("drained"), cutOff: table.Event("cut_off"),
		reconnected: table.Event("reconnected"), timedOut: table.Event(chart.TimeoutEvent),
	}
	e.lifeTimer.Value = func() { e.fire(e.on.timedOut) }
	e.sweep.Value = e.sweepMembers
	e.shares.init(e)
	e.reach.init(e)
	e.feed.init(e)
	if err := e.news.load(e, charts.News); err != nil {
		return nil, err
	}
	e.homes.init(e)
	return e, nil
}

// Handle applies one input.
func (e *Engine) Handle(now time.Time, in Input) {
	e.now = now
	switch in := in.(type) {
	case StoreSeen:
		e.since = in.Since
		e.storeSeen(in.Snapshot)
		e.feed.restart(in.Snapshot.Revision, in.Current)
		e.news.review()
	case StoreChanged:
		e.since = in.Since
		e.storeChanged(in.Changes)
		e.feed.add(in.Changes, in.Next, in.Current)
		if len(in.Changes) > 0 {
			e.news.review()
		}
	case FeedAsked:
		e.feed.asked(in)
	case FeedFailed:
		e.news.failedFeeder(in)
	case StoreLost:
		e.loseStore(in.Reason)
	case FromSession:
		e.fromSession(in.Report)
	case InstanceHeard:
		e.reach.answered++
	case Opinion:
		e.opinion(in)
	case ConfigurationAsked:
		e.out.GiveConfiguration(in.Reply, e.configuration)
	case ConfigurationGiven:
		e.configurationGiven(in.Configuration)
	case LeaseHeld:
		e.homes.leaseUntil = in.Until
		if e.configuration != nil {
			e.publishHomes()
		}
	case JobDone:
		e.jobDone(&in)
	case Inspect:
		in.Reply <- e.inspect()
	case Limits:
		e.limitsInForce(in)
	case StopRequested:
		e.out.Log(LogEvent{Event: "stop_requested", Message: "planned stop requested"})
		e.fire(e.on.stop)
	}
}

// Tick applies every deadline that is due.
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

// NextDeadline returns when Tick is needed next, if at all.
func (e *Engine) NextDeadline() (time.Time, bool) {
	return e.timers.Next()
}

func (e *Engine) fromSession(report session.ControlReport) {
	switch r := report.(type) {
	case session.Drained:
		e.fire(e.on.drained)
	case session.Demand:
		e.homes.demand(r)
		e.reach.homesSeen(r)
	case session.HomeSilent:
		e.reach.homeSilent()
		if e.homes.heldAt(r.Address) {
			e.examineHome(r.Address)
		}
	case session.NewerVersion:
		if e.configuration == nil || r.Version > e.configuration.Version {
			e.out.AskConfiguration(r.Address)
		}
	case session.PeerRefused:
		e.homes.holderGone(r.Address, "the home's host refuses connections", endedFor)
	case session.SuspectMember:
		e.suspect(r.Member)
	}
}

func (e *Engine) loseStore(reason string) {
	if e.storeLost {
		return
	}
	e.storeLost = true
	e.feed.lost()
	e.out.Log(LogEvent{Warning: true, Event: "store_lost", Message: "the store cannot be read",
		Fields: map[string]any{"reason": reason}})
	e.reach.storeLost()
}

func (e *Engine) storeSeen(s *Snapshot) {
	if e.storeLost {
		e.out.Log(LogEvent{Event: "store_back", Message: "the store can be read again"})
	}
	e.storeLost = false
	e.storeBack = e.now
	e.reach.restored()
	seen := map[core.MemberID]bool{}
	for i := range s.Members {
		seen[s.Members[i].Member] = true
		e.memberSeen(&s.Members[i])
	}
	for id, m := range e.members {
		m.missing = m.missing || !seen[id]
	}
	e.instancesSeen(s.Instances)
	e.homes.replaceAll(s.Homes)
	e.adopt(s.Configuration)
	e.armSweep()
	e.publish()
}

func (e *Engine) storeChanged(changes []Change) {
	for i := range changes {
		e.apply(&changes[i])
	}
	switch {
	case anyConcernsMembers(changes):
		e.publish()
	case len(changes) > 0 && e.configuration != nil:
		e.publishHomes()
		e.homes.review()
	}
}

// isUrgent reports a change that requests may be waiting for.
func (c *Change) isUrgent() bool {
	if c.Member != nil {
		return c.Member.Draining || c.Member.Role == core.RolePrimary
	}
	return c.Configuration != nil || c.GoneMember != ""
}

// concernsMembers reports a change of the configuration or of a member.
func (c *Change) concernsMembers() bool {
	return c.Configuration != nil || c.Member != nil || c.GoneMember != ""
}

func (e *Engine) apply(c *Change) {
	switch {
	case c.Configuration != nil:
		e.adopt(c.Configuration)
	case c.Member != nil:
		e.memberSeen(c.Member)
	case c.GoneMember != "":
		e.memberGone(c.GoneMember)
	case c.Instance != nil:
		e.instanceSeen(*c.Instance)
	case c.GoneInstance != "":
		e.instanceGone(c.GoneInstance)
	case c.Home != nil:
		e.homes.set(c.Home.Account, c.Home)
	case c.GoneHome != "":
		e.homes.set(c.GoneHome, nil)
	}
}

// adopt puts a configuration in force unless a newer one is.
func (e *Engine) adopt(c *Configuration) {
	if c == nil || e.configuration != nil && c.Version <= e.configuration.Version {
		return
	}
	e.configuration = c
	e.out.Log(LogEvent{Event: "configuration", Message: "configuration in force", Fields: map[string]any{
		"version": c.Version, "entries": len(c.Entries), "groups": len(c.Groups), "accounts": len(c.Accounts),
	}})
}

// configurationGiven takes a newer configuration from another instance, which
// reaches the store when this one may not.
func (e *Engine) configurationGiven(c *Configuration) {
	if e.configuration != nil && c.Version <= e.configuration.Version {
		return
	}
	e.adopt(c)
	e.publish()
}

// limitsInForce takes the limits of changed settings.
func (e *Engine) limitsInForce(l Limits) {
	e.config.Limits = l
	if e.configuration != nil {
		e.publish()
	}
}

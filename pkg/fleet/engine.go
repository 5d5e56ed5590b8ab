package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Config configures an Engine.
type Config struct {
	Self   Instance
	Bounds Bounds
	// RateWindow, RateOverage and RateSlack say how rates are counted: over any
	// window of this length, with a tolerated part and number above the rate.
	RateWindow  time.Duration
	RateOverage float64
	RateSlack   float64
}

// Bounds are the durations that the engine keeps to.
type Bounds struct {
	// BalancerNotice is how long the balancer may still send callers to an
	// instance that is not ready.
	BalancerNotice time.Duration
	// Drain bounds the end of the sessions at a planned stop.
	Drain time.Duration
	// TargetDrain is how long a draining target may still get work.
	TargetDrain time.Duration
	// ReturnWait is how long members that a returning store lacks may take to
	// announce themselves again.
	ReturnWait time.Duration
	// PromotionCall bounds one step of a promotion, PromotionRetry is the pause
	// before another attempt, and Takeover the wait for the new primary.
	PromotionCall  time.Duration
	PromotionRetry time.Duration
	Takeover       time.Duration
	// ShareEvery is how often the shares are worked out.
	ShareEvery time.Duration
}

// Input is an item of the fleet duty's ring.
type Input interface {
	fleetInput()
}

// StoreSeen reports everything that the store holds, after a start or a gap.
type StoreSeen struct {
	Snapshot *Snapshot
	// Since is a time at which the store had no newer news than those that were
	// delivered before; zero at the start.
	Since time.Time
}

// StoreChanged reports changes in their order.
type StoreChanged struct {
	Changes []Change
	// Since is as in StoreSeen.
	Since time.Time
}

// StoreLost reports that the store cannot be read; StoreSeen ends that.
type StoreLost struct {
	Reason string
}

// FromSession is a report of the session duty.
type FromSession struct {
	Report session.ControlReport
}

// ConfigurationAsked is a request of another instance for the configuration.
type ConfigurationAsked struct {
	// Reply comes back with the answer.
	Reply any
}

// ConfigurationGiven is the configuration of another instance.
type ConfigurationGiven struct {
	Configuration *Configuration
}

func (ConfigurationAsked) fleetInput() {}
func (ConfigurationGiven) fleetInput() {}

// StopRequested begins the planned stop.
type StopRequested struct{}

func (StoreSeen) fleetInput()     {}
func (StoreChanged) fleetInput()  {}
func (StoreLost) fleetInput()     {}
func (FromSession) fleetInput()   {}
func (StopRequested) fleetInput() {}

// Outputs receives what the engine decides.
type Outputs interface {
	Session(session.Input)
	// ClaimHome asks the registrar to make this instance an account's home.
	ClaimHome(HomeClaim)
	// AskMember asks another instance what it has heard of a member; the answer is
	// a MemberOpinion.
	AskMember(node string, address session.PeerAddress, member core.MemberID)
	// AskConfiguration asks another instance for its configuration, and
	// GiveConfiguration answers such a question.
	AskConfiguration(session.PeerAddress)
	GiveConfiguration(reply any, c *Configuration)
	// Leave gives the registration and the homes up.
	Leave()
	// Work hands a job to the worker and reports whether there was room.
	Work(Job) bool
	// Ready tells the balancer's probe whether callers may come.
	Ready(bool)
	// Finish ends the process after a planned stop.
	Finish()
	Log(LogEvent)
}

// LogEvent is a line about a decision or a change of belief.
type LogEvent struct {
	Warning bool
	Event   string
	Message string
	Fields  map[string]any
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
	instances     map[string]*instance
	// storeLost is set while the store cannot be read, storeBack when it could
	// be read again.
	storeLost bool
	storeBack time.Time
	// since is the age of the news under way, as in StoreSeen.
	since     time.Time
	sweep     timerq.Item[func()]
	published uint64
	shares    shares
	homes     homes

	succession  *chart.Table[*succession]
	change      successionEvents
	successions map[core.DatabaseName]*succession
	// examinations are the inquiries under way, by primary.
	examinations map[core.MemberID]*examination
}

type lifeEvents struct {
	configured, stop, drained, timedOut chart.Event
}

// member is what is known of a member of any group.
type member struct {
	Announcement
	// drainingSince is when the member was first seen draining.
	drainingSince time.Time
	// missing is set when the store lacks the entry after an outage.
	missing bool
	// dead is set when the member's host refused a connection, until the member
	// announces itself again.
	dead bool
	// examining is set while the worker asks the member.
	examining bool
}

// Charts are the life cycles of the fleet duty.
type Charts struct {
	Instance   *chart.Definition
	Succession *chart.Definition
}

// New returns an engine. It returns the errors of the chart loader for a chart
// that does not fit the code.
func New(config Config, charts Charts, out Outputs) (*Engine, error) {
	e := &Engine{
		config:    config,
		out:       out,
		members:   map[core.MemberID]*member{},
		instances: map[string]*instance{},

		successions:  map[core.DatabaseName]*succession{},
		examinations: map[core.MemberID]*examination{},
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
	e.on = lifeEvents{
		configured: table.Event("configured"), stop: table.Event("stop"),
		drained: table.Event("drained"), timedOut: table.Event(chart.TimeoutEvent),
	}
	e.lifeTimer.Value = func() { e.fire(e.on.timedOut) }
	e.sweep.Value = e.sweepMembers
	e.shares.init(e)
	e.homes.init(e)
	return e, nil
}

// idleLife is how often the life cycle's timer is set anew in a steady state.
const idleLife = time.Minute

func (e *Engine) registry() chart.Registry[*Engine] {
	return chart.Registry[*Engine]{
		Actions: map[string]func(*Engine){
			"become_ready":   func(e *Engine) { e.setReady(true) },
			"become_unready": func(e *Engine) { e.setReady(false) },
			"leave":          func(e *Engine) { e.out.Leave() },
			"drain_sessions": func(e *Engine) { e.out.Session(session.Drain{}) },
			"finish":         func(e *Engine) { e.out.Finish() },
		},
		Timeouts: map[string]time.Duration{
			"starting":        idleLife,
			"balancer_notice": e.config.Bounds.BalancerNotice,
			"drain":           e.config.Bounds.Drain,
		},
	}
}

func (e *Engine) fire(event chart.Event) {
	before := e.state
	e.life.Fire(e, &e.state, event)
	if e.state == before && event != e.on.timedOut {
		return
	}
	if e.life.Final(e.state) {
		e.timers.Disarm(&e.lifeTimer)
		return
	}
	e.timers.Arm(&e.lifeTimer, e.now.Add(e.life.Timeout(e.state)))
}

func (e *Engine) setReady(ready bool) {
	e.out.Ready(ready)
	e.out.Log(LogEvent{Event: "readiness", Message: "readiness changed", Fields: map[string]any{"ready": ready}})
}

// Handle applies one input.
func (e *Engine) Handle(now time.Time, in Input) {
	e.now = now
	switch in := in.(type) {
	case StoreSeen:
		e.since = in.Since
		e.storeSeen(in.Snapshot)
	case StoreChanged:
		e.since = in.Since
		e.storeChanged(in.Changes)
	case StoreLost:
		e.loseStore(in.Reason)
	case FromSession:
		e.fromSession(in.Report)
	case MemberOpinion:
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
	case session.NewerVersion:
		if e.configuration == nil || r.Version > e.configuration.Version {
			e.out.AskConfiguration(r.Address)
		}
	case session.PeerRefused:
		e.homes.processDead(r.Address)
	case session.SuspectMember:
		e.suspect(r.Member)
	}
}

func (e *Engine) loseStore(reason string) {
	if e.storeLost {
		return
	}
	e.storeLost = true
	e.out.Log(LogEvent{Warning: true, Event: "store_lost", Message: "the store cannot be read",
		Fields: map[string]any{"reason": reason}})
}

func (e *Engine) storeSeen(s *Snapshot) {
	if e.storeLost {
		e.out.Log(LogEvent{Event: "store_back", Message: "the store can be read again"})
	}
	e.storeLost = false
	e.storeBack = e.now
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

func (e *Engine) memberSeen(a *Announcement) {
	m := e.members[a.Member]
	if m == nil {
		m = &member{}
		e.members[a.Member] = m
	}
	if a.Revision < m.Revision {
		return
	}
	if m.Role != a.Role || m.Draining != a.Draining || m.missing {
		e.out.Log(LogEvent{Event: "member", Message: "member announced itself", Fields: map[string]any{
			"member": a.Member, "group": a.Group, "role": a.Role, "draining": a.Draining, "revision": a.Revision,
		}})
	}
	m.dead = m.dead && a.Revision == m.Revision
	m.Announcement = *a
	m.missing = false
	if !a.Draining {
		m.drainingSince = time.Time{}
		return
	}
	if m.drainingSince.IsZero() {
		// The announcement may be as old as the last news before it; at the start,
		// when there was none, it may be of any age.
		m.drainingSince = e.since
		if e.since.IsZero() {
			m.drainingSince = e.now.Add(-e.config.Bounds.TargetDrain)
		}
		e.armSweep()
	}
}

// memberGone removes a member. While the store has just come back, its entry
// may have ended without the member, which then announces itself again.
func (e *Engine) memberGone(id core.MemberID) {
	m := e.members[id]
	if m == nil {
		return
	}
	if e.now.Before(e.storeBack.Add(e.config.Bounds.ReturnWait)) {
		m.missing = true
		e.armSweep()
		return
	}
	e.forget(m)
}

func (e *Engine) forget(m *member) {
	delete(e.members, m.Member)
	e.out.Log(LogEvent{Event: "member_gone", Message: "member is gone", Fields: map[string]any{
		"member": m.Member, "group": m.Group,
	}})
}

// armSweep sets the time at which the next member stops being used.
func (e *Engine) armSweep() {
	var next time.Time
	for _, m := range e.members {
		next = sooner(next, e.unusableAt(m), e.now)
	}
	for _, i := range e.instances {
		if i.missing {
			next = sooner(next, e.storeBack.Add(e.config.Bounds.ReturnWait), e.now)
		}
	}
	if !next.IsZero() {
		e.timers.Arm(&e.sweep, next)
	}
}

// sooner returns the earlier of two times, where times that have passed and the
// zero time do not count.
func sooner(next, at, now time.Time) time.Time {
	if !at.After(now) || !next.IsZero() && next.Before(at) {
		return next
	}
	return at
}

// unusableAt returns when a draining or missing member stops being used, zero
// for others.
func (e *Engine) unusableAt(m *member) time.Time {
	if m.missing {
		return e.storeBack.Add(e.config.Bounds.ReturnWait)
	}
	if m.Draining {
		return m.drainingSince.Add(e.config.Bounds.TargetDrain)
	}
	return time.Time{}
}

func (e *Engine) sweepMembers() {
	for _, m := range e.members {
		if m.missing && !e.storeLost && !e.now.Before(e.unusableAt(m)) {
			e.forget(m)
		}
	}
	e.forgetInstances()
	e.publish()
	e.armSweep()
}

// usable reports whether new work may go to the member. A draining one is used
// until its bound: a group of three has no more capacity than its members.
func (e *Engine) usable(m *member) bool {
	if m.dead {
		return false
	}
	if !m.Draining {
		return true
	}
	return e.now.Before(e.unusableAt(m))
}

// publish tells session what is in force.
func (e *Engine) publish() {
	if e.configuration == nil {
		return
	}
	e.published++
	c := e.catalogue()
	e.out.Session(session.CatalogueInForce{Catalogue: c})
	for i := range c.Databases {
		e.out.Session(e.view(&c.Databases[i]))
	}
	if len(e.members) > 0 {
		e.fire(e.on.configured)
	}
	e.publishHomes()
	e.reviewSuccession()
	e.homes.review()
}

// publishHomes tells session the homes and the shares that go with them.
func (e *Engine) publishHomes() {
	e.homes.publish()
	e.shares.publish()
}

// catalogue joins the configuration and the members. Its version counts what
// was published here; EditID tells the operator's version.
func (e *Engine) catalogue() *catalogue.Catalogue {
	c := &catalogue.Catalogue{
		Version: e.published,

		OperatorVersion: e.configuration.Version,
		Accounts:        e.configuration.Accounts,
		Entries:         e.configuration.Entries,
	}
	for _, g := range e.configuration.Groups {
		c.Databases = append(c.Databases, catalogue.Database{
			Name: g.Name, Connections: g.MemberConnections, State: catalogue.DatabaseActive, Members: e.membersOf(g.Name),
		})
	}
	return c
}

func (e *Engine) membersOf(group core.DatabaseName) []catalogue.Member {
	var list []catalogue.Member
	for _, m := range e.members {
		if m.Group != group {
			continue
		}
		list = append(list, catalogue.Member{ID: m.Member, Address: m.Address, Domain: m.Domain, Slots: m.Slots})
	}
	slices.SortFunc(list, func(a, b catalogue.Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (e *Engine) view(db *catalogue.Database) session.GroupView {
	view := session.GroupView{Database: db.Name}
	for i := range db.Members {
		m := e.members[db.Members[i].ID]
		view.Members = append(view.Members, session.MemberView{
			Status:    core.MemberStatus{Member: m.Member, Role: m.leadRole()},
			Reachable: e.usable(m),
			Announced: uint64(m.Revision),
			SeenAt:    e.now,
		})
	}
	return view
}

// leadRole is the announced role, but for a dead primary, which leads nobody.
func (m *member) leadRole() core.Role {
	if m.dead {
		return core.RoleReplica
	}
	return m.Role
}

package failover

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// minTick bounds how soon the next tick can be due, so that a deadline that
// has passed does not make the caller spin.
const minTick = time.Millisecond

// Group is the decision state of one database group in one instance.
type Group struct {
	rules    *Rules
	config   Config
	database Database
	self     core.InstanceID
	out      Outputs

	now      time.Time
	next     time.Time
	state    chart.State
	deadline time.Time
	members  []*member
	lastCall CallID

	// term and primary are the newest term with a known primary; start is the
	// log position at which it began, valid when startKnown.
	term       core.Term
	primary    *member
	start      core.LSN
	startKnown bool
	// known is the newest term seen anywhere; above term there is no primary.
	known core.Term

	record      Record
	revision    uint64
	recordKnown bool
	// recordRead is set when a read was answered since the last change of
	// decider, so that the record cannot be behind.
	recordRead bool

	claim     claim
	preferred core.MemberID
	reason    Reason
	orders    orderKind
	// orderTerm is the term of the claim that was won last. Orders carry it,
	// never the term of a claim that is still open.
	orderTerm core.Term
	chosen    *member
	swap      RecordSwap
	readCall  CallID
	backoff   time.Duration

	// lostSince is since when the conditions of a claim hold, zero if not.
	lostSince time.Time
	// aloneSince is since when no primary is known.
	aloneSince time.Time
	hurryUntil time.Time

	confirm confirmations
	applied []appliedWant
	floor   floorRounds
	samples []sample
	view    viewState
}

// New returns a group that has asked nothing yet; call Start next.
func New(rules *Rules, database Database, self core.InstanceID, out Outputs) *Group {
	g := &Group{rules: rules, config: rules.config, database: database, self: self, out: out}
	g.state = rules.group.Initial()
	for _, description := range database.Members {
		g.members = append(g.members, newMember(g, description))
	}
	return g
}

// Start reads the record and asks every member. Call identities begin at the
// time, so that a late result for an earlier Group of the same database is not
// taken for one of this Group's.
func (g *Group) Start(now time.Time) {
	g.now = now
	g.lastCall = CallID(now.UnixNano())
	g.aloneSince = now
	g.hurryUntil = now.Add(g.config.SilenceBound)
	g.deadline = now.Add(g.rules.group.Timeout(g.state))
	for _, m := range g.members {
		m.deadline = now.Add(g.rules.member.Timeout(m.state))
	}
	g.readRecord()
	g.settle()
}

// Next returns when Tick is due. A Tick that comes later than that by more
// than Config.PauseGap is taken as a pause of the instance itself.
func (g *Group) Next() time.Time {
	return g.next
}

// Tick runs what is due at now.
func (g *Group) Tick(now time.Time) {
	g.enter(now)
	for _, m := range g.members {
		m.tick()
	}
	if !now.Before(g.deadline) {
		g.fire(g.rules.events.timedOut)
	}
	g.settle()
}

// Primary returns the member that serves writes and its term; the member is
// empty while there is none.
func (g *Group) Primary() (core.MemberID, core.Term) {
	if !g.hasPrimary() {
		return "", g.known
	}
	return g.primary.id, g.term
}

// SuspectMember asks the member for its status at once.
func (g *Group) SuspectMember(now time.Time, in session.SuspectMember) {
	g.enter(now)
	if m := g.member(in.Member); m != nil {
		m.probeNow()
	}
	g.settle()
}

// enter starts the handling of one input.
func (g *Group) enter(now time.Time) {
	if !g.next.IsZero() && now.Sub(g.next) > g.config.PauseGap {
		g.forgetSilence(now)
	}
	g.now = now
}

// forgetSilence restarts every measurement of silence after a pause of this
// instance, in which it could not have heard anything.
func (g *Group) forgetSilence(now time.Time) {
	g.note(EventOwnPause, "", now.Sub(g.next).String())
	for _, m := range g.members {
		if !m.unansweredSince.IsZero() {
			m.unansweredSince = now
		}
		m.deadline = now.Add(g.rules.member.Timeout(m.state))
	}
	g.aloneSince = now
	g.lostSince = time.Time{}
}

// settle ends the handling of one input: conditions, calls, publications.
func (g *Group) settle() {
	g.checkSilence()
	g.checkFenced()
	g.checkLost()
	g.fire(g.rules.events.checked)
	g.advanceFloor()
	g.advanceConfirm()
	g.advanceApplied()
	for _, m := range g.members {
		m.send()
	}
	g.publish()
	g.schedule()
}

// fire applies an event of the chart "group". The state's timeout restarts
// when the state changes or has timed out.
func (g *Group) fire(event chart.Event) {
	before := g.state
	deadline := g.deadline
	g.rules.group.Fire(g, &g.state, event)
	if g.state != before || event == g.rules.events.timedOut {
		if g.deadline.Equal(deadline) {
			g.rearm()
		}
		g.view.urgent = g.view.urgent || g.state != before
	}
}

func (g *Group) rearm() {
	g.deadline = g.now.Add(g.rules.group.Timeout(g.state))
}

func (g *Group) schedule() {
	next := g.deadline
	for _, m := range g.members {
		next = earlier(next, m.nextDue())
	}
	next = earlier(next, g.silenceDue())
	next = earlier(next, g.lostDue())
	next = earlier(next, g.settleDue())
	next = earlier(next, g.viewDue())
	next = earlier(next, g.retryDue())
	if floor := g.now.Add(minTick); next.Before(floor) {
		next = floor
	}
	g.next = next
}

// earlier returns the earlier time; the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (g *Group) hasPrimary() bool {
	return g.primary != nil && g.term >= g.known
}

func (g *Group) majority() int {
	return len(g.members)/2 + 1
}

func (g *Group) member(id core.MemberID) *member {
	i := slices.IndexFunc(g.members, func(m *member) bool { return m.id == id })
	if i < 0 {
		return nil
	}
	return g.members[i]
}

func (g *Group) nextCall() CallID {
	g.lastCall++
	return g.lastCall
}

func (g *Group) note(name EventName, m core.MemberID, detail string) {
	g.out.Log(LogEvent{Name: name, Database: g.database.Name, Term: g.known, Member: m, Detail: detail})
}

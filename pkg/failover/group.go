package failover

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// minTick is the shortest time to the next tick, so that the caller does not
// spin when a deadline has already passed.
const minTick = time.Millisecond

// Group is the failover state of one database group in one instance.
type Group struct {
	rules    *Rules
	config   Config
	database Database
	self     core.InstanceID
	out      Outputs

	// now is the time of the current input, next the time of the next tick.
	now  time.Time
	next time.Time
	// state is the state in the chart "group", deadline the end of its timeout.
	state    chart.State
	deadline time.Time
	members  []*member
	lastCall CallID

	// term and primary are the newest term with a known primary. termStart is the
	// log position at which it began, valid if termStartKnown is set.
	term           core.Term
	primary        *member
	termStart      core.LSN
	termStartKnown bool
	// newestTerm is the newest term known from members or the record. There is
	// no current primary while it is greater than term.
	newestTerm core.Term

	// record and revision are the newest known state of the platform's record.
	record      Record
	revision    uint64
	recordKnown bool
	// recordUpToDate is set when a read has succeeded since the last change of
	// decider, so that the record cannot be stale.
	recordUpToDate bool

	claim claim
	// preferred is the member that an operator asked for in a planned change;
	// reason is the reason of the current or next change.
	preferred core.MemberID
	reason    Reason
	// command is the kind of command that the group sends to its members now.
	command command
	// wonTerm is the term of the claim that was won last. Commands carry it, never
	// the term of a claim that has not been won.
	wonTerm core.Term
	// chosen is the member to promote in wonTerm.
	chosen *member
	// pendingSwap and pendingRead are the newest requests to the platform. Their
	// call is 0 once the result has arrived.
	pendingSwap RecordSwap
	pendingRead CallID
	backoff     time.Duration

	// claimableSince is when a claim became justified; zero if it is not.
	claimableSince time.Time
	// noPrimarySince is the time since which no primary has been known.
	noPrimarySince time.Time
	// fastHeartbeatUntil is the end of the fast heartbeat.
	fastHeartbeatUntil time.Time

	confirm         confirmations
	appliedRequests []appliedRequest
	floor           floorRounds
	// samples are positions of the current primary, oldest first.
	samples []sample
	view    viewState
}

// New returns a group that has not sent any call; call Start next.
func New(rules *Rules, database Database, self core.InstanceID, out Outputs) *Group {
	g := &Group{rules: rules, config: rules.config, database: database, self: self, out: out}
	g.state = rules.group.Initial()
	for _, description := range database.Members {
		g.members = append(g.members, newMember(g, description))
	}
	return g
}

// Start reads the record and sends a status call to every member. Call IDs start
// at the current time in nanoseconds, so that a late result for an earlier Group
// of the same database does not match a call of this one.
func (g *Group) Start(now time.Time) {
	g.now = now
	g.lastCall = CallID(now.UnixNano())
	g.noPrimarySince = now
	g.fastHeartbeatUntil = now.Add(g.config.DetectionBound)
	g.deadline = now.Add(g.rules.group.Timeout(g.state))
	for _, m := range g.members {
		m.deadline = now.Add(g.rules.member.Timeout(m.state))
	}
	g.readRecord()
	g.endInput()
}

// Next returns when Tick is due. An input that comes later than that by more
// than Config.MaxTickDelay means that this instance itself was paused.
func (g *Group) Next() time.Time {
	return g.next
}

// Tick applies the timeouts that have passed and sends the calls that are due.
func (g *Group) Tick(now time.Time) {
	g.beginInput(now)
	for _, m := range g.members {
		m.tick()
	}
	if !now.Before(g.deadline) {
		g.fire(g.rules.groupEvents.timedOut)
	}
	g.endInput()
}

// Primary returns the current primary and its term, or an empty member and the
// newest known term if there is no primary.
func (g *Group) Primary() (core.MemberID, core.Term) {
	if !g.hasPrimary() {
		return "", g.newestTerm
	}
	return g.primary.id, g.term
}

// SuspectMember sends a status call to the member at once.
func (g *Group) SuspectMember(now time.Time, in session.MemberSuspected) {
	g.beginInput(now)
	if m := g.member(in.Member); m != nil {
		m.scheduleStatusCall()
	}
	g.endInput()
}

// beginInput starts the handling of one input and detects a pause of this
// instance.
func (g *Group) beginInput(now time.Time) {
	if !g.next.IsZero() && now.Sub(g.next) > g.config.MaxTickDelay {
		g.resetContactTimes(now)
	}
	g.now = now
}

// resetContactTimes restarts every measurement of unresponsive time after a
// pause of this instance, during which it could not receive any response.
func (g *Group) resetContactTimes(now time.Time) {
	g.log(EventOwnPause, "", now.Sub(g.next).String())
	for _, m := range g.members {
		if !m.unansweredSince.IsZero() {
			m.unansweredSince = now
		}
		m.deadline = now.Add(g.rules.member.Timeout(m.state))
	}
	g.noPrimarySince = now
	g.claimableSince = time.Time{}
}

// endInput ends the handling of one input: it checks the conditions of the chart,
// publishes results, sends the calls that are due and schedules the next tick.
func (g *Group) endInput() {
	g.checkPrimaryUnresponsive()
	g.checkFenced()
	g.updateClaimable()
	g.fire(g.rules.groupEvents.checked)
	g.advanceFloor()
	g.advanceConfirm()
	g.advanceApplied()
	for _, m := range g.members {
		m.sendCalls()
	}
	g.publish()
	g.schedule()
}

// fire applies an event of the chart "group". The state's timeout restarts when
// the state changes or has timed out, unless an action has set the deadline.
func (g *Group) fire(event chart.Event) {
	before := g.state
	deadline := g.deadline
	g.rules.group.Fire(g, &g.state, event)
	if g.state != before || event == g.rules.groupEvents.timedOut {
		if g.deadline.Equal(deadline) {
			g.restartTimeout()
		}
		g.view.urgent = g.view.urgent || g.state != before
	}
}

// restartTimeout starts the timeout of the current state.
func (g *Group) restartTimeout() {
	g.deadline = g.now.Add(g.rules.group.Timeout(g.state))
}

// schedule sets the time of the next tick.
func (g *Group) schedule() {
	next := g.deadline
	for _, m := range g.members {
		next = earlier(next, m.nextDue())
	}
	next = earlier(next, g.detectionDue())
	next = earlier(next, g.claimDue())
	next = earlier(next, g.fenceGraceDue())
	next = earlier(next, g.viewDue())
	next = earlier(next, g.retryDue())
	if earliest := g.now.Add(minTick); next.Before(earliest) {
		next = earliest
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

// hasPrimary reports whether the primary of the newest term is known.
func (g *Group) hasPrimary() bool {
	return g.primary != nil && g.term >= g.newestTerm
}

// majority returns the number of members that form a majority.
func (g *Group) majority() int {
	return len(g.members)/2 + 1
}

// member returns the member with the ID, or nil.
func (g *Group) member(id core.MemberID) *member {
	i := slices.IndexFunc(g.members, func(m *member) bool { return m.id == id })
	if i < 0 {
		return nil
	}
	return g.members[i]
}

func (g *Group) newCallID() CallID {
	g.lastCall++
	return g.lastCall
}

func (g *Group) log(name EventName, m core.MemberID, detail string) {
	g.out.Log(LogEvent{Name: name, Database: g.database.Name, Term: g.newestTerm, Member: m, Detail: detail})
}

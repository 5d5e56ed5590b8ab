package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// latencyShare is the weight of a new round trip in the smoothed latency, as
// the divisor of an exponential average.
const latencyShare = 8

// callGrace is added to a call's timeout before the group gives it up itself,
// in case the result was lost on its way here.
const callGrace = 500 * time.Millisecond

// lane keeps at most one call of a kind outstanding to a member. Status calls,
// waits and orders have a lane each, so that a held wait delays neither a
// heartbeat nor a fence.
type lane struct {
	call     CallID
	method   Method
	term     core.Term
	expires  time.Time
	notUntil time.Time
}

func (l *lane) busy() bool {
	return l.call != 0
}

// free reports whether a call may be sent at now.
func (l *lane) free(now time.Time) bool {
	return !l.busy() && !now.Before(l.notUntil)
}

// member is one target of the group.
type member struct {
	group   *Group
	id      core.MemberID
	address string

	state    chart.State
	deadline time.Time

	// status is the answer to the newest request, asked at asked.
	status   core.MemberStatus
	seen     bool
	asked    time.Time
	answered time.Time
	latency  time.Duration
	// unansweredSince is when the first status call since the last good answer
	// of this member was sent; zero when there is none.
	unansweredSince time.Time
	// refusals counts the status calls in a row that the host refused.
	refusals int
	// got is the greatest received position whose entries are of the term that
	// the member had accepted.
	got core.Position

	probe lane
	wait  lane
	order lane
	// probeDue is when the next status call is due.
	probeDue time.Time
	// askedFor is when the outstanding status call was issued.
	issued time.Time

	fence fenceAnswer
}

func newMember(g *Group, d Member) *member {
	return &member{group: g, id: d.ID, address: d.StatusAddress, state: g.rules.member.Initial()}
}

func (m *member) fire(event chart.Event) {
	before := m.state
	m.group.rules.member.Fire(m, &m.state, event)
	if m.state != before || event == m.group.rules.reports.timedOut {
		m.rearm()
	}
}

func (m *member) rearm() {
	m.deadline = m.group.now.Add(m.group.rules.member.Timeout(m.state))
}

// changed publishes and logs a new state.
func (m *member) changed() {
	m.group.view.urgent = true
	m.group.note(EventMemberState, m.id, m.group.rules.member.StateName(m.state))
}

func (m *member) reachable() bool {
	return m.state == m.group.rules.reachable
}

// tick gives up calls without a result and fires the state's timeout.
func (m *member) tick() {
	now := m.group.now
	for _, l := range []*lane{&m.probe, &m.wait, &m.order} {
		if l.busy() && !now.Before(l.expires) {
			m.callFailed(l, MemberFailed{Call: l.call, Failure: FailureSilent})
		}
	}
	if !now.Before(m.deadline) {
		m.fire(m.group.rules.reports.timedOut)
	}
}

// send issues the calls that are due.
func (m *member) send() {
	m.sendOrder()
	m.sendWait()
	m.sendProbe()
}

func (m *member) call(l *lane, c MemberCall) {
	g := m.group
	c.Call = g.nextCall()
	c.Database = g.database.Name
	c.Member = m.id
	c.Address = m.address
	l.call = c.Call
	l.method = c.Method
	l.term = c.Term
	l.expires = g.now.Add(c.Timeout + callGrace)
	g.out.Call(c)
}

func (m *member) probeNow() {
	m.probeDue = m.group.now
}

func (m *member) sendProbe() {
	g := m.group
	if m.probe.busy() || g.now.Before(m.probeDue) {
		return
	}
	m.issued = g.now
	m.probeDue = g.now.Add(g.probePeriod())
	if m.unansweredSince.IsZero() {
		m.unansweredSince = g.now
	}
	m.call(&m.probe, MemberCall{Method: MethodStatus, Timeout: g.config.StatusTimeout})
}

// probePeriod is shortened while a decision waits for the members' answers.
func (g *Group) probePeriod() time.Duration {
	if g.now.Before(g.hurryUntil) || g.floor.active {
		return g.config.FastHeartbeat
	}
	return g.config.Heartbeat
}

// nextDue returns when this member needs a tick.
func (m *member) nextDue() time.Time {
	due := m.deadline
	if m.probe.busy() {
		due = earlier(due, m.probe.expires)
	} else {
		due = earlier(due, m.probeDue)
	}
	return earlier(due, earlier(m.laneDue(&m.wait, m.wantsWait()), m.laneDue(&m.order, m.wantsOrder())))
}

func (m *member) laneDue(l *lane, wanted bool) time.Time {
	if l.busy() {
		return l.expires
	}
	if wanted {
		return l.notUntil
	}
	return time.Time{}
}

package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// latencySmoothing is the divisor of the exponential average of the latency: a
// new round trip has the weight 1/latencySmoothing.
const latencySmoothing = 8

// callGrace is the time after a call's timeout at which the group fails the call
// itself, in case its result was lost inside this instance.
const callGrace = 500 * time.Millisecond

// pendingCall keeps at most one call of a kind outstanding to a member. Status
// calls, waits and commands have one each, so that a held wait delays neither a
// heartbeat nor a fence.
type pendingCall struct {
	// id is 0 while no call is outstanding.
	id      CallID
	method  Method
	term    core.Term
	expires time.Time
	// notBefore is the earliest time of the next call.
	notBefore time.Time
}

func (c *pendingCall) outstanding() bool {
	return c.id != 0
}

// canSend reports whether a call may be sent at now.
func (c *pendingCall) canSend(now time.Time) bool {
	return !c.outstanding() && !now.Before(c.notBefore)
}

// member is one target of the group.
type member struct {
	group   *Group
	id      core.MemberID
	address string

	state    chart.State
	deadline time.Time

	// status is the response to the newest request, which was sent at
	// statusSentAt. It is valid if hasStatus is set.
	status           core.MemberStatus
	hasStatus        bool
	statusSentAt     time.Time
	statusReceivedAt time.Time
	// latency is the smoothed round trip of status calls.
	latency time.Duration
	// unansweredSince is when the first status call since the last valid response
	// of this member was sent; zero if there is none.
	unansweredSince time.Time
	// refusals counts the consecutive status calls that the host refused.
	refusals int
	// received is the greatest log position that the member reported while its log
	// was of the term that it had accepted.
	received core.Position

	statusCall  pendingCall
	waitCall    pendingCall
	commandCall pendingCall
	// statusCallDue is when the next status call is due.
	statusCallDue time.Time
	// statusCallSentAt is when the outstanding status call was sent.
	statusCallSentAt time.Time

	fence fenceResult
}

func newMember(g *Group, d Member) *member {
	return &member{group: g, id: d.ID, address: d.StatusAddress, state: g.rules.member.Initial()}
}

// fire applies an event of the chart "member". The state's timeout restarts when
// the state changes or has timed out.
func (m *member) fire(event chart.Event) {
	before := m.state
	m.group.rules.member.Fire(m, &m.state, event)
	if m.state != before || event == m.group.rules.memberEvents.timedOut {
		m.restartTimeout()
	}
}

func (m *member) restartTimeout() {
	m.deadline = m.group.now.Add(m.group.rules.member.Timeout(m.state))
}

// publishState publishes and logs a new state.
func (m *member) publishState() {
	m.group.view.urgent = true
	m.group.log(EventMemberState, m.id, m.group.rules.member.StateName(m.state))
}

func (m *member) reachable() bool {
	return m.state == m.group.rules.reachable
}

// tick fails calls that have expired and fires the state's timeout.
func (m *member) tick() {
	now := m.group.now
	for _, c := range []*pendingCall{&m.statusCall, &m.waitCall, &m.commandCall} {
		if c.outstanding() && !now.Before(c.expires) {
			m.callFailed(c, MemberFailed{Call: c.id, Failure: FailureNoResponse})
		}
	}
	if !now.Before(m.deadline) {
		m.fire(m.group.rules.memberEvents.timedOut)
	}
}

// sendCalls sends the calls that are due.
func (m *member) sendCalls() {
	m.sendCommand()
	m.sendWait()
	m.sendStatusCall()
}

// startCall sends the request and records it as outstanding.
func (m *member) startCall(p *pendingCall, request MemberCall) {
	g := m.group
	request.Call = g.newCallID()
	request.Database = g.database.Name
	request.Member = m.id
	request.Address = m.address
	p.id = request.Call
	p.method = request.Method
	p.term = request.Term
	p.expires = g.now.Add(request.Timeout + callGrace)
	g.out.CallMember(request)
}

// scheduleStatusCall makes the next status call due now.
func (m *member) scheduleStatusCall() {
	m.statusCallDue = m.group.now
}

// sendStatusCall sends a status call if one is due and none is outstanding.
func (m *member) sendStatusCall() {
	g := m.group
	if m.statusCall.outstanding() || g.now.Before(m.statusCallDue) {
		return
	}
	m.statusCallSentAt = g.now
	m.statusCallDue = g.now.Add(g.heartbeatPeriod())
	if m.unansweredSince.IsZero() {
		m.unansweredSince = g.now
	}
	m.startCall(&m.statusCall, MemberCall{Method: MethodStatus, Timeout: g.config.StatusTimeout})
}

// heartbeatPeriod returns the period of status calls, which is shorter while a
// decision waits for the members' responses.
func (g *Group) heartbeatPeriod() time.Duration {
	if g.now.Before(g.fastHeartbeatUntil) || g.floor.active {
		return g.config.FastHeartbeat
	}
	return g.config.Heartbeat
}

// nextDue returns when this member needs a tick.
func (m *member) nextDue() time.Time {
	due := m.deadline
	if m.statusCall.outstanding() {
		due = earlier(due, m.statusCall.expires)
	} else {
		due = earlier(due, m.statusCallDue)
	}
	return earlier(due, earlier(m.callDue(&m.waitCall, m.needsWait()), m.callDue(&m.commandCall, m.needsCommand())))
}

// callDue returns when the call expires or may be sent; zero if it is neither
// outstanding nor wanted.
func (m *member) callDue(c *pendingCall, wanted bool) time.Time {
	if c.outstanding() {
		return c.expires
	}
	if wanted {
		return c.notBefore
	}
	return time.Time{}
}

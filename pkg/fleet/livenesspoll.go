package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// LivenessReport says what another instance, Node, last received from a member or a
// home. The other fields are those of session.LivenessReport.
type LivenessReport struct {
	Subject         session.LivenessSubject
	Node            string
	Known           bool
	UnresponsiveFor time.Duration
	SinceContact    time.Duration
}

func (LivenessReport) fleetInput() {}

const (
	// pollTimeout is how long polled or probed instances have to respond. The round
	// trip between failure domains is about 2 ms.
	pollTimeout = 120 * time.Millisecond
	// maxPolledInstances limits the number of instances polled, except about a member whose
	// host accepts connections: every home is asked about it, because an overloaded member
	// may have answered only a few homes within responsiveWithin, and a sample could miss
	// them.
	maxPolledInstances = 24
	// minUnresponsive is how long the subject must have left a request of another
	// instance unanswered to count as unresponsive there.
	minUnresponsive = 250 * time.Millisecond
	// homePollDelay is the delay between the first sign that a home is unresponsive
	// and the poll. Together with the time already measured by this instance it
	// exceeds responsiveWithin.
	homePollDelay = 200 * time.Millisecond
	// responsiveWithin is how recent a response of the subject must be to prove
	// that it is alive.
	responsiveWithin = 600 * time.Millisecond
)

// livenessPoll asks other instances whether they get responses from a process that
// does not respond to this instance, because the connection between the two alone
// may be broken.
type livenessPoll struct {
	e       *Engine
	subject session.LivenessSubject
	// event is the log event of the result.
	event string
	// excludedDomain is a failure domain whose instances are not polled, empty for
	// none.
	excludedDomain core.Domain
	// askAllHomes makes the poll ask every instance that is the home of an account.
	askAllHomes bool
	timer       timerq.Item[func()]
	polled      int
	reports     map[string]LivenessReport
	// done receives the result.
	done func(pollResult)
}

// pollResult is the result of a liveness poll.
type pollResult struct {
	// responsive counts the instances that recently had a response from the
	// subject, unresponsiveReports those that are waiting for one.
	responsive, unresponsiveReports int
	// majorityResponded is set when more than half of the polled instances have
	// responded. This instance counts as one that was polled and responded.
	majorityResponded bool
	// asked and answered are the numbers of other instances that were polled and that
	// responded.
	asked, answered int
}

// unresponsive reports whether a majority responded, no instance had a recent
// response from the subject, and at least one is waiting for one.
func (r pollResult) unresponsive() bool {
	return r.responsive == 0 && r.unresponsiveReports > 0 && r.majorityResponded
}

// start begins the poll unless one about the same subject is in progress. The
// requests are sent after the delay, so that the other instances can notice the
// missing response too.
func (p *livenessPoll) start(delay time.Duration) {
	e := p.e
	if e.polls[p.subject] != nil {
		return
	}
	p.reports = map[string]LivenessReport{}
	p.timer.Value = p.sendRequests
	e.polls[p.subject] = p
	if delay == 0 {
		p.sendRequests()
		return
	}
	e.timers.Arm(&p.timer, e.now.Add(delay))
}

// sendRequests asks the other instances and arms the timeout.
func (p *livenessPoll) sendRequests() {
	e := p.e
	for _, i := range p.candidates() {
		if p.polled == p.limit() {
			break
		}
		p.polled++
		e.out.RequestLiveness(i.Node, session.PeerAddress(i.Peer), p.subject)
	}
	p.timer.Value = p.finish
	e.timers.Arm(&p.timer, e.now.Add(pollTimeout))
}

// limit returns the number of instances to ask at most.
func (p *livenessPoll) limit() int {
	if p.askAllHomes {
		return max(len(p.e.homeHolders()), maxPolledInstances)
	}
	return maxPolledInstances
}

// candidates returns the instances that may be polled, in the order in which they are asked.
// Only homes send requests to members, so a poll about a member asks them first; the order
// is arbitrary otherwise.
func (p *livenessPoll) candidates() []Instance {
	e := p.e
	holders := e.homeHolders()
	var first, last []Instance
	for node, i := range e.instances {
		switch {
		case node == e.config.Self.Node || p.excludes(i.Domain):
		case p.subject.Member != "" && holders[node]:
			first = append(first, i.Instance)
		default:
			last = append(last, i.Instance)
		}
	}
	return append(first, last...)
}

// homeHolders returns the nodes that are the home of an account.
func (e *Engine) homeHolders() map[string]bool {
	holders := map[string]bool{}
	for _, s := range e.homes.records {
		if s.record != nil {
			holders[s.record.Node] = true
		}
	}
	return holders
}

// excludes reports whether instances of the failure domain are not polled.
func (p *livenessPoll) excludes(domain core.Domain) bool {
	return p.excludedDomain != "" && domain == p.excludedDomain
}

// handleLivenessReport records another instance's report for the poll in progress
// about its subject. A report without a poll is ignored.
func (e *Engine) handleLivenessReport(report LivenessReport) {
	if poll := e.polls[report.Subject]; poll != nil {
		poll.reports[report.Node] = report
	}
}

// finish evaluates the reports received until the timeout.
func (p *livenessPoll) finish() {
	delete(p.e.polls, p.subject)
	result := pollResult{
		majorityResponded: 2*(len(p.reports)+1) > p.polled+1, asked: p.polled, answered: len(p.reports),
	}
	for _, report := range p.reports {
		switch {
		case report.Known && report.SinceContact < responsiveWithin:
			result.responsive++
		case report.UnresponsiveFor > minUnresponsive:
			result.unresponsiveReports++
		}
	}
	p.e.out.Log(LogEvent{Warning: true, Event: p.event, Message: "polled other instances about a process that does not respond", Fields: map[string]any{
		"member": p.subject.Member, "home": p.subject.Home, "asked": p.polled, "answered": len(p.reports),
		"heard": result.responsive, "silent": result.unresponsiveReports,
	}})
	p.done(result)
}

// pollHome polls the other instances about an unresponsive home and, if none of
// another failure domain gets a response, lets other instances claim its accounts.
// The old home gets no response from them either and limits itself to the share its
// own failure domain used.
func (e *Engine) pollHome(address session.PeerAddress) {
	if e.storeLost {
		return
	}
	poll := &livenessPoll{e: e, subject: session.LivenessSubject{Home: address}, event: "home_silent", excludedDomain: e.domainToExclude(address)}
	poll.done = func(result pollResult) {
		if result.unresponsive() {
			// This instance reaches more than half of the polled instances, so it
			// is not isolated.
			e.homes.claimsSuspendedUntil = time.Time{}
			e.homes.allowReplacement(address, "no instance gets a response from the home", unresponsiveReplaceWindow)
		}
	}
	poll.start(homePollDelay)
}

// domainToExclude returns the failure domain of the instance at the address, which
// may be partitioned together with that instance. It returns "" if there is no
// other domain to poll.
func (e *Engine) domainToExclude(address session.PeerAddress) core.Domain {
	var domain core.Domain
	hasOtherDomain := false
	for _, i := range e.instances {
		if i.Peer == string(address) {
			domain = i.Domain
		}
	}
	for _, i := range e.instances {
		hasOtherDomain = hasOtherDomain || i.Domain != domain
	}
	if !hasOtherDomain {
		return ""
	}
	return domain
}

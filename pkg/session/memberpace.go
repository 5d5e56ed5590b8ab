package session

import (
	"hash/fnv"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/pace"
)

// With AsyncReplication a pacer for each member (package pace) decides from the member's
// answers how many statements of this instance may be in flight. The others wait in the
// member's queue here, which knows their urgency, client account and deadline.

const (
	// recentResponse is the time after a response during which a failure of the
	// member does not count as an outage.
	recentResponse = time.Second
	// groupStart is the time after the first view of a group during which new
	// members count as present from the start: members and instances of a
	// deployment start within some seconds.
	groupStart = 10 * time.Second
	// paceLogInterval is the minimum time between two log lines about a member
	// whose state does not change.
	paceLogInterval = time.Second
	// paceLogFactor is the factor of a change of the allowance from which it is logged
	// although the state does not change.
	paceLogFactor = 2
)

// memberPace is the pacer of one member.
type memberPace struct {
	*pace.Pacer
	// logged is the status that was last logged, at loggedAt; at first it is the initial
	// status, which is not logged.
	logged   pace.Status
	loggedAt time.Time
}

// MemberPace reports how much work the instance sends to a member, for the log.
type MemberPace struct {
	Database core.DatabaseName
	Member   core.MemberID
	pace.Status
	// Waiting is the number of statements that wait for the member.
	Waiting int
}

// newMemberPace returns the pacer of a new member.
func newMemberPace(m *member) *memberPace {
	e := m.db.e
	p := &memberPace{Pacer: pace.New(e.charts.pace, e.now, m.paceLimits(), pacePhase(m.id, e.now))}
	p.logged = p.Status()
	return p
}

// paced reports whether the members have pacers.
func (db *database) paced() bool {
	return len(db.members) > 0 && db.members[0].pace != nil
}

// pacePhase returns a number from 0 to 1 that differs from instance to instance, without
// an exchange of messages: a hash of the member and of the time in nanoseconds at which
// this instance creates the member's state.
func pacePhase(id core.MemberID, now time.Time) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte(now.Format(time.StampNano)))
	return float64(h.Sum32()) / (1 << 32)
}

// paceLimits returns the limits of the member's pacer.
func (m *member) paceLimits() pace.Limits {
	return pace.Limits{Slots: m.slots, Homes: m.db.e.sendingInstances()}
}

// sendingInstances returns the number of instances that may send statements to
// members: the homes, or all instances while an account has no home.
func (e *Engine) sendingInstances() int {
	homes := len(e.homeAddresses)
	for _, home := range e.homes {
		if home.Local {
			homes++
			break
		}
	}
	for name := range e.accounts {
		if _, known := e.homes[name]; !known {
			return max(homes, len(e.instances), 1)
		}
	}
	return max(homes, 1)
}

// memberReturned records that the member appeared or came back.
func (m *member) memberReturned(reason string) {
	if m.pace == nil {
		return
	}
	m.pace.SetLimits(m.paceLimits())
	m.pace.Return(m.db.e.now, reason)
	m.paceChanged()
}

// memberFailed records that the member was set aside, or is used again after that. If it
// has responded within recentResponse, it counts as overloaded, otherwise as returned.
func (m *member) memberFailed(reason string) {
	e := m.db.e
	if !m.lastResponse.IsZero() && e.now.Sub(m.lastResponse) < recentResponse {
		m.paceAnswer(pace.Answer{Kind: pace.Lost})
		return
	}
	m.memberReturned(reason)
}

// paceViews compares the new views of the members with the previous ones. Members of the
// views during groupStart count as running for long, unless they have just started.
func (db *database) paceViews(previous map[*member]MemberView) {
	first := db.viewSince.IsZero() || db.e.now.Sub(db.viewSince) < groupStart
	for _, m := range db.members {
		if !m.hasView || m.pace == nil {
			continue
		}
		if db.viewSince.IsZero() {
			db.viewSince = db.e.now
		}
		before, had := previous[m]
		m.paceView(before, had, first)
	}
}

// paceView compares the view of the member with the previous one, if it had one.
func (m *member) paceView(previous MemberView, had, firstOfGroup bool) {
	view := &m.view
	m.pace.SetLimits(m.paceLimits())
	m.pace.SetBound(m.db.e.now, m.db.warmupBound(view))
	switch {
	case had && !previous.Started.IsZero() && view.Started.After(previous.Started):
		m.memberReturned("the member has restarted")
	case had && !previous.Reachable && view.Reachable:
		m.memberFailed("the member is reachable again")
	case !had && (!firstOfGroup || m.startedRecently()):
		m.memberReturned("the member is new")
	}
}

// startedRecently reports whether the member's process has just started and
// another member of its group is older. A group that starts as a whole has no
// member that could take over the work.
func (m *member) startedRecently() bool {
	if !m.view.JustStarted {
		return false
	}
	for _, other := range m.db.members {
		if other.hasView && !other.view.JustStarted {
			return true
		}
	}
	return false
}

// warmupBound returns this instance's part of the configured bound of a cold
// member, without a limit if none is configured. The overage and the slack that
// the bound permits remain as a margin for homes whose statements coincide.
func (db *database) warmupBound(view *MemberView) pace.Bound {
	if db.warmupPerSecond <= 0 || view.ColdUntil.IsZero() {
		return pace.Bound{}
	}
	return pace.Bound{PerSecond: db.warmupPerSecond / float64(db.e.sendingInstances()), Until: view.ColdUntil}
}

// pacePromotion records a change of the primary. The first primary that the
// instance sees was not promoted.
func (db *database) pacePromotion() {
	p := db.primary
	if p == nil || p == db.pacedPrimary {
		return
	}
	if db.hadPrimary && p.pace != nil {
		p.pace.SetLimits(p.paceLimits())
		p.pace.Promote(db.e.now)
		p.paceChanged()
	}
	db.hadPrimary, db.pacedPrimary = true, p
}

// paceAnswer passes an answer of the member to its pacer.
func (m *member) paceAnswer(a pace.Answer) {
	if m.pace == nil {
		return
	}
	a.Peers = m.peerTime()
	m.pace.Answer(m.db.e.now, a)
	m.paceChanged()
}

// peerTime returns the lowest usual answer time of the group's other members, 0
// if unknown.
func (m *member) peerTime() time.Duration {
	lowest := time.Duration(0)
	for _, other := range m.db.members {
		if other == m || other.pace == nil {
			continue
		}
		if usual := other.pace.Usual(); usual > 0 && (lowest == 0 || usual < lowest) {
			lowest = usual
		}
	}
	return lowest
}

// paceReady passes the answer to a request on to the member's pacer. Refusals
// for the position or the role say nothing about the load, and failures in a
// transaction may be caused by its earlier statements.
func (m *member) paceReady(s *statement, in *TargetReady) {
	took := m.db.e.now.Sub(s.sentAt)
	switch {
	case in.Rejection == RejectionBusy:
		m.paceAnswer(pace.Answer{Kind: pace.Busy, Took: took})
	case in.Rejection != RejectionNone:
	case in.ErrorCode == "":
		m.paceAnswer(pace.Answer{Kind: pace.OK, Took: took})
	case !s.startedInTx:
		m.paceAnswer(pace.Answer{Kind: pace.Failed, Took: took})
	}
}

// maxInFlight returns how many statements of this instance may be in flight on the
// member.
func (m *member) maxInFlight() int {
	if m.pace == nil {
		return m.slots
	}
	return min(m.slots, m.pace.MaxInFlight())
}

// mayStart reports whether the pacer permits another queued statement now. If
// not, it arranges a dispatch for the time from which it does.
func (m *member) mayStart() bool {
	if m.pace == nil {
		return true
	}
	ok, retryAt := m.pace.MayStart(m.db.e.now, m.running())
	if !ok && !retryAt.IsZero() {
		m.db.armCheck(retryAt)
	}
	return ok
}

// lacksConnection reports whether statements wait for a connection of their
// account.
func (m *member) lacksConnection() bool {
	lacks := false
	m.queue.Waiting(func(account core.AccountName, items int) bool {
		lacks = m.needsConnection(account, items)
		return !lacks
	})
	return lacks
}

// paceStarted records that a statement was sent to the member.
func (m *member) paceStarted() {
	if m.pace != nil {
		m.pace.Started(m.db.e.now)
	}
}

// mayProbe reports whether the member may be probed. A probe counts as a statement
// of the configured bound of a cold member.
func (m *member) mayProbe() bool {
	if m.pace == nil || !m.pace.Bounded() {
		return true
	}
	if !m.mayStart() {
		return false
	}
	m.paceStarted()
	return true
}

// allowanceUsedUp reports whether a new statement would have to wait because of
// the pacer.
func (m *member) allowanceUsedUp() bool {
	if m.pace == nil || !m.pace.Limits() {
		return false
	}
	ok, _ := m.pace.MayStart(m.db.e.now, m.running()+m.queue.Len())
	return !ok
}

// paceWait returns how long the pauses between starts keep a new statement
// waiting that has the given number of statements ahead of it.
func (m *member) paceWait(ahead int) time.Duration {
	if m.pace == nil {
		return 0
	}
	return m.pace.Wait(m.db.e.now, ahead)
}

// paceChanged logs a change of the pacer's state, and large changes of its
// allowance at intervals. A larger allowance may let queued statements start.
func (m *member) paceChanged() {
	e := m.db.e
	status := m.pace.Status()
	if status.Allowance > m.pace.logged.Allowance && m.queue.Len() > 0 {
		e.scheduleDispatch(m)
	}
	last := &m.pace.logged
	if status.State == last.State {
		factor := status.Allowance / last.Allowance
		small := factor < paceLogFactor && factor > 1.0/paceLogFactor
		if small || e.now.Sub(m.pace.loggedAt) < paceLogInterval {
			return
		}
	}
	*last, m.pace.loggedAt = status, e.now
	e.outbox.out.LogMemberPace(MemberPace{Database: m.db.name, Member: m.id, Status: status, Waiting: m.waitingCount()})
}

// PaceMetrics describes the pacers of one database.
type PaceMetrics struct {
	// Allowance is the sum over the members, Limited the number of members whose
	// pacer limits their work beyond their slots.
	Allowance float64 `json:"allowance"`
	Limited   int     `json:"limited"`
	// Delayed counts the statements that had to wait because of a pacer.
	Delayed uint64 `json:"delayed"`
}

// paceMetrics returns the present figures by database.
func (e *Engine) paceMetrics() map[core.DatabaseName]PaceMetrics {
	metrics := map[core.DatabaseName]PaceMetrics{}
	for name, db := range e.databases {
		p := PaceMetrics{Delayed: db.delayed}
		for _, m := range db.members {
			if m.pace == nil {
				continue
			}
			p.Allowance += m.pace.Status().Allowance
			if m.pace.Limits() {
				p.Limited++
			}
		}
		metrics[name] = p
	}
	return metrics
}

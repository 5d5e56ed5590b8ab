package failover

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// maxAppliedRequests bounds the pending requests of RequestApplied.
const maxAppliedRequests = 64

// confirmations tracks the commits that wait for a majority.
type confirmations struct {
	// requested is the greatest position that was requested and is not confirmed.
	requested core.Position
	// committed is the greatest commit position. The primary of its term has
	// received the log up to this position, because it has committed there.
	committed core.Position
	// confirmed is the greatest position that a majority has received.
	confirmed core.Position
	// unsent is set while confirmed has to be published.
	unsent bool
}

// dropOlderTerms discards positions of terms before the given one. The outcome
// of their writes stays uncertain.
func (c *confirmations) dropOlderTerms(term core.Term) {
	if c.requested.Term < term {
		c.requested = core.Position{}
	}
	if c.confirmed.Term < term {
		c.confirmed = core.Position{}
		c.unsent = false
	}
}

// RequestConfirm requests a ConfirmedUpTo that covers the position. A position of
// a term that is no longer current is never confirmed.
func (g *Group) RequestConfirm(now time.Time, in session.ConfirmRequest) {
	g.beginInput(now)
	g.requestConfirmation(in.Position)
	g.endInput()
}

// requestConfirmation adds the position to the confirmations. A position of a
// term whose primary is not known here yet speeds up the heartbeat.
func (g *Group) requestConfirmation(p core.Position) {
	c := &g.confirm
	if p.Term < g.newestTerm {
		return
	}
	if p.After(c.committed) {
		c.committed = p
	}
	if !p.After(c.confirmed) {
		c.unsent = true
		return
	}
	if p.After(c.requested) {
		c.requested = p
	}
	if p.Term > g.term {
		g.useFastHeartbeat()
	}
}

// advanceConfirm publishes the position that a majority has received.
func (g *Group) advanceConfirm() {
	c := &g.confirm
	if !g.hasPrimary() {
		c.dropOlderTerms(g.newestTerm)
		return
	}
	if c.requested.Term == g.term {
		g.updateConfirmed()
	}
	if c.unsent {
		c.unsent = !g.out.Confirmed(session.ConfirmedUpTo{Database: g.database.Name, Position: c.confirmed})
	}
}

// updateConfirmed raises the confirmed position to what a majority has received.
func (g *Group) updateConfirmed() {
	c := &g.confirm
	p := core.Position{Term: g.term, LSN: g.majorityReceived()}
	if p.LSN > 0 && p.After(c.confirmed) {
		c.confirmed = p
		c.unsent = true
	}
	if !c.requested.After(c.confirmed) {
		c.requested = core.Position{}
	}
}

// majorityReceived returns the greatest log position of the current term that a
// majority has received.
func (g *Group) majorityReceived() core.LSN {
	received := make([]core.LSN, 0, len(g.members))
	for _, m := range g.members {
		received = append(received, m.receivedInTerm())
	}
	slices.Sort(received)
	return received[len(received)-g.majority()]
}

// receivedInTerm returns the greatest log position of the current term that the
// member is known to have received; 0 for none.
func (m *member) receivedInTerm() core.LSN {
	g := m.group
	lsn := core.LSN(0)
	if m.received.Term == g.term {
		lsn = m.received.LSN
	}
	if m == g.primary && g.confirm.committed.Term == g.term {
		lsn = max(lsn, g.confirm.committed.LSN)
	}
	return lsn
}

// appliedRequest asks for a view as soon as a replica has applied the position.
type appliedRequest struct {
	position core.Position
	expires  time.Time
}

// RequestApplied requests a view as soon as a replica has applied the position. The
// request is dropped after WaitTimeout, or at once when too many are pending.
func (g *Group) RequestApplied(now time.Time, in session.AppliedRequest) {
	g.beginInput(now)
	if len(g.appliedRequests) < maxAppliedRequests {
		g.appliedRequests = append(g.appliedRequests, appliedRequest{position: in.Position, expires: now.Add(g.config.WaitTimeout)})
	}
	g.endInput()
}

// advanceApplied makes the view urgent when a replica has applied a requested
// position, and removes the requests that are done or have expired.
func (g *Group) advanceApplied() {
	g.appliedRequests = slices.DeleteFunc(g.appliedRequests, func(r appliedRequest) bool {
		reached := g.anyReplicaCovers(r.position)
		g.view.urgent = g.view.urgent || reached
		return reached || !g.now.Before(r.expires)
	})
}

// anyReplicaCovers reports whether a reachable replica has applied the position.
func (g *Group) anyReplicaCovers(p core.Position) bool {
	return slices.ContainsFunc(g.members, func(m *member) bool {
		return m != g.primary && m.reachable() && m.status.Covers(p)
	})
}

// sendWait sends a call that the member answers as soon as it has received the
// greatest pending position, so that one call covers all pending writes. If none
// is missing, the call waits for the lowest position of the applied requests.
func (m *member) sendWait() {
	g := m.group
	if !m.needsWait() || !m.waitCall.canSend(g.now) {
		return
	}
	c := MemberCall{Method: MethodWait, Term: g.term, Hold: g.config.WaitTimeout}
	c.Timeout = g.config.WaitTimeout + g.config.DetectionBound
	c.Received = m.missingReceived()
	if c.Received == 0 {
		c.Applied = m.missingApplied()
	}
	m.startCall(&m.waitCall, c)
}

// needsWait reports whether the member is a replica of the current term that lacks
// a requested position.
func (m *member) needsWait() bool {
	g := m.group
	if m == g.primary || !g.hasPrimary() || !m.hasStatus || m.isBehind() || m.status.Term != g.term {
		return false
	}
	return m.missingReceived() > 0 || m.missingApplied() > 0
}

// missingReceived returns the requested position if the member has not received
// it; 0 otherwise.
func (m *member) missingReceived() core.LSN {
	requested := m.group.confirm.requested
	if requested.Term != m.group.term || m.receivedInTerm() >= requested.LSN {
		return 0
	}
	return requested.LSN
}

// missingApplied returns the lowest requested position of the current term that
// no replica has applied; 0 for none.
func (m *member) missingApplied() core.LSN {
	lowest := core.LSN(0)
	for _, r := range m.group.appliedRequests {
		if r.position.Term != m.group.term {
			continue
		}
		if lowest == 0 || r.position.LSN < lowest {
			lowest = r.position.LSN
		}
	}
	return lowest
}

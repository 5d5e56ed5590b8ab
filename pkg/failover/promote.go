package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// command is a kind of command to the members. Chart actions select it.
type command uint8

const (
	// commandFollow makes members that are behind join the current term.
	commandFollow command = iota
	// commandFence makes the members stop work of older terms.
	commandFence
	// commandPromote makes the chosen member the primary.
	commandPromote
)

// fenceResult is the result of a member's fence call for the open claim.
type fenceResult struct {
	// done is set once the member has accepted the fence at position.
	done     bool
	failed   bool
	position core.Position
}

// beginFencing starts the fence calls of the claim that was won.
func (g *Group) beginFencing() {
	g.claim.wonAt = g.now
	g.wonTerm = g.claim.record.Term
	g.claim.majorityAt = time.Time{}
	g.command = commandFence
	g.chosen = nil
	g.log(EventClaimWon, "", g.claim.record.Nonce)
	for _, m := range g.members {
		m.fence = fenceResult{}
		m.commandCall.notBefore = time.Time{}
	}
	g.useFastHeartbeat()
}

// recordFenceResult takes the position of a member that has accepted the fence
// of the open claim. The position cannot change until the member follows a
// primary.
func (m *member) recordFenceResult(call pendingCall, s core.MemberStatus) {
	g := m.group
	term := g.wonTerm
	if g.command != commandFence || call.method != MethodFence || call.term != term || s.Term != term {
		return
	}
	m.fence.done = true
	m.fence.position = core.Position{Term: s.LogTerm, LSN: s.Received}
}

// checkFenced fires "fenced" once a majority is fenced and, for a planned change,
// the other members have responded or FenceGrace has passed.
func (g *Group) checkFenced() {
	if g.command != commandFence || g.fencedCount() < g.majority() {
		return
	}
	if g.claim.majorityAt.IsZero() {
		g.claim.majorityAt = g.now
	}
	if g.now.Before(g.fenceGraceEnd()) && !g.allFenceCallsEnded() {
		return
	}
	g.fire(g.rules.groupEvents.fenced)
}

// fenceGraceEnd returns when the wait for fence responses beyond a majority ends.
func (g *Group) fenceGraceEnd() time.Time {
	if g.preferred == "" {
		return g.claim.majorityAt
	}
	return g.claim.majorityAt.Add(g.config.FenceGrace)
}

// fenceGraceDue returns when the fence grace ends; zero if none is running.
func (g *Group) fenceGraceDue() time.Time {
	if g.command != commandFence || g.claim.majorityAt.IsZero() {
		return time.Time{}
	}
	return g.fenceGraceEnd()
}

func (g *Group) fencedCount() int {
	n := 0
	for _, m := range g.members {
		if m.fence.done {
			n++
		}
	}
	return n
}

// allFenceCallsEnded reports whether every member is fenced or has failed.
func (g *Group) allFenceCallsEnded() bool {
	for _, m := range g.members {
		if !m.fence.done && !m.fence.failed {
			return false
		}
	}
	return true
}

// promote chooses the member to promote, whose command is sent at the end of the
// input. The choice is final for the term: a second primary in one term could
// confirm diverging writes.
func (g *Group) promote() {
	g.claim.fencedAt = g.now
	g.command = commandPromote
	for _, m := range g.members {
		if m.fence.done && (g.chosen == nil || g.isBetterChoice(m, g.chosen)) {
			g.chosen = m
		}
	}
	g.chosen.commandCall.notBefore = time.Time{}
	g.log(EventMajorityFenced, g.chosen.id, g.chosen.fence.position.String())
}

// isBetterChoice reports whether a is a better primary than b. A greater log
// position always wins. Among equal positions the preferred member wins, then any
// member other than the previous primary, then the lower latency.
func (g *Group) isBetterChoice(a, b *member) bool {
	if a.fence.position != b.fence.position {
		return a.fence.position.After(b.fence.position)
	}
	if (a.id == g.preferred) != (b.id == g.preferred) {
		return a.id == g.preferred
	}
	if (a == g.claim.previous) != (b == g.claim.previous) {
		return b == g.claim.previous
	}
	return a.latency < b.latency
}

// giveUpChosenMember prepares the claim of the next term after the chosen member
// did not become the primary in time, because no other member may be promoted in
// the same term.
func (g *Group) giveUpChosenMember() {
	g.reason = ReasonMemberStopped
}

// finishPromotion records the end of the promotion and makes the other members
// follow the new primary.
func (g *Group) finishPromotion() {
	g.claim.promotedAt = g.now
	g.command = commandFollow
	g.log(EventMemberPromoted, g.primary.id, "")
	for _, m := range g.members {
		m.commandCall.notBefore = time.Time{}
	}
}

// reportPrimaryChange logs and publishes the durations of the finished change.
func (g *Group) reportPrimaryChange() {
	c := g.claim
	r := Report{
		Database:     g.database.Name,
		Term:         g.term,
		Primary:      g.primary.id,
		Reason:       g.reason,
		Detection:    c.sentAt.Sub(c.lastContact),
		Decision:     c.wonAt.Sub(c.sentAt),
		Fencing:      c.fencedAt.Sub(c.wonAt),
		Promotion:    c.promotedAt.Sub(c.fencedAt),
		Announcement: g.now.Sub(c.promotedAt),
	}
	if c.previous != nil {
		r.Previous = c.previous.id
	}
	g.log(EventPrimaryAnnounced, r.Primary, string(r.Reason))
	g.out.ChangeFinished(r)
}

// resetPrimaryChange discards the state of a change of primary. A claim of a
// newer term than the current one stays open.
func (g *Group) resetPrimaryChange() {
	g.command = commandFollow
	g.claim.open = g.claim.open && g.claim.record.Term > g.term
	g.chosen = nil
	g.preferred = ""
	g.reason = ReasonUnresponsive
	g.recordUpToDate = false
	g.claimableSince = time.Time{}
}

// sendCommand sends the command that the member needs.
func (m *member) sendCommand() {
	if !m.needsCommand() || !m.commandCall.canSend(m.group.now) {
		return
	}
	c := m.nextCommand()
	c.Timeout = m.group.config.CommandTimeout
	m.commandCall.notBefore = m.group.now.Add(m.group.config.FastHeartbeat)
	m.startCall(&m.commandCall, c)
}

// nextCommand returns the call for the group's command.
func (m *member) nextCommand() MemberCall {
	g := m.group
	if g.command == commandFence {
		return MemberCall{Method: MethodFence, Term: g.wonTerm}
	}
	if g.command == commandPromote {
		return MemberCall{Method: MethodPromote, Term: g.wonTerm}
	}
	return MemberCall{Method: MethodFollow, Term: g.term, Primary: g.primary.address, Start: g.termStart}
}

// needsCommand reports whether the group's command has to be sent to the member.
func (m *member) needsCommand() bool {
	g := m.group
	if g.command == commandFence {
		return !m.fence.done
	}
	if g.command == commandPromote {
		return m == g.chosen
	}
	return m.needsFollow()
}

// needsFollow reports whether the member has not joined the current primary.
func (m *member) needsFollow() bool {
	g := m.group
	if !g.hasPrimary() || !g.termStartKnown || m == g.primary || !m.hasStatus {
		return false
	}
	return m.isBehind()
}

// Switchover starts a planned change of primary: a failover without detection,
// which promotes the named member if no other fenced member has a greater log
// position. It returns a *SwitchoverError if the change cannot start now.
func (g *Group) Switchover(now time.Time, to core.MemberID) error {
	g.beginInput(now)
	defer g.endInput()
	if err := g.checkSwitchover(to); err != nil {
		return err
	}
	g.preferred = to
	g.reason = ReasonPlanned
	g.fire(g.rules.groupEvents.planned)
	return nil
}

// checkSwitchover returns a *SwitchoverError if a change cannot start now.
func (g *Group) checkSwitchover(to core.MemberID) error {
	m := g.member(to)
	if m == nil {
		return &SwitchoverError{Reason: "unknown member " + string(to)}
	}
	if m == g.primary {
		return &SwitchoverError{Reason: string(to) + " is the primary"}
	}
	if !m.reachable() {
		return &SwitchoverError{Reason: string(to) + " does not answer"}
	}
	if g.state != g.rules.healthy || !g.recordKnown {
		return &SwitchoverError{Reason: "the group is " + g.State()}
	}
	return nil
}

// SwitchoverError reports that a planned change of primary was not started.
type SwitchoverError struct {
	Reason string
}

func (e *SwitchoverError) Error() string {
	return "planned change of primary not started: " + e.Reason
}

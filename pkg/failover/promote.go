package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// orderKind tells which orders the members get. It is set by chart actions.
type orderKind uint8

const (
	// ordersJoin brings members into the term in force (follow).
	ordersJoin orderKind = iota
	// ordersFence stops the older terms.
	ordersFence
	// ordersPromote makes the chosen member the primary.
	ordersPromote
)

// fenceAnswer is what a member answered to the fence of the open claim.
type fenceAnswer struct {
	done     bool
	failed   bool
	position core.Position
}

func (g *Group) beginFencing() {
	g.claim.wonAt = g.now
	g.orderTerm = g.claim.record.Term
	g.claim.majorityAt = time.Time{}
	g.orders = ordersFence
	g.chosen = nil
	g.note(EventClaimWon, "", g.claim.record.Nonce)
	for _, m := range g.members {
		m.fence = fenceAnswer{}
		m.order.notUntil = time.Time{}
	}
	g.hurry()
}

// keepFence takes the position of a member that answered the open claim's
// fence. From then on the position cannot change before the member follows.
func (m *member) keepFence(done lane, s core.MemberStatus) {
	g := m.group
	term := g.orderTerm
	if g.orders != ordersFence || done.method != MethodFence || done.term != term || s.Term != term {
		return
	}
	m.fence.done = true
	m.fence.position = core.Position{Term: s.LogTerm, LSN: s.Received}
}

// checkFenced fires "fenced" once a majority has answered and, for a planned
// change, the others had the chance to.
func (g *Group) checkFenced() {
	if g.orders != ordersFence || g.fencedCount() < g.majority() {
		return
	}
	if g.claim.majorityAt.IsZero() {
		g.claim.majorityAt = g.now
	}
	if g.now.Before(g.settleEnd()) && !g.allFenced() {
		return
	}
	g.fire(g.rules.events.fenced)
}

func (g *Group) settleEnd() time.Time {
	if g.preferred == "" {
		return g.claim.majorityAt
	}
	return g.claim.majorityAt.Add(g.config.SettleBound)
}

func (g *Group) settleDue() time.Time {
	if g.orders != ordersFence || g.claim.majorityAt.IsZero() {
		return time.Time{}
	}
	return g.settleEnd()
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

func (g *Group) allFenced() bool {
	for _, m := range g.members {
		if !m.fence.done && !m.fence.failed {
			return false
		}
	}
	return true
}

// promote chooses the member and sends its order. The choice is final for the
// term: a second primary in one term could confirm diverging writes.
func (g *Group) promote() {
	g.claim.fencedAt = g.now
	g.orders = ordersPromote
	for _, m := range g.members {
		if m.fence.done && (g.chosen == nil || g.better(m, g.chosen)) {
			g.chosen = m
		}
	}
	g.chosen.order.notUntil = time.Time{}
	g.note(EventMajorityFenced, g.chosen.id, g.chosen.fence.position.String())
}

// better reports whether a is the better choice: the greater position always
// wins; among equals the preferred member, then not the old primary, then the
// nearest one.
func (g *Group) better(a, b *member) bool {
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

// giveUpMember prepares the claim of the next term, because no other member
// may be promoted in this one.
func (g *Group) giveUpMember() {
	g.reason = ReasonMember
}

func (g *Group) finishPromotion() {
	g.claim.promotedAt = g.now
	g.orders = ordersJoin
	g.note(EventPromoted, g.primary.id, "")
	for _, m := range g.members {
		m.order.notUntil = time.Time{}
	}
}

func (g *Group) report() {
	c := g.claim
	r := Report{
		Database:     g.database.Name,
		Term:         g.term,
		Primary:      g.primary.id,
		Reason:       g.reason,
		Detection:    c.sentAt.Sub(c.lastSign),
		Decision:     c.wonAt.Sub(c.sentAt),
		Fencing:      c.fencedAt.Sub(c.wonAt),
		Promotion:    c.promotedAt.Sub(c.fencedAt),
		Announcement: g.now.Sub(c.promotedAt),
	}
	if c.previous != nil {
		r.Previous = c.previous.id
	}
	g.note(EventAnnounced, r.Primary, string(r.Reason))
	g.out.Finished(r)
}

// settleHealthy ends a change of primary.
func (g *Group) settleHealthy() {
	g.orders = ordersJoin
	g.claim.open = g.claim.open && g.claim.record.Term > g.term
	g.chosen = nil
	g.preferred = ""
	g.reason = ReasonSilent
	g.recordRead = false
	g.lostSince = time.Time{}
}

// sendOrder issues the order that the member needs now.
func (m *member) sendOrder() {
	if !m.wantsOrder() || !m.order.free(m.group.now) {
		return
	}
	c := m.nextOrder()
	c.Timeout = m.group.config.OrderTimeout
	m.order.notUntil = m.group.now.Add(m.group.config.FastHeartbeat)
	m.call(&m.order, c)
}

func (m *member) nextOrder() MemberCall {
	g := m.group
	if g.orders == ordersFence {
		return MemberCall{Method: MethodFence, Term: g.orderTerm}
	}
	if g.orders == ordersPromote {
		return MemberCall{Method: MethodPromote, Term: g.orderTerm}
	}
	return MemberCall{Method: MethodFollow, Term: g.term, Primary: g.primary.address, Start: g.start}
}

func (m *member) wantsOrder() bool {
	g := m.group
	if g.orders == ordersFence {
		return !m.fence.done
	}
	if g.orders == ordersPromote {
		return m == g.chosen
	}
	return m.needsFollow()
}

// needsFollow reports whether the member has not joined the primary in force.
func (m *member) needsFollow() bool {
	g := m.group
	if !g.hasPrimary() || !g.startKnown || m == g.primary || !m.seen {
		return false
	}
	return m.isBehind()
}

// Switchover starts a planned change of primary: the path of a failover
// without detection, which prefers the named member if it holds the greatest
// position. It returns a *SwitchoverError when the group cannot change now.
func (g *Group) Switchover(now time.Time, to core.MemberID) error {
	g.enter(now)
	if err := g.switchoverFault(to); err != nil {
		return err
	}
	g.preferred = to
	g.reason = ReasonPlanned
	g.fire(g.rules.events.planned)
	g.settle()
	return nil
}

func (g *Group) switchoverFault(to core.MemberID) error {
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

// SwitchoverError reports a planned change that was not started.
type SwitchoverError struct {
	Reason string
}

func (e *SwitchoverError) Error() string {
	return "planned change of primary not started: " + e.Reason
}

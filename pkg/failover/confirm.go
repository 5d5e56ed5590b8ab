package failover

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// maxApplied bounds the positions for which a refreshed view was asked.
const maxApplied = 64

// confirmations are the commits that wait for a majority.
type confirmations struct {
	// want is the greatest position asked for and not confirmed.
	want core.Position
	// committed is the greatest commit position; it shows that the primary of
	// its term has received it.
	committed core.Position
	// confirmed is the greatest position that a majority has received.
	confirmed core.Position
	unsent    bool
}

// enterTerm drops what is of an older term: its writes stay uncertain.
func (c *confirmations) enterTerm(term core.Term) {
	if c.want.Term < term {
		c.want = core.Position{}
	}
	if c.confirmed.Term < term {
		c.confirmed = core.Position{}
		c.unsent = false
	}
}

// NeedConfirm asks for a ConfirmedUpTo that covers the position. A position of
// a term that has been passed is never confirmed.
func (g *Group) NeedConfirm(now time.Time, in session.NeedConfirm) {
	g.enter(now)
	g.wantConfirmed(in.Position)
	g.settle()
}

func (g *Group) wantConfirmed(p core.Position) {
	c := &g.confirm
	if p.Term < g.known {
		return
	}
	if p.After(c.committed) {
		c.committed = p
	}
	if !p.After(c.confirmed) {
		c.unsent = true
		return
	}
	if p.After(c.want) {
		c.want = p
	}
	if p.Term > g.term {
		g.hurry()
	}
}

// advanceConfirm publishes what a majority has received by now.
func (g *Group) advanceConfirm() {
	c := &g.confirm
	if !g.hasPrimary() {
		c.enterTerm(g.known)
		return
	}
	if c.want.Term == g.term {
		g.raiseConfirmed()
	}
	if c.unsent {
		c.unsent = !g.out.Confirmed(session.ConfirmedUpTo{Database: g.database.Name, Position: c.confirmed})
	}
}

func (g *Group) raiseConfirmed() {
	c := &g.confirm
	p := core.Position{Term: g.term, LSN: g.majorityReceived()}
	if p.LSN > 0 && p.After(c.confirmed) {
		c.confirmed = p
		c.unsent = true
	}
	if !c.want.After(c.confirmed) {
		c.want = core.Position{}
	}
}

// majorityReceived returns the greatest log position of the term in force that
// a majority has received.
func (g *Group) majorityReceived() core.LSN {
	received := make([]core.LSN, 0, len(g.members))
	for _, m := range g.members {
		received = append(received, m.receivedInTerm())
	}
	slices.Sort(received)
	return received[len(received)-g.majority()]
}

// receivedInTerm returns what the member is known to have received of the term
// in force; 0 for nothing.
func (m *member) receivedInTerm() core.LSN {
	g := m.group
	lsn := core.LSN(0)
	if m.got.Term == g.term {
		lsn = m.got.LSN
	}
	if m == g.primary && g.confirm.committed.Term == g.term {
		lsn = max(lsn, g.confirm.committed.LSN)
	}
	return lsn
}

// appliedWant is a position for which a refreshed view was asked.
type appliedWant struct {
	position core.Position
	until    time.Time
}

// NeedApplied asks for a view as soon as a replica has applied the position.
func (g *Group) NeedApplied(now time.Time, in session.NeedApplied) {
	g.enter(now)
	if len(g.applied) < maxApplied {
		g.applied = append(g.applied, appliedWant{position: in.Position, until: now.Add(g.config.WaitTimeout)})
	}
	g.settle()
}

// advanceApplied publishes at once when a replica reached a position that was
// asked for.
func (g *Group) advanceApplied() {
	g.applied = slices.DeleteFunc(g.applied, func(w appliedWant) bool {
		reached := g.anyCovers(w.position)
		g.view.urgent = g.view.urgent || reached
		return reached || !g.now.Before(w.until)
	})
}

func (g *Group) anyCovers(p core.Position) bool {
	return slices.ContainsFunc(g.members, func(m *member) bool {
		return m != g.primary && m.reachable() && m.status.Covers(p)
	})
}

// sendWait asks the member to answer as soon as it has the greatest pending
// position, so that one call covers all pending writes.
func (m *member) sendWait() {
	g := m.group
	if !m.wantsWait() || !m.wait.free(g.now) {
		return
	}
	c := MemberCall{Method: MethodWait, Term: g.term, Hold: g.config.WaitTimeout}
	c.Timeout = g.config.WaitTimeout + g.config.SilenceBound
	c.Received = m.missingReceived()
	if c.Received == 0 {
		c.Applied = m.missingApplied()
	}
	m.call(&m.wait, c)
}

func (m *member) wantsWait() bool {
	g := m.group
	if m == g.primary || !g.hasPrimary() || !m.seen || m.isBehind() || m.status.Term != g.term {
		return false
	}
	return m.missingReceived() > 0 || m.missingApplied() > 0
}

// missingReceived returns the position that the member has to receive before
// pending writes can be confirmed; 0 for none.
func (m *member) missingReceived() core.LSN {
	want := m.group.confirm.want
	if want.Term != m.group.term || m.receivedInTerm() >= want.LSN {
		return 0
	}
	return want.LSN
}

// missingApplied returns the lowest position of the term in force that a view
// was asked for; 0 for none.
func (m *member) missingApplied() core.LSN {
	lowest := core.LSN(0)
	for _, w := range m.group.applied {
		if w.position.Term != m.group.term {
			continue
		}
		if lowest == 0 || w.position.LSN < lowest {
			lowest = w.position.LSN
		}
	}
	return lowest
}

package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// floorRounds asks for the position that covers every acknowledged write. A
// write that was acknowledged before the round began is on a majority, so the
// first majority of answers includes a member that has it.
type floorRounds struct {
	active  bool
	round   uint64
	started time.Time
	// queued is the greatest round asked for since the active one began.
	queued uint64
	// answers holds the members that answered the active round.
	answers map[*member]core.Position
	// last is the newest answer; unsent while it has to be offered again.
	last   session.FloorAnswer
	unsent bool
}

// NeedFloor asks for a FloorAnswer of at least the round.
func (g *Group) NeedFloor(now time.Time, in session.NeedFloor) {
	g.enter(now)
	f := &g.floor
	switch {
	case in.Round <= f.last.Round && f.last.Database != "":
		f.unsent = true
	case f.active:
		f.queued = max(f.queued, in.Round)
	default:
		g.beginFloor(in.Round)
	}
	g.settle()
}

func (g *Group) beginFloor(round uint64) {
	f := &g.floor
	f.active = true
	f.round = round
	f.started = g.now
	f.queued = 0
	f.answers = make(map[*member]core.Position, len(g.members))
	for _, m := range g.members {
		m.probeNow()
	}
}

// floorAnswered counts an answer that was asked for after the round began.
func (g *Group) floorAnswered(m *member, in MemberAnswered) {
	f := &g.floor
	if !f.active || in.Asked.Before(f.started) {
		return
	}
	f.answers[m] = core.Position{Term: in.Status.LogTerm, LSN: in.Status.Received}
}

// advanceFloor ends the round at the first majority and starts the next one.
func (g *Group) advanceFloor() {
	f := &g.floor
	if f.active && len(f.answers) >= g.majority() {
		f.active = false
		f.last = session.FloorAnswer{Database: g.database.Name, Round: f.round, Position: f.highest()}
		f.unsent = true
		if f.queued > f.round {
			g.beginFloor(f.queued)
		}
	}
	if f.unsent {
		f.unsent = !g.out.Floor(f.last)
	}
}

// highest returns the greatest position by term first: lsns of different log
// terms do not compare.
func (f *floorRounds) highest() core.Position {
	var highest core.Position
	for _, p := range f.answers {
		if p.After(highest) {
			highest = p
		}
	}
	return highest
}

package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// floorRounds determines, round by round, a position that covers every
// acknowledged write. A write that was acknowledged before a round began is on a
// majority, so any majority of responses includes a member that has it.
type floorRounds struct {
	active  bool
	round   uint64
	started time.Time
	// queued is the greatest round requested since the active one began.
	queued uint64
	// responses has the position of each member that has responded in the active
	// round.
	responses map[*member]core.Position
	// last is the result of the newest finished round.
	last session.FloorResult
	// unsent is set while last has to be published.
	unsent bool
}

// RequestFloor requests a FloorResult of at least the given round. A round that has
// finished is published again.
func (g *Group) RequestFloor(now time.Time, in session.FloorRequest) {
	g.beginInput(now)
	f := &g.floor
	switch {
	case in.Round <= f.last.Round && f.last.Database != "":
		f.unsent = true
	case f.active:
		f.queued = max(f.queued, in.Round)
	default:
		g.startFloorRound(in.Round)
	}
	g.endInput()
}

// startFloorRound starts the round and schedules a status call to every member.
func (g *Group) startFloorRound(round uint64) {
	f := &g.floor
	f.active = true
	f.round = round
	f.started = g.now
	f.queued = 0
	f.responses = make(map[*member]core.Position, len(g.members))
	for _, m := range g.members {
		m.scheduleStatusCall()
	}
}

// countFloorResponse counts a response whose request was sent after the round
// began.
func (g *Group) countFloorResponse(m *member, in MemberResponded) {
	f := &g.floor
	if !f.active || in.SentAt.Before(f.started) {
		return
	}
	f.responses[m] = core.Position{Term: in.Status.LogTerm, LSN: in.Status.Received}
}

// advanceFloor ends the active round once a majority has responded, starts the
// queued one and publishes the result.
func (g *Group) advanceFloor() {
	f := &g.floor
	if f.active && len(f.responses) >= g.majority() {
		f.active = false
		f.last = session.FloorResult{Database: g.database.Name, Round: f.round, Position: f.highest()}
		f.unsent = true
		if f.queued > f.round {
			g.startFloorRound(f.queued)
		}
	}
	if f.unsent {
		f.unsent = !g.out.Floor(f.last)
	}
}

// highest returns the greatest position in the responses. Positions compare by
// term first, because LSNs of different log terms are not comparable.
func (f *floorRounds) highest() core.Position {
	var highest core.Position
	for _, p := range f.responses {
		if p.After(highest) {
			highest = p
		}
	}
	return highest
}

package failover

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// watchPeriod is how often a healthy group looks whether the record was ever
// read and names the primary in force.
const watchPeriod = 5 * time.Second

// silence returns how long the primary has left calls unanswered, or how long
// no primary is known.
func (g *Group) silence() time.Duration {
	since := g.silentSince()
	if since.IsZero() {
		return 0
	}
	return g.now.Sub(since)
}

func (g *Group) silentSince() time.Time {
	if !g.hasPrimary() {
		return g.aloneSince
	}
	return g.primary.unansweredSince
}

// refusalsNeeded is the number of refused calls in a row that count as proof; a
// single one can meet a member that is just being restarted.
const refusalsNeeded = 2

// silenceBound returns how long the primary must be silent before it counts as
// lost.
func (g *Group) silenceBound() time.Duration {
	if g.hasPrimary() && g.primary.refusals >= refusalsNeeded {
		return g.config.RefusedBound
	}
	return g.config.SilenceBound
}

// probeFailed counts refused calls and asks all members sooner when the
// primary did not answer.
func (m *member) probeFailed(f Failure) {
	m.refusals++
	if f != FailureRefused {
		m.refusals = 0
	}
	if m == m.group.primary {
		m.group.hurry()
	}
}

func (g *Group) checkSilence() {
	if g.silence() >= g.silenceBound() {
		g.fire(g.rules.events.primarySilent)
	}
}

func (g *Group) silenceDue() time.Time {
	since := g.silentSince()
	if since.IsZero() {
		return time.Time{}
	}
	due := since.Add(g.silenceBound())
	if !due.After(g.now) {
		return time.Time{}
	}
	return due
}

// lost reports whether a new term is needed. After a decider or a chosen member
// stopped, the term in force is fenced and no primary has to be found silent.
func (g *Group) lost() bool {
	if g.reason == ReasonDecider || g.reason == ReasonMember {
		return !g.hasPrimary() && g.answering() >= g.majority()
	}
	return g.silence() >= g.silenceBound() && g.corroborated() >= g.majority()
}

// answering counts the members that answered within the silence bound, because
// a claim without a majority to fence only burns a term.
func (g *Group) answering() int {
	n := 0
	for _, m := range g.members {
		if m.fresh() {
			n++
		}
	}
	return n
}

func (m *member) fresh() bool {
	return m.seen && m.group.now.Sub(m.answered) < m.group.config.SilenceBound
}

// corroborated counts the replicas that have lost the primary's stream too.
func (g *Group) corroborated() int {
	n := 0
	for _, m := range g.members {
		if m != g.primary && m.fresh() && m.lostPrimary() {
			n++
		}
	}
	return n
}

func (m *member) lostPrimary() bool {
	if m.status.Role == core.RoleFenced {
		return true
	}
	return m.status.Role == core.RoleReplica && m.status.PrimarySilence >= m.group.silenceBound()
}

func (g *Group) checkLost() {
	if !g.lost() {
		g.lostSince = time.Time{}
		return
	}
	if g.lostSince.IsZero() {
		g.lostSince = g.now
	}
}

// stagger spreads instances that detect at once over StaggerMax; each instance
// has another place in the order for each term.
func (g *Group) stagger() time.Duration {
	h := fnv.New64a()
	h.Write([]byte(g.self))
	h.Write([]byte{0})
	h.Write(strconv.AppendUint(nil, uint64(g.known), 10))
	const slots = 1 << 10
	place := mix(h.Sum64()) % slots
	return g.config.StaggerMax * time.Duration(place) / slots
}

// mix spreads the bits of a hash (finalizer of MurmurHash3), because FNV of
// short inputs that differ in the last byte only is nearly linear.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (g *Group) lostDue() time.Time {
	if g.lostSince.IsZero() {
		return time.Time{}
	}
	due := g.lostSince.Add(g.stagger())
	if !due.After(g.now) {
		return time.Time{}
	}
	return due
}

// mayClaim is the guard of the claim.
func (g *Group) mayClaim() bool {
	if !g.recordKnown || g.lostSince.IsZero() {
		return false
	}
	return g.now.Sub(g.lostSince) >= g.stagger()
}

func (g *Group) suspect() {
	g.reason = ReasonSilent
	id := core.MemberID("")
	if g.primary != nil {
		id = g.primary.id
	}
	g.note(EventPrimarySuspected, id, g.silence().String())
	g.hurry()
}

// hurry asks the members more often, for a bounded time.
func (g *Group) hurry() {
	g.hurryUntil = g.now.Add(g.config.SilenceBound)
	for _, m := range g.members {
		m.probeNow()
	}
}

func (g *Group) noteHeard() {
	g.note(EventPrimaryHeard, g.primary.id, "")
}

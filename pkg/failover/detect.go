package failover

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// recordCheckPeriod is the interval at which a healthy group checks that the
// record has been read and names the current primary.
const recordCheckPeriod = 5 * time.Second

// unresponsiveTime returns how long the primary has left calls unanswered, or
// how long no primary has been known.
func (g *Group) unresponsiveTime() time.Duration {
	since := g.unresponsiveSince()
	if since.IsZero() {
		return 0
	}
	return g.now.Sub(since)
}

// unresponsiveSince returns the send time of the first status call after the
// primary's last valid response, or zero if there is none. Without a primary it
// returns the time since which none has been known.
func (g *Group) unresponsiveSince() time.Time {
	if !g.hasPrimary() {
		return g.noPrimarySince
	}
	return g.primary.unansweredSince
}

// minRefusals is the number of consecutive refused calls that prove that no
// process listens. A single refusal can come from a member that is restarting.
const minRefusals = 2

// detectionBound returns how long the primary must be unresponsive before it
// counts as lost.
func (g *Group) detectionBound() time.Duration {
	if g.hasPrimary() && g.primary.refusals >= minRefusals {
		return g.config.RefusedBound
	}
	return g.config.DetectionBound
}

// statusCallFailed counts refused calls, and speeds up the heartbeat to all
// members if the primary did not respond.
func (m *member) statusCallFailed(f Failure) {
	m.refusals++
	if f != FailureRefused {
		m.refusals = 0
	}
	if m == m.group.primary {
		m.group.useFastHeartbeat()
	}
}

// checkPrimaryUnresponsive fires "primary_silent" once the detection bound has
// passed.
func (g *Group) checkPrimaryUnresponsive() {
	if g.unresponsiveTime() >= g.detectionBound() {
		g.fire(g.rules.groupEvents.primarySilent)
	}
}

// detectionDue returns when the detection bound will pass; zero if it has passed
// or no call is unanswered.
func (g *Group) detectionDue() time.Time {
	since := g.unresponsiveSince()
	if since.IsZero() {
		return time.Time{}
	}
	due := since.Add(g.detectionBound())
	if !due.After(g.now) {
		return time.Time{}
	}
	return due
}

// claimJustified reports whether this instance may claim a new term. After a
// decider or a chosen member has stopped, the newest term is fenced and has no
// primary whose loss would have to be confirmed. In any case a majority must
// respond, because a claim without a majority to fence only uses up a term.
func (g *Group) claimJustified() bool {
	if g.reason == ReasonDeciderStopped || g.reason == ReasonMemberStopped {
		return !g.hasPrimary() && g.responsiveMembers() >= g.majority()
	}
	return g.unresponsiveTime() >= g.detectionBound() && g.replicasWithoutPrimary() >= g.majority()
}

// responsiveMembers counts the members that responded within DetectionBound.
func (g *Group) responsiveMembers() int {
	n := 0
	for _, m := range g.members {
		if m.respondedRecently() {
			n++
		}
	}
	return n
}

// respondedRecently reports whether the newest status arrived within DetectionBound.
func (m *member) respondedRecently() bool {
	return m.hasStatus && m.group.now.Sub(m.statusReceivedAt) < m.group.config.DetectionBound
}

// replicasWithoutPrimary counts the responsive replicas that have lost the
// primary's replication stream as well.
func (g *Group) replicasWithoutPrimary() int {
	n := 0
	for _, m := range g.members {
		if m != g.primary && m.respondedRecently() && m.hasLostPrimary() {
			n++
		}
	}
	return n
}

// hasLostPrimary reports whether the member is fenced, or has received nothing
// from its primary for the detection bound.
func (m *member) hasLostPrimary() bool {
	if m.status.Role == core.RoleFenced {
		return true
	}
	return m.status.Role == core.RoleReplica && m.status.PrimaryUnresponsiveFor >= m.group.detectionBound()
}

// updateClaimable records the time since which a claim has been justified without
// interruption.
func (g *Group) updateClaimable() {
	if !g.claimJustified() {
		g.claimableSince = time.Time{}
		return
	}
	if g.claimableSince.IsZero() {
		g.claimableSince = g.now
	}
}

// claimDelay spreads the claims of instances that detect a lost primary at the
// same time over MaxClaimDelay. The delay is a hash of the instance and the term,
// so that the order of the instances differs from term to term.
func (g *Group) claimDelay() time.Duration {
	h := fnv.New64a()
	h.Write([]byte(g.self))
	h.Write([]byte{0})
	h.Write(strconv.AppendUint(nil, uint64(g.newestTerm), 10))
	const ranks = 1 << 10
	rank := mixBits(h.Sum64()) % ranks
	return g.config.MaxClaimDelay * time.Duration(rank) / ranks
}

// mixBits is the finalizer of MurmurHash3. It spreads the bits of the FNV hash,
// which is nearly linear for short inputs that differ in the last byte only.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// claimDue returns when the claim delay will have passed; zero if no claim is
// justified or the delay has passed.
func (g *Group) claimDue() time.Time {
	if g.claimableSince.IsZero() {
		return time.Time{}
	}
	due := g.claimableSince.Add(g.claimDelay())
	if !due.After(g.now) {
		return time.Time{}
	}
	return due
}

// mayClaim reports whether the record is known and a claim has been justified
// for the whole claim delay.
func (g *Group) mayClaim() bool {
	if !g.recordKnown || g.claimableSince.IsZero() {
		return false
	}
	return g.now.Sub(g.claimableSince) >= g.claimDelay()
}

// suspectPrimary logs that the primary is unresponsive and speeds up the
// heartbeat.
func (g *Group) suspectPrimary() {
	g.reason = ReasonUnresponsive
	id := core.MemberID("")
	if g.primary != nil {
		id = g.primary.id
	}
	g.log(EventPrimarySuspected, id, g.unresponsiveTime().String())
	g.useFastHeartbeat()
}

// useFastHeartbeat makes a status call to every member due and uses the fast
// heartbeat for the next DetectionBound.
func (g *Group) useFastHeartbeat() {
	g.fastHeartbeatUntil = g.now.Add(g.config.DetectionBound)
	for _, m := range g.members {
		m.scheduleStatusCall()
	}
}

func (g *Group) logPrimaryRespondsAgain() {
	g.log(EventPrimaryRespondsAgain, g.primary.id, "")
}

package fleet

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// In a planned change the old primary commits until its successor leads. Where commits wait
// for a replica, that may be any replica, and a commit that another one than the successor
// has received would be lost. So the change lets commits wait for the successor alone before
// it requests the promotion:
//
//  1. The survey asks the primary and then each replica for its position. Only a replica that
//     has what the primary had is elected: it receives.
//  2. The other replicas are paused.
//  3. The primary and then the elected replica are asked again. Once the replica has what the
//     primary had, it has each acknowledged commit: one from before the pauses because it is
//     in the primary's log, a later one because no other replica receives.
//  4. The primary steps down, and the promotion is requested. Nothing is acknowledged any more
//     until it is executed, so it may be executed late.
//
// If a step fails, the paused replicas are resumed and the change begins again later.

const (
	// maxCatchUpChecks limits how often a replica that is behind the primary is asked again
	// while the other replicas are paused.
	maxCatchUpChecks = 5
)

// oldPrimaryCommits reports whether the old primary commits until its successor leads.
func (p *primaryChange) oldPrimaryCommits() bool {
	return p.planned && p.stoppedByPlatform()
}

// oldPrimary returns the primary that a planned change replaces.
func (p *primaryChange) oldPrimary() Target {
	if m := p.e.members[p.old]; m != nil {
		return m.target()
	}
	return p.replaced()
}

// following returns the replicas that have received what the primary had when it was asked
// before them.
func following(primary *MemberState, states []MemberState) []MemberState {
	return slices.DeleteFunc(slices.Clone(states), func(state MemberState) bool {
		return primary.isAheadOf(state)
	})
}

// firstCatchUp begins the step that lets commits wait for the candidate alone.
func (p *primaryChange) firstCatchUp() {
	p.catchUpChecks = 0
	p.requestCatchUp()
}

// requestCatchUp pauses the other replicas and compares the candidate with the primary.
func (p *primaryChange) requestCatchUp() {
	candidate := Target{Group: p.group, Member: p.candidate.Member}
	var others []Target
	for _, t := range p.surveyTargets() {
		if t.Member == p.candidate.Member {
			candidate = t
			continue
		}
		others = append(others, t)
	}
	old := p.oldPrimary()
	lapsed := p.e.lapsedReplicas(p.group, old.Member)
	p.paused.add(slices.Concat(others, lapsed))
	p.submit(Job{
		Kind: JobCatchUp, Group: p.group, Targets: []Target{candidate}, Primary: old, Others: others, Lapsed: lapsed, Term: p.nextTerm(),
	})
}

// repeatCatchUp compares the candidate with the primary again.
func (p *primaryChange) repeatCatchUp() {
	p.catchUpChecks++
	p.requestCatchUp()
}

// catchUpDone handles the result of the comparison.
func (p *primaryChange) catchUpDone(d *JobDone) {
	p.observeStates(d.States)
	if d.Err != nil || len(d.States) == 0 || d.Primary.steppedDown() || p.hasNewReplica(d) {
		p.fire(p.e.primaryChangeEvents.compareFailed)
		return
	}
	p.behind = d.Primary.isAheadOf(d.States[0])
	if !p.behind {
		p.candidate = d.States[0]
	}
	p.surveyedAt = p.e.now
	p.fire(p.e.primaryChangeEvents.compared)
}

// hasNewReplica reports whether the group has a replica that the job did not ask: commits
// may have been acknowledged because it has received them.
func (p *primaryChange) hasNewReplica(d *JobDone) bool {
	return slices.ContainsFunc(p.surveyTargets(), func(t Target) bool {
		return !containsMember(d.Job.Targets, t.Member) && !containsMember(d.Job.Others, t.Member)
	})
}

func containsMember(targets []Target, member core.MemberID) bool {
	return slices.ContainsFunc(targets, func(t Target) bool { return t.Member == member })
}

// steppedDown reports whether a member that was the primary responded as a replica. The role
// of a busy member is not known.
func (s *MemberState) steppedDown() bool { return s.Role == core.RoleReplica && !s.Busy }

// mustCatchUp reports whether commits have to wait for the candidate alone before it is
// promoted: the replicas received while they were surveyed.
func (p *primaryChange) mustCatchUp() bool {
	return p.candidate.Member != "" && p.comparedWithPrimary
}

// mayCatchUp reports whether the candidate is asked again. Slow members must not delay the
// promotion until the claim ends.
func (p *primaryChange) mayCatchUp() bool {
	inTime := p.e.now.Sub(p.claimedAt) < p.e.config.Bounds.PromotionStepTimeout
	return p.behind && inTime && p.catchUpChecks < maxCatchUpChecks
}

// hasCaughtUp reports whether the candidate has each acknowledged commit.
func (p *primaryChange) hasCaughtUp() bool { return !p.behind }

// resumeForPrimary lets the replicas receive again after a planned change that failed: the
// primary goes on committing.
func (p *primaryChange) resumeForPrimary() {
	if p.oldPrimaryCommits() {
		p.resumeReplicas()
	}
}

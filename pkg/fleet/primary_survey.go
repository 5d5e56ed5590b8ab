package fleet

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// firstSurvey begins the survey of a new claim.
func (p *primaryChange) firstSurvey() {
	p.repeatedSurveys = 0
	p.requestSurvey()
}

// requestSurvey asks the replicas for their log positions. If commits wait for replicas,
// the replicas first stop receiving, so that the old primary can acknowledge nothing after
// the survey. If it is to commit until its successor leads, its position is asked for too.
func (p *primaryChange) requestSurvey() {
	j := Job{Kind: JobSurvey, Group: p.group, Targets: p.surveyTargets()}
	switch {
	case !p.commitsWait():
	case p.oldPrimaryCommits():
		j.Primary = p.oldPrimary()
	default:
		j.Term = p.nextTerm()
		j.Primary = p.seeminglyDead()
		j.Lapsed = p.e.lapsedReplicas(p.group, p.replaced().Member)
		p.paused.add(slices.Concat(j.Targets, j.Lapsed))
	}
	p.submit(j)
}

// seeminglyDead returns the old primary if it has to step down before the survey. It counts
// as dead or gone, but may run on: a replica that returns after the survey could then let it
// acknowledge commits until the platform has executed the promotion.
func (p *primaryChange) seeminglyDead() Target {
	if !p.stoppedByPlatform() {
		// It has stepped down, or is not used any more.
		return Target{}
	}
	return p.replaced()
}

// commitsWait reports whether commits of the group wait for a replica. Any replica may then be
// the only one that holds an acknowledged commit.
func (p *primaryChange) commitsWait() bool { return p.e.syncReplicas(p.group) > 0 }

// nextTerm returns the term after the newest one that the group is known to have reached.
func (p *primaryChange) nextTerm() core.Term {
	return max(p.term, p.e.terms[p.group]) + 1
}

// surveyTargets returns the replicas that a survey asks. If commits wait for a replica,
// each one that receives is asked, whether it may be promoted or not: it may hold a commit
// that no other replica has.
func (p *primaryChange) surveyTargets() []Target {
	ready, draining := p.e.promotionCandidates(p.group)
	if !p.commitsWait() && len(ready) > 0 {
		return ready
	}
	targets := append(ready, draining...)
	if p.commitsWait() {
		targets = append(targets, p.evacuatedReplicas()...)
	}
	return targets
}

// evacuatedReplicas returns the replicas of the group that may not be promoted because
// of an evacuation. The member that is replaced is none of them: it is a replica once it has
// stepped down, and what it alone has received was not acknowledged.
func (p *primaryChange) evacuatedReplicas() []Target {
	e, replaced := p.e, p.replaced().Member
	var targets []Target
	for _, m := range e.groups[p.group] {
		if !m.dead && m.Member != replaced && e.evacuated(m) && e.effectiveRole(m) != core.RolePrimary {
			targets = append(targets, m.target())
		}
	}
	return targets
}

// promotionCandidates returns the replicas that may be promoted. Those that drain are used
// only if no other one will do, those of evacuated failure domains never.
func (e *Engine) promotionCandidates(group core.DatabaseName) (ready, draining []Target) {
	for _, m := range e.groups[group] {
		if m.dead || e.evacuated(m) || e.effectiveRole(m) == core.RolePrimary {
			continue
		}
		if m.Draining {
			draining = append(draining, m.target())
			continue
		}
		ready = append(ready, m.target())
	}
	return ready, draining
}

// electCandidate returns the replica to promote, the zero value if there is none. Members
// of evacuated failure domains are not promoted. If one of them has synchronous commits
// that the others lack, none is: a promotion would lose the commits. A replica that drains,
// the old primary if it has stepped down, or a replica without a record is promoted only if it
// is ahead of the others; it is replaced once it leads.
func (p *primaryChange) electCandidate(states []MemberState) MemberState {
	var ready, fallback, evacuated []MemberState
	for _, state := range states {
		m := p.e.members[state.Member]
		switch {
		case m != nil && p.e.evacuated(m):
			evacuated = append(evacuated, state)
		case m == nil, m.Draining, state.Member == p.replaced().Member:
			fallback = append(fallback, state)
		default:
			ready = append(ready, state)
		}
	}
	candidate := mostAdvanced(ready)
	if ahead := mostAdvanced(fallback); ahead.isAheadOf(candidate) {
		candidate = ahead
	}
	if requested := p.requestedBefore(ready, fallback); requested.Member != "" && !candidate.isAheadOf(requested) {
		candidate = requested
	}
	if ahead := mostAdvanced(evacuated); p.commitsWait() && !p.comparedWithPrimary && ahead.isAheadOf(candidate) {
		p.e.out.Log(LogEvent{Warning: true, Event: "promotion_waits", Message: "a replica of an evacuated failure domain holds commits that the others lack",
			Fields: map[string]any{"group": p.group, "member": ahead.Member, "position": ahead.Received.String()}})
		return MemberState{}
	}
	return candidate
}

// surveyDone handles the result of a survey.
func (p *primaryChange) surveyDone(d *JobDone) {
	p.surveyed = d.States
	p.observeStates(slices.Concat(d.States, []MemberState{d.Primary}))
	if p.surveyFailed(d) {
		p.fire(p.e.primaryChangeEvents.surveyFailed)
		return
	}
	states := d.States
	p.comparedWithPrimary = d.Job.Primary.Member != "" && d.Job.Term == 0
	switch {
	case p.comparedWithPrimary:
		states = following(&d.Primary, states)
	case d.Primary.Member != "" && !containsMember(d.Job.Targets, d.Primary.Member):
		states = append(states, d.Primary)
	}
	p.candidate = p.electCandidate(states)
	p.surveyedAt = p.e.now
	p.fire(p.e.primaryChangeEvents.surveyed)
}

// surveyFailed reports whether a survey that all replicas have to answer has failed: one did
// not, the replicas know a newer term than the one they were paused with, one of them is a
// primary, the primary that they are compared with has stepped down, or a replica was not asked.
func (p *primaryChange) surveyFailed(d *JobDone) bool {
	switch {
	case d.Job.Term > 0:
		return d.Err != nil || d.Job.Term <= p.term || anyPrimary(d.States) || d.Primary.Role == core.RolePrimary || p.hasNewReplica(d)
	case d.Job.Primary.Member != "":
		return d.Err != nil || d.Primary.steppedDown() || p.hasNewReplica(d)
	}
	return false
}

func anyPrimary(states []MemberState) bool {
	return slices.ContainsFunc(states, func(s MemberState) bool { return s.Role == core.RolePrimary })
}

// observeStates records the terms that members reported.
func (p *primaryChange) observeStates(states []MemberState) {
	for _, state := range states {
		p.term = max(p.term, state.Term)
		p.e.observeTerm(p.group, state.Received.Term)
	}
}

// requestedBefore returns the replica whose promotion may still be executed, the zero value if
// there is none. If its log is as long as the others', it is requested again: two promotions
// that are both executed would change the primary twice.
func (p *primaryChange) requestedBefore(states ...[]MemberState) MemberState {
	undecided := p.undecidedPromotion()
	for _, state := range slices.Concat(states...) {
		if state.Member == undecided && state.Role != core.RolePrimary {
			return state
		}
	}
	return MemberState{}
}

// mostAdvanced returns the replica with the most advanced log, the zero value if
// there is none.
func mostAdvanced(states []MemberState) MemberState {
	var best MemberState
	for _, state := range states {
		if state.Role != core.RolePrimary && state.isAheadOf(best) {
			best = state
		}
	}
	return best
}

// isAheadOf reports whether the member's log is longer than the other's, which is the zero
// value if there is no other member.
func (s *MemberState) isAheadOf(other MemberState) bool {
	return s.Member != "" && (other.Member == "" || s.Received.After(other.Received))
}

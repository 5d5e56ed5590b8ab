package fleet

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// firstSurvey begins the survey of a new claim.
func (p *primaryChange) firstSurvey() {
	p.repeatedSurveys = 0
	p.requestSurvey()
}

// requestSurvey asks the replicas for their log positions. If commits wait for
// replicas and the change is not planned, the replicas first stop receiving, so
// that the old primary can acknowledge nothing after the survey.
func (p *primaryChange) requestSurvey() {
	j := Job{Kind: JobSurvey, Group: p.group, Targets: p.e.promotionCandidates(p.group)}
	if p.needsEvacuated() {
		j.Targets = append(j.Targets, p.evacuatedReplicas()...)
	}
	if p.e.syncReplicas(p.group) > 0 && !p.planned {
		j.Term = p.term + 1
	}
	p.submit(j)
}

// promotionCandidates returns the replicas that may be promoted. Draining ones are
// returned only if there are no others, those of evacuated failure domains never.
func (e *Engine) promotionCandidates(group core.DatabaseName) []Target {
	var ready, draining []Target
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
	if len(ready) > 0 {
		return ready
	}
	return draining
}

func (p *primaryChange) surveyDone(d *JobDone) {
	p.surveyed = d.States
	p.observeStates(d.States)
	if d.Err != nil && d.Job.Term > 0 {
		p.fire(p.e.primaryChangeEvents.surveyFailed)
		return
	}
	if p.e.syncReplicas(p.group) > 0 && d.Job.Term <= p.term && !p.planned && d.Job.Term > 0 {
		// The replicas know a newer term than the one they were paused with.
		p.fire(p.e.primaryChangeEvents.surveyFailed)
		return
	}
	p.candidate = p.electCandidate(d.States)
	p.surveyedAt = p.e.now
	p.fire(p.e.primaryChangeEvents.surveyed)
}

// observeStates records the terms that members reported.
func (p *primaryChange) observeStates(states []MemberState) {
	for _, state := range states {
		p.term = max(p.term, state.Term)
		p.e.observeTerm(p.group, state.Received.Term)
	}
}

// mostAdvanced returns the replica with the most advanced log, the zero value if
// there is none.
func mostAdvanced(states []MemberState) MemberState {
	var best MemberState
	for _, state := range states {
		if state.Role == core.RolePrimary {
			continue
		}
		if best.Member == "" || state.Received.After(best.Received) {
			best = state
		}
	}
	return best
}

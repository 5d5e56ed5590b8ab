package fleet

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Replicas that a change of primary has paused receive nothing until they are resumed, or a
// member is promoted. If the change ends in another way, the group's commits would wait for
// them forever, so this instance resumes the replicas that it has paused.

const (
	// lateCallBound is the time after which a promotion request without a response is not
	// executed any more.
	lateCallBound = 15 * time.Second
	// pauseRetryDelay is the time between two requests to pause a replica that has
	// appeared.
	pauseRetryDelay = 100 * time.Millisecond
	// resumeRetryDelay is the time between two requests to a replica that has not responded.
	resumeRetryDelay = time.Second
	// maxResumeAttempts limits the requests to a replica that does not respond.
	maxResumeAttempts = 30
)

// pausedReplicas holds the replicas of a group that this instance may have paused.
type pausedReplicas struct {
	targets  map[core.MemberID]Target
	attempts int
}

func (r *pausedReplicas) add(targets []Target) {
	if r.targets == nil {
		r.targets = map[core.MemberID]Target{}
	}
	for _, t := range targets {
		r.targets[t.Member] = t
	}
	r.attempts = 0
}

func (r *pausedReplicas) remove(states []MemberState) {
	for _, state := range states {
		delete(r.targets, state.Member)
	}
}

func (r *pausedReplicas) list() []Target {
	var targets []Target
	for _, t := range r.targets {
		targets = append(targets, t)
	}
	return targets
}

// promotionRequest is the last promotion that was requested, until its outcome is known.
type promotionRequest struct {
	member core.MemberID
	sentAt time.Time
}

// undecidedPromotion returns the member whose promotion was requested and may still be
// executed, "" if there is none.
func (p *primaryChange) undecidedPromotion() core.MemberID {
	if p.e.now.Sub(p.requested.sentAt) >= lateCallBound {
		return ""
	}
	return p.requested.member
}

// settlePromotion clears the request of a promotion that has been executed.
func (p *primaryChange) settlePromotion() {
	primary, _ := p.e.primaryAndCandidates(p.group)
	if primary != nil && primary.Member == p.requested.member {
		p.requested = promotionRequest{}
	}
}

// pauseJoined pauses the replicas that have appeared since the survey, while a promotion may
// still be executed: commits that they receive from the old primary, which may have returned,
// would be lost by it.
func (p *primaryChange) pauseJoined() {
	undecided := p.undecidedPromotion()
	if undecided == "" || !p.commitsWait() {
		return
	}
	var joined []Target
	for _, t := range p.surveyTargets() {
		if _, paused := p.paused.targets[t.Member]; !paused && t.Member != undecided {
			joined = append(joined, t)
		}
	}
	if len(joined) == 0 {
		return
	}
	if !p.submit(Job{Kind: JobPause, Group: p.group, Targets: joined, Term: p.nextTerm()}) {
		p.e.timers.Arm(&p.pauseTimer, p.e.now.Add(pauseRetryDelay))
		return
	}
	p.paused.add(joined)
}

// joinedPaused handles the responses. Replicas that have not responded are paused again.
func (p *primaryChange) joinedPaused(d *JobDone) {
	if d.Err == nil {
		return
	}
	for _, t := range d.Job.Targets {
		if !slices.ContainsFunc(d.States, func(s MemberState) bool { return s.Member == t.Member }) {
			delete(p.paused.targets, t.Member)
		}
	}
	p.e.timers.Arm(&p.pauseTimer, p.e.now.Add(pauseRetryDelay))
}

// resumeReplicas lets the paused replicas receive again. While a promotion may still be
// executed only the member to promote does: the others would acknowledge commits that it
// lacks.
func (p *primaryChange) resumeReplicas() {
	p.settlePromotion()
	targets := p.paused.list()
	if len(targets) == 0 {
		return
	}
	p.paused.attempts++
	if p.paused.attempts > maxResumeAttempts {
		p.e.out.Log(LogEvent{Warning: true, Event: "resume_given_up", Message: "paused replicas do not respond",
			Fields: map[string]any{"group": p.group, "members": targets}})
		p.paused = pausedReplicas{}
		return
	}
	if undecided := p.undecidedPromotion(); undecided != "" {
		targets = onlyMember(targets, undecided)
	}
	if len(targets) > 0 {
		p.submit(Job{Kind: JobResume, Group: p.group, Targets: targets})
	}
	p.e.timers.Arm(&p.resumeTimer, p.e.now.Add(resumeRetryDelay))
}

// onlyMember returns the target of the member, if it is one of the targets.
func onlyMember(targets []Target, member core.MemberID) []Target {
	for _, t := range targets {
		if t.Member == member {
			return []Target{t}
		}
	}
	return nil
}

// repeatResume resumes the replicas that have not responded, unless another change needs
// them paused.
func (p *primaryChange) repeatResume() {
	if p.state == p.e.settledState {
		p.resumeReplicas()
	}
}

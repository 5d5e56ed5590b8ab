package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// A replica that was cut off keeps commits of an older term that the group has rolled
// back. If it is promoted, these commits return and those of the newer terms are lost.
// So every instance keeps the newest term that the group has reached, and a replica
// whose log ends in an older one is promoted only if no other one appears in time.

// outdatedLogWait is how long a group without a primary waits for a replica whose log
// reaches the group's newest term. It is the target for the length of a change of
// primary.
const outdatedLogWait = 10 * time.Second

// GroupTerm is the store record of the newest term of a group that an instance has seen
// a primary lead.
type GroupTerm struct {
	Group core.DatabaseName `json:"group"`
	Term  core.Term         `json:"term"`
	// Revision is the revision of the record. It is not part of the stored value.
	Revision Revision `json:"revision,omitempty"`
}

// observeTerm notes that the group has reached the term.
func (e *Engine) observeTerm(group core.DatabaseName, term core.Term) {
	e.terms[group] = max(e.terms[group], term)
}

// termRecorded notes the term that the store holds. If the group has reached a newer one, as
// when a call was executed late, it is recorded again.
func (e *Engine) termRecorded(t *GroupTerm) {
	e.recordedTerms[t.Group] = *t
	e.observeTerm(t.Group, t.Term)
	if t.Term < e.terms[t.Group] {
		e.armTermTimer(t.Group)
	}
}

const (
	// termRecordDelay is the time that the instance which promoted the primary has for
	// recording the term, before another instance that has observed it does.
	termRecordDelay = time.Second
	// termRecordSpread is the time over which the other instances are spread, so that few
	// of them record the same term.
	termRecordSpread = 2 * time.Second
)

// termObserved handles a session's report of a new term. The instance that promoted the
// primary records it, but may have been cut off or ended since.
func (e *Engine) termObserved(group core.DatabaseName, term core.Term) {
	e.observeTerm(group, term)
	if term > e.recordedTerms[group].Term {
		e.armTermTimer(group)
	}
}

// armTermTimer lets this instance record the group's term, unless another one does first.
func (e *Engine) armTermTimer(group core.DatabaseName) {
	spread := time.Duration(rankHash(group, e.config.Self.Node) % uint64(termRecordSpread))
	e.timers.Arm(&e.primaryChangeOf(group).termTimer, e.now.Add(termRecordDelay+spread))
}

// recordObservedTerm records the group's term unless the store holds it.
func (p *primaryChange) recordObservedTerm() {
	term := p.e.terms[p.group]
	if recorded := p.e.recordedTerms[p.group]; term > recorded.Term {
		p.submit(Job{Kind: JobRecordTerm, Group: p.group, Term: term, Replaces: recorded.Revision})
	}
}

// recordTerm notes the term of the candidate that has become the primary, and records it in
// the store for instances that have no connection to the group. The candidate was a replica
// when it was surveyed, so it leads a later term than that of its log then.
func (p *primaryChange) recordTerm() {
	primary, _ := p.e.primaryAndCandidates(p.group)
	if primary == nil || primary.Member != p.candidate.Member {
		return
	}
	least := p.candidate.Received.Term + 1
	p.e.observeTerm(p.group, least)
	if recorded := p.e.recordedTerms[p.group]; least > recorded.Term {
		p.submit(Job{Kind: JobRecordTerm, Group: p.group, Targets: []Target{primary.target()}, Term: least, Replaces: recorded.Revision})
	}
}

// candidateOutdated reports whether the candidate's log ends in an older term than the
// group has reached, and a replica with a newer log may still respond or return.
func (p *primaryChange) candidateOutdated() bool {
	if p.candidate.Member == "" || p.e.now.Sub(p.neededAt) >= outdatedLogWait {
		return false
	}
	return p.candidate.Received.Term < p.e.terms[p.group]
}

// logOutdatedCandidate logs that the change waits for a replica with a newer log.
func (p *primaryChange) logOutdatedCandidate() {
	p.e.out.Log(LogEvent{Warning: true, Event: "promotion_waits", Message: "the replicas that responded lack the group's newest term", Fields: map[string]any{
		"group": p.group, "candidate": p.candidate.Member, "position": p.candidate.Received.String(),
		"term": p.e.terms[p.group], "answered": len(p.surveyed), "waiting_ms": stepMillis(p.neededAt, p.e.now),
	}})
}

// surveyIncomplete reports whether a busy replica may have a more advanced log than the
// candidate: of such a replica only a lower bound of its position is known. If the replicas
// are compared with the primary, the candidate catches up, and there only has to be one.
func (p *primaryChange) surveyIncomplete() bool {
	switch {
	case p.repeatedSurveys >= maxRepeatedSurveys:
		return false
	case p.comparedWithPrimary:
		return p.candidate.Member == ""
	}
	for _, state := range p.surveyed {
		if state.Busy && state.Member != p.candidate.Member {
			return true
		}
	}
	return false
}

const (
	// maxRepeatedSurveys limits how often the survey of a claim is repeated for busy
	// replicas.
	maxRepeatedSurveys = 3
	// resurveyDelay is the delay before a survey is repeated; slots are freed within
	// some tens of milliseconds.
	resurveyDelay = 20 * time.Millisecond
)

// repeatSurvey repeats the survey.
func (p *primaryChange) repeatSurvey() {
	p.repeatedSurveys++
	p.requestSurvey()
}

package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// primaryChange replaces the primary of one group, in a failover or a planned
// switchover. It runs the chart "succession".
type primaryChange struct {
	e     *Engine
	group core.DatabaseName
	state chart.State
	timer timerq.Item[func()]
	// reason is why the group needs a new primary. old is the member that is
	// replaced, empty if unknown.
	reason  string
	old     core.MemberID
	planned bool
	// evidence is why the old primary was declared dead, empty if it was not.
	evidence string
	claim    Claim
	// candidate is the replica with the most advanced log in the last survey.
	candidate MemberState
	// surveyed holds the states of the replicas that responded to the last survey.
	// repeatedSurveys counts how often it was repeated for busy ones.
	surveyed        []MemberState
	repeatedSurveys int
	// comparedWithPrimary is set if the last survey asked the primary as well, behind if the
	// candidate lacked some of the primary's log when it was compared last, for which
	// catchUpChecks counts the repetitions.
	comparedWithPrimary, behind bool
	catchUpChecks               int
	term                        core.Term
	// unconfirmed holds the nodes that have not confirmed yet that they no longer use
	// the member that is replaced.
	unconfirmed map[string]bool
	retryTimer  timerq.Item[func()]
	// paused holds the replicas to resume when the change has ended, requested the promotion
	// that may not have been executed yet.
	paused      pausedReplicas
	requested   promotionRequest
	resumeTimer timerq.Item[func()]
	pauseTimer  timerq.Item[func()]
	// termTimer ends the wait for another instance's record of the group's term.
	termTimer timerq.Item[func()]
	// neededAt is the time at which the change became necessary, the other times
	// are those at which its steps were completed. They are logged when the
	// change is completed.
	neededAt, claimedAt, surveyedAt, orderedAt time.Time
}

// primaryChangeEvents are the compiled events of the chart.
type primaryChangeEvents struct {
	needed, settled, claimed, claimFailed, surveyed, surveyFailed chart.Event
	ordered, orderFailed, fenced, timedOut                        chart.Event
	demoted, demoteFailed, recorded, recordFailed, revoked        chart.Event
	compared, compareFailed                                       chart.Event
}

const (
	// rankDelay is the delay between the claims of consecutive instances in the
	// order of a group. It is ten times the store's response time. The store
	// decides between concurrent claims.
	rankDelay = 40 * time.Millisecond
	// maxRank limits the rank, and so the delay, of the last instances in an order.
	maxRank = 8
	// ownRankDelay is a placeholder in the chart's timeout table. fire replaces it
	// by the delay of this instance's rank.
	ownRankDelay time.Duration = 0
)

// primaryChangeRegistry returns the guards, actions and timeouts of the chart
// "succession".
func primaryChangeRegistry(b *Bounds) chart.Registry[*primaryChange] {
	return chart.Registry[*primaryChange]{
		Guards: map[string]func(*primaryChange) bool{
			"has_candidate":       func(p *primaryChange) bool { return p.candidate.Member != "" },
			"candidate_outdated":  (*primaryChange).candidateOutdated,
			"survey_incomplete":   (*primaryChange).surveyIncomplete,
			"knows_too_little":    (*primaryChange).knowsTooLittle,
			"old_unknown":         (*primaryChange).oldIsUnknown,
			"old_unresponsive":    (*primaryChange).oldIsUnresponsive,
			"stopped_by_platform": (*primaryChange).stoppedByPlatform,
			"must_catch_up":       (*primaryChange).mustCatchUp,
			"may_catch_up":        (*primaryChange).mayCatchUp,
			"has_caught_up":       (*primaryChange).hasCaughtUp,
			"old_commits":         func(p *primaryChange) bool { return p.planned && p.old != "" && !p.comparedWithPrimary },
		},
		Actions: map[string]func(*primaryChange){
			"request_claim":      (*primaryChange).requestClaim,
			"request_survey":     (*primaryChange).firstSurvey,
			"repeat_survey":      (*primaryChange).repeatSurvey,
			"request_catch_up":   (*primaryChange).firstCatchUp,
			"repeat_catch_up":    (*primaryChange).repeatCatchUp,
			"request_promotion":  (*primaryChange).requestPromotion,
			"request_demotion":   (*primaryChange).requestDemotion,
			"record_revocation":  (*primaryChange).recordRevocation,
			"request_revocation": (*primaryChange).requestRevocation,
			"request_step_down":  (*primaryChange).requestStepDown,
			"clear_claim":        func(p *primaryChange) { p.claim = Claim{} },
			"log_primary_change": (*primaryChange).logPrimaryChange,
			"log_outdated":       (*primaryChange).logOutdatedCandidate,
			"record_term":        (*primaryChange).recordTerm,
			"resume_replicas":    (*primaryChange).resumeReplicas,
			"resume_for_primary": (*primaryChange).resumeForPrimary,
		},
		Timeouts: map[string]time.Duration{
			"steady":     steadyTimeout,
			"rank_delay": ownRankDelay,
			"call":       b.PromotionStepTimeout,
			"retry":      b.PromotionRetryDelay,
			"resurvey":   resurveyDelay,
			"takeover":   b.TakeoverTimeout,
			"leases":     b.PrimaryLease + leaseEndMargin,
		},
	}
}

// loadPrimaryChange compiles the chart and looks up its events.
func (e *Engine) loadPrimaryChange(d *chart.Definition) error {
	table, err := chart.Compile(d, primaryChangeRegistry(&e.config.Bounds))
	if err != nil {
		return err
	}
	event := table.Event
	e.primaryChangeTable = table
	e.settledState, e.standbyState = table.StateID("settled"), table.StateID("standby")
	e.revokingState, e.awaitingState = table.StateID("revoking"), table.StateID("awaiting")
	e.changeUnderWay = map[chart.State]bool{}
	for _, name := range []string{"demoting", "recording", "revoking", "surveying", "resurveying", "catching_up", "lagging", "stepping_down", "ordering", "awaiting"} {
		e.changeUnderWay[table.StateID(name)] = true
	}
	e.primaryChangeEvents = primaryChangeEvents{
		needed: event("needed"), settled: event("settled"), claimed: event("claimed"),
		claimFailed: event("claim_failed"), surveyed: event("surveyed"), surveyFailed: event("survey_failed"),
		ordered: event("ordered"), orderFailed: event("order_failed"), fenced: event("fenced"),
		timedOut: event(chart.TimeoutEvent),
		demoted:  event("demoted"), demoteFailed: event("demote_failed"), revoked: event("revoked"),
		recorded: event("recorded"), recordFailed: event("record_failed"),
		compared: event("compared"), compareFailed: event("compare_failed"),
	}
	return nil
}

// primaryChangeOf returns the primary change of a group and creates it if
// necessary.
func (e *Engine) primaryChangeOf(group core.DatabaseName) *primaryChange {
	p := e.primaryChanges[group]
	if p == nil {
		p = &primaryChange{e: e, group: group, state: e.primaryChangeTable.Initial()}
		p.timer.Value = func() { p.fire(e.primaryChangeEvents.timedOut) }
		p.retryTimer.Value = p.sendRevocations
		p.termTimer.Value = p.recordObservedTerm
		p.resumeTimer.Value = p.repeatResume
		p.pauseTimer.Value = p.pauseJoined
		e.primaryChanges[group] = p
	}
	return p
}

// fire applies an event and arms the timeout of the new state. An event other than
// a timeout that leaves the state unchanged does not restart the timeout.
func (p *primaryChange) fire(event chart.Event) {
	e := p.e
	previous := p.state
	e.primaryChangeTable.Fire(p, &p.state, event)
	if p.state == previous && event != e.primaryChangeEvents.timedOut {
		return
	}
	timeout := e.primaryChangeTable.Timeout(p.state)
	if timeout == ownRankDelay {
		timeout = rankDelay * time.Duration(e.rankOf(p.group))
	}
	e.timers.Arm(&p.timer, e.now.Add(timeout))
}

// rankOf returns this instance's place in the group's order of instances, at most
// maxRank. The order differs between groups.
func (e *Engine) rankOf(group core.DatabaseName) int {
	own := rankHash(group, e.config.Self.Node)
	rank := 0
	for node := range e.instances {
		if rankHash(group, node) > own {
			rank++
		}
	}
	return min(rank, maxRank)
}

func rankHash(group core.DatabaseName, node string) uint64 {
	return xxhash.Sum64String(string(group) + "/" + node)
}

// needPrimary starts a change of primary, or updates the reason of the one in
// progress.
func (p *primaryChange) needPrimary(reason string, old core.MemberID, planned bool) {
	e := p.e
	if p.state == e.settledState {
		p.neededAt = e.now
		p.claimedAt, p.surveyedAt, p.orderedAt = time.Time{}, time.Time{}, time.Time{}
		p.candidate, p.evidence = MemberState{}, ""
		e.out.Log(LogEvent{Warning: true, Event: "primary_needed", Message: reason, Fields: map[string]any{
			"group": p.group, "old": old, "planned": planned, "turn": e.rankOf(p.group), "evidence": e.deathEvidenceOf(old),
		}})
	}
	p.reason, p.old, p.planned = reason, old, planned
	if evidence := e.deathEvidenceOf(old); evidence != "" {
		p.evidence = evidence
	}
	p.fire(e.primaryChangeEvents.needed)
}

// submit hands a job to the worker. It returns false if the worker's ring is full; the job
// of a step is then retried after the step's timeout.
func (p *primaryChange) submit(j Job) bool {
	if p.e.out.SubmitJob(j) {
		return true
	}
	p.e.out.Log(LogEvent{Warning: true, Event: "job_dropped", Message: "the worker's ring is full; the step is retried after its timeout",
		Fields: map[string]any{"group": p.group, "kind": j.Kind}})
	return false
}

func (m *member) target() Target {
	return Target{Group: m.Group, Member: m.Member, Address: m.Address}
}

// syncReplicas returns the configured number of synchronous replicas of a group.
func (e *Engine) syncReplicas(group core.DatabaseName) int {
	for _, g := range e.configuration.Groups {
		if g.Name == group {
			return g.SyncReplicas
		}
	}
	return 0
}

// requestClaim takes the group's claim. While an earlier promotion may still be executed, the
// next one needs a newer token, so that the platform refuses the earlier one after it.
func (p *primaryChange) requestClaim() {
	p.submit(Job{Kind: JobClaim, Group: p.group, NewToken: p.undecidedPromotion() != ""})
}

func (p *primaryChange) requestPromotion() {
	target := Target{Group: p.group, Member: p.candidate.Member}
	job := Job{Kind: JobPromote, Group: p.group, Claim: p.claim, Targets: []Target{target}}
	if !p.stoppedByPlatform() {
		job.Succession = Succession{Group: p.group, Revoked: p.replaced().Member, Promoted: target.Member}
	}
	p.requested = promotionRequest{member: target.Member, sentAt: p.e.now}
	p.submit(job)
}

// requestStepDown makes the old primary step down in a planned change. Where commits wait
// for replicas, the candidate has each acknowledged commit by then. Elsewhere the promotion
// has been requested; the new primary still receives what the old one has acknowledged.
func (p *primaryChange) requestStepDown() {
	old := p.e.members[p.old]
	if old == nil {
		return
	}
	p.submit(Job{Kind: JobStepDown, Group: p.group, Targets: []Target{old.target()}, Term: max(p.candidate.Term+1, p.nextTerm())})
}

// jobDone passes the result of a job to the primaryChange of its group, or to the
// check of a suspected member.
func (e *Engine) jobDone(d *JobDone) {
	if d.Job.Kind == JobMemberStatus {
		e.statusChecked(d)
		return
	}
	p := e.primaryChangeOf(d.Job.Group)
	if d.Err != nil {
		e.out.Log(LogEvent{Warning: true, Event: "promotion_step_failed", Message: d.Err.Error(),
			Fields: map[string]any{"group": p.group, "kind": d.Job.Kind}})
	}
	switch d.Job.Kind {
	case JobClaim:
		p.claimDone(d)
	case JobSurvey:
		p.surveyDone(d)
	case JobCatchUp:
		p.catchUpDone(d)
	case JobPromote:
		p.promotionDone(d)
	case JobStepDown:
		p.demotionDone(d)
	case JobRevoke:
		p.revocationRecorded(d)
	case JobPause:
		p.joinedPaused(d)
	case JobResume:
		p.paused.remove(d.States)
	case JobRecordTerm:
		p.observeStates(d.States)
	}
	if p.planned && p.state == e.standbyState {
		// The change may have become needless while it was under way.
		e.reviewGroup(&Group{Name: p.group})
	}
}

// underWay reports whether the change has begun to act on members.
func (p *primaryChange) underWay() bool { return p.e.changeUnderWay[p.state] }

// replaces reports whether a planned change that replaces the primary has to be
// completed although it has become needless: without its last step, the step-down of the
// old primary, a promotion that was requested could lose commits.
func (p *primaryChange) replaces(primary *member) bool {
	return p.planned && p.old == primary.Member && p.underWay()
}

// hasPromoted reports whether the primary is the one that this change has promoted.
func (p *primaryChange) hasPromoted(primary *member) bool {
	return p.state == p.e.awaitingState && p.candidate.Member == primary.Member
}

func (p *primaryChange) claimDone(d *JobDone) {
	if d.Err != nil || d.Claim.Holder != p.e.config.Self.ID {
		p.fire(p.e.primaryChangeEvents.claimFailed)
		return
	}
	p.claim = d.Claim
	p.claimedAt = p.e.now
	p.fire(p.e.primaryChangeEvents.claimed)
}

func (p *primaryChange) promotionDone(d *JobDone) {
	p.orderedAt = p.e.now
	p.e.out.Log(LogEvent{Event: "promotion_ordered", Message: "promotion requested", Fields: map[string]any{
		"group": p.group, "member": d.Job.Targets[0].Member, "token": d.Job.Claim.Token, "reason": p.reason, "evidence": p.evidence,
		"position": p.candidate.Received.String(), "answered": len(p.surveyed), "failed": d.Err != nil,
	}})
	switch {
	case d.Err == nil:
		p.fire(p.e.primaryChangeEvents.ordered)
	case eris.Is(d.Err, ErrFenced), eris.Is(d.Err, ErrConflict):
		// The promotion was refused, or not requested because the claim had ended.
		p.requested = promotionRequest{}
		p.fire(p.e.primaryChangeEvents.fenced)
	default:
		p.fire(p.e.primaryChangeEvents.orderFailed)
	}
}

// logPrimaryChange logs the completed change and how long each step took.
func (p *primaryChange) logPrimaryChange() {
	e := p.e
	e.out.Log(LogEvent{Warning: true, Event: "primary_changed", Message: "the group has a new primary", Fields: map[string]any{
		"group": p.group, "reason": p.reason, "evidence": p.evidence, "old": p.old, "candidate": p.candidate.Member,
		"claim_ms":    stepMillis(p.neededAt, p.claimedAt),
		"survey_ms":   stepMillis(p.claimedAt, p.surveyedAt),
		"order_ms":    stepMillis(p.surveyedAt, p.orderedAt),
		"takeover_ms": stepMillis(p.orderedAt, e.now),
	}})
}

// stepMillis returns the time of a step, 0 if this instance has not made it.
func stepMillis(from, to time.Time) int64 {
	if from.IsZero() || to.IsZero() {
		return 0
	}
	return to.Sub(from).Milliseconds()
}

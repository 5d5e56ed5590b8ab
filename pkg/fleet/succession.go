package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// succession is the change of one group's primary, by the chart "succession".
type succession struct {
	e     *Engine
	group core.DatabaseName
	state chart.State
	timer timerq.Item[func()]
	// reason is why the group needs a primary, old the member that loses the
	// lead, if it is known.
	reason  string
	old     core.MemberID
	planned bool
	claim   Claim
	// candidate is the most advanced replica of the last survey.
	candidate MemberState
	// surveyed is how many replicas answered the last survey.
	surveyed int
	term     core.Term
	// The times of the steps, for the report.
	neededAt, claimedAt, surveyedAt, orderedAt time.Time
}

type successionEvents struct {
	needed, settled, claimed, claimFailed, surveyed, surveyFailed chart.Event
	ordered, orderFailed, fenced, timedOut                        chart.Event
}

const (
	// turnStep is the head start of each instance over the next in a group's
	// order: ten answers of the store. The store decides between two claims.
	turnStep = 40 * time.Millisecond
	// lastTurn bounds the wait of the last instances.
	lastTurn = 8
	// ownTurn stands in the chart's table for the instance's own turn.
	ownTurn time.Duration = 0
)

func successionRegistry(b *Bounds) chart.Registry[*succession] {
	return chart.Registry[*succession]{
		Guards: map[string]func(*succession) bool{
			"has_candidate": func(s *succession) bool { return s.candidate.Member != "" },
			"planned":       func(s *succession) bool { return s.planned && s.old != "" },
		},
		Actions: map[string]func(*succession){
			"ask_claim":     func(s *succession) { s.push(Job{Kind: JobClaim, Group: s.group}) },
			"ask_survey":    (*succession).askSurvey,
			"ask_order":     (*succession).askOrder,
			"ask_step_down": (*succession).askStepDown,
			"drop_claim":    func(s *succession) { s.claim = Claim{} },
			"report":        (*succession).report,
		},
		Timeouts: map[string]time.Duration{
			"quiet":    idleLife,
			"turn":     ownTurn,
			"call":     b.PromotionCall,
			"standby":  b.PromotionRetry,
			"takeover": b.Takeover,
		},
	}
}

func (e *Engine) loadSuccession(d *chart.Definition) error {
	table, err := chart.Compile(d, successionRegistry(&e.config.Bounds))
	if err != nil {
		return err
	}
	event := table.Event
	e.succession = table
	e.steadyState = table.StateID("settled")
	e.change = successionEvents{
		needed: event("needed"), settled: event("settled"), claimed: event("claimed"),
		claimFailed: event("claim_failed"), surveyed: event("surveyed"), surveyFailed: event("survey_failed"),
		ordered: event("ordered"), orderFailed: event("order_failed"), fenced: event("fenced"),
		timedOut: event(chart.TimeoutEvent),
	}
	return nil
}

func (e *Engine) successionOf(group core.DatabaseName) *succession {
	s := e.successions[group]
	if s == nil {
		s = &succession{e: e, group: group, state: e.succession.Initial()}
		s.timer.Value = func() { s.fire(e.change.timedOut) }
		e.successions[group] = s
	}
	return s
}

func (s *succession) fire(event chart.Event) {
	e := s.e
	before := s.state
	e.succession.Fire(s, &s.state, event)
	if s.state == before && event != e.change.timedOut {
		return
	}
	after := e.succession.Timeout(s.state)
	if after == ownTurn {
		after = turnStep * time.Duration(e.turnOf(s.group))
	}
	e.timers.Arm(&s.timer, e.now.Add(after))
}

// turnOf is the place of this instance in the group's order of instances, which
// is another for each group.
func (e *Engine) turnOf(group core.DatabaseName) int {
	own := turnHash(group, e.config.Self.Node)
	place := 0
	for node := range e.instances {
		if turnHash(group, node) > own {
			place++
		}
	}
	return min(place, lastTurn)
}

func turnHash(group core.DatabaseName, node string) uint64 {
	return xxhash.Sum64String(string(group) + "/" + node)
}

// reviewSuccession looks at every group after news about members.
func (e *Engine) reviewSuccession() {
	for _, g := range e.configuration.Groups {
		e.review(&g)
	}
}

// review tells the group's succession whether it needs a primary.
func (e *Engine) review(g *Group) {
	s := e.successionOf(g.Name)
	primary, replicas := e.leadersOf(g.Name)
	switch {
	case primary != nil && !primary.Draining:
		s.fire(e.change.settled)
		return
	case e.storeLost || replicas == 0:
		return
	case primary != nil:
		s.need("the primary is draining", primary.Member, true)
	default:
		s.need("no primary is announced", e.lastDead(g.Name), false)
	}
}

// leadersOf returns the group's announced primary that is not known to be dead,
// one that stays before one that drains, and the number of ready replicas.
func (e *Engine) leadersOf(group core.DatabaseName) (primary *member, replicas int) {
	for _, m := range e.groups[group] {
		if m.dead {
			continue
		}
		if m.Role != core.RolePrimary {
			replicas++
			continue
		}
		if primary == nil || primary.Draining && !m.Draining {
			primary = m
		}
	}
	return primary, replicas
}

func (e *Engine) lastDead(group core.DatabaseName) core.MemberID {
	for _, m := range e.groups[group] {
		if m.dead {
			return m.Member
		}
	}
	return ""
}

func (s *succession) need(reason string, old core.MemberID, planned bool) {
	e := s.e
	if s.state == e.steadyState {
		s.neededAt = e.now
		s.candidate = MemberState{}
		e.out.Log(LogEvent{Warning: true, Event: "primary_needed", Message: reason, Fields: map[string]any{
			"group": s.group, "old": old, "planned": planned, "turn": e.turnOf(s.group),
		}})
	}
	s.reason, s.old, s.planned = reason, old, planned
	s.fire(e.change.needed)
}

func (s *succession) push(j Job) {
	if s.e.out.Work(j) {
		return
	}
	s.e.out.Log(LogEvent{Warning: true, Event: "job_dropped", Message: "the worker has no room; the step is repeated after its timeout",
		Fields: map[string]any{"group": s.group, "kind": j.Kind}})
}

// askSurvey asks the replicas for their positions. Where commits wait for
// replicas, these stop receiving first, so that the old primary can acknowledge
// nothing after the survey.
func (s *succession) askSurvey() {
	j := Job{Kind: JobSurvey, Group: s.group, Targets: s.e.replicas(s.group)}
	if s.e.syncReplicas(s.group) > 0 && !s.planned {
		j.Term = s.term + 1
	}
	s.push(j)
}

// replicas returns the members that may take over, ready ones before draining
// ones.
func (e *Engine) replicas(group core.DatabaseName) []Target {
	var ready, draining []Target
	for _, m := range e.groups[group] {
		if m.dead || m.Role == core.RolePrimary {
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

func (m *member) target() Target {
	return Target{Group: m.Group, Member: m.Member, Address: m.Address}
}

func (e *Engine) syncReplicas(group core.DatabaseName) int {
	for _, g := range e.configuration.Groups {
		if g.Name == group {
			return g.SyncReplicas
		}
	}
	return 0
}

func (s *succession) askOrder() {
	target := Target{Group: s.group, Member: s.candidate.Member}
	s.push(Job{Kind: JobPromote, Group: s.group, Claim: s.claim, Targets: []Target{target}})
}

// askStepDown stops the old primary while the new one is being promoted, which
// still receives what the old one has acknowledged.
func (s *succession) askStepDown() {
	old := s.e.members[s.old]
	if old == nil {
		return
	}
	s.push(Job{Kind: JobStepDown, Group: s.group, Targets: []Target{old.target()}, Term: s.candidate.Term + 1})
}

// jobDone takes the result of a job to its group.
func (e *Engine) jobDone(d *JobDone) {
	if d.Job.Kind == JobExamine {
		e.examined(d)
		return
	}
	s := e.successionOf(d.Job.Group)
	if d.Err != nil {
		e.out.Log(LogEvent{Warning: true, Event: "promotion_step_failed", Message: d.Err.Error(),
			Fields: map[string]any{"group": s.group, "kind": d.Job.Kind}})
	}
	switch d.Job.Kind {
	case JobClaim:
		s.claimDone(d)
	case JobSurvey:
		s.surveyDone(d)
	case JobPromote:
		s.orderDone(d)
	}
}

func (s *succession) claimDone(d *JobDone) {
	if d.Err != nil || d.Claim.Holder != s.e.config.Self.ID {
		s.fire(s.e.change.claimFailed)
		return
	}
	s.claim = d.Claim
	s.claimedAt = s.e.now
	s.fire(s.e.change.claimed)
}

func (s *succession) surveyDone(d *JobDone) {
	s.surveyed = len(d.States)
	for _, state := range d.States {
		s.term = max(s.term, state.Term)
	}
	if d.Err != nil && d.Job.Term > 0 {
		s.fire(s.e.change.surveyFailed)
		return
	}
	if s.e.syncReplicas(s.group) > 0 && d.Job.Term <= s.term && !s.planned && d.Job.Term > 0 {
		// The replicas know a newer term than the one they were paused with.
		s.fire(s.e.change.surveyFailed)
		return
	}
	s.candidate = mostAdvanced(d.States)
	s.surveyedAt = s.e.now
	s.fire(s.e.change.surveyed)
}

// mostAdvanced returns the replica that holds the most of the log.
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

func (s *succession) orderDone(d *JobDone) {
	s.orderedAt = s.e.now
	s.e.out.Log(LogEvent{Event: "promotion_ordered", Message: "promotion ordered", Fields: map[string]any{
		"group": s.group, "member": d.Job.Targets[0].Member, "token": d.Job.Claim.Token, "reason": s.reason,
		"position": s.candidate.Received.String(), "answered": s.surveyed, "failed": d.Err != nil,
	}})
	switch {
	case d.Err == nil:
		s.fire(s.e.change.ordered)
	case eris.Is(d.Err, ErrFenced):
		s.fire(s.e.change.fenced)
	default:
		s.fire(s.e.change.orderFailed)
	}
}

// report tells the parts of the time without a primary.
func (s *succession) report() {
	e := s.e
	e.out.Log(LogEvent{Warning: true, Event: "primary_changed", Message: "the group has a new primary", Fields: map[string]any{
		"group": s.group, "reason": s.reason, "old": s.old, "candidate": s.candidate.Member,
		"claim_ms":    s.claimedAt.Sub(s.neededAt).Milliseconds(),
		"survey_ms":   s.surveyedAt.Sub(s.claimedAt).Milliseconds(),
		"order_ms":    s.orderedAt.Sub(s.surveyedAt).Milliseconds(),
		"takeover_ms": e.now.Sub(s.orderedAt).Milliseconds(),
	}})
}

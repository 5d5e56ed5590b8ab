package pace

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
)

// Table is the compiled chart "member_pace".
type Table struct {
	chart                                  *chart.Table[*Pacer]
	returned, promoted, inTime, overloaded chart.Event
	timedOut                               chart.Event
	steady, recovering, backingOff         chart.State
}

// NewTable compiles the chart. It returns the errors of chart.Compile.
func NewTable(definition *chart.Definition) (*Table, error) {
	compiled, err := chart.Compile(definition, registry())
	if err != nil {
		return nil, err
	}
	return &Table{
		chart:    compiled,
		returned: compiled.Event("returned"), promoted: compiled.Event("promoted"),
		inTime: compiled.Event("in_time"), overloaded: compiled.Event("overloaded"),
		timedOut: compiled.Event(chart.TimeoutEvent),
		steady:   compiled.StateID("steady"), recovering: compiled.StateID("recovering"),
		backingOff: compiled.StateID("backing_off"),
	}, nil
}

// TransitionCounts returns how often each transition was taken.
func (t *Table) TransitionCounts() map[string]uint64 { return t.chart.TransitionCounts() }

// registry binds the guards, actions and timeouts of the chart.
func registry() chart.Registry[*Pacer] {
	return chart.Registry[*Pacer]{
		Guards: map[string]func(*Pacer) bool{
			"below_capacity":   func(p *Pacer) bool { return p.startAllowance < p.capacityShare() },
			"changed_recently": func(p *Pacer) bool { return p.now.Sub(p.changedAt) < doubleInterval },
			"changed_just_now": func(p *Pacer) bool { return p.now.Sub(p.changedAt) < halveInterval },
			"reaches_slots":    func(p *Pacer) bool { return 2*p.allowance >= float64(p.limits.Slots) },
			"nearly_slots":     func(p *Pacer) bool { return p.raised() >= float64(p.limits.Slots) },
		},
		Actions: map[string]func(*Pacer){
			"start_slowly":       (*Pacer).startSlowly,
			"start_slowly_again": (*Pacer).startSlowlyAgain,
			"start_at_capacity":  (*Pacer).startAtCapacity,
			"double":             (*Pacer).double,
			"raise":              func(p *Pacer) { p.allowance = p.raised() },
			"halve":              (*Pacer).halve,
			"lift":               func(p *Pacer) { p.allowance = float64(p.limits.Slots) },
		},
		Timeouts: map[string]time.Duration{"quiet": quietTime, "rest": restTime, "review": reviewTime},
	}
}

// fire applies an event and records the reason of a change of state.
func (p *Pacer) fire(now time.Time, event chart.Event, reason string) {
	p.advance(now)
	before, allowance := p.state, p.allowance
	p.table.chart.Fire(p, &p.state, event)
	if p.state != before {
		p.since = now
	}
	if p.state != before || p.allowance != allowance {
		p.reason = reason
	}
}

// advance sets the time and fires the timeouts that have passed.
func (p *Pacer) advance(now time.Time) {
	p.now = now
	for {
		due := p.quietSince.Add(p.table.chart.Timeout(p.state))
		if now.Before(due) {
			return
		}
		p.now, p.quietSince = due, due
		before := p.state
		p.table.chart.Fire(p, &p.state, p.table.timedOut)
		if p.state != before {
			p.since, p.reason = due, "no sign of overload"
		}
		p.now = now
		if p.state == p.table.steady {
			p.quietSince = now
			return
		}
	}
}

// startSlowly sets the allowance to this home's part of the initial rate.
func (p *Pacer) startSlowly() {
	rate := startPerSlot * float64(p.limits.Slots) / float64(p.limits.Homes)
	p.start(rate * p.usualOr(unknownTime).Seconds())
}

// startSlowlyAgain starts a recovery anew. A first statement that is due earlier
// stays so, because a member that comes back repeatedly would get none otherwise.
func (p *Pacer) startSlowlyAgain() {
	due := p.nextStart
	p.startSlowly()
	if due.After(p.now) && due.Before(p.nextStart) {
		p.nextStart = due
	}
}

// startAtCapacity sets the allowance to this home's part of the statements that
// occupy the member fully.
func (p *Pacer) startAtCapacity() { p.start(p.capacityShare()) }

// capacityShare returns this home's part of inFlightPerSlot.
func (p *Pacer) capacityShare() float64 {
	return inFlightPerSlot * float64(p.limits.Slots) / float64(p.limits.Homes)
}

// start begins a recovery with the given allowance. The first statements of the
// homes are spread over the mean time between two starts.
func (p *Pacer) start(allowance float64) {
	p.allowance = min(allowance, float64(p.limits.Slots))
	p.startAllowance = p.allowance
	p.times.restart(p.now)
	p.failedFraction = 0
	p.changedAt, p.quietSince = p.now, p.now
	p.nextStart = p.now
	if p.limits.Homes > 1 {
		p.nextStart = p.now.Add(time.Duration(float64(p.pause()) * p.nextPhase()))
	}
}

// double doubles the allowance and shortens a pause that is under way.
func (p *Pacer) double() {
	p.allowance = min(2*p.allowance, float64(p.limits.Slots))
	p.changedAt = p.now
	if rest := p.nextStart.Sub(p.now); rest > 0 {
		p.nextStart = p.now.Add(rest / 2)
	}
}

// raised returns the allowance after one more answer in time.
func (p *Pacer) raised() float64 {
	if p.allowance < 1 {
		return min(p.allowance+raiseBelowOne, p.allowance*maxRaise)
	}
	return p.allowance + raisePerAnswer/p.allowance
}

// halve halves the allowance. Late answers and lost connections without a refusal leave
// at least one statement in flight, or the initial allowance of a recovery.
func (p *Pacer) halve() {
	p.allowance = max(p.allowance/2, min(p.lowest(), p.allowance))
	p.changedAt, p.loweredAt = p.now, p.now
	p.times.forgetRecent()
	if p.allowance < 1 {
		p.nextStart = p.now.Add(p.spread(p.pause()))
	}
}

// lowest returns the lower bound of the allowance.
func (p *Pacer) lowest() float64 {
	if p.state == p.table.recovering {
		if p.withoutRefusal {
			return p.startAllowance
		}
		return p.startAllowance * minStartFraction
	}
	if p.withoutRefusal && p.now.Sub(p.refusedAt) > refusedMemory {
		return 1
	}
	return p.usualOr(unknownTime).Seconds() / maxPause.Seconds()
}

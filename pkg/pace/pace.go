// Package pace decides how much work one home sends to one member: how many
// statements may be in flight and, while that is less than one, how far apart
// they start. It has no clock and no network; every call carries the time,
// which must not go backwards.
package pace

import (
	"math"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
)

const (
	// startPerSlot is the number of statements per second and slot that all homes
	// together send to a returning member at first. With statements of 10 ms, a member
	// at a fifth of its speed uses half of its slots for them.
	startPerSlot = 10.0
	// inFlightPerSlot is the number of statements per slot that all homes together
	// have in flight at a promoted member at first: one runs, the others queue.
	inFlightPerSlot = 2
	// unknownTime stands for the answer time of a member while neither its own
	// nor that of its peers is known.
	unknownTime = 10 * time.Millisecond
	// doubleInterval and halveInterval are the minimum times from a change by a
	// factor of two to the next one, so that its effect on the answers is seen.
	doubleInterval = 200 * time.Millisecond
	halveInterval  = 100 * time.Millisecond
	// quietTime, during a recovery, and restTime, after an overload, are the times
	// without a sign of overload after which the allowance doubles without answers, so
	// that a home that sends little does not keep a low one.
	quietTime = 4 * time.Second
	restTime  = 2 * time.Second
	// reviewTime is the timeout of the state "steady". It has no effect; the chart
	// requires each state to have a timeout.
	reviewTime = time.Minute
	// maxPause is the longest pause between two statements in the state
	// "backing_off", so that every home notices when the overload ends.
	maxPause = 500 * time.Millisecond
	// refusedMemory is how long after a refusal late answers and lost connections can
	// lower the allowance below one statement. Without a refusal they may have another
	// cause, such as a change of the statements, a slow home or a broken link, and
	// pauses would delay the callers of a member that has room.
	refusedMemory = 10 * time.Second
	// busyPause is the mean pause after a refusal; a full queue drains within some
	// tens of milliseconds.
	busyPause = 20 * time.Millisecond
	// raisePerAnswer, divided by the allowance, is the growth of an allowance of one
	// statement or more with each answer in time. raiseBelowOne is the growth of a
	// smaller one, which grows at most by the factor maxRaise.
	raisePerAnswer = 0.25
	raiseBelowOne  = 0.03
	maxRaise       = 2
	// minStartFraction is the fraction of the initial allowance to which refusals can
	// lower it during a recovery.
	minStartFraction = 1.0 / 8
	// failedWeight is the number of answers over which failures are smoothed.
	failedWeight = 8
	// maxFailedFraction is the smoothed fraction of failed answers above which the member
	// counts as overloaded. A member that fails fewer is ill rather than overloaded: less
	// work would not help it, and would delay callers that it alone may serve.
	maxFailedFraction = 0.4
	// phaseStep spreads the pauses over their interval; its multiples are evenly
	// distributed between 0 and 1.
	phaseStep = 0.6180339887498949
)

// Kind is the kind of an answer.
type Kind uint8

// Kinds of answers.
const (
	// OK is an answer of a member that ran the statement.
	OK Kind = iota
	// Busy is a refusal because the member's queue is full.
	Busy
	// Failed is an error of the member.
	Failed
	// Lost is a connection that ended, or could not be opened, without an answer.
	Lost
	// Abandoned is a statement without an answer until its deadline, or until its
	// caller left; Took is the time until then.
	Abandoned
)

// Answer describes one answer of the member.
type Answer struct {
	Kind Kind
	// Took is the time from sending to the answer. Only OK and Abandoned need it.
	Took time.Duration
	// Peers is the usual answer time of the group's other members, 0 if unknown.
	Peers time.Duration
}

// Limits holds what the deployment determines.
type Limits struct {
	// Slots is the upper bound of the allowance.
	Slots int
	// Homes is the number of instances that send statements to the member.
	Homes int
}

// Bound is the configured maximum rate of a cold member at this home. Without one,
// PerSecond is 0.
type Bound struct {
	// PerSecond is in statements per second.
	PerSecond float64
	// Until is the time at which the bound ends.
	Until time.Time
}

// Pacer decides for one member at one home. It is not safe for concurrent use.
type Pacer struct {
	table  *Table
	state  chart.State
	limits Limits
	bound  Bound
	times  times
	// now is the time of the current call.
	now time.Time
	// allowance is the number of statements that may be in flight; below 1, it is the
	// mean number. startAllowance is its value at the start of a recovery.
	allowance      float64
	startAllowance float64
	// failedFraction is the smoothed fraction of failed answers.
	failedFraction float64
	// withoutRefusal is set while the event being applied is a late answer or a lost
	// connection.
	withoutRefusal bool
	// phase, from 0 to 1, determines the next pause within its interval.
	phase float64
	// nextStart is the earliest next start while the allowance is below 1, and
	// nextBounded that of the configured bound. resumeAt is the earliest start
	// after a refusal.
	nextStart   time.Time
	resumeAt    time.Time
	nextBounded time.Time
	// since is when the current state began, changedAt when the allowance was last
	// set, doubled or halved. quietSince is the time of the last sign of overload or
	// timeout of the chart.
	since      time.Time
	changedAt  time.Time
	quietSince time.Time
	// loweredAt is when the allowance was last lowered; answers to statements that
	// were sent before say nothing about the time since.
	loweredAt time.Time
	// refusedAt is when the member last refused a statement.
	refusedAt time.Time
	// reason is why the state or the allowance last changed.
	reason string
}

// New returns a pacer without a limit beyond the slots. phase, from 0 to 1,
// should differ from home to home; it spreads their first statements.
func New(table *Table, now time.Time, limits Limits, phase float64) *Pacer {
	p := &Pacer{table: table, state: table.chart.Initial(), now: now, phase: phase, since: now, quietSince: now}
	p.SetLimits(limits)
	p.allowance = float64(p.limits.Slots)
	p.reason = "the member is in regular use"
	return p
}

// SetLimits applies new limits. Where the allowance limited nothing, it follows
// the number of slots.
func (p *Pacer) SetLimits(l Limits) {
	l.Slots, l.Homes = max(l.Slots, 1), max(l.Homes, 1)
	if p.state == p.table.steady || p.allowance > float64(l.Slots) {
		p.allowance = float64(l.Slots)
	}
	p.limits = l
}

// SetBound applies the configured bound of a cold member. The first statements of
// the homes are spread over the time between two of them.
func (p *Pacer) SetBound(now time.Time, b Bound) {
	p.advance(now)
	began := !p.Bounded()
	p.bound = b
	if began && p.Bounded() && p.limits.Homes > 1 {
		p.nextBounded = now.Add(time.Duration(float64(p.boundPause()) * p.nextPhase()))
	}
}

// Return records that the member appeared, came back or was set aside as
// failing: it starts slowly.
func (p *Pacer) Return(now time.Time, reason string) {
	p.fire(now, p.table.returned, reason)
}

// Promote records that the member became the primary. It is known to work, but
// the load of the whole group moves to it at once.
func (p *Pacer) Promote(now time.Time) {
	p.fire(now, p.table.promoted, "the member became the primary")
}

// Answer applies an answer of the member.
func (p *Pacer) Answer(now time.Time, a Answer) {
	p.advance(now)
	switch a.Kind {
	case OK:
		p.failedFraction -= p.failedFraction / failedWeight
		if !now.Add(-a.Took).Before(p.loweredAt) {
			p.times.add(now, a.Took)
			p.judgeTime(now, a.Peers)
		}
	case Busy:
		p.refusedAt = now
		p.resumeAt = now.Add(p.spread(busyPause))
		p.overloaded(now, "the member refuses statements as BUSY")
	case Failed:
		p.failedFraction += (1 - p.failedFraction) / failedWeight
		if p.failedFraction > maxFailedFraction {
			p.overloaded(now, "the member fails statements")
		}
	case Abandoned:
		if a.Took > p.times.recent {
			p.times.add(now, a.Took)
			p.judgeTime(now, a.Peers)
		}
	case Lost:
		p.withoutRefusal = true
		p.overloaded(now, "a connection to the member was lost")
		p.withoutRefusal = false
	}
}

// judgeTime compares the recent answer time with the usual one.
func (p *Pacer) judgeTime(now time.Time, peers time.Duration) {
	if p.isLate(p.reference(peers)) {
		p.withoutRefusal = true
		p.overloaded(now, "the member answers late")
		p.withoutRefusal = false
		return
	}
	p.fire(now, p.table.inTime, "the member answers in time")
}

// reference returns the answer time to compare with, 0 if none is known. A
// member that is new is compared with its peers, because its own times may have
// been slow from the start, and without peers with its own fastest answers.
func (p *Pacer) reference(peers time.Duration) time.Duration {
	if p.times.previous > 0 {
		return p.times.usual()
	}
	if peers > 0 && p.state == p.table.recovering {
		return peers
	}
	return p.times.least
}

// isLate reports whether recent answers took clearly longer than the reference.
// In the state "steady" the member may have short queues, so more is accepted.
func (p *Pacer) isLate(reference time.Duration) bool {
	if reference <= 0 {
		return false
	}
	if p.state == p.table.steady {
		return p.times.recent > 3*reference+20*time.Millisecond
	}
	return p.times.recent > 2*reference+5*time.Millisecond
}

// overloaded applies a sign of overload.
func (p *Pacer) overloaded(now time.Time, reason string) {
	p.quietSince = now
	p.fire(now, p.table.overloaded, reason)
}

// MayStart reports whether a statement may start while the given number are in
// flight. If not, retryAt is when it may, or zero if an answer has to arrive
// first.
func (p *Pacer) MayStart(now time.Time, inFlight int) (ok bool, retryAt time.Time) {
	p.advance(now)
	if inFlight >= p.MaxInFlight() {
		return false, time.Time{}
	}
	at := p.resumeAt
	if p.allowance < 1 {
		at = clock.Later(at, p.nextStart)
	}
	if p.Bounded() {
		at = clock.Later(at, p.nextBounded)
	}
	if now.Before(at) {
		return false, at
	}
	return true, time.Time{}
}

// Started records that a statement was sent.
func (p *Pacer) Started(now time.Time) {
	p.advance(now)
	if p.Bounded() {
		p.nextBounded = clock.Later(p.nextBounded, now).Add(p.boundPause())
	}
	if p.allowance < 1 {
		p.nextStart = now.Add(p.spread(p.pause()))
	}
}

// Bounded reports whether the configured bound of a cold member applies.
func (p *Pacer) Bounded() bool { return p.bound.PerSecond > 0 && p.now.Before(p.bound.Until) }

// boundPause returns the time between two starts under the configured bound.
func (p *Pacer) boundPause() time.Duration {
	return time.Duration(float64(time.Second) / p.bound.PerSecond)
}

// pause returns the mean time between two starts with an allowance below 1.
func (p *Pacer) pause() time.Duration {
	pause := time.Duration(float64(p.usualOr(unknownTime)) / p.allowance)
	if p.state == p.table.backingOff {
		return min(pause, maxPause)
	}
	return pause
}

// spread returns a duration between half and one and a half times the pause, so
// that homes that were refused together don't return together.
func (p *Pacer) spread(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (0.5 + p.nextPhase()))
}

// nextPhase returns the next number of a sequence that is evenly distributed between 0
// and 1.
func (p *Pacer) nextPhase() float64 {
	_, p.phase = math.Modf(p.phase + phaseStep)
	return p.phase
}

// usualOr returns the usual answer time, or the given one while it is unknown.
func (p *Pacer) usualOr(unknown time.Duration) time.Duration {
	if usual := p.times.usual(); usual > 0 {
		return usual
	}
	return unknown
}

// MaxInFlight returns the number of statements that may be in flight, at least 1.
func (p *Pacer) MaxInFlight() int { return max(int(p.allowance), 1) }

// Wait returns how long the pauses between starts keep a statement waiting that
// has the given number of statements ahead of it.
func (p *Pacer) Wait(now time.Time, ahead int) time.Duration {
	p.advance(now)
	wait := max(p.resumeAt.Sub(now), 0)
	if p.allowance < 1 {
		wait = max(wait, p.nextStart.Sub(now)) + p.pausesFor(ahead)
	}
	if p.Bounded() {
		wait = max(wait, max(p.nextBounded.Sub(now), 0)+time.Duration(ahead)*p.boundPause())
	}
	return wait
}

// pausesFor returns the sum of the pauses after the given number of statements.
// During a recovery each is expected to be half of the one before.
func (p *Pacer) pausesFor(statements int) time.Duration {
	pauses := float64(statements)
	if p.state == p.table.recovering {
		pauses = 1 - math.Pow(0.5, pauses)
	}
	return time.Duration(pauses * float64(p.pause()))
}

// Limits reports whether the pacer limits the member's work beyond its slots.
func (p *Pacer) Limits() bool { return p.state != p.table.steady || p.Bounded() }

// Usual returns the usual answer time, 0 if unknown.
func (p *Pacer) Usual() time.Duration { return p.times.usual() }

// Status describes the pacer for logs and metrics.
type Status struct {
	State string
	// Allowance is the number of statements that may be in flight.
	Allowance float64
	Reason    string
	// Since is when the state began.
	Since time.Time
}

// Status returns the present status.
func (p *Pacer) Status() Status {
	return Status{State: p.table.chart.StateName(p.state), Allowance: p.allowance, Reason: p.reason, Since: p.since}
}

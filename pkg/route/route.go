// Package route chooses the member that serves a read. Each factor is a file
// of its own and gives a score, an advice and a reason.
package route

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Request is what a read asks for.
type Request struct {
	// Floor is the position that the member must have applied.
	Floor core.Position
	// MaxAge is the accepted staleness.
	MaxAge time.Duration
	// Home is the failure domain of this instance.
	Home core.Domain
}

// Candidate is what is known of one member at the time of the choice.
type Candidate struct {
	Member  core.MemberID
	Domain  core.Domain
	Primary bool
	// Status is the newest status; nil when none was received yet.
	Status *core.MemberStatus
	// Reachable is false for a suspected or leaving member.
	Reachable bool
	// Age is an upper bound of how far reads lag behind the primary now.
	Age time.Duration
	// Latency is the smoothed round trip of the status endpoint.
	Latency time.Duration
	// Service is the recent time of a statement on the member, zero if unknown.
	Service time.Duration
	// Slots is the number of statements that the member runs at a time.
	Slots int
	// Running and Queued count statements of this instance.
	Running int
	Queued  int
	// Connections counts open and opening connections of this instance.
	Connections int
	// Full is set when a further connection has to replace another one.
	Full bool
}

// Advice says whether a factor lets a candidate take the read.
type Advice uint8

// Advice of a factor.
const (
	// Allow leaves the choice to the scores.
	Allow Advice = iota
	// Exclude rules the candidate out.
	Exclude
)

// Opinion is the judgement of one factor on one candidate.
type Opinion struct {
	// Score is lower for a better candidate; 0 to about 1 per factor.
	Score  float64
	Advice Advice
	// Reason is a constant text for explain.
	Reason string
}

// Factor judges candidates by one property.
type Factor interface {
	Name() string
	Judge(*Request, *Candidate) Opinion
}

// Choice is the outcome of a policy. Index is -1 when no candidate may take
// the read; Reason then tells what ruled out the last one.
type Choice struct {
	Index  int
	Reason string
}

// Policy chooses among candidates.
type Policy interface {
	Name() string
	Choose(*Request, []Candidate) Choice
}

// none is the choice when there is no candidate at all.
func none(reason string) Choice {
	return Choice{Index: -1, Reason: reason}
}

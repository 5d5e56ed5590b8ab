// Package route chooses the member that serves a read. Each factor has a file of
// its own and contributes a score, an eligibility and a reason.
package route

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Request describes the requirements of a read.
type Request struct {
	// Floor is the log position that the member must have applied.
	Floor core.Position
	// MaxAge is the accepted staleness.
	MaxAge time.Duration
	// LocalDomain is the failure domain of this instance.
	LocalDomain core.Domain
}

// Candidate is the known state of one member at the time of the choice.
type Candidate struct {
	Member  core.MemberID
	Domain  core.Domain
	Primary bool
	// Status is the latest status, nil if none was received yet.
	Status *core.MemberStatus
	// Reachable is false for a member that is suspected to be down or is leaving.
	Reachable bool
	// Age is an upper bound of the current replication lag behind the primary.
	Age time.Duration
	// Latency is the smoothed round-trip time of the status endpoint.
	Latency time.Duration
	// Service is the recent duration of a statement on the member, 0 if unknown.
	Service time.Duration
	// Slots is the number of statements that the member executes at a time.
	Slots int
	// Running and Queued count this instance's statements on the member.
	Running int
	Queued  int
	// Exhausted is set when this instance may send no further statement to the
	// member at present.
	Exhausted bool
	// Connections counts this instance's open and opening connections to the
	// member.
	Connections int
	// MustReplace is set when another connection must be closed before one to
	// this member can be opened.
	MustReplace bool
}

// Eligibility says whether a candidate may serve the read.
type Eligibility uint8

// Values of Eligibility.
const (
	// Eligible leaves the choice to the scores.
	Eligible Eligibility = iota
	// Excluded rules the candidate out.
	Excluded
)

// Assessment is the result of one factor for one candidate.
type Assessment struct {
	// Score is lower for a better candidate, usually 0 to about 1 per factor.
	Score       float64
	Eligibility Eligibility
	// Reason is a constant text, shown to callers that ask for an explanation.
	Reason string
}

// Factor assesses candidates by one property.
type Factor interface {
	// Name returns the name of the factor.
	Name() string
	// Assess assesses a candidate that is reachable and has a status.
	Assess(*Request, *Candidate) Assessment
}

// Choice is the result of a policy. Index is the position in the list of
// candidates, -1 if none may serve the read; Reason then says why the last one was
// excluded.
type Choice struct {
	Index  int
	Reason string
}

// Policy chooses a member among candidates.
type Policy interface {
	// Name returns the name of the policy.
	Name() string
	// Choose returns the member for the request, or a Choice without a member.
	Choose(*Request, []Candidate) Choice
}

// noChoice returns the Choice for a read that no candidate may serve.
func noChoice(reason string) Choice {
	return Choice{Index: -1, Reason: reason}
}

package failover

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// Phase tells how far the decision of a term is.
type Phase string

// Phases of a term.
const (
	// PhaseFencing is a claim whose decider has not announced a primary.
	PhaseFencing Phase = "fencing"
	// PhaseServing is a term with a primary.
	PhaseServing Phase = "serving"
)

// Record is the platform's record of a group.
type Record struct {
	Term  core.Term
	Phase Phase
	// Primary is the primary of Term, or in PhaseFencing the last one known.
	Primary core.MemberID
	Decider core.InstanceID
	// Nonce identifies the claim, to resolve a lost answer.
	Nonce string
	// Start is the log position at which Term began, in PhaseServing, for
	// operators. Members are told the position that the primary itself reports.
	Start core.LSN
}

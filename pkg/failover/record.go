package failover

import "github.com/sassafrasshunt/sassafrasshunt/pkg/core"

// Phase is the progress of a term's change of primary.
type Phase string

// Phases of a term.
const (
	// PhaseFencing is a claim whose decider has not announced a primary.
	PhaseFencing Phase = "fencing"
	// PhaseServing is a term whose primary has been announced.
	PhaseServing Phase = "serving"
)

// Record is the record of a group at the platform.
type Record struct {
	Term  core.Term
	Phase Phase
	// Primary is the primary of Term, or in PhaseFencing the last known primary.
	Primary core.MemberID
	// Decider is the instance that claimed Term.
	Decider core.InstanceID
	// Nonce identifies the claim, so that its decider recognizes it after a lost
	// response.
	Nonce string
	// Start is the log position at which Term began. It is set in PhaseServing and
	// informs operators only: the follow command carries the position that the
	// primary itself reports.
	Start core.LSN
}

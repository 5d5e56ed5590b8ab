package fleet

import (
	"context"

	"github.com/rotisserie/eris"
)

// The worker's calls to the store and the platform.

// claim takes the claim of the group, or returns that of another instance.
func (w *Worker) claim(j Job) (Claim, error) {
	ctx, cancel := context.WithTimeout(w.ctx, w.bounds.Call)
	defer cancel()
	if err := w.ensureLease(ctx); err != nil {
		return Claim{}, err
	}
	claim, err := w.registry.Claim(ctx, j.Group, w.self, w.lease)
	if err != nil || !j.NewToken || claim.Holder != w.self {
		return claim, err
	}
	return w.registry.RenewClaim(ctx, claim, w.lease)
}

// ensureLease renews the lease of the claims, or creates a new one.
func (w *Worker) ensureLease(ctx context.Context) error {
	if w.leaseHeld {
		err := w.registry.RenewLease(ctx, w.lease)
		if !eris.Is(err, ErrLeaseEnded) {
			return err
		}
		w.leaseHeld = false
	}
	lease, err := w.registry.GrantLease(ctx, w.bounds.ClaimTTL)
	if err != nil {
		return err
	}
	w.lease, w.leaseHeld = lease, true
	return nil
}

// recordTerm records the term of a new primary, or its least term if the primary does not
// respond.
func (w *Worker) recordTerm(j Job) ([]MemberState, error) {
	states, err := w.callMembers(j.Targets, w.statusOrApplied)
	term := j.Term
	for _, state := range states {
		term = max(term, state.Received.Term)
	}
	if term == 0 {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(w.ctx, w.bounds.Call)
	defer cancel()
	if err := w.registry.RecordTerm(ctx, GroupTerm{Group: j.Group, Term: term, Revision: j.Replaces}); err != nil {
		return states, err
	}
	return states, err
}

// promote records the succession, if there is one to record, and requests the promotion.
func (w *Worker) promote(j Job) error {
	if j.Succession.Promoted != "" {
		if err := w.recordSuccession(j); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(w.ctx, w.bounds.Call)
	defer cancel()
	return w.memberControl.Promote(ctx, j.Claim, j.Targets[0].Member)
}

func (w *Worker) recordSuccession(j Job) error {
	ctx, cancel := context.WithTimeout(w.ctx, w.bounds.Call)
	defer cancel()
	return w.registry.RecordSuccession(ctx, j.Claim, j.Succession)
}

package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// StoreCallKind is the kind of a call to the store.
type StoreCallKind string

// Kinds of store calls. A snapshot and a claim may take several requests and are
// counted once.
const (
	// CallWatch is a watch that waits for changes, CallRead one that does not wait.
	CallWatch        StoreCallKind = "watch"
	CallRead         StoreCallKind = "read"
	CallSnapshot     StoreCallKind = "snapshot"
	CallLeaseGrant   StoreCallKind = "lease_grant"
	CallLeaseRenew   StoreCallKind = "lease_renew"
	CallLeaseEnd     StoreCallKind = "lease_end"
	CallRegistration StoreCallKind = "registration"
	CallHomeClaim    StoreCallKind = "home_claim"
	CallClaim        StoreCallKind = "claim"
	CallRecord       StoreCallKind = "record"
)

// StoreCallOutcome is how a call to the store ended.
type StoreCallOutcome string

// Outcomes of store calls.
const (
	OutcomeOK         StoreCallOutcome = "ok"
	OutcomeConflict   StoreCallOutcome = "conflict"
	OutcomeOverloaded StoreCallOutcome = "overloaded"
	// OutcomeUnavailable includes calls without a response.
	OutcomeUnavailable StoreCallOutcome = "unavailable"
	// OutcomeEnded means that the lease or the history has ended, or that this
	// instance cancelled the call.
	OutcomeEnded StoreCallOutcome = "ended"
)

var (
	storeCallKinds = []StoreCallKind{
		CallWatch, CallRead, CallSnapshot, CallLeaseGrant, CallLeaseRenew, CallLeaseEnd, CallRegistration, CallHomeClaim, CallClaim, CallRecord,
	}
	storeCallOutcomes = []StoreCallOutcome{OutcomeOK, OutcomeConflict, OutcomeOverloaded, OutcomeUnavailable, OutcomeEnded}
)

// StoreClient reads and writes the store.
type StoreClient interface {
	Source
	Registry
}

// StoreCalls counts the calls to the store by kind and outcome. It is safe for
// concurrent use.
type StoreCalls struct {
	// counts is not changed after construction; only the counters are.
	counts map[storeCall]*atomic.Uint64
}

type storeCall struct {
	kind    StoreCallKind
	outcome StoreCallOutcome
}

// NewStoreCalls returns counters that are zero.
func NewStoreCalls() *StoreCalls {
	c := &StoreCalls{counts: map[storeCall]*atomic.Uint64{}}
	for _, kind := range storeCallKinds {
		for _, outcome := range storeCallOutcomes {
			c.counts[storeCall{kind, outcome}] = &atomic.Uint64{}
		}
	}
	return c
}

// Visit calls visit for every kind and outcome, in a fixed order.
func (c *StoreCalls) Visit(visit func(kind StoreCallKind, outcome StoreCallOutcome, count uint64)) {
	for _, kind := range storeCallKinds {
		for _, outcome := range storeCallOutcomes {
			visit(kind, outcome, c.counts[storeCall{kind, outcome}].Load())
		}
	}
}

// Count returns a client that makes its calls through next and counts them.
func (c *StoreCalls) Count(next StoreClient) StoreClient {
	return &countedStore{next: next, calls: c}
}

func (c *StoreCalls) add(ctx context.Context, kind StoreCallKind, err error) {
	c.counts[storeCall{kind, outcomeOf(ctx, err)}].Add(1)
}

// outcomeOf returns the outcome of a call that was made with ctx.
func outcomeOf(ctx context.Context, err error) StoreCallOutcome {
	switch {
	case err == nil:
		return OutcomeOK
	case eris.Is(err, ErrConflict):
		return OutcomeConflict
	case eris.Is(err, ErrOverloaded):
		return OutcomeOverloaded
	case eris.Is(err, ErrLeaseEnded), eris.Is(err, ErrCompacted), eris.Is(ctx.Err(), context.Canceled):
		return OutcomeEnded
	}
	return OutcomeUnavailable
}

// countedStore is a client whose calls are counted.
type countedStore struct {
	next  StoreClient
	calls *StoreCalls
}

func (s *countedStore) Snapshot(ctx context.Context) (*Snapshot, error) {
	snapshot, err := s.next.Snapshot(ctx)
	s.calls.add(ctx, CallSnapshot, err)
	return snapshot, err
}

func (s *countedStore) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	kind := CallWatch
	if wait <= 0 {
		kind = CallRead
	}
	changes, next, err := s.next.Watch(ctx, after, wait)
	s.calls.add(ctx, kind, err)
	return changes, next, err
}

func (s *countedStore) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	lease, err := s.next.GrantLease(ctx, ttl)
	s.calls.add(ctx, CallLeaseGrant, err)
	return lease, err
}

func (s *countedStore) RenewLease(ctx context.Context, lease Lease) error {
	return s.counted(ctx, CallLeaseRenew, s.next.RenewLease(ctx, lease))
}

func (s *countedStore) RevokeLease(ctx context.Context, lease Lease) error {
	return s.counted(ctx, CallLeaseEnd, s.next.RevokeLease(ctx, lease))
}

func (s *countedStore) Register(ctx context.Context, instance Instance, lease Lease, replaces Revision) error {
	return s.counted(ctx, CallRegistration, s.next.Register(ctx, instance, lease, replaces))
}

func (s *countedStore) ClaimHome(ctx context.Context, claim HomeClaim, holder Instance, lease Lease) error {
	return s.counted(ctx, CallHomeClaim, s.next.ClaimHome(ctx, claim, holder, lease))
}

func (s *countedStore) Claim(ctx context.Context, group core.DatabaseName, holder core.InstanceID, lease Lease) (Claim, error) {
	claim, err := s.next.Claim(ctx, group, holder, lease)
	s.calls.add(ctx, CallClaim, err)
	return claim, err
}

func (s *countedStore) RenewClaim(ctx context.Context, claim Claim, lease Lease) (Claim, error) {
	renewed, err := s.next.RenewClaim(ctx, claim, lease)
	s.calls.add(ctx, CallClaim, err)
	return renewed, err
}

func (s *countedStore) RecordSuccession(ctx context.Context, claim Claim, succession Succession) error {
	return s.counted(ctx, CallRecord, s.next.RecordSuccession(ctx, claim, succession))
}

func (s *countedStore) RecordTerm(ctx context.Context, term GroupTerm) error {
	return s.counted(ctx, CallRecord, s.next.RecordTerm(ctx, term))
}

// counted counts a finished call and returns its error.
func (s *countedStore) counted(ctx context.Context, kind StoreCallKind, err error) error {
	s.calls.add(ctx, kind, err)
	return err
}

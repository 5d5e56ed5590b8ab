package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// rollingResult is what a schedule of planned stops led to.
type rollingResult struct {
	w *homeWorld
	// refused counts the refused requests, handedOver the stops after which another
	// instance was the home within handoverLimit.
	refused, handedOver int
	// runs are the requests that ran at the member since the first stop.
	runs []homeRun
}

// handoverLimit is far longer than an undisturbed handover and shorter than the time until
// another instance claims the home.
const handoverLimit = 100 * time.Millisecond

// rollingStops stops the home of the account three times in a row, with callers that use
// about two thirds of the rate, and store changes that take up to 300 ms to reach the
// instances.
func rollingStops(t *testing.T, seed uint64, disturb func(*homeWorld, *homeNode), options ...func(*homeWorld)) rollingResult {
	const instances, callers = 4, 6
	w := newHomeWorld(t, seed, instances, callers, append(options, func(w *homeWorld) {
		w.maxWatchDelay, w.ordered = 300*time.Millisecond, true
	})...)
	w.runFor(10 * time.Second)
	require.NotNil(t, w.homeNode(), "the account has a home")
	before := len(w.runs)
	r := rollingResult{w: w}
	w.refused = 0
	for range 3 {
		if home := w.homeNode(); home != nil {
			home.later(0, func() { home.fleetInput(StopRequested{}) })
			disturb(w, home)
			w.runFor(handoverLimit)
			if now := w.homeNode(); now != nil && now != home {
				r.handedOver++
			}
		}
		w.runFor(3400 * time.Millisecond)
	}
	w.runFor(6 * time.Second)
	r.refused, r.runs = w.refused, w.runs[before:]
	require.Greater(t, len(r.runs), 500, "seed %d: the account is served", seed)
	require.LessOrEqual(t, float64(w.fullestWindow()), homeSimLimit, "seed %d", seed)
	return r
}

// requireOneHome checks that the old home admits nothing as the home once the record names
// the successor, and the successor nothing just before that.
func (r *rollingResult) requireOneHome(seed uint64) {
	t := r.w.t
	for _, transfer := range r.w.transfers {
		for _, run := range r.runs {
			if !run.asHome {
				continue
			}
			after := run.sentAt.Sub(transfer.at)
			require.False(t, run.run == transfer.from && after > 0, "seed %d: the old home %s admits %s after the transfer", seed, transfer.from, after)
			require.False(t, run.run == transfer.to && after < 0 && after > -handoverLimit, "seed %d: the successor %s admits %s before the transfer", seed, transfer.to, -after)
		}
	}
}

func undisturbed(*homeWorld, *homeNode) {}

// Guards against requests that are refused because an account has no home: at a planned stop
// each home moves to a successor, and the old home admits nothing after the new one has
// begun.
func TestPlannedStopsRefuseNothing(t *testing.T) {
	for seed := range simSeeds(t, homeSimSeeds) {
		r := rollingStops(t, seed, undisturbed)
		require.Zero(t, r.refused, "seed %d", seed)
		require.Equal(t, 3, r.handedOver, "seed %d", seed)
		r.requireOneHome(seed)
	}
}

// Guards against a simulation that cannot fail: without a handover requests are refused.
func TestHomeSimulationNoticesStopsWithoutHandover(t *testing.T) {
	total := 0
	for seed := range uint64(homeSimSeeds) {
		total += rollingStops(t, seed, undisturbed, func(w *homeWorld) { w.noHandover = true }).refused
	}
	t.Logf("%d requests refused", total)
	require.Positive(t, total)
}

// successorOf returns the successor that the instance has chosen, nil if there is none.
func (w *homeWorld) successorOf(n *homeNode) *homeNode {
	m := n.fleet.handovers.running["acct"]
	if m == nil || m.successor.Instance.Peer == "" {
		return nil
	}
	return w.node(session.PeerAddress(m.successor.Instance.Peer))
}

// duringHandover calls run at a random time within the steps of a handover.
func duringHandover(run func(w *homeWorld, old, successor *homeNode)) func(*homeWorld, *homeNode) {
	return func(w *homeWorld, old *homeNode) {
		w.after(time.Duration(1+w.rng.IntN(14000))*time.Microsecond, func() {
			if successor := w.successorOf(old); successor != nil {
				run(w, old, successor)
			}
		})
	}
}

func pause(w *homeWorld, n *homeNode) {
	n.suspendedUntil = w.now.Add(time.Duration(100+w.rng.IntN(4000)) * time.Millisecond)
}

// Guards against two homes at a time, more than the rate, or an account that is not served
// when a step of a handover fails: a process is paused or ends, or the write fails or its
// outcome is not known.
func TestDisturbedHandover(t *testing.T) {
	for name, disturbance := range map[string]struct {
		disturb func(*homeWorld, *homeNode)
		write   error
	}{
		"old home paused":    {disturb: duringHandover(func(w *homeWorld, old, _ *homeNode) { pause(w, old) })},
		"successor paused":   {disturb: duringHandover(func(w *homeWorld, _, successor *homeNode) { pause(w, successor) })},
		"old home ends":      {disturb: duringHandover(func(_ *homeWorld, old, _ *homeNode) { old.kill() })},
		"successor ends":     {disturb: duringHandover(func(_ *homeWorld, _, successor *homeNode) { successor.kill() })},
		"write not executed": {disturb: undisturbed, write: ErrUnavailable},
		"outcome not known":  {disturb: undisturbed, write: ErrUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			refused, transfers := 0, 0
			for seed := range simSeeds(t, homeSimSeeds) {
				r := rollingStops(t, seed, disturbance.disturb, func(w *homeWorld) { w.transferError = disturbance.write })
				refused += r.refused
				transfers += len(r.w.transfers)
				r.requireOneHome(seed)
			}
			t.Logf("%d requests refused, %d transfers", refused, transfers)
		})
	}
}

// offer sends the instance an offer of the account's home, and returns the response.
func (h *harness) offer(in HandoverRequest) HandoverResponse {
	h.handle(HandoverRequested{Request: in})
	return h.handoverResponses[len(h.handoverResponses)-1]
}

// isHome reports whether the last homes that session got name this instance.
func (h *harness) isHome() bool { return h.currentHomes().Homes["acct"].Local }

// newSuccessor returns an instance with a lease, for which the account's home is elsewhere.
func newSuccessor(t *testing.T) *harness {
	h := newHarness(t)
	h.handle(LeaseUpdated{Until: h.now.Add(10 * time.Second), Lease: 7})
	h.handle(StoreChanges{Changes: []Change{{Home: &Home{Account: "acct", Node: "a", Instance: "a-1", Revision: 50}}}})
	return h
}

// Guards against a successor that is not ready: it stops, has no lease or not for long
// enough, has lost the store, or does not know the account.
func TestSuccessorDeclinesUnlessItIsReady(t *testing.T) {
	ask := HandoverRequest{Account: "acct", Revision: 50}
	require.Equal(t, HandoverResponse{Accepted: true, Lease: 7}, newSuccessor(t).offer(ask))
	for name, prepare := range map[string]func(*harness){
		"stopping":      func(h *harness) { h.handle(StopRequested{}) },
		"no lease":      func(h *harness) { h.handle(LeaseUpdated{}) },
		"lease ends":    func(h *harness) { h.advance(9500 * time.Millisecond) },
		"store lost":    func(h *harness) { h.handle(StoreUnavailable{Reason: "test"}) },
		"other account": func(*harness) { ask.Account = "unknown" },
	} {
		t.Run(name, func(t *testing.T) {
			ask = HandoverRequest{Account: "acct", Revision: 50}
			h := newSuccessor(t)
			prepare(h)
			require.False(t, h.offer(ask).Accepted)
		})
	}
}

// Guards against a successor that becomes the home by a message that is late: it was paused,
// its lease is another, it has not been asked, or the record has changed since.
func TestSuccessorTakesOverOnlyWhatItWasAskedFor(t *testing.T) {
	ask := HandoverRequest{Account: "acct", Revision: 50}
	take := HandoverRequest{Account: "acct", Revision: 50, Recorded: true, Tokens: 12}
	h := newSuccessor(t)
	h.offer(ask)
	require.False(t, h.isHome(), "the old home still is")
	require.True(t, h.offer(take).Accepted)
	require.True(t, h.isHome())
	require.Contains(t, h.sessionInputs, session.TakeTokens{Account: "acct", Tokens: 12})
	for name, prepare := range map[string]func(*harness){
		"not asked": func(*harness) {},
		"paused": func(h *harness) {
			h.offer(ask)
			h.advance(offerValidity + time.Millisecond)
		},
		"another lease": func(h *harness) {
			h.offer(ask)
			h.handle(LeaseUpdated{Until: h.now.Add(10 * time.Second), Lease: 8})
		},
		"another record": func(h *harness) {
			h.offer(ask)
			h.handle(StoreChanges{Changes: []Change{{Home: &Home{Account: "acct", Node: "b", Instance: "b-1", Revision: 60}}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSuccessor(t)
			prepare(h)
			require.False(t, h.offer(take).Accepted)
			require.False(t, h.isHome())
		})
	}
}

// Guards against a record that names the successor before the old home has stopped admitting
// requests, or without the lease that the successor stated, and against a registration that
// ends before.
func TestHandoverKeepsItsOrder(t *testing.T) {
	h := newHarness(t)
	h.handle(LeaseUpdated{Until: h.now.Add(10 * time.Second), Lease: 7})
	h.handle(StoreChanges{Changes: []Change{{Home: &Home{Account: "acct", Node: "self", Instance: "self-1", Revision: 50}}}})
	h.handle(StopRequested{})
	require.Len(t, h.handovers, 1)
	first := h.handovers[0]
	require.NotContains(t, h.sessionInputs, session.HoldAccount{Account: "acct"})
	h.handle(first)
	require.Len(t, h.handovers, 2, "the next instance is asked")
	second := h.handovers[1]
	require.NotEqual(t, first.Node, second.Node)
	second.Response = HandoverResponse{Accepted: true, Lease: 9}
	h.handle(second)
	require.Contains(t, h.sessionInputs, session.HoldAccount{Account: "acct"})
	require.Empty(t, h.claims)
	h.handle(SessionReport{Report: session.AccountHeld{Account: "acct", Tokens: 5}})
	require.Len(t, h.claims, 1)
	require.Equal(t, Revision(50), h.claims[0].Replaces)
	require.Equal(t, Lease(9), h.claims[0].Successor.Lease)
	require.Equal(t, second.Node, h.claims[0].Successor.Instance.Node)
	require.True(t, h.isHome())
	h.handle(HomeTransferred{Account: "acct"})
	require.Equal(t, HandoverRequest{Account: "acct", Revision: 50, Recorded: true, Tokens: 5}, h.handovers[2].Request)
	require.False(t, h.deregistered)
	h.handle(HandoverAnswered{Node: second.Node, Request: h.handovers[2].Request, Response: HandoverResponse{Accepted: true}})
	require.False(t, h.isHome())
	require.Contains(t, h.sessionInputs, session.ReleaseAccount{Account: "acct", Forward: true})
	require.True(t, h.deregistered)
}

// Guards against a stop that waits for a handover which gets no answer, and against requests
// that are held beyond it.
func TestUnansweredHandoverEndsTheRegistration(t *testing.T) {
	for _, answers := range []int{0, 1, 2, 3} {
		h := newHarness(t)
		h.handle(LeaseUpdated{Until: h.now.Add(10 * time.Second), Lease: 7})
		h.handle(StoreChanges{Changes: []Change{{Home: &Home{Account: "acct", Node: "self", Instance: "self-1", Revision: 50}}}})
		h.handle(StopRequested{})
		steps := []func(){
			func() {
				in := h.handovers[0]
				in.Response = HandoverResponse{Accepted: true, Lease: 9}
				h.handle(in)
			},
			func() { h.handle(SessionReport{Report: session.AccountHeld{Account: "acct"}}) },
			func() { h.handle(HomeTransferred{Account: "acct"}) },
		}
		for _, step := range steps[:answers] {
			step()
		}
		h.advance(handoverAskTimeout*handoverCandidates + handoverRecordTimeout)
		require.True(t, h.deregistered, "%d answers", answers)
		holds, releases := 0, 0
		for _, in := range h.sessionInputs {
			switch in.(type) {
			case session.HoldAccount:
				holds++
			case session.ReleaseAccount:
				releases++
			}
		}
		require.Equal(t, min(answers, 1), holds, "%d answers", answers)
		require.Equal(t, holds, releases, "%d answers", answers)
		// After the write was sent, this instance must not act as the home any more.
		require.Equal(t, answers < 2, h.e.homes.isLocal("acct"), "%d answers", answers)
	}
}

// Guards against an old home that goes on admitting although another writer has changed
// the record: two instances would then spend the account's rate.
func TestConflictOfAHandoverEndsTheHome(t *testing.T) {
	h := newHarness(t)
	h.handle(LeaseUpdated{Until: h.now.Add(10 * time.Second), Lease: 7})
	h.handle(StoreChanges{Changes: []Change{{Home: &Home{Account: "acct", Node: "self", Instance: "self-1", Revision: 50}}}})
	h.handle(StopRequested{})
	accepted := h.handovers[0]
	accepted.Response = HandoverResponse{Accepted: true, Lease: 9}
	h.handle(accepted)
	h.handle(SessionReport{Report: session.AccountHeld{Account: "acct", Tokens: 5}})
	h.handle(HomeTransferred{Account: "acct", Err: eris.Wrap(ErrConflict, "test")})
	require.False(t, h.isHome())
	require.True(t, h.deregistered)
}

// transferRegistry records under which lease a home is claimed.
type transferRegistry struct {
	leaseRegistry
	holder Instance
	lease  Lease
}

func (r *transferRegistry) ClaimHome(_ context.Context, _ HomeClaim, holder Instance, lease Lease) error {
	r.holder, r.lease = holder, lease
	return ErrConflict
}

// Guards against a record that names the successor under the lease of the old home, and
// against an outcome that is not reported.
func TestTransferIsBoundToTheSuccessorsLease(t *testing.T) {
	registry := &transferRegistry{}
	var delivered []Input
	deliver := func(in Input) bool { delivered = append(delivered, in); return true }
	r := NewRegistrar(registry, Instance{Node: "self"}, RegistrarBounds{TTL: 12 * time.Second, ResponseTimeout: time.Second}, deliver, func(LogEvent) {})
	successor := Successor{Instance: Instance{Node: "a", ID: core.InstanceID("a-1")}, Lease: 9}
	r.claim(HomeClaim{Account: "acct", Replaces: 50, Successor: successor})
	require.Equal(t, successor.Instance, registry.holder)
	require.Equal(t, Lease(9), registry.lease)
	require.Len(t, delivered, 1)
	require.ErrorIs(t, delivered[0].(HomeTransferred).Err, ErrConflict)
}

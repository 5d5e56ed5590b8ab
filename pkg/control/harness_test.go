package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

const (
	self        = core.InstanceID("i1")
	selfAddress = "10.0.0.1:1"
	staleness   = 5 * time.Minute
)

// harness drives an engine step by step and records its outputs.
type harness struct {
	t             testing.TB
	engine        *Engine
	now           time.Time
	platformCalls []StoreOperation
	peerCalls     []PeerCall
	replies       []PeerMessage
	sessionInputs []session.Input
	// ringFull makes the session ring refuse inputs.
	ringFull bool
	// holdReads leaves the reads of group records without a response; otherwise
	// they fail at once.
	holdReads bool
	ready     bool
	stopped   bool
	revision  Revision
}

func (h *harness) CallStore(op StoreOperation)           { h.platformCalls = append(h.platformCalls, op) }
func (h *harness) CallMember(failover.MemberCall)        {}
func (h *harness) CallPeer(c PeerCall)                   { h.peerCalls = append(h.peerCalls, c) }
func (h *harness) Reply(_ ReplyTo, m PeerMessage)        { h.replies = append(h.replies, m) }
func (h *harness) PublishCatalogue(*catalogue.Catalogue) {}
func (h *harness) StopAccepting()                        {}
func (h *harness) SetReady(r bool)                       { h.ready = r }
func (h *harness) ChangeFinished(failover.Report)        {}
func (h *harness) Log(LogEvent)                          {}
func (h *harness) Stopped()                              { h.stopped = true }
func (h *harness) SendSession(in session.Input) bool {
	if !h.ringFull {
		h.sessionInputs = append(h.sessionInputs, in)
	}
	return !h.ringFull
}

func newHarness(t testing.TB) *harness {
	h := &harness{t: t, now: start}
	load := func(name string) *chart.Definition {
		d, err := charts.Load(name)
		require.NoError(t, err)
		return d
	}
	e, err := New(Config{
		Self:     Identity{Instance: self, Domain: "jylland", PeerAddress: selfAddress},
		Failover: failover.DefaultConfig(),
		Share: share.Settings{
			MaxInstances: 4, FloorFraction: share.DefaultFloorFraction, CutoffBound: share.DefaultCutoffBound,
			CutoffMargin: share.DefaultCutoffMargin, AcknowledgementTimeout: share.DefaultAcknowledgementTimeout,
		},
		Seeds:              []string{"10.0.0.9:1"},
		LeaseRenewInterval: 5 * time.Second, CallTimeout: 500 * time.Millisecond,
		Stop: testStopPlan, KeyStaleness: staleness,
	}, Charts{
		Group: load("group"), Member: load("member"), Share: load("share"), Lease: load("lease"),
		Instance: load("instance"), Configuration: load("configuration"), Key: load("key"),
	}, h)
	require.NoError(t, err)
	h.engine = e
	e.Start(h.now)
	return h
}

// run advances the clock by d and runs the timers that become due.
func (h *harness) run(d time.Duration) {
	end := h.now.Add(d)
	for {
		at, armed := h.engine.NextDeadline()
		if !armed || at.After(end) {
			break
		}
		if at.After(h.now) {
			h.now = at
		}
		h.engine.Tick(h.now)
		h.failReads()
	}
	h.now = end
}

// handle passes an input to the engine.
func (h *harness) handle(in Input) {
	h.engine.Handle(h.now, in)
	h.failReads()
}

// failReads responds to the reads of group records with a failure.
func (h *harness) failReads() {
	for !h.holdReads {
		op, ok := takeCall[ReadGroup](h)
		if !ok {
			return
		}
		h.engine.Handle(h.now, FromStore{Response: StoreResponse{Operation: op, Outcome: Unavailable, SentAt: h.now}})
	}
}

// takeCall removes the newest operation of a type and reports whether there was
// one.
func takeCall[T StoreOperation](h *harness) (T, bool) {
	for i := len(h.platformCalls) - 1; i >= 0; i-- {
		if op, ok := h.platformCalls[i].(T); ok {
			h.platformCalls = append(h.platformCalls[:i:i], h.platformCalls[i+1:]...)
			return op, true
		}
	}
	var none T
	return none, false
}

// respond responds to the newest operation of a type.
func respond[T StoreOperation](h *harness, response StoreResponse) T {
	op, ok := takeCall[T](h)
	require.True(h.t, ok, "no %T among %v", op, h.platformCalls)
	response.Operation = op
	if response.SentAt.IsZero() {
		response.SentAt = h.now
	}
	h.handle(FromStore{Response: response})
	return op
}

// respondToWatch responds to the waiting watch with records at the next revision.
func (h *harness) respondToWatch(records ...Record) {
	h.revision += 10
	respond[Watch](h, StoreResponse{Revision: h.revision, Records: records})
}

// countCalls returns the number of recorded operations of a type.
func countCalls[T StoreOperation](h *harness) int {
	n := 0
	for _, op := range h.platformCalls {
		if _, ok := op.(T); ok {
			n++
		}
	}
	return n
}

func testCatalogue() *catalogue.Catalogue {
	verifier := make([]byte, 32)
	c := &catalogue.Catalogue{Version: 1}
	c.Accounts = []catalogue.Account{{
		Name: "hansen", Weight: 1, Rate: 40, Burst: 20, Salt: verifier, Iterations: 4096,
		Keys: []catalogue.Key{{ID: "k1", StoredKey: verifier, ServerKey: verifier}},
	}}
	members := []catalogue.Member{
		{ID: "m0", Domain: "jylland", Slots: 2, Address: "10.0.2.1:1", StatusAddress: "10.0.2.1:2"},
		{ID: "m1", Domain: "fyn", Slots: 2, Address: "10.0.2.2:1", StatusAddress: "10.0.2.2:2"},
		{ID: "m2", Domain: "sjaelland", Slots: 2, Address: "10.0.2.3:1", StatusAddress: "10.0.2.3:2"},
	}
	c.Databases = []catalogue.Database{{Name: "jylland", State: catalogue.DatabaseActive, Connections: 8, Members: members}}
	return c
}

func (h *harness) table(revision uint64, lease share.LeaseID, state string) *share.Table {
	return &share.Table{Revision: revision, CatalogueVersion: 1, Slots: []share.Slot{{
		State: state, Instance: self, PeerAddress: selfAddress, Domain: "jylland", Lease: lease, GrantRevision: 1,
		Accounts: map[core.AccountName]share.RateShare{"hansen": {
			Held: share.Rate{Rate: 4000, Burst: 2000}, Limit: share.Rate{Rate: 4000, Burst: 2000},
		}},
		Databases: map[core.DatabaseName]share.ConnectionShare{"jylland": {Held: 2, Limit: 2}},
	}}}
}

// startServing brings the engine to a held slot with a share.
func (h *harness) startServing() {
	h.respondToWatch(CatalogueRecord{Catalogue: testCatalogue(), Revision: 1})
	respond[CreateLease](h, StoreResponse{Lease: "l1"})
	claim := respond[PutClaim](h, StoreResponse{Revision: 11})
	h.respondToWatch(
		ClaimRecord{Claim: claim.Claim, Revision: 11},
		TableRecord{Table: h.table(1, "l1", "granted"), Revision: 12},
	)
	require.True(h.t, h.ready)
}

// lastShare returns the newest share that was passed to the session duty.
func (h *harness) lastShare() session.ShareUpdate {
	return lastInput[session.ShareUpdate](h)
}

// lastInput returns the newest session input of a type.
func lastInput[T session.Input](h *harness) T {
	for i := len(h.sessionInputs) - 1; i >= 0; i-- {
		if in, ok := h.sessionInputs[i].(T); ok {
			return in
		}
	}
	var none T
	require.Fail(h.t, "session was given no such input", "%T", none)
	return none
}

// hasInput reports whether the session duty was given an input of a type.
func hasInput[T session.Input](h *harness) bool {
	for _, in := range h.sessionInputs {
		if _, ok := in.(T); ok {
			return true
		}
	}
	return false
}

// sentMessages returns the messages of a type that were sent to an address, or to
// any address if it is empty.
func sentMessages[T PeerMessage](h *harness, address string) []T {
	var found []T
	for _, c := range h.peerCalls {
		if m, ok := c.Message.(T); ok && (address == "" || c.Address == address) {
			found = append(found, m)
		}
	}
	return found
}

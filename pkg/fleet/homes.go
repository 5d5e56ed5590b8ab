package fleet

import (
	"sync"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Home is the store record that makes an instance the home of an account. It exists
// as long as the holder's registration.
type Home struct {
	Account core.AccountName `json:"account"`
	// Node is the holder's node name, Instance identifies its run.
	Node     string          `json:"node"`
	Instance core.InstanceID `json:"instance"`
	// Revision is the revision of the record. It is not part of the stored value.
	Revision Revision `json:"revision,omitempty"`
}

// HomeClaim is a request to make this instance the home of an account.
type HomeClaim struct {
	Account core.AccountName
	// Replaces is the revision of the record to replace, 0 if there is none. The
	// claim fails if the record has changed.
	Replaces Revision
	// Release deletes the record instead of replacing it.
	Release bool
	// Successor is the instance that the record is to name if that is not this one.
	Successor Successor
}

// LeaseUpdated reports the time until which the registration of this instance is
// guaranteed to last. Until is the zero time after the lease was lost.
type LeaseUpdated struct {
	Until time.Time
	// Lease is the lease of the registration, 0 after it was lost.
	Lease Lease
}

func (LeaseUpdated) fleetInput() {}

const (
	// firstClaimDelay is the time without a new instance after which accounts that
	// never had a home are claimed. Instances of one deployment start within 0.3 s
	// of each other.
	firstClaimDelay = 800 * time.Millisecond
	// claimRankDelay is the delay between the claims of consecutive instances in
	// the order of an account.
	claimRankDelay = 200 * time.Millisecond
	// claimRetryInterval is the minimum time between two claims of the same
	// account.
	claimRetryInterval = 400 * time.Millisecond
	// unregisteredHolderGrace is how long the holder of a home may be registered under another
	// run, or not at all, before others claim the home. A holder that runs registers again
	// within that time.
	unregisteredHolderGrace = 4 * time.Second
	// maxClaimRank limits the rank, and so the delay, of the last instances in an
	// order.
	maxClaimRank = 10
)

// homes tracks the homes of all accounts and claims homes for this instance.
type homes struct {
	e       *Engine
	records map[core.AccountName]*homeState
	timer   timerq.Item[func()]
	// lastInstanceAddedAt is the time at which an instance that was not known
	// before last registered.
	lastInstanceAddedAt time.Time
	// claimsSuspendedUntil is the time until which this instance claims no home
	// because other instances cannot reach it.
	claimsSuspendedUntil time.Time
	// leaseUntil is the time until which this instance may act as a home.
	leaseUntil time.Time
}

// homeState holds the known state of the home of one account.
type homeState struct {
	record *Home
	// vacantSince is when the account lost its home, or when the holder was found
	// dead or unreachable.
	vacantSince time.Time
	// claimedAt is when this instance last claimed the account.
	claimedAt time.Time
	// unregisteredSince is when the holder was first found not to be registered, zero if it
	// is.
	unregisteredSince time.Time
	// everHeld is set once the account has had a home.
	everHeld bool
	// replaceableUntil is the time until which other instances may replace the
	// holder: practically forever for a process that has ended, a limited time for
	// one that no instance gets a response from.
	replaceableUntil time.Time
}

func (h *homes) init(e *Engine) {
	h.e = e
	h.records = map[core.AccountName]*homeState{}
	h.timer.Value = h.claimVacant
}

// stateOf returns the state of an account and creates it if necessary.
func (h *homes) stateOf(account core.AccountName) *homeState {
	s := h.records[account]
	if s == nil {
		s = &homeState{vacantSince: h.e.now}
		h.records[account] = s
	}
	return s
}

// set applies the store's record of an account. A nil record means that it was
// removed; a record older than the known one is ignored.
func (h *homes) set(account core.AccountName, record *Home) {
	s := h.stateOf(account)
	if record != nil && s.record != nil && record.Revision < s.record.Revision {
		return
	}
	if record == nil && s.record != nil {
		s.vacantSince = h.e.now
	}
	if record != nil && (s.record == nil || record.Instance != s.record.Instance) {
		h.e.out.Log(LogEvent{Event: "home", Message: "account has a home", Fields: map[string]any{
			"account": account, "home": record.Node, "revision": record.Revision,
		}})
	}
	s.record, s.replaceableUntil, s.unregisteredSince = record, time.Time{}, time.Time{}
	s.everHeld = s.everHeld || record != nil
}

// replaceAll applies a complete list of the store's records.
func (h *homes) replaceAll(list []Home) {
	seen := map[core.AccountName]bool{}
	for i := range list {
		seen[list[i].Account] = true
		h.set(list[i].Account, &list[i])
	}
	for account, s := range h.records {
		if !seen[account] && s.record != nil {
			h.set(account, nil)
		}
	}
}

// isLocal reports whether this instance is the account's home and its lease is
// valid.
func (h *homes) isLocal(account core.AccountName) bool {
	s := h.records[account]
	return s != nil && s.record != nil && s.record.Instance == h.e.config.Self.ID && h.e.now.Before(h.leaseUntil) &&
		!h.e.handovers.isLost(account)
}

// replaceable reports whether the holder was found dead or unreachable, so that
// other instances may claim the account.
func (h *homes) replaceable(s *homeState) bool {
	return h.e.now.Before(s.replaceableUntil)
}

// hasHomeAt reports whether the instance at the address is the home of any account
// and may not be replaced.
func (h *homes) hasHomeAt(address session.PeerAddress) bool {
	for _, s := range h.records {
		if s.record != nil && !h.replaceable(s) && h.isHomeAt(s.record, address) {
			return true
		}
	}
	return false
}

// holder returns the instance that the record names, or nil if that run is not
// registered.
func (h *homes) holder(record *Home) *instance {
	i := h.e.instances[record.Node]
	if i == nil || i.ID != record.Instance {
		return nil
	}
	return i
}

// isHomeAt reports whether the record's holder is the instance at the address.
func (h *homes) isHomeAt(record *Home, address session.PeerAddress) bool {
	holder := h.holder(record)
	return holder != nil && holder.Peer == string(address)
}

const (
	// unresponsiveReplaceWindow is the time after a liveness poll during which an
	// unresponsive home may be replaced. It covers the claim delays of all
	// instances. A home that responds again afterwards keeps its accounts.
	unresponsiveReplaceWindow = 4 * time.Second
	// endedReplaceWindow applies to a process that has ended. It is longer than any
	// run.
	endedReplaceWindow = 10 * 365 * 24 * time.Hour
)

// allowReplacement lets other instances claim the accounts whose home is at the
// address, for the given time.
func (h *homes) allowReplacement(address session.PeerAddress, reason string, window time.Duration) {
	for account, s := range h.records {
		if s.record == nil || h.replaceable(s) || !h.isHomeAt(s.record, address) {
			continue
		}
		s.replaceableUntil = h.e.now.Add(window)
		s.vacantSince = h.e.now
		h.e.out.Log(LogEvent{Warning: true, Event: "home_gone", Message: reason,
			Fields: map[string]any{"account": account, "home": s.record.Node}})
	}
	h.claimVacant()
}

// claimVacant claims the accounts without a home for which this instance is due,
// and arms the timer for the next ones.
func (h *homes) claimVacant() {
	e := h.e
	if e.configuration == nil || !h.mayClaim() {
		if e.now.Before(h.claimsSuspendedUntil) {
			e.timers.Arm(&h.timer, h.claimsSuspendedUntil)
		}
		return
	}
	// The order is computed only if needed: usually every account has a home.
	order := sync.OnceValue(e.claimOrder)
	next := e.now.Add(steadyTimeout)
	for _, a := range e.configuration.Accounts {
		due, wanted := h.claimDue(a.Name, order)
		if !wanted {
			continue
		}
		if due.After(e.now) {
			next = clock.Earlier(next, due)
			continue
		}
		h.claim(a.Name)
		next = clock.Earlier(next, e.now.Add(claimRetryInterval))
	}
	e.timers.Arm(&h.timer, next)
}

// mayClaim reports whether this instance may claim homes: it is registered and
// serving, the store is readable, and claims are not suspended.
func (h *homes) mayClaim() bool {
	e := h.e
	self := e.instances[e.config.Self.Node]
	registered := self != nil && self.ID == e.config.Self.ID
	suspended := e.now.Before(h.claimsSuspendedUntil)
	return registered && !suspended && !e.storeLost && e.state == e.servingState
}

// claimDue returns when this instance should claim the account, and false if the
// account has a home that may not be replaced.
func (h *homes) claimDue(account core.AccountName, order func() claimOrder) (time.Time, bool) {
	e := h.e
	s := h.stateOf(account)
	h.observeHolder(s)
	retry := s.claimedAt.Add(claimRetryInterval)
	own := e.config.Self.Node
	switch {
	case s.record != nil && s.record.Instance == e.config.Self.ID:
		return time.Time{}, false
	case s.record != nil && s.record.Node == own:
		// The holder is an earlier run on this node.
		return retry, true
	case s.record != nil && !h.replaceable(s) && s.unregisteredSince.IsZero():
		return time.Time{}, false
	}
	rank := order().rank(account, own)
	due := s.vacantSince
	if s.record != nil && !h.replaceable(s) {
		due = s.unregisteredSince.Add(unregisteredHolderGrace)
	}
	if !s.everHeld {
		due = clock.Later(due, h.lastInstanceAddedAt.Add(firstClaimDelay))
	}
	return clock.Later(due.Add(time.Duration(rank)*claimRankDelay), retry), true
}

// observeHolder notes since when the run that the record names is not registered.
func (h *homes) observeHolder(s *homeState) {
	switch {
	case s.record == nil || h.holder(s.record) != nil:
		s.unregisteredSince = time.Time{}
	case s.unregisteredSince.IsZero():
		s.unregisteredSince = h.e.now
	}
}

// claim requests the home of the account, replacing the known record.
func (h *homes) claim(account core.AccountName) {
	s := h.stateOf(account)
	s.claimedAt = h.e.now
	claim := HomeClaim{Account: account}
	if s.record != nil {
		claim.Replaces = s.record.Revision
	}
	h.e.out.ClaimHome(claim)
}

// claimSuspension is how long an isolated instance claims no home.
const claimSuspension = 4 * time.Second

// handleDemand processes the session duty's regular report. It starts a liveness
// poll of each unresponsive home and suspends claims if more than half of the homes
// in use are unresponsive. It releases the homes of the accounts most of whose usage
// comes from unresponsive instances, and suspends claims then too.
func (h *homes) handleDemand(demand session.Demand) {
	e := h.e
	unresponsive := 0
	for _, address := range demand.UnresponsiveHomes {
		if h.hasHomeAt(address) {
			unresponsive++
			e.pollHome(address)
		}
	}
	if unresponsive*2 > demand.HomesUsed {
		h.claimsSuspendedUntil = e.now.Add(claimSuspension)
	}
	for _, account := range demand.Isolated {
		h.claimsSuspendedUntil = e.now.Add(claimSuspension)
		h.release(account, "the instances of most callers are unresponsive")
	}
}

// releaseAll releases every home of this instance, so that an instance with better
// connectivity can take over.
func (h *homes) releaseAll(reason string) {
	h.claimsSuspendedUntil = h.e.now.Add(claimSuspension)
	for account := range h.records {
		if h.isLocal(account) {
			h.release(account, reason)
		}
	}
}

// release deletes the record of the account's home. It does nothing while the store
// cannot be read.
func (h *homes) release(account core.AccountName, reason string) {
	e := h.e
	s := h.records[account]
	if s == nil || s.record == nil || e.storeLost {
		return
	}
	e.out.Log(LogEvent{Warning: true, Event: "home_released", Message: reason, Fields: map[string]any{"account": account}})
	e.out.ClaimHome(HomeClaim{Account: account, Replaces: s.record.Revision, Release: true})
}

// publish sends the session duty the home of each account. It leaves out homes
// whose holder is not registered, and those of this instance once its lease is no
// longer valid.
func (h *homes) publish() {
	e := h.e
	in := session.HomesUpdate{Homes: map[core.AccountName]session.Home{}, Anonymous: e.anonymousHomes()}
	for account, s := range h.records {
		if s.record == nil {
			continue
		}
		if h.isLocal(account) {
			in.Homes[account] = session.Home{Local: true}
			continue
		}
		holder := h.holder(s.record)
		if holder == nil || s.record.Instance == e.config.Self.ID {
			continue
		}
		in.Homes[account] = session.Home{Address: session.PeerAddress(holder.Peer)}
	}
	e.out.Session(in)
}

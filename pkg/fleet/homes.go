package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/homing"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Home is the record of an account's home. It lasts as long as the registration
// of its holder.
type Home struct {
	Account core.AccountName `json:"account"`
	// Node and Instance name the holder and its run.
	Node     string          `json:"node"`
	Instance core.InstanceID `json:"instance"`
	// Revision is that of the record, which does not hold it.
	Revision Revision `json:"revision,omitempty"`
}

// HomeClaim asks to make this instance the home of an account.
type HomeClaim struct {
	Account core.AccountName
	// Replaces is the revision of the record to replace; 0 if there is none.
	Replaces Revision
	// Release gives the home up instead.
	Release bool
}

// LeaseHeld reports until when the registration of this instance certainly
// lasts; the zero time after it was lost.
type LeaseHeld struct {
	Until time.Time
}

func (LeaseHeld) fleetInput() {}

const (
	// homeSettle is how long no instance may have appeared before accounts are
	// claimed that nobody ever held; instances start within 0.3 s of each other.
	homeSettle = 800 * time.Millisecond
	// homeTurn is the head start of each instance over the next in an account's
	// order.
	homeTurn = 200 * time.Millisecond
	// homeRetry is the pause between two claims of the same account.
	homeRetry = 400 * time.Millisecond
	// maxHomeTurns bounds the wait of the last instances in an order.
	maxHomeTurns = 10
)

// homes is what is known of the homes of all accounts.
type homes struct {
	e       *Engine
	records map[core.AccountName]*homeState
	timer   timerq.Item[func()]
	// appeared is when an instance last registered that was not before.
	appeared time.Time
	// barredUntil is until when this instance claims no home, because others do
	// not reach it.
	barredUntil time.Time
	// leaseUntil is until when this instance may act as a home.
	leaseUntil time.Time
}

type homeState struct {
	record *Home
	// vacant is since when nobody holds the account, or the holder is gone.
	vacant time.Time
	// asked is when this instance claimed the account last.
	asked time.Time
	// held is set once the account has had a home.
	held bool
	// goneUntil is until when the holder counts as gone: without end for a process
	// that has ended, for a while for one that no instance heard.
	goneUntil time.Time
}

func (h *homes) init(e *Engine) {
	h.e = e
	h.records = map[core.AccountName]*homeState{}
	h.timer.Value = h.review
}

func (h *homes) of(account core.AccountName) *homeState {
	s := h.records[account]
	if s == nil {
		s = &homeState{vacant: h.e.now}
		h.records[account] = s
	}
	return s
}

// set takes a record of the store; nil for one that is gone.
func (h *homes) set(account core.AccountName, record *Home) {
	s := h.of(account)
	if record != nil && s.record != nil && record.Revision < s.record.Revision {
		return
	}
	if record == nil && s.record != nil {
		s.vacant = h.e.now
	}
	if record != nil && (s.record == nil || record.Instance != s.record.Instance) {
		h.e.out.Log(LogEvent{Event: "home", Message: "account has a home", Fields: map[string]any{
			"account": account, "home": record.Node, "revision": record.Revision,
		}})
	}
	s.record, s.goneUntil = record, time.Time{}
	s.held = s.held || record != nil
}

// replaceAll takes all records of the store.
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

// here reports whether this instance is the account's home now.
func (h *homes) here(account core.AccountName) bool {
	s := h.records[account]
	return s != nil && s.record != nil && s.record.Instance == h.e.config.Self.ID && h.e.now.Before(h.leaseUntil)
}

// isGone reports a holder that has ended or that no instance hears.
func (h *homes) isGone(s *homeState) bool {
	return h.e.now.Before(s.goneUntil)
}

// heldAt reports whether accounts are at home at the address.
func (h *homes) heldAt(address session.PeerAddress) bool {
	for _, s := range h.records {
		if s.record != nil && !h.isGone(s) && h.holds(s.record, address) {
			return true
		}
	}
	return false
}

// holder returns the instance that the record names, nil unless that run is
// registered.
func (h *homes) holder(record *Home) *instance {
	i := h.e.instances[record.Node]
	if i == nil || i.ID != record.Instance {
		return nil
	}
	return i
}

// holds reports whether the record's holder is the instance at the address.
func (h *homes) holds(record *Home, address session.PeerAddress) bool {
	holder := h.holder(record)
	return holder != nil && holder.Peer == string(address)
}

const (
	// unheardFor is how long a silent home may be replaced after an examination. It
	// outlasts the turns of all instances; a home that is heard again later keeps
	// its accounts.
	unheardFor = 4 * time.Second
	// endedFor is longer than any run.
	endedFor = 10 * 365 * 24 * time.Hour
)

// holderGone lets the accounts of a home be claimed for the given time.
func (h *homes) holderGone(address session.PeerAddress, reason string, during time.Duration) {
	for account, s := range h.records {
		if s.record == nil || h.isGone(s) || !h.holds(s.record, address) {
			continue
		}
		s.goneUntil = h.e.now.Add(during)
		s.vacant = h.e.now
		h.e.out.Log(LogEvent{Warning: true, Event: "home_gone", Message: reason,
			Fields: map[string]any{"account": account, "home": s.record.Node}})
	}
	h.review()
}

// review claims the accounts whose turn has come and arms the next look.
func (h *homes) review() {
	e := h.e
	if e.configuration == nil || !h.mayClaim() {
		if e.now.Before(h.barredUntil) {
			e.timers.Arm(&h.timer, h.barredUntil)
		}
		return
	}
	// Most of the time every account is held, and no order is needed.
	order := sync.OnceValue(e.claimOrder)
	next := e.now.Add(idleLife)
	for _, a := range e.configuration.Accounts {
		due, wanted := h.due(a.Name, order)
		if !wanted {
			continue
		}
		if due.After(e.now) {
			next = clock.Earlier(next, due)
			continue
		}
		h.claim(a.Name)
		next = clock.Earlier(next, e.now.Add(homeRetry))
	}
	e.timers.Arm(&h.timer, next)
}

// mayClaim reports whether this instance is registered and does not stop.
func (h *homes) mayClaim() bool {
	e := h.e
	self := e.instances[e.config.Self.Node]
	registered := self != nil && self.ID == e.config.Self.ID
	barred := e.now.Before(h.barredUntil)
	return registered && !barred && !e.storeLost && e.state == e.servingState
}

// claimOrder says which instances are to claim which accounts.
type claimOrder struct {
	nodes    []string
	assigned map[core.AccountName]string
}

func (e *Engine) claimOrder() claimOrder {
	nodes := e.names().nodes
	return claimOrder{nodes: nodes, assigned: homing.Assign(e.homingAccounts(), nodes)}
}

// turn is the place of a node in the order of an account.
func (o claimOrder) turn(account core.AccountName, node string) int {
	if o.assigned[account] == node {
		return 0
	}
	return min(slices.Index(homing.Order(string(account), o.nodes), node)+1, maxHomeTurns)
}

// due returns when this instance is to claim the account, and false if it is
// held.
func (h *homes) due(account core.AccountName, order func() claimOrder) (time.Time, bool) {
	e := h.e
	s := h.of(account)
	retry := s.asked.Add(homeRetry)
	own := e.config.Self.Node
	switch {
	case s.record != nil && s.record.Instance == e.config.Self.ID:
		return time.Time{}, false
	case s.record != nil && s.record.Node == own:
		// The holder was an earlier run of this process.
		return retry, true
	case s.record != nil && !h.isGone(s):
		return time.Time{}, false
	}
	turn := order().turn(account, own)
	at := s.vacant
	if !s.held {
		at = clock.Later(at, h.appeared.Add(homeSettle))
	}
	return clock.Later(at.Add(time.Duration(turn)*homeTurn), retry), true
}

func (h *homes) claim(account core.AccountName) {
	s := h.of(account)
	s.asked = h.e.now
	c := HomeClaim{Account: account}
	if s.record != nil {
		c.Replaces = s.record.Revision
	}
	h.e.out.ClaimHome(c)
}

// homeBar is how long an isolated instance claims no home.
const homeBar = 4 * time.Second

// demand gives the homes up whose callers' instances are mostly silent, and
// bars an instance from which most homes are silent.
func (h *homes) demand(d session.Demand) {
	e := h.e
	silent := 0
	for _, address := range d.SilentHomes {
		if h.heldAt(address) {
			silent++
			e.examineHome(address)
		}
	}
	if silent*2 > d.HomesUsed {
		h.barredUntil = e.now.Add(homeBar)
	}
	for _, account := range d.Isolated {
		h.barredUntil = e.now.Add(homeBar)
		h.release(account, "the instances of most callers are silent")
	}
}

// giveWay releases every home of this instance, for one that reaches more.
func (h *homes) giveWay(reason string) {
	h.barredUntil = h.e.now.Add(homeBar)
	for account := range h.records {
		if h.here(account) {
			h.release(account, reason)
		}
	}
}

func (h *homes) release(account core.AccountName, reason string) {
	e := h.e
	s := h.records[account]
	if s == nil || s.record == nil || e.storeLost {
		return
	}
	e.out.Log(LogEvent{Warning: true, Event: "home_released", Message: reason, Fields: map[string]any{"account": account}})
	e.out.ClaimHome(HomeClaim{Account: account, Replaces: s.record.Revision, Release: true})
}

// publish tells session where the accounts are at home.
func (h *homes) publish() {
	e := h.e
	in := session.HomesInForce{Homes: map[core.AccountName]session.Home{}, Open: e.openHomes()}
	for account, s := range h.records {
		if s.record == nil {
			continue
		}
		if h.here(account) {
			in.Homes[account] = session.Home{Here: true}
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

func (e *Engine) homingAccounts() []homing.Account {
	list := make([]homing.Account, len(e.configuration.Accounts))
	for i, a := range e.configuration.Accounts {
		list[i] = homing.Account{Name: a.Name, Rate: a.Rate}
	}
	return list
}

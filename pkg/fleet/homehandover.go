package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/placement"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// An instance that stops hands the home of each account over to a successor before it ends
// its registration, so that the account is never without a home. The old home stops
// admitting requests before the record in the store names the successor, and the record is
// bound to the successor's lease, which the successor itself states. Where a step fails, the
// registration ends as it would without a handover, and others claim the home. The chart is
// "home_handover".

// HandoverRequest is a request of an instance that stops to the successor of a home.
type HandoverRequest struct {
	Account core.AccountName `json:"account"`
	// Revision is the revision of the record before the handover.
	Revision Revision `json:"revision"`
	// Recorded is set once the record names the successor. Without it the request asks
	// whether the successor is ready.
	Recorded bool `json:"recorded,omitempty"`
	// Tokens are the account's tokens at the old home, set with Recorded.
	Tokens float64 `json:"tokens,omitempty"`
}

// HandoverResponse is the successor's response.
type HandoverResponse struct {
	Accepted bool `json:"accepted"`
	// Lease is the lease of the successor's registration.
	Lease Lease `json:"lease,omitempty"`
}

// HandoverRequested delivers a request to this instance as the successor.
type HandoverRequested struct {
	Request HandoverRequest
	// ReplyTo is returned with the response.
	ReplyTo any
}

// HandoverAnswered delivers the response to a request of this instance. An instance that
// did not respond has not accepted.
type HandoverAnswered struct {
	Node     string
	Request  HandoverRequest
	Response HandoverResponse
}

// HomeTransferred reports the outcome of a claim with a successor.
type HomeTransferred struct {
	Account core.AccountName
	// Err is nil if the record names the successor.
	Err error
}

func (HandoverRequested) fleetInput() {}
func (HandoverAnswered) fleetInput()  {}
func (HomeTransferred) fleetInput()   {}

// Successor is the instance that a HomeClaim names instead of this one, with its lease.
type Successor struct {
	Instance Instance
	Lease    Lease
}

const (
	// handoverAskTimeout bounds the wait for a successor's answer, some ten round trips.
	handoverAskTimeout = 150 * time.Millisecond
	// handoverHoldTimeout bounds the wait for the session duty.
	handoverHoldTimeout = 100 * time.Millisecond
	// handoverRecordTimeout bounds the write, during which requests of the account wait. It
	// is shorter than the time limits of callers.
	handoverRecordTimeout = 300 * time.Millisecond
	// handoverNotifyTimeout bounds the wait for the successor to take over.
	handoverNotifyTimeout = 100 * time.Millisecond
	// handoverCandidates is the maximum number of instances that are asked for one home.
	// With two, a handover ends within 800 ms.
	handoverCandidates = 2
)

// handoverEvents are the compiled events of the chart "home_handover".
type handoverEvents struct {
	accepted, declined, held, recorded, notRecorded, outcomeUnknown, timedOut chart.Event
}

// handovers tracks the handover of the homes of this instance, and the homes that other
// instances offer to it.
type handovers struct {
	e      *Engine
	table  *chart.Table[*homeHandover]
	events handoverEvents
	// lostState is the state in which this instance has left the home although the store may still
	// name this instance.
	lostState chart.State
	// running holds the handovers by account; it is nil unless the instance stops.
	running map[core.AccountName]*homeHandover
	// deregistered is set once the registration has been ended.
	deregistered bool
	// offers holds the homes that this instance has declared itself ready for.
	offers map[core.AccountName]handoverOffer
	// lease is the lease of this instance's registration.
	lease Lease
}

// homeHandover is the handover of one home.
type homeHandover struct {
	h       *handovers
	account core.AccountName
	state   chart.State
	timer   timerq.Item[func()]
	// revision is the revision of the record that names this instance.
	revision Revision
	// candidates are the nodes that were not asked yet.
	candidates []string
	// successor is the instance that was asked last; its lease is set once it has accepted.
	successor Successor
	// tokens are those that the account had left when its requests began to wait.
	tokens float64
}

// load compiles the chart. Without one, homes end with the registration. It returns the
// errors of chart.Compile.
func (h *handovers) load(e *Engine, d *chart.Definition) error {
	h.e, h.offers = e, map[core.AccountName]handoverOffer{}
	if d == nil {
		return nil
	}
	table, err := chart.Compile(d, chart.Registry[*homeHandover]{
		Guards: map[string]func(*homeHandover) bool{
			"has_candidate": func(m *homeHandover) bool { return len(m.candidates) > 0 },
		},
		Actions: map[string]func(*homeHandover){
			"ask":     (*homeHandover).ask,
			"hold":    func(m *homeHandover) { m.h.e.out.Session(session.HoldAccount{Account: m.account}) },
			"record":  (*homeHandover).record,
			"notify":  (*homeHandover).notify,
			"forward": (*homeHandover).forward,
			"resume":  (*homeHandover).resume,
			"abandon": (*homeHandover).abandon,
			"end":     (*homeHandover).end,
		},
		Timeouts: map[string]time.Duration{
			"ask": handoverAskTimeout, "hold": handoverHoldTimeout, "record": handoverRecordTimeout, "notify": handoverNotifyTimeout,
		},
	})
	if err != nil {
		return err
	}
	h.table, h.lostState = table, table.StateID("lost")
	h.events = handoverEvents{
		accepted: table.Event("accepted"), declined: table.Event("declined"), held: table.Event("held"),
		recorded: table.Event("recorded"), notRecorded: table.Event("not_recorded"),
		outcomeUnknown: table.Event("outcome_unknown"), timedOut: table.Event(chart.TimeoutEvent),
	}
	return nil
}

// start begins the handover of every home of this instance. The registration ends once all
// have ended.
func (h *handovers) start() {
	e := h.e
	h.running = map[core.AccountName]*homeHandover{}
	if h.table != nil && e.configuration != nil && !e.storeLost {
		h.prepare()
	}
	for _, account := range slices.Sorted(maps.Keys(h.running)) {
		h.running[account].fireInitial()
	}
	h.deregisterIfDone()
}

// prepare creates the handovers and determines the candidates of each: the instance that
// would be assigned the account, and the next one in the account's order.
func (h *handovers) prepare() {
	e := h.e
	nodes := slices.DeleteFunc(e.placementNodes(), func(n placement.Node) bool {
		return n.Name == e.config.Self.Node || n.Gone || e.instances[n.Name].missing
	})
	if len(nodes) == 0 {
		return
	}
	accounts := e.accountsToPlace()
	for i := range accounts {
		if accounts[i].Home == e.config.Self.Node {
			accounts[i].Home = ""
		}
	}
	assigned := placement.Assign(accounts, nodes)
	for _, a := range accounts {
		if !e.homes.isLocal(a.Name) {
			continue
		}
		first := assigned[a.Name]
		others := slices.DeleteFunc(placement.Rank(string(a.Name), nodes), func(node string) bool { return node == first })
		candidates := append([]string{first}, others...)
		m := &homeHandover{
			h: h, account: a.Name, state: h.table.Initial(), revision: e.homes.records[a.Name].record.Revision,
			candidates: candidates[:min(handoverCandidates, len(candidates))],
		}
		m.timer.Value = func() { m.fire(h.events.timedOut) }
		h.running[a.Name] = m
	}
}

// fireInitial asks the first candidate.
func (m *homeHandover) fireInitial() {
	m.ask()
	m.h.e.timers.Arm(&m.timer, m.h.e.now.Add(m.h.table.Timeout(m.state)))
}

// fire applies an event and arms the timeout of the new state, also if the next candidate
// is asked in the same state.
func (m *homeHandover) fire(event chart.Event) {
	h := m.h
	if h.table.Final(m.state) {
		return
	}
	previous := m.state
	remaining := len(m.candidates)
	h.table.Fire(m, &m.state, event)
	switch {
	case h.table.Final(m.state):
		h.e.timers.Disarm(&m.timer)
		h.deregisterIfDone()
	case m.state != previous || len(m.candidates) != remaining:
		h.e.timers.Arm(&m.timer, h.e.now.Add(h.table.Timeout(m.state)))
	}
}

// isLost reports whether this instance has left the home of the account although the
// store may still name it.
func (h *handovers) isLost(account core.AccountName) bool {
	m := h.running[account]
	return m != nil && m.state == h.lostState
}

// deregisterIfDone ends the registration once no handover is running.
func (h *handovers) deregisterIfDone() {
	for _, m := range h.running {
		if !h.table.Final(m.state) {
			return
		}
	}
	h.deregister()
}

// finish ends the registration whether or not handovers are running.
func (h *handovers) finish() {
	for _, m := range h.running {
		for !h.table.Final(m.state) {
			m.candidates = nil
			m.fire(h.events.timedOut)
		}
	}
	h.deregister()
}

// deregister ends the registration once.
func (h *handovers) deregister() {
	if h.deregistered {
		return
	}
	h.deregistered = true
	h.e.out.Deregister()
}

// ask asks the next candidate whether it is ready.
func (m *homeHandover) ask() {
	node := m.candidates[0]
	m.candidates = m.candidates[1:]
	if i := m.h.e.instances[node]; i != nil {
		m.successor = Successor{Instance: i.Instance}
		m.h.e.out.RequestHandover(i.Instance, HandoverRequest{Account: m.account, Revision: m.revision})
	}
}

// record changes the record to name the successor.
func (m *homeHandover) record() {
	m.h.e.out.ClaimHome(HomeClaim{Account: m.account, Replaces: m.revision, Successor: m.successor})
}

// notify tells the successor that the record names it.
func (m *homeHandover) notify() {
	m.h.e.out.RequestHandover(m.successor.Instance, HandoverRequest{
		Account: m.account, Revision: m.revision, Recorded: true, Tokens: m.tokens,
	})
}

// forward lets the waiting requests, and those that still arrive, run at the successor.
func (m *homeHandover) forward() {
	e := m.h.e
	e.homes.set(m.account, &Home{
		Account: m.account, Node: m.successor.Instance.Node, Instance: m.successor.Instance.ID, Revision: m.revision + 1,
	})
	e.publishHomes()
	e.out.Session(session.ReleaseAccount{Account: m.account, Forward: true})
}

// resume lets this instance act as the home until its registration ends.
func (m *homeHandover) resume() {
	m.h.e.out.Session(session.ReleaseAccount{Account: m.account, Tokens: m.tokens})
}

// abandon ends the home here.
func (m *homeHandover) abandon() {
	e := m.h.e
	e.homes.set(m.account, nil)
	e.publishHomes()
	e.out.Session(session.ReleaseAccount{Account: m.account})
}

// end logs the end of the handover.
func (m *homeHandover) end() {
	m.h.e.out.Log(LogEvent{Event: "home_handover", Message: "the handover of a home has ended", Fields: map[string]any{
		"account": m.account, "successor": m.successor.Instance.Node, "state": m.h.table.StateName(m.state),
	}})
}

// answered handles a successor's response.
func (h *handovers) answered(in HandoverAnswered) {
	m := h.running[in.Request.Account]
	asking := m != nil && m.state == h.table.Initial()
	if m == nil || in.Node != m.successor.Instance.Node || in.Request.Recorded == asking {
		return
	}
	if !in.Response.Accepted {
		m.fire(h.events.declined)
		return
	}
	if asking {
		m.successor.Lease = in.Response.Lease
	}
	m.fire(h.events.accepted)
}

// held handles the session duty's report that it admits no request of the account.
func (h *handovers) held(in session.AccountHeld) {
	if m := h.running[in.Account]; m != nil {
		m.tokens = in.Tokens
		m.fire(h.events.held)
	}
}

// transferred handles the outcome of the write.
func (h *handovers) transferred(in HomeTransferred) {
	m := h.running[in.Account]
	switch {
	case m == nil:
	case in.Err == nil:
		m.fire(h.events.recorded)
	case eris.Is(in.Err, ErrUnknownOutcome), eris.Is(in.Err, ErrConflict):
		// After a conflict another writer, or an earlier attempt of this one, has changed
		// the record, so that this instance may not act as the home any more.
		m.fire(h.events.outcomeUnknown)
	default:
		m.fire(h.events.notRecorded)
	}
}

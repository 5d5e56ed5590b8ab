package fleet

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// homeNode is an instance of the simulation of homes.
type homeNode struct {
	w    *homeWorld
	name string
	// run counts the runs of the process, id identifies the present one.
	run   int
	id    core.InstanceID
	alive bool
	// admitsAsHome is set while the session duty takes this instance for the home of the
	// account, holds while it makes the account's requests wait.
	admitsAsHome, holds bool
	// deregistered is set once the run has ended its registration.
	deregistered bool
	// changesUntil is when the last change of the store reaches the instance.
	changesUntil time.Time
	// suspendedUntil is the time until which the process does nothing.
	suspendedUntil time.Time
	fleet          *Engine
	session        *session.Engine
	callers        map[session.CallerID]*homeCaller
	lastCaller     session.CallerID
	// relays holds the unanswered forwarded requests of this run.
	relays map[session.RelayID]session.PeerAddress
}

func (n *homeNode) start() {
	w := n.w
	n.run++
	n.alive, n.deregistered, n.admitsAsHome, n.holds = true, false, false, false
	n.id = core.InstanceID(n.name + "-" + time.Duration(n.run).String())
	n.callers, n.relays = map[session.CallerID]*homeCaller{}, map[session.RelayID]session.PeerAddress{}
	self := Instance{Node: n.name, ID: n.id, Peer: n.name, Domain: "d"}
	charts := Charts{
		Instance: load(w.t, "hosted_instance"), Succession: load(w.t, "succession"), News: load(w.t, "news"), HomeHandover: load(w.t, "home_handover"),
	}
	if w.noHandover {
		charts.HomeHandover = nil
	}
	var err error
	n.fleet, err = New(Config{
		Self:   self,
		Limits: Limits{TargetDrain: 5 * time.Second, RateWindow: homeSimWindow, RateOverage: 0.1, RateSlack: 20},
		Bounds: Bounds{
			BalancerNotice: 2 * time.Second, Stop: testStopPlan, ReregistrationGrace: 2 * time.Second,
			PromotionStepTimeout: time.Second, PromotionRetryDelay: time.Second, TakeoverTimeout: time.Second,
		},
	}, charts, n)
	require.NoError(w.t, err)
	config := session.DefaultConfig()
	config.AckAtCommit, config.AsyncReplication, config.RatePerOperation, config.FinishOnRevocation = true, true, true, true
	config.MemberConnections = 20
	config.Bounds.HomeWait = 600 * time.Millisecond
	n.session, err = session.New(config, homeSessionOutputs{n})
	require.NoError(w.t, err)
	n.later(homeSimStore, n.readStore)
	n.later(2*homeSimStore, func() {
		w.registered[n.name] = self
		w.publish(Change{Instance: &self})
		n.renewLease()
	})
	n.tick()
}

func (n *homeNode) readStore() {
	w := n.w
	s := &Snapshot{
		Configuration: homeSimConfiguration(), Revision: w.revision,
		Members: []Announcement{{Member: "p", Group: "g", Address: "p:1", Slots: 20, Role: core.RolePrimary, Revision: 1}},
	}
	for _, i := range w.registered {
		s.Instances = append(s.Instances, i)
	}
	if w.home != nil {
		s.Homes = []Home{*w.home}
	}
	n.fleetInput(StoreSnapshot{Snapshot: s, AsOf: w.now})
}

// renewLease renews the lease of the registration every 3 s.
func (n *homeNode) renewLease() {
	w, id := n.w, n.id
	if n.deregistered {
		return
	}
	ends := w.now.Add(homeSimLease)
	w.leases[id] = ends
	if w.leaseNumbers[id] == 0 {
		w.lastLease++
		w.leaseNumbers[id] = w.lastLease
	}
	w.after(homeSimLease, func() {
		if !w.now.Before(w.leases[id]) {
			w.deregister(n.name, id)
		}
	})
	n.fleetInput(LeaseUpdated{Until: ends.Add(-2 * time.Second), Lease: w.leaseNumbers[id]})
	n.later(3*time.Second, n.renewLease)
}

// later runs an action of the present run, when the process is not suspended.
func (n *homeNode) later(d time.Duration, run func()) {
	id := n.id
	n.w.after(d, func() {
		if !n.alive || n.id != id {
			return
		}
		if rest := n.suspendedUntil.Sub(n.w.now); rest > 0 {
			n.later(rest, run)
			return
		}
		run()
	})
}

// tick runs the timers of the engines every 5 ms.
func (n *homeNode) tick() {
	now := n.w.now
	if at, armed := n.fleet.NextDeadline(); armed && !at.After(now) {
		n.fleet.Tick(now)
	}
	if at, armed := n.session.NextDeadline(); armed && !at.After(now) {
		n.session.Tick(now)
	}
	n.later(5*time.Millisecond, n.tick)
}

func (n *homeNode) fleetInput(in Input) { n.fleet.Handle(n.w.now, in) }

// sessionInput passes an input to the session engine with the next event, as a ring does.
func (n *homeNode) sessionInput(in session.Input) {
	n.later(0, func() {
		switch in := in.(type) {
		case session.HomesUpdate:
			n.admitsAsHome = in.Homes["acct"].Local && !n.holds
		case session.HoldAccount:
			n.admitsAsHome, n.holds = false, true
		case session.ReleaseAccount:
			n.admitsAsHome, n.holds = !in.Forward && n.fleet.homes.isLocal("acct"), false
		}
		n.session.Handle(n.w.now, in)
	})
}

// kill ends the process; it starts again after half a second.
func (n *homeNode) kill() {
	w, id := n.w, n.id
	n.alive = false
	for _, c := range n.callers {
		c.closed()
	}
	for _, other := range w.nodes {
		for relay, address := range other.relays {
			if string(address) == n.name {
				other.relayLost(relay, address, false)
			}
		}
	}
	w.after(500*time.Millisecond, func() {
		if n.id == id {
			n.start()
		}
	})
}

func (n *homeNode) relayLost(id session.RelayID, address session.PeerAddress, refused bool) {
	delete(n.relays, id)
	n.sessionInput(session.RelayLost{ID: id, Address: address, Unsent: refused, Refused: refused})
}

// reach calls run at the other instance, or refused here if its process has ended.
func (n *homeNode) reach(address session.PeerAddress, run func(*homeNode), refused func()) {
	to := n.w.node(address)
	n.later(homeSimLatency, func() {
		if !to.alive {
			refused()
			return
		}
		to.later(0, func() { run(to) })
	})
}

// Outputs of the fleet engine.

func (n *homeNode) Session(in session.Input) {
	if share, ok := in.(session.ShareUpdate); ok && n.w.advanceAlways {
		share.RateWindow = 0
		for name, a := range share.Accounts {
			a.Advance = 0.5
			share.Accounts[name] = a
		}
		in = share
	}
	n.sessionInput(in)
}

func (n *homeNode) ClaimHome(c HomeClaim) {
	w, id := n.w, n.id
	if c.Successor.Lease != 0 {
		w.after(homeSimStore, func() { n.transfer(id, c) })
		return
	}
	n.later(homeSimStore, func() {
		var current Revision
		if w.home != nil {
			current = w.home.Revision
		}
		switch {
		case current != c.Replaces:
		case c.Release:
			w.setHome(nil)
		default:
			w.setHome(&Home{Account: "acct", Node: n.name, Instance: id})
		}
	})
}

// transfer executes the write of a handover and reports its outcome.
func (n *homeNode) transfer(run core.InstanceID, c HomeClaim) {
	w, to := n.w, c.Successor.Instance
	err := error(nil)
	switch {
	case w.transferError != nil && !eris.Is(w.transferError, ErrUnknownOutcome):
		err = w.transferError
	case w.home == nil || w.home.Revision != c.Replaces:
		err = ErrConflict
	case !w.now.Before(w.leases[to.ID]) || w.leaseNumbers[to.ID] != c.Successor.Lease:
		err = ErrLeaseEnded
	default:
		w.setHome(&Home{Account: "acct", Node: to.Node, Instance: to.ID})
		w.transfers = append(w.transfers, homeTransfer{from: run, to: to.ID, at: w.now})
		err = w.transferError
	}
	if n.id != run {
		return
	}
	n.later(homeSimStore, func() { n.fleetInput(HomeTransferred{Account: c.Account, Err: err}) })
}

// homeHandoverReply identifies a handover request of an instance.
type homeHandoverReply struct {
	from    *homeNode
	run     core.InstanceID
	node    string
	request HandoverRequest
}

func (n *homeNode) RequestHandover(to Instance, in HandoverRequest) {
	reply := homeHandoverReply{n, n.id, to.Node, in}
	n.reach(session.PeerAddress(to.Peer), func(other *homeNode) {
		other.fleetInput(HandoverRequested{Request: in, ReplyTo: reply})
	}, func() { n.fleetInput(HandoverAnswered{Node: to.Node, Request: in}) })
}

func (n *homeNode) AnswerHandover(replyTo any, response HandoverResponse) {
	reply := replyTo.(homeHandoverReply)
	n.w.after(homeSimLatency, func() {
		if reply.from.alive && reply.from.id == reply.run {
			reply.from.later(0, func() {
				reply.from.fleetInput(HandoverAnswered{Node: reply.node, Request: reply.request, Response: response})
			})
		}
	})
}

func (n *homeNode) RegisterAgain() {}
func (n *homeNode) Deregister() {
	n.deregistered = true
	n.later(homeSimStore, func() { n.w.deregister(n.name, n.id) })
}

func (n *homeNode) RequestLiveness(node string, address session.PeerAddress, subject session.LivenessSubject) {
	n.reach(address, func(to *homeNode) {
		to.sessionInput(session.LivenessQuery{ReplyTo: homeQuery{n, node, subject}, Subject: subject})
	}, func() {})
}

func (n *homeNode) ProbeInstance(address session.PeerAddress) {
	sentAt := n.w.now
	n.reach(address, func(*homeNode) { n.later(homeSimLatency, func() { n.fleetInput(ProbeResponse{SentAt: sentAt}) }) }, func() {})
}

func (n *homeNode) Finish() { n.kill() }

func (n *homeNode) Log(LogEvent)                                                                {}
func (n *homeNode) RevokePrimary(string, session.PeerAddress, core.DatabaseName, core.MemberID) {}
func (n *homeNode) RequestConfiguration(session.PeerAddress)                                    {}
func (n *homeNode) SendConfiguration(any, *Configuration)                                       {}
func (n *homeNode) SetChangeSource(ChangeSource)                                                {}
func (n *homeNode) SendFeed(any, FeedResponse)                                                  {}
func (n *homeNode) CheckStore()                                                                 {}
func (n *homeNode) SubmitJob(Job) bool                                                          { return true }
func (n *homeNode) SetReady(bool)                                                               {}

// homeQuery is a liveness query of an instance.
type homeQuery struct {
	from    *homeNode
	node    string
	subject session.LivenessSubject
}

// homeReply identifies a forwarded request to the home.
type homeReply struct {
	from *homeNode
	run  core.InstanceID
	id   session.RelayID
}

// homeSessionOutputs are the outputs of a session engine.
type homeSessionOutputs struct{ n *homeNode }

func (o homeSessionOutputs) Caller(command session.CallerCommand) bool {
	n := o.n
	switch m := command.(type) {
	case session.CallerAdmitted:
		n.callers[m.Caller].send()
	case session.CallerWrite:
		if m.Done {
			n.callers[m.Caller].answered()
		}
	case session.CallerError:
		n.w.refused++
		n.w.refusals = append(n.w.refusals, fmt.Sprintf("%s at %s: %s", n.w.now.Sub(startTime), n.name, m.Refusal.Message))
		n.callers[m.Caller].answered()
	case session.CallerClose:
		c := n.callers[m.Caller]
		delete(n.callers, m.Caller)
		c.closed()
	}
	return true
}

func (o homeSessionOutputs) Target(command session.TargetCommand) bool {
	n, w := o.n, o.n.w
	end := core.Position{Term: 1, LSN: 10}
	switch m := command.(type) {
	case session.TargetOpen:
		n.later(10*time.Millisecond, func() { n.sessionInput(session.TargetOpened{Target: m.Target}) })
	case session.TargetProbe:
		n.later(2*homeSimLatency, func() {
			n.sessionInput(session.TargetReady{Target: m.Target, TxStatus: session.TxIdle, LogEnd: end, VerifiedPrimary: true})
		})
	case session.TargetSend:
		sentAt, asHome := w.now, n.admitsAsHome
		w.after(homeSimLatency, func() { w.runs = append(w.runs, homeRun{sentAt: sentAt, ranAt: w.now, run: n.id, asHome: asHome}) })
		n.later(homeSimLatency+homeSimWork, func() {
			n.sessionInput(session.TargetReady{Target: m.Target, Frames: []byte("row"), TxStatus: session.TxIdle, LogEnd: end, VerifiedPrimary: true})
		})
	case session.TargetClose:
		n.later(0, func() { n.sessionInput(session.TargetClosed{Target: m.Target}) })
	}
	return true
}

func (o homeSessionOutputs) Peer(command session.PeerCommand) bool {
	n, w := o.n, o.n.w
	switch m := command.(type) {
	case session.RelayRequest:
		o.forward(m)
	case session.RelayResponse:
		reply := m.ReplyTo.(homeReply)
		reply.from.w.after(homeSimLatency, func() {
			address, waits := reply.from.relays[reply.id]
			if reply.from.id != reply.run || !waits {
				return
			}
			delete(reply.from.relays, reply.id)
			reply.from.sessionInput(session.RelayResult{ID: reply.id, Address: address, Response: m})
		})
	case session.RelayEnd:
		n.reach(m.Address, func(to *homeNode) {
			to.sessionInput(session.RemoteClosed{Caller: session.RemoteID{Instance: n.id, Caller: m.Caller}, Sequence: m.Sequence})
		}, func() {})
	case session.PeerProbe:
		id := n.id
		n.reach(m.Address, func(to *homeNode) {
			to.sessionInput(session.OriginHeartbeat{Instance: id})
			n.later(homeSimLatency, func() { n.sessionInput(session.PeerProbeReply(m)) })
		}, func() { n.fleetInput(SessionReport{Report: session.PeerConnectionRefused(m)}) })
	case session.LivenessReport:
		query := m.ReplyTo.(homeQuery)
		w.after(homeSimLatency, func() {
			query.from.later(0, func() {
				query.from.fleetInput(LivenessReport{Subject: query.subject, Node: query.node, Known: m.Known, UnresponsiveFor: m.UnresponsiveFor, SinceContact: m.SinceContact})
			})
		})
	}
	return true
}

// forward sends a request to the home of its account.
func (o homeSessionOutputs) forward(m session.RelayRequest) {
	n, id := o.n, o.n.id
	n.relays[m.ID] = m.Address
	request := *m.Request
	n.reach(m.Address, func(to *homeNode) {
		to.sessionInput(session.RemoteRequest{
			Caller: session.RemoteID{Instance: id, Caller: m.ID.Caller}, From: session.PeerAddress(n.name),
			ReplyTo: homeReply{n, id, m.ID}, Entry: m.Entry, Key: m.Key, Floor: m.Floor, Version: m.Version, Sequence: m.ID.Sequence,
			OutsideTransaction: m.OutsideTransaction, TransactionSequence: m.TransactionSequence, Request: &request,
		})
	}, func() { n.relayLost(m.ID, m.Address, true) })
	n.later(homeSimTimeout, func() {
		if _, waits := n.relays[m.ID]; waits {
			n.relayLost(m.ID, m.Address, false)
		}
	})
}

func (o homeSessionOutputs) Control(report session.ControlReport) bool {
	o.n.later(0, func() { o.n.fleetInput(SessionReport{Report: report}) })
	return true
}

func (o homeSessionOutputs) Classify(session.ClassifyRequest) bool { return false }
func (o homeSessionOutputs) Span(session.Span)                     {}
func (o homeSessionOutputs) LogDecision(session.Decision)          {}
func (o homeSessionOutputs) LogMemberPace(session.MemberPace)      {}

// LogConfiguration implements session.Outputs.
func (o homeSessionOutputs) LogConfiguration(session.ConfigurationApplied) {}

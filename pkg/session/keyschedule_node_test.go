package session

import (
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

const keyOriginAddress PeerAddress = "10.0.0.1:1"

// keyNode is one instance: its engine, its connections to members and the last
// configuration that it applied. It implements Outputs.
type keyNode struct {
	w       *keyWorld
	name    string
	e       *Engine
	callers []*keyCaller
	byID    map[CallerID]*keyCaller
	conns   map[TargetID]*keyConn
	step    keyStep
	// revoked holds the keys that were withdrawn ahead of the configuration.
	revoked map[core.KeyID]bool
}

// keyConn is a connection to a member.
type keyConn struct {
	member  core.MemberID
	running *keyRequest
	// transaction is the open transaction, empty if there is none.
	transaction string
	closed      bool
}

// newKeyNode returns an instance before its first configuration.
func newKeyNode(w *keyWorld, name string, change func(*Config)) *keyNode {
	n := &keyNode{w: w, name: name, byID: map[CallerID]*keyCaller{}, conns: map[TargetID]*keyConn{}, revoked: map[core.KeyID]bool{}}
	cfg := DefaultConfig()
	cfg.AckAtCommit, cfg.AsyncReplication, cfg.RatePerOperation, cfg.FinishOnRevocation = true, true, true, true
	cfg.MemberConnections = 8
	cfg.Bounds.HomeWait = 50 * time.Millisecond
	if change != nil {
		change(&cfg)
	}
	e, err := New(cfg, n)
	require.NoError(w.t, err)
	n.e = e
	return n
}

// keyCatalogue returns the catalogue of the version. The entry belongs to no account: a
// caller's key determines it.
func keyCatalogue(step keyStep) *catalogue.Catalogue {
	cat := testCatalogue()
	cat.Version, cat.OperatorVersion = step.version, step.version
	cat.Entries[0].Account = ""
	for i := range cat.Accounts[0].Keys {
		key := &cat.Accounts[0].Keys[i]
		key.Revoked = step.withdrawn[key.ID]
	}
	if step.accountRemoved {
		cat.Accounts = nil
	}
	return cat
}

// start gives the instance its first configuration, share, homes and view.
func (n *keyNode) start(step keyStep) {
	n.applyStep(step)
	home := Home{Address: homeAddress}
	if n == n.w.home {
		home = Home{Local: true}
	}
	n.handle(ShareUpdate{
		Accounts:    map[core.AccountName]RateShare{"acct": {Rate: 5000, Burst: 5000}},
		Connections: map[core.DatabaseName]int{"db": 8},
		ValidUntil:  n.w.now.Add(time.Hour),
		Instances:   map[core.InstanceID]bool{"origin": true, "home": true},
	})
	n.handle(HomesUpdate{Homes: map[core.AccountName]Home{"acct": home}})
	view := GroupView{Database: "db"}
	for i, id := range []core.MemberID{"m0", "m1", "m2"} {
		status := core.MemberStatus{Member: id, Role: core.RoleReplica}
		if i == 0 {
			status.Role = core.RolePrimary
		}
		view.Members = append(view.Members, MemberView{Status: status, Reachable: true, Announced: 1, RespondedAt: n.w.now})
	}
	n.handle(view)
}

// applyStep applies a version, unless a newer one was applied.
func (n *keyNode) applyStep(step keyStep) {
	if step.version > n.step.version {
		n.step = step
		clear(n.revoked)
	}
	n.handle(CatalogueUpdate{Catalogue: keyCatalogue(step)})
}

// learnWithdrawnKeys ends the sessions of the version's withdrawn keys before the
// version itself arrives.
func (n *keyNode) learnWithdrawnKeys(step keyStep) {
	if step.version <= n.step.version || n.step.version == 0 {
		return
	}
	var keys []core.KeyID
	for key, withdrawn := range step.withdrawn {
		if withdrawn {
			keys = append(keys, key)
			n.revoked[key] = true
		}
	}
	n.handle(KeysRevoked{Keys: keys})
}

// valid reports whether the instance accepts the key at present.
func (n *keyNode) valid(key core.KeyID) bool { return n.step.valid(key) && !n.revoked[key] }

func (n *keyNode) handle(in Input) {
	n.e.Handle(n.w.now, in)
	n.checkSessions()
}

func (n *keyNode) tick() {
	n.e.Tick(n.w.now)
	n.checkSessions()
}

// checkSessions checks that exactly the sessions without a running request whose key is
// withdrawn have ended.
func (n *keyNode) checkSessions() {
	for _, c := range n.callers {
		if !c.admitted || c.gone {
			continue
		}
		c.withdrawnWhileRunning = c.withdrawnWhileRunning || c.running != nil && !n.valid(c.key)
		switch {
		case c.open && c.running == nil && !n.valid(c.key):
			n.w.violate("the idle session of caller %d goes on with a withdrawn key", c.id)
		case !c.open && c.validAtEnd:
			n.w.violate("the session of caller %d ended although its key is there", c.id)
		}
	}
}

// Target implements Outputs.
func (n *keyNode) Target(command TargetCommand) bool {
	switch c := command.(type) {
	case TargetOpen:
		n.conns[c.Target] = &keyConn{member: c.Member}
		n.w.after(n.w.between(time.Millisecond, 4*time.Millisecond), func() { n.handle(TargetOpened{Target: c.Target}) })
	case TargetSend:
		n.sendToMember(c)
	case TargetProbe:
		n.w.after(n.w.between(time.Millisecond, 4*time.Millisecond), func() {
			if conn := n.conns[c.Target]; !conn.closed {
				n.handle(n.memberAnswer(c.Target, conn, nil))
			}
		})
	case TargetClose:
		conn := n.conns[c.Target]
		if conn.closed {
			break
		}
		conn.closed = true
		if r := conn.running; r != nil && r.caller.running == r && !r.caller.gone {
			n.w.after(0, func() { n.requireAnswered(r) })
		}
		n.w.after(time.Millisecond, func() { n.handle(TargetClosed{Target: c.Target}) })
	}
	return true
}

// requireAnswered checks that a request whose connection was closed is answered; the answer
// of a home takes a few milliseconds to its caller.
func (n *keyNode) requireAnswered(r *keyRequest) {
	n.w.after(10*time.Millisecond, func() {
		if r.caller.running == r && !r.caller.gone {
			n.w.violate("the connection of request %s was closed before its answer", r.id)
		}
	})
}

// sendToMember lets the member run the request, or breaks the connection.
func (n *keyNode) sendToMember(c TargetSend) {
	w, conn := n.w, n.conns[c.Target]
	r := w.requests[string(c.Payload.Frames)]
	if conn.closed || conn.running != nil {
		w.violate("request %s was sent on a connection that is not idle", r.id)
	}
	if !c.Begin && conn.transaction != r.transaction {
		w.violate("request %s of transaction %q runs in %q", r.id, r.transaction, conn.transaction)
	}
	r.passed++
	conn.running, conn.transaction = r, r.transaction
	if w.faults && w.chance(0.04) {
		unsent, ran := w.chance(0.3), w.chance(0.5)
		w.after(w.between(0, 10*time.Millisecond), func() { n.breakConn(c.Target, conn, unsent, ran) })
		return
	}
	w.after(w.between(2*time.Millisecond, 60*time.Millisecond), func() {
		if conn.closed {
			return
		}
		r.runs++
		conn.running = nil
		n.handle(n.memberAnswer(c.Target, conn, r))
	})
}

// breakConn loses the connection, before or after its request ran.
func (n *keyNode) breakConn(id TargetID, conn *keyConn, unsent, ran bool) {
	if conn.closed {
		return
	}
	conn.closed = true
	if ran && !unsent {
		conn.running.runs++
	}
	n.handle(TargetClosed{Target: id, Unsent: unsent})
}

// memberAnswer returns the member's answer to the request, or to a probe.
func (n *keyNode) memberAnswer(id TargetID, conn *keyConn, r *keyRequest) TargetReady {
	answer := TargetReady{Target: id, TxStatus: txIdle, VerifiedPrimary: conn.member == "m0"}
	if r != nil {
		answer.Frames = []byte(r.id)
		if conn.transaction != "" && r.kind.Kind != KindEnd {
			answer.TxStatus = txOpen
		} else {
			conn.transaction = ""
		}
		if r.kind.Kind != KindRead {
			n.w.logEnd += 10
			answer.Position = core.Position{Term: 1, LSN: n.w.logEnd}
		}
	}
	answer.LogEnd = core.Position{Term: 1, LSN: n.w.logEnd}
	return answer
}

// Peer implements Outputs. Messages between the instances may overtake each other.
func (n *keyNode) Peer(command PeerCommand) bool {
	w := n.w
	delay := w.between(500*time.Microsecond, 4*time.Millisecond)
	switch c := command.(type) {
	case RelayRequest:
		request := *c.Request
		w.after(delay, func() {
			request.Arrived, request.Deadline = w.now, time.Time{}
			w.home.handle(RemoteRequest{
				Caller: RemoteID{Instance: core.InstanceID(n.name), Caller: c.ID.Caller}, From: keyOriginAddress, ReplyTo: c.ID,
				Entry: c.Entry, Key: c.Key, Floor: c.Floor, Version: c.Version, Sequence: c.ID.Sequence,
				OutsideTransaction: c.OutsideTransaction, TransactionSequence: c.TransactionSequence,
				FirstInTransaction: c.FirstInTransaction, ReadOnly: c.ReadOnly, Request: &request,
			})
		})
	case RelayResponse:
		id := c.ReplyTo.(RelayID)
		if w.faults && w.chance(0.02) {
			w.after(delay, func() { w.origin.handle(RelayLost{ID: id, Address: homeAddress}) })
			break
		}
		w.after(delay, func() { w.origin.handle(RelayResult{ID: id, Address: homeAddress, Response: c}) })
	case RelayEnd:
		w.after(delay, func() {
			w.home.handle(RemoteClosed{Caller: RemoteID{Instance: core.InstanceID(n.name), Caller: c.Caller}, Sequence: c.Sequence})
		})
	case PeerProbe:
		w.after(delay, func() { w.home.handle(OriginHeartbeat{Instance: core.InstanceID(n.name)}) })
		w.after(2*delay, func() { n.handle(PeerProbeReply(c)) })
	}
	return true
}

// Classify implements Outputs.
func (n *keyNode) Classify(ClassifyRequest) bool { return true }

// Control implements Outputs.
func (n *keyNode) Control(ControlReport) bool { return true }

// Span implements Outputs.
func (n *keyNode) Span(Span) {}

// LogDecision implements Outputs.
func (n *keyNode) LogDecision(Decision) {}

// LogMemberPace implements Outputs.
func (n *keyNode) LogMemberPace(MemberPace) {}

// LogConfiguration implements Outputs.
func (n *keyNode) LogConfiguration(ConfigurationApplied) {}

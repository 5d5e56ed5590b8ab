package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// overloadNode is an instance of a overloadWorld: its fleet engine, whose Outputs it implements,
// and its session engine.
type overloadNode struct {
	w           *overloadWorld
	name        string
	fleet       *Engine
	session     *session.Engine
	connections map[session.TargetID]*overloadConnection
	// jobs holds the jobs of the worker, the first of which is being executed.
	jobs []Job
	// fleetTick and sessionTick are the times of the armed timer events.
	fleetTick, sessionTick time.Time
}

// overloadConnection is a connection to a member.
type overloadConnection struct {
	member core.MemberID
	closed bool
}

func (n *overloadNode) handle(in Input) {
	n.fleet.Handle(n.w.now, in)
	n.armFleet()
}

func (n *overloadNode) handleSession(in session.Input) {
	n.session.Handle(n.w.now, in)
	n.armSession()
}

// armFleet schedules the engine's next timer.
func (n *overloadNode) armFleet() {
	at, ok := n.fleet.NextDeadline()
	if !ok || n.fleetTick.Equal(at) {
		return
	}
	n.fleetTick = at
	n.w.after(max(at.Sub(n.w.now), 0), func() {
		if n.fleetTick.Equal(at) {
			n.fleetTick = time.Time{}
			n.fleet.Tick(n.w.now)
			n.armFleet()
		}
	})
}

// armSession schedules the engine's next timer.
func (n *overloadNode) armSession() {
	at, ok := n.session.NextDeadline()
	if !ok || n.sessionTick.Equal(at) {
		return
	}
	n.sessionTick = at
	n.w.after(max(at.Sub(n.w.now), 0), func() {
		if n.sessionTick.Equal(at) {
			n.sessionTick = time.Time{}
			n.session.Tick(n.w.now)
			n.armSession()
		}
	})
}

// Session implements Outputs.
func (n *overloadNode) Session(in session.Input) { n.w.after(0, func() { n.handleSession(in) }) }

// SubmitJob implements Outputs. The worker executes one job after the other.
func (n *overloadNode) SubmitJob(j Job) bool {
	n.jobs = append(n.jobs, j)
	if len(n.jobs) == 1 {
		n.executeJob(j)
	}
	return true
}

// executeJob executes a status request; other jobs fail.
func (n *overloadNode) executeJob(j Job) {
	over := false
	finish := func(err error) {
		if over {
			return
		}
		over = true
		n.jobs = n.jobs[1:]
		n.handle(JobDone{Job: j, Err: err})
		if len(n.jobs) > 0 {
			n.executeJob(n.jobs[0])
		}
	}
	if j.Kind != JobMemberStatus {
		n.w.after(n.w.latency(), func() { finish(ErrUnavailable) })
		return
	}
	n.w.checks++
	m := &n.w.member
	reply := func(err error) { n.w.after(n.w.latency(), func() { finish(err) }) }
	started := false
	n.w.after(overloadStatusLimit, func() {
		if m.cut {
			finish(ErrNoResponse)
			return
		}
		finish(&UnansweredError{Started: started})
	})
	n.w.after(n.w.latency(), func() {
		switch {
		case m.down:
			reply(ErrConnectionRefused)
		case m.connections >= m.maxConnections:
			reply(ErrRejected)
		default:
			m.startup(func() {
				started = true
				m.statement(time.Millisecond, func(busy bool) {
					if busy {
						reply(&BusyError{})
						return
					}
					reply(nil)
				})
			})
		}
	})
}

// RequestLiveness implements Outputs.
func (n *overloadNode) RequestLiveness(node string, _ session.PeerAddress, subject session.LivenessSubject) {
	to := n.w.byName[node]
	n.w.after(n.w.latency(), func() {
		to.handleSession(session.LivenessQuery{Subject: subject, ReplyTo: func(r session.LivenessReport) {
			n.w.after(n.w.latency(), func() {
				n.handle(LivenessReport{Subject: subject, Node: node, Known: r.Known, UnresponsiveFor: r.UnresponsiveFor, SinceContact: r.SinceContact})
			})
		}})
	})
}

// Log implements Outputs.
func (n *overloadNode) Log(l LogEvent) {
	simLog(n.w.now, n.name, l.Event, l.Message, l.Fields)
	if l.Event == "primary_dead" {
		n.w.deaths = append(n.w.deaths, n.w.now.Sub(startTime))
	}
}

// ClaimHome implements Outputs.
func (n *overloadNode) ClaimHome(c HomeClaim) {
	if c.Release {
		n.w.released++
	}
}

func (n *overloadNode) ProbeInstance(session.PeerAddress) {}
func (n *overloadNode) RevokePrimary(string, session.PeerAddress, core.DatabaseName, core.MemberID) {
}
func (n *overloadNode) CheckStore()                              {}
func (n *overloadNode) RegisterAgain()                           {}
func (n *overloadNode) Deregister()                              {}
func (n *overloadNode) SetReady(bool)                            {}
func (n *overloadNode) Finish()                                  {}
func (n *overloadNode) RequestConfiguration(session.PeerAddress) {}
func (n *overloadNode) SendConfiguration(any, *Configuration)    {}
func (n *overloadNode) SetChangeSource(ChangeSource)             {}
func (n *overloadNode) SendFeed(any, FeedResponse)               {}

// overloadSessionOutputs implements the outputs of a node's session engine.
type overloadSessionOutputs struct{ n *overloadNode }

// Caller implements session.Outputs. A caller sends its next request soon after an answer.
func (o overloadSessionOutputs) Caller(c session.CallerCommand) bool {
	n, id := o.n, session.CallerID(0)
	switch v := c.(type) {
	case session.CallerWrite:
		id = v.Caller
		n.w.answers++
	case session.CallerError:
		id = v.Caller
	default:
		return true
	}
	n.w.after(n.w.latency()*10, func() { n.request(id) })
	return true
}

// Target implements session.Outputs.
func (o overloadSessionOutputs) Target(c session.TargetCommand) bool {
	n, w, m := o.n, o.n.w, &o.n.w.member
	switch v := c.(type) {
	case session.TargetOpen:
		conn := &overloadConnection{member: v.Member}
		n.connections[v.Target] = conn
		w.after(w.latency(), func() { n.open(v.Target, conn) })
	case session.TargetSend:
		n.run(v.Target, m.service)
	case session.TargetProbe:
		n.run(v.Target, time.Millisecond)
	case session.TargetClose:
		if conn := n.connections[v.Target]; !conn.closed {
			n.closed(v.Target, conn, session.TargetClosed{Target: v.Target})
		}
	}
	return true
}

// open opens the connection at the member; replicas are idle.
func (n *overloadNode) open(id session.TargetID, conn *overloadConnection) {
	w, m := n.w, &n.w.member
	opened := func() {
		w.after(w.latency(), func() {
			if !conn.closed {
				n.handleSession(session.TargetOpened{Target: id})
			}
		})
	}
	switch {
	case conn.member != "m0":
		opened()
	case m.down:
		n.closed(id, conn, session.TargetClosed{Target: id, Refused: true, Unsent: true})
	case m.cut:
	case m.connections >= m.maxConnections:
		n.closed(id, conn, session.TargetClosed{Target: id, Refused: true, Unsent: true, ConnectionLimit: true})
	default:
		m.connections++
		m.startup(opened)
	}
}

// closed reports the end of the connection.
func (n *overloadNode) closed(id session.TargetID, conn *overloadConnection, in session.TargetClosed) {
	if conn.member == "m0" && !in.Refused {
		n.w.member.connections--
	}
	conn.closed = true
	n.w.after(n.w.latency(), func() { n.handleSession(in) })
}

// run runs a statement or a probe on the connection.
func (n *overloadNode) run(id session.TargetID, cost time.Duration) {
	w, conn := n.w, n.connections[id]
	answer := func(busy bool) {
		w.after(w.latency(), func() {
			if conn.closed {
				return
			}
			end := core.Position{Term: 1, LSN: core.LSN(w.now.Sub(startTime))}
			ready := session.TargetReady{Target: id, TxStatus: session.TxIdle, Frames: []byte("w"), LogEnd: end, VerifiedPrimary: conn.member == "m0"}
			if busy {
				ready.Rejection, ready.ErrorCode, ready.VerifiedPrimary = session.RejectionBusy, "BUSY", false
			}
			n.handleSession(ready)
		})
	}
	w.after(w.latency(), func() {
		if conn.member != "m0" {
			answer(false)
			return
		}
		w.member.statement(cost, answer)
	})
}

func (o overloadSessionOutputs) Classify(session.ClassifyRequest) bool { return true }

// Control implements session.Outputs.
func (o overloadSessionOutputs) Control(r session.ControlReport) bool {
	o.n.w.after(0, func() { o.n.handle(SessionReport{Report: r}) })
	return true
}

func (o overloadSessionOutputs) Span(session.Span)            {}
func (o overloadSessionOutputs) LogDecision(session.Decision) {}

// Peer implements session.Outputs.
func (o overloadSessionOutputs) Peer(c session.PeerCommand) bool {
	if report, ok := c.(session.LivenessReport); ok {
		report.ReplyTo.(func(session.LivenessReport))(report)
	}
	return true
}

// RequestHandover implements Outputs.
func (n *overloadNode) RequestHandover(Instance, HandoverRequest) {}

// AnswerHandover implements Outputs.
func (n *overloadNode) AnswerHandover(any, HandoverResponse) {}

func (o overloadSessionOutputs) LogMemberPace(session.MemberPace) {}

// LogConfiguration implements session.Outputs.
func (o overloadSessionOutputs) LogConfiguration(session.ConfigurationApplied) {}

package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Visitors are callers of other instances whose requests run here, the home of
// their account.

// VisitorID identifies a caller of another instance.
type VisitorID struct {
	// Instance is one run of the other instance.
	Instance core.InstanceID
	Caller   CallerID
}

// VisitorRequest is a request of a visitor.
type VisitorRequest struct {
	Visitor VisitorID
	// From is the address of the visitor's instance.
	From PeerAddress
	// Reply comes back in the VisitAnswer.
	Reply   any
	Entry   core.EntryName
	Key     core.KeyID
	Floor   core.Position
	Version uint64
	// Sequence grows with each request of a visitor.
	Sequence uint64
	// Begins is set for a request outside a transaction; Transaction is otherwise
	// the sequence of the request that began it.
	Begins      bool
	Transaction uint64
	// Opens is set for the first request of a transaction, ReadOnly if that only
	// reads.
	Opens    bool
	ReadOnly bool
	Request  *Request
}

// VisitorGone reports that a visitor's session or transaction is over.
type VisitorGone struct {
	Visitor VisitorID
}

func (VisitorRequest) sessionInput() {}
func (VisitorGone) sessionInput()    {}

// VisitAnswer answers a VisitorRequest.
type VisitAnswer struct {
	// Reply is that of the request.
	Reply any
	// Elsewhere is set when this instance does not run the request, because it
	// is not the home or has another configuration. Nothing ran.
	Elsewhere bool
	// Version is the configuration here, set with Elsewhere.
	Version  uint64
	Frames   []byte
	TxStatus byte
	// Position is that of a commit, zero if none.
	Position   core.Position
	ErrorState string
	Refusal    *core.Refusal
	// Closing is set when the session has to end.
	Closing bool
}

// visit is the state of a visitor.
type visit struct {
	id    VisitorID
	reply any
	// frames are the parts of the answer under way.
	frames []byte
	seen   time.Time
	// sequence is that of the newest request, began that of the newest one
	// outside a transaction.
	sequence uint64
	began    uint64
}

const (
	// firstVisitor is above every ID that the socket duty gives to a caller.
	firstVisitor CallerID = 1 << 62
	// visitorIdle is how long a visitor without a transaction is remembered.
	visitorIdle = time.Minute
)

// visitorRequest runs a visitor's request, or answers that it does not.
func (e *Engine) visitorRequest(in VisitorRequest) {
	c := e.callers[e.visitors[in.Visitor]]
	if c != nil && in.Sequence <= c.visit.sequence {
		// A late request that its caller has given up.
		return
	}
	if c != nil && in.Begins && (c.inTransaction() || c.stmt.active) {
		// The other instance has given the transaction up.
		e.visitorGone(VisitorGone{Visitor: in.Visitor})
		c = nil
	}
	if !in.Begins && (c == nil || !c.inTransaction() || c.visit.began != in.Transaction) {
		refusal := rolledBack("the account's home does not have it any more")
		e.box.out.Peer(VisitAnswer{Reply: in.Reply, Refusal: refusal, TxStatus: txIdle})
		return
	}
	if in.Begins && (in.Version != e.operatorVersion() || e.stopping) {
		e.newerVersionAt(in.From, in.Version)
		e.box.out.Peer(VisitAnswer{Reply: in.Reply, Elsewhere: true, Version: e.operatorVersion()})
		return
	}
	if c == nil {
		if c = e.admitVisitor(in); c == nil {
			return
		}
	}
	if in.Begins && !e.homes[c.account.name].Here {
		e.box.out.Peer(VisitAnswer{Reply: in.Reply, Elsewhere: true})
		return
	}
	c.visit.reply = in.Reply
	c.visit.frames = nil
	c.visit.seen = e.now
	c.visit.sequence = in.Sequence
	if in.Begins {
		c.visit.began = in.Sequence
	}
	if in.Floor.After(c.floor) {
		c.floor = in.Floor
	}
	if in.Opens {
		c.begun = &opening{readOnly: in.ReadOnly}
	}
	c.incoming = in.Request
	e.frontAlive(in.Visitor.Instance)
	c.fire(e.charts.on.request)
}

// admitVisitor makes a caller of a new visitor, or answers why it cannot.
func (e *Engine) admitVisitor(in VisitorRequest) *caller {
	e.lastVisitor++
	id := firstVisitor + e.lastVisitor
	e.opening = &visit{id: in.Visitor, reply: in.Reply, seen: e.now}
	e.callerOpened(CallerOpened{Caller: id, Entry: in.Entry, Key: in.Key, Carried: in.Floor})
	e.opening = nil
	c := e.callers[id]
	if c != nil {
		if len(e.visitors) == 0 {
			e.timers.Arm(&e.visitorSweep.item, e.now.Add(visitorIdle))
		}
		e.visitors[in.Visitor] = id
	}
	return c
}

func (e *Engine) visitorGone(in VisitorGone) {
	id, known := e.visitors[in.Visitor]
	if !known {
		return
	}
	delete(e.visitors, in.Visitor)
	e.callerClosed(CallerClosed{Caller: id})
}

// forgetVisitors drops those that have not asked for anything for long.
func (e *Engine) forgetVisitors() {
	for visitor, id := range e.visitors {
		c := e.callers[id]
		if c == nil {
			delete(e.visitors, visitor)
			continue
		}
		if !c.inTransaction() && !c.stmt.active && e.now.Sub(c.visit.seen) > visitorIdle {
			delete(e.visitors, visitor)
			c.fire(e.charts.on.closed)
		}
	}
	e.timers.Arm(&e.visitorSweep.item, e.now.Add(visitorIdle))
}

// answerVisitor turns a command for a visitor into the answer to its request. It
// reports false for commands that answer nothing.
func (v *visit) answerVisitor(command CallerCommand) (VisitAnswer, bool) {
	a := VisitAnswer{Reply: v.reply, TxStatus: txIdle}
	switch m := command.(type) {
	case CallerWrite:
		v.frames = append(v.frames, m.Frames...)
		if !m.Done {
			return a, false
		}
		a.Frames, a.TxStatus, a.Position = v.frames, m.TxStatus, m.Position
	case CallerFail:
		a.Refusal, a.TxStatus = m.Refusal, m.TxStatus
	case CallerReply:
		a.TxStatus = m.TxStatus
	case CallerClose:
		a.Refusal, a.Closing = m.Refusal, true
	default:
		return a, false
	}
	v.reply = nil
	return a, a.Reply != nil
}

// toCaller sends a command to a caller of this instance, or the answer to a
// visitor.
func (e *Engine) toCaller(id CallerID, command CallerCommand) {
	if id < firstVisitor {
		e.box.caller(command)
		return
	}
	v := e.opening
	if c := e.callers[id]; c != nil {
		v = c.visit
	}
	if v == nil {
		return
	}
	if answer, complete := v.answerVisitor(command); complete {
		e.box.out.Peer(answer)
	}
}

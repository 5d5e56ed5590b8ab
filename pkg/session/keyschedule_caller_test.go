package session

import (
	"fmt"
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// keyCaller is a caller that sends single statements and transactions one after the other.
type keyCaller struct {
	n        *keyNode
	id       CallerID
	key      core.KeyID
	open     bool
	admitted bool
	// gone is set when the caller itself has disconnected.
	gone    bool
	running *keyRequest
	// refused is set when the last request was refused.
	refused bool
	// withdrawnWhileRunning is set when the key was withdrawn during the request.
	withdrawnWhileRunning bool
	// validAtEnd is set when the session ended although its instance accepts the key.
	validAtEnd bool
	sequence   int
	// transaction is the open transaction, empty if there is none; left is the number of
	// its statements that are left before its end.
	transaction string
	left        int
}

// openCaller connects a caller to one of the instances.
func (w *keyWorld) openCaller() {
	if w.stopping {
		return
	}
	n := w.nodes[0]
	if w.chance(0.35) {
		n = w.nodes[1]
	}
	w.nextCaller++
	c := &keyCaller{n: n, id: w.nextCaller, key: "k1", open: true}
	if w.chance(0.3) {
		c.key = "k2"
	}
	n.callers = append(n.callers, c)
	n.byID[c.id] = c
	w.sessions++
	n.handle(CallerOpened{Caller: c.id, Account: "acct", Entry: "entry", Key: c.key})
}

// next sends the caller's next request.
func (c *keyCaller) next() {
	w := c.n.w
	if !c.open || c.gone || c.running != nil || w.stopping && c.transaction == "" {
		return
	}
	if w.chance(0.02) {
		c.disconnect()
		return
	}
	kind := read
	switch {
	case c.transaction == "" && w.chance(0.35):
		kind = begin
	case c.transaction != "" && c.left == 0:
		kind = commit
		kind.Commit = w.chance(0.8)
	case w.chance(0.5):
		kind = write
	}
	c.send(kind)
}

// send sends a request.
func (c *keyCaller) send(kind Classification) {
	w := c.n.w
	c.sequence++
	r := &keyRequest{id: fmt.Sprintf("%d/%d", c.id, c.sequence), caller: c, kind: kind}
	if kind.Kind == KindBegin {
		c.transaction, c.left = r.id, 2+w.rng.IntN(3)
	}
	if c.transaction != "" {
		c.left--
	}
	r.transaction = c.transaction
	w.requests[r.id] = r
	c.running, c.withdrawnWhileRunning, c.refused = r, false, false
	kind.Hints.MaxAge = -1
	c.n.handle(CallerRequest{Caller: c.id, Request: &Request{
		Classification: &kind, Payload: &Payload{ID: r.id, Frames: []byte(r.id)}, Arrived: w.now,
	}})
}

// disconnect closes the caller's connection.
func (c *keyCaller) disconnect() {
	c.gone, c.open, c.running = true, false, nil
	c.n.handle(CallerClosed{Caller: c.id})
	c.n.w.after(c.n.w.between(0, 50*time.Millisecond), c.n.w.openCaller)
}

// Caller implements Outputs.
func (n *keyNode) Caller(command CallerCommand) bool {
	switch v := command.(type) {
	case CallerAdmitted:
		n.byID[v.Caller].opened()
	case CallerWrite:
		n.byID[v.Caller].written(v)
	case CallerError:
		n.byID[v.Caller].failed(v)
	case CallerReply:
		n.byID[v.Caller].answered(v.TxStatus)
	case CallerClose:
		n.byID[v.Caller].closed(v.Refusal)
	}
	return true
}

func (c *keyCaller) opened() {
	w := c.n.w
	if !c.n.valid(c.key) {
		w.violate("caller %d was admitted with a withdrawn key", c.id)
	}
	c.admitted = true
	w.after(w.between(0, 20*time.Millisecond), c.next)
}

// written checks that the answer belongs to the request and is whole.
func (c *keyCaller) written(v CallerWrite) {
	w := c.n.w
	switch {
	case c.running == nil:
		w.violate("caller %d got an answer without a request: %s", c.id, v.Frames)
	case !v.Done || string(v.Frames) != c.running.id:
		w.violate("request %s got the answer %q", c.running.id, v.Frames)
	default:
		c.answered(v.TxStatus)
	}
}

// failed checks that the refusal is true. Without faults a request that was passed on to
// a member gets the member's answer.
func (c *keyCaller) failed(v CallerError) {
	w, r := c.n.w, c.running
	if r == nil {
		w.violate("caller %d got an error without a request: %v", c.id, v.Refusal)
		return
	}
	rolledBack := v.Refusal.Reason == core.ReasonTransactionAborted && !r.kind.Commit
	switch {
	case v.Refusal.Outcome == core.OutcomeNotRun && r.runs > 0 && !rolledBack && r.kind.Kind != KindRead:
		w.violate("request %s ran and is refused as not run: %v", r.id, v.Refusal)
	case !w.faults && r.passed > 0:
		w.violate("request %s was passed on to a member and got no answer of it: %v", r.id, v.Refusal)
	case !w.faults && v.Refusal.Outcome == core.OutcomeUncertain:
		w.violate("request %s has an uncertain outcome without a fault: %v", r.id, v.Refusal)
	}
	c.refused = true
	c.answered(v.TxStatus)
}

// answered ends the request and schedules the next one.
func (c *keyCaller) answered(status byte) {
	w := c.n.w
	if c.running == nil {
		w.violate("caller %d got a reply without a request", c.id)
		return
	}
	if c.withdrawnWhileRunning && c.n.valid(c.key) {
		w.kept++
	}
	w.answers++
	if status == txIdle {
		c.transaction = ""
	}
	c.running = nil
	w.after(w.between(0, 25*time.Millisecond), c.next)
}

// closed checks the end of the session by its instance.
func (c *keyCaller) closed(refusal *core.Refusal) {
	w := c.n.w
	if r := c.running; r != nil {
		w.violate("the session of caller %d ended before the answer to %s: %v", c.id, r.id, refusal)
	}
	withdrawn := refusal.Reason == core.ReasonKeyRevoked || refusal.Reason == core.ReasonWrongKey
	if !withdrawn && !strings.Contains(refusal.Message, "no configuration yet") {
		w.violate("the session of caller %d ended for another reason: %v", c.id, refusal)
	}
	c.validAtEnd = c.admitted && c.n.valid(c.key)
	if c.admitted {
		w.ended++
	}
	c.open, c.running = false, nil
	w.after(w.between(0, 120*time.Millisecond), w.openCaller)
}

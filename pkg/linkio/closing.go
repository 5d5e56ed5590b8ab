package linkio

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// beginStop ends the sessions without an unanswered request. The others end with their answer
// or at the end of the stop.
func (d *Callers) beginStop() {
	d.openAtStop = d.countOpen()
	d.stopNoticed = clock.Now()
	for _, c := range d.conns {
		c.attributeEnd(ClosedByStop, "")
		c.fire(d.events.stopped)
		c.keepEnding()
	}
}

// outputPending reports whether a stop has to wait: for the answer to a request, for unsent
// output, or for a caller to close its side.
func (d *Callers) outputPending() bool {
	for _, c := range d.conns {
		if c.state == d.waitingState || c.sessionEnded() || c.socket.Pending() > 0 {
			return true
		}
	}
	return false
}

// sessionEnded reports whether the session has ended while the connection is still open.
func (c *callerConn) sessionEnded() bool {
	return slices.Contains(c.duty.endedStates[:], c.state)
}

// readArrived handles a request that has arrived at an idle connection, so that a dismissal is
// its answer. Session ignores requests of sessions that it has ended.
func (c *callerConn) readArrived() {
	if c.state == c.duty.idleState {
		c.socket.ReadArrived()
	}
}

// dismiss ends the session; r is sent to the caller if it is not nil.
func (c *callerConn) dismiss(r *core.Refusal) {
	c.refusal = r
	by, reason := ClosedBySession, ""
	if r != nil {
		reason = string(r.Reason)
		if c.state == c.duty.waitingState {
			by = ClosedByRefusal
		}
	}
	c.attributeEnd(by, reason)
	c.fire(c.duty.events.dismissed)
	c.keepEnding()
}

// sendRefusal sends the refusal, if there is one.
func (c *callerConn) sendRefusal() {
	if c.refusal != nil {
		c.socket.Write(c.codec.SessionError(c.refusal))
	}
}

// sendViolation sends the codec's reply to invalid input.
func (c *callerConn) sendViolation() {
	c.socket.Write(c.violation.Reply)
}

// finish sends the output and closes the connection once the caller has closed it, so that no
// input can make the kernel drop output.
func (c *callerConn) finish() {
	c.socket.Finish()
	if c.socket.Pending() == 0 {
		c.fire(c.duty.events.flushed)
	}
}

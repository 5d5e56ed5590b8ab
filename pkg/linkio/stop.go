package linkio

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
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

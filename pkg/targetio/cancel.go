package targetio

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// cancelConn is a separate connection to the member that sends one CancelRequest.
type cancelConn struct {
	target *target
	conn   *netloop.Conn
	timer  timerq.Item[func()]
}

// sendCancel asks the member to cancel the current request. It does nothing if the
// request has not been written yet or has ended.
func (t *target) sendCancel() {
	if t.request == nil || !t.request.written || len(t.cancelSecret) == 0 {
		return
	}
	c := &cancelConn{target: t}
	conn, err := t.duty.Loop.Connect(t.address, c)
	if err != nil {
		return
	}
	c.conn = conn
	t.pendingCancels++
	t.duty.counts.cancels.Add(1)
	c.timer.Value = conn.Close
	t.duty.Timers.Arm(&c.timer, time.Now().Add(t.duty.config.CancelTimeout))
}

// Opened implements netloop.Handler: it sends the CancelRequest.
func (c *cancelConn) Opened(conn *netloop.Conn) {
	if c.target.request == nil {
		// The request has ended in the meantime; a CancelRequest could now cancel
		// the next one.
		conn.Close()
		return
	}
	conn.Write(wire.Append(nil, &pgproto3.CancelRequest{
		ProcessID: c.target.processID,
		SecretKey: c.target.cancelSecret,
	}))
}

// Data implements netloop.Handler. A member sends nothing on this connection.
func (c *cancelConn) Data(conn *netloop.Conn) {
	conn.Close()
}

// Flushed implements netloop.Handler.
func (c *cancelConn) Flushed(*netloop.Conn) {}

// Closed implements netloop.Handler. The member closes the connection once it has
// processed the CancelRequest. After the last one a deferred request starts.
func (c *cancelConn) Closed(*netloop.Conn, error) {
	t := c.target
	t.duty.Timers.Disarm(&c.timer)
	t.pendingCancels--
	if t.pendingCancels > 0 || t.deferredSend == nil || t.closed {
		return
	}
	m := *t.deferredSend
	t.deferredSend = nil
	t.startRequest(m)
}

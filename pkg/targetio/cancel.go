package targetio

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// canceller is a connection that carries one cancel request.
type canceller struct {
	target  *target
	conn    *netloop.Conn
	timeout timerq.Item[func()]
}

// cancel asks the member to stop the running request. Nothing is sent for a
// request that has not been written or has ended.
func (t *target) cancel() {
	if t.exchange == nil || !t.exchange.written || len(t.secret) == 0 {
		return
	}
	c := &canceller{target: t}
	conn, err := t.duty.Loop.Connect(t.address, c)
	if err != nil {
		return
	}
	c.conn = conn
	t.cancels++
	t.duty.counts.cancels.Add(1)
	c.timeout.Value = conn.Close
	t.duty.Timers.Arm(&c.timeout, time.Now().Add(t.duty.config.CancelTimeout))
}

// Opened implements netloop.Handler.
func (c *canceller) Opened(conn *netloop.Conn) {
	if c.target.exchange == nil {
		// The request has ended meanwhile; the cancel could hit the next one.
		conn.Close()
		return
	}
	conn.Write(wire.Append(nil, &pgproto3.CancelRequest{
		ProcessID: c.target.process32,
		SecretKey: c.target.secret,
	}))
}

// Data implements netloop.Handler. A member sends nothing on this connection.
func (c *canceller) Data(conn *netloop.Conn) {
	conn.Close()
}

// Drained implements netloop.Handler.
func (c *canceller) Drained(*netloop.Conn) {}

// Closed implements netloop.Handler. The member closes the connection when it
// has taken the cancel request.
func (c *canceller) Closed(*netloop.Conn, error) {
	t := c.target
	t.duty.Timers.Disarm(&c.timeout)
	t.cancels--
	if t.cancels > 0 || t.deferred == nil || t.gone {
		return
	}
	m := *t.deferred
	t.deferred = nil
	t.start(m)
}

package member

import (
	"encoding/json"
	"time"

	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/standin/store"
)

// link is the replication client of a replica: it pulls the log from the primary
// that the member follows.
type link struct {
	m     *Member
	state chart.State
	timer timer
	conn  *linkConn
	// pull is the outstanding request.
	pull      store.Pull
	requestID int64
}

// linkConn is one connection of the link. Events of a connection that the link
// has closed or replaced are ignored.
type linkConn struct {
	link *link
	conn *netloop.Conn
}

func (l *link) fire(event chart.Event) {
	l.m.linkChart.table.Fire(l, &l.state, event)
	l.m.arm(&l.timer, l.m.linkChart.table.Timeout(l.state))
}

func (l *link) timedOut() {
	l.fire(l.m.linkChart.timedOut)
}

func (l *link) dial() {
	c := &linkConn{link: l}
	conn, err := l.m.loop.Connect(l.m.store.Primary(), c)
	if err != nil {
		// The response timeout leads to the next attempt.
		return
	}
	c.conn = conn
	l.conn = c
}

func (l *link) disconnect() {
	c := l.conn
	l.conn = nil
	if c != nil {
		c.conn.Close()
	}
}

// sendPull requests the entries after the end of the log.
func (l *link) sendPull() {
	l.requestID++
	l.pull = l.m.store.NextPull()
	call, err := jsonrpc2.NewCall(jsonrpc2.Int64ID(l.requestID), "replicate", l.pull)
	if err != nil {
		return
	}
	frame, err := rpc.Append(nil, call)
	if err != nil {
		return
	}
	l.conn.conn.Write(frame)
}

// isCut reports whether fault.cut blocks the replication from the primary.
func (l *link) isCut() bool {
	for id, address := range l.m.options.Peers {
		if address == l.m.store.Primary() {
			return l.m.faults.cut[string(id)]
		}
	}
	return false
}

// isCurrent reports whether the link still uses the connection.
func (c *linkConn) isCurrent() bool {
	return c.link.conn == c
}

// Opened implements netloop.Handler.
func (c *linkConn) Opened(*netloop.Conn) {
	if c.isCurrent() {
		c.link.fire(c.link.m.linkChart.opened)
	}
}

// Flushed implements netloop.Handler.
func (c *linkConn) Flushed(*netloop.Conn) {}

// Closed implements netloop.Handler.
func (c *linkConn) Closed(*netloop.Conn, error) {
	if c.isCurrent() {
		c.link.fire(c.link.m.linkChart.failed)
	}
}

// Data implements netloop.Handler.
func (c *linkConn) Data(conn *netloop.Conn) {
	for c.isCurrent() {
		message, n, err := rpc.Decode(conn.Buffered())
		if err != nil {
			c.link.fire(c.link.m.linkChart.failed)
			return
		}
		if message == nil {
			return
		}
		conn.Discard(n)
		if response, ok := message.(*jsonrpc2.Response); ok {
			c.link.handleResponse(response)
		}
	}
}

// handleResponse passes a batch to the store.
func (l *link) handleResponse(response *jsonrpc2.Response) {
	if l.isCut() {
		// The response is ignored; the response timeout closes the connection.
		return
	}
	var batch store.Batch
	if response.Error != nil || json.Unmarshal(response.Result, &batch) != nil {
		l.fire(l.m.linkChart.failed)
		return
	}
	l.m.store.Receive(l.pull, batch, time.Now())
	l.m.armAdvanceTimer()
	l.m.pendingCalls.answerReady()
	l.fire(l.m.linkChart.responded)
}

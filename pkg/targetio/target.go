package targetio

import (
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
)

// target is one connection to a member.
type target struct {
	duty     *Duty
	conn     *netloop.Conn
	id       session.TargetID
	address  string
	database core.DatabaseName
	state    chart.State
	timeout  timerq.Item[func()]
	gone     bool
	// reason is why the connection ends, for the log.
	reason string

	mechanisms []string
	proof      *wire.ScramProof
	accepted   bool
	reply      string
	process32  uint32
	secret     []byte

	statements statements
	// exchange is the request in progress, nil on an idle connection.
	exchange *exchange
	// cancels counts the cancel requests on their way. A request waits for
	// them, so that a late one does not hit the next request.
	cancels int
	// deferred is the request that waits for cancels.
	deferred *session.TargetSend
	// paused is what session asked for; stalled is set while the session
	// ring has no room.
	paused  bool
	stalled bool
}

// Opened implements netloop.Handler.
func (t *target) Opened(*netloop.Conn) {
	t.fire(t.duty.startup.connected)
}

// Drained implements netloop.Handler.
func (t *target) Drained(*netloop.Conn) {}

// Data implements netloop.Handler.
func (t *target) Data(*netloop.Conn) {
	t.process()
}

// Closed implements netloop.Handler.
func (t *target) Closed(_ *netloop.Conn, err error) {
	started := t.state == t.duty.startup.open
	t.gone = true
	t.fire(t.duty.startup.lost)
	t.duty.Timers.Disarm(&t.timeout)
	delete(t.duty.targets, t.id)
	t.duty.counts.open.Add(-1)
	if !started {
		t.duty.counts.refused.Add(1)
	}
	t.duty.Outbox.Push(session.TargetClosed{
		Target:  t.id,
		Unsent:  t.exchange == nil || !t.exchange.written,
		Reason:  t.closeReason(err),
		Refused: !started,
	})
}

func (t *target) closeReason(err error) string {
	if t.reason != "" {
		return t.reason
	}
	if err == nil || err == io.EOF {
		return "the member closed the connection"
	}
	return err.Error()
}

// fail closes the connection.
func (t *target) fail(reason string) {
	if t.gone {
		return
	}
	t.reason = reason
	t.conn.Close()
}

// terminate closes the connection at the request of session. An idle member is
// told, so that it does not log a lost connection.
func (t *target) terminate() {
	if t.state == t.duty.startup.open && t.exchange == nil {
		t.conn.Write(wire.Append(nil, &pgproto3.Terminate{}))
	}
	t.fail("closed by the proxy")
}

// process consumes the complete frames that are buffered.
func (t *target) process() {
	if t.duty.Outbox.Blocked() {
		t.stall()
		return
	}
	if t.gone || t.paused {
		return
	}
	buf := t.conn.Buffered()
	used := 0
	for !t.gone {
		frame, complete, err := wire.Next(buf[used:], t.duty.config.MaxFrame)
		if err != nil {
			t.passOn()
			t.fail(err.Error())
			return
		}
		if !complete {
			break
		}
		used += len(frame.Raw)
		t.frame(frame)
	}
	if t.gone {
		return
	}
	t.passOn()
	if used > 0 {
		t.conn.Discard(used)
	}
}

func (t *target) frame(f wire.Frame) {
	if t.state != t.duty.startup.open {
		t.startupFrame(f)
		return
	}
	if t.exchange == nil {
		// Notices and parameter changes of an idle connection belong to no caller.
		return
	}
	t.exchangeFrame(f)
}

// passOn reports the result frames gathered so far.
func (t *target) passOn() {
	if t.exchange == nil || len(t.exchange.gathered) == 0 {
		return
	}
	frames := t.exchange.gathered
	t.exchange.gathered = nil
	t.duty.Outbox.Push(session.TargetData{Target: t.id, Frames: frames})
}

// stall stops reading until the session ring has room.
func (t *target) stall() {
	if t.gone || t.stalled {
		return
	}
	t.stalled = true
	t.duty.Stall(t.resume)
	t.balance()
}

// resume reads the socket again once the session ring has room.
func (t *target) resume() {
	t.stalled = false
	t.balance()
	t.process()
}

func (t *target) setPaused(paused bool) {
	t.paused = paused
	t.balance()
	if !paused {
		t.process()
	}
}

func (t *target) balance() {
	if t.gone {
		return
	}
	if t.paused || t.stalled {
		t.conn.PauseRead()
		return
	}
	t.conn.ResumeRead()
}

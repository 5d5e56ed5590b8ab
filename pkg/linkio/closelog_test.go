package linkio

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// nextLog returns the next log line.
func (h *harness) nextLog() CallerLog {
	select {
	case l := <-h.logs:
		return l
	case <-time.After(10 * time.Second):
		require.Fail(h.t, "no log line")
		return CallerLog{}
	}
}

// openRequest opens a caller whose request waits for its answer.
func (h *harness) openRequest(request string) (session.CallerID, net.Conn) {
	conn := h.dial()
	write(h.t, conn, "entry\n"+request+"\n")
	caller := h.next().(session.CallerOpened).Caller
	h.send(session.CallerAdmitted{Caller: caller})
	expect(h.t, conn, "hello\n")
	require.Equal(h.t, request, h.next().(session.CallerRequest).Request.Payload.ID)
	return caller, conn
}

// Guards against a connection that ends before its request is answered without a log line
// that tells who ended it and in which state. Issue 30 could not be traced for this reason.
func TestUnansweredRequestIsLogged(t *testing.T) {
	h := startHarness(t)
	_, conn := h.openRequest("left")
	require.NoError(t, conn.Close())
	line := h.nextLog()
	require.Equal(t, EventRequestUnanswered, line.Event)
	require.False(t, line.Warning)
	require.Equal(t, "peer", line.Fields["closed_by"])
	require.Equal(t, "waiting", line.Fields["state"])
	require.Equal(t, "left", line.Fields["request"])
	require.NotContains(t, line.Fields, "since_stop_ms")
	h.next()

	dismissed, conn := h.openRequest("dismissed")
	h.send(session.CallerClose{Caller: dismissed, Refusal: core.NotRun("reason", "text")})
	expect(t, conn, "refuse text\n")
	require.NoError(t, conn.Close())
	line = h.nextLog()
	require.False(t, line.Warning)
	require.Equal(t, "refusal", line.Fields["closed_by"])
	require.Equal(t, "reason", line.Fields["reason"])
	require.Equal(t, "dismissed", line.Fields["request"])
	require.Zero(t, line.Fields["answer_bytes"])
	h.send(session.CallerReply{Caller: dismissed})

	ended, conn := h.openRequest("ended")
	h.send(session.CallerClose{Caller: ended})
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, conn.Close())
	line = h.nextLog()
	require.True(t, line.Warning)
	require.Equal(t, "session", line.Fields["closed_by"])

	h.openRequest("stopped")
	h.stop()
	line = h.nextLog()
	require.Equal(t, "stop", line.Fields["closed_by"])
	require.Equal(t, "stopped", line.Fields["request"])
	require.Contains(t, line.Fields, "since_stop_ms")
	end := h.nextLog()
	require.Equal(t, EventCallerSocketsClosed, end.Event)
	require.Equal(t, 1, end.Fields["unanswered"])
	require.Equal(t, uint64(1), end.Fields["late_answers"])
	counts := h.duty.CloseCounts()
	require.Equal(t, map[string]uint64{"peer": 1, "session": 1, "refusal": 1, "stop": 1, "quit": 0, "violation": 0, "timeout": 0}, counts.Unanswered)
}

// Guards against answered requests whose connection closes with undelivered data and no log
// line, and against lines about connections that ended with everything delivered.
func TestUndeliveredDataIsLogged(t *testing.T) {
	h := startHarness(t)
	quiet, conn := h.openRequest("quiet")
	h.send(session.CallerReply{Caller: quiet})
	write(t, conn, "quit\n")
	require.Equal(t, session.CallerClosed{Caller: quiet}, h.next())
	caller, _ := h.openRequest("slow")
	h.send(session.CallerWrite{Caller: caller, Frames: make([]byte, 32<<20), Done: true, TxStatus: session.TxIdle})
	h.stop()
	line := h.nextLog()
	require.Equal(t, EventCallerDataLost, line.Event, "%v", line)
	require.Equal(t, "slow", line.Fields["request"])
	require.Positive(t, line.Fields["unsent_bytes"])
	require.Equal(t, EventCallerSocketsClosed, h.nextLog().Event)
}

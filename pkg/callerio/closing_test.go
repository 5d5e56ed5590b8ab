package callerio

import (
	"bytes"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// openSlowCaller returns an admitted caller whose kernel takes only a few KB that it has not
// read. Its request, followed by the given messages, waits for its answer.
func (h *harness) openSlowCaller(further ...pgproto3.FrontendMessage) *testCaller {
	const receiveBuffer = 4 << 10
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	conn, err := dialer.Dial("tcp", h.duty.Address().String())
	require.NoError(h.t, err)
	h.t.Cleanup(func() { conn.Close() })
	require.NoError(h.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	tc := &testCaller{t: h.t, conn: conn, frontend: pgproto3.NewFrontend(conn, conn), parameters: map[string]string{}}
	tc.write(startupMessage("roads", "public"))
	tc.id = expectEvent[session.CallerOpened](h).Caller
	h.sendCommand(session.CallerAdmitted{Caller: tc.id})
	tc.awaitReady()
	tc.write(append([]pgproto3.FrontendMessage{&pgproto3.Query{String: "select 1"}}, further...)...)
	expectEvent[session.CallerRequest](h)
	return tc
}

// longRow is larger than what the kernel of a slow caller takes and smaller than what the
// kernel of the duty takes at once.
func longRow() *pgproto3.DataRow {
	return &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte{'x'}, 256<<10)}}
}

// Guards against a session's end that drops the last answer: closing a socket with unread
// input, or one that receives further input, makes the kernel send a reset and drop what it
// has not sent (issue 30).
func TestClosedCallerGetsItsWholeAnswer(t *testing.T) {
	t.Run("input is unread", func(t *testing.T) {
		h := start(t, Config{InputHighWaterBytes: 1 << 10}, 64)
		further := make([]pgproto3.FrontendMessage, 32)
		for i := range further {
			further[i] = &pgproto3.Query{String: "select '" + string(bytes.Repeat([]byte{'y'}, 8<<10)) + "'"}
		}
		tc := h.openSlowCaller(further...)
		h.answerRequest(tc.id, longRow())
		expectEvent[session.CallerRequest](h)
		h.sendCommand(session.CallerClose{Caller: tc.id, Refusal: core.NotRun(core.ReasonStopping, "stopping")})
		time.Sleep(50 * time.Millisecond)
		requireLongAnswer(tc)
	})
	t.Run("input arrives after the close", func(t *testing.T) {
		h := start(t, Config{}, 64)
		tc := h.openSlowCaller()
		h.answerRequest(tc.id, longRow())
		h.sendCommand(session.CallerClose{Caller: tc.id, Refusal: core.NotRun(core.ReasonStopping, "stopping")})
		time.Sleep(50 * time.Millisecond)
		tc.write(&pgproto3.Query{String: "select 2"})
		time.Sleep(50 * time.Millisecond)
		requireLongAnswer(tc)
	})
}

// Guards against a caller that loses the answer to its last request because it has already
// sent the end of its session.
func TestQuitAfterARequest(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.openSlowCaller(&pgproto3.Terminate{})
	h.answerRequest(tc.id, longRow(), longRow(), longRow(), longRow(), longRow(), longRow(), longRow(), longRow(),
		longRow(), longRow(), longRow(), longRow(), longRow(), longRow(), longRow(), longRow())
	time.Sleep(50 * time.Millisecond)
	for range 16 {
		receive[*pgproto3.DataRow](tc)
	}
	receive[*pgproto3.ReadyForQuery](tc)
}

// requireLongAnswer requires the whole answer, then the refusal and the end.
func requireLongAnswer(tc *testCaller) {
	tc.t.Helper()
	receive[*pgproto3.DataRow](tc)
	receive[*pgproto3.ReadyForQuery](tc)
	require.Equal(tc.t, "FATAL", receive[*pgproto3.ErrorResponse](tc).Severity)
	_, err := tc.frontend.Receive()
	require.Error(tc.t, err)
	require.NoError(tc.t, tc.conn.Close())
}

// Guards against connections that stay open because their callers never close them, and against
// a stop that waits for them as long as for unsent output.
func TestCallerThatDoesNotCloseIsClosed(t *testing.T) {
	closed := func(h *harness) func() bool { return func() bool { return h.duty.Stats().Open == 0 } }
	t.Run("refused", func(t *testing.T) {
		h := start(t, Config{FlushTimeout: time.Hour, PeerCloseTimeout: 50 * time.Millisecond}, 64)
		h.sendCommand(session.CallerClose{Caller: h.openCaller().id})
		require.Eventually(t, closed(h), testTimeout, time.Millisecond)
	})
	t.Run("may be sending", func(t *testing.T) {
		h := start(t, Config{FlushTimeout: time.Hour, PeerCloseTimeout: 10 * time.Millisecond}, 64)
		_, err := h.openCaller().conn.Write([]byte{'Q', 0, 0, 4, 1})
		require.NoError(t, err)
		require.Never(t, closed(h), 100*time.Millisecond, time.Millisecond)
		h.duty.Stop()
		require.Eventually(t, closed(h), testTimeout, time.Millisecond)
	})
}

package linkio

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// slowCaller is a caller whose kernel takes only a few KB that it has not read.
func (h *harness) slowCaller() net.Conn {
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
	require.NoError(h.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

// answerSize is the size of a result that the kernel of the duty takes at once and the
// kernel of a slow caller doesn't.
const answerSize = 256 << 10

// admit returns a slow caller whose first request waits for its answer.
func (h *harness) admit(input string) (session.CallerID, net.Conn) {
	conn := h.slowCaller()
	write(h.t, conn, "entry\none\n"+input)
	caller := h.next().(session.CallerOpened).Caller
	h.send(session.CallerAdmitted{Caller: caller})
	require.Equal(h.t, "one", h.next().(session.CallerRequest).Request.Payload.ID)
	return caller, conn
}

// answer completes the request with a long result.
func (h *harness) answer(caller session.CallerID) {
	frames := []byte(strings.Repeat("r", answerSize))
	h.send(session.CallerWrite{Caller: caller, Frames: frames, Done: true, TxStatus: session.TxIdle})
}

// requireAnswer reads up to the end of the connection and requires the whole long answer.
func requireAnswer(t *testing.T, conn net.Conn, rest string) {
	t.Helper()
	got, err := io.ReadAll(conn)
	require.NoError(t, err, "after %d bytes", len(got))
	require.Equal(t, len("hello\n")+answerSize+len("end\n")+len(rest), len(got))
	require.Equal(t, "end\n"+rest, string(got[len(got)-len("end\n")-len(rest):]))
}

// Guards against a session's end that drops the last answer: closing a socket with unread
// input, or one that receives further input, makes the kernel send a reset and drop what it
// has not sent (issue 30).
func TestClosedCallerGetsItsWholeAnswer(t *testing.T) {
	t.Run("input is unread", func(t *testing.T) {
		h := startHarness(t)
		defer h.stop()
		// More than MaxInputBytes, so the duty stops reading.
		caller, conn := h.admit(strings.Repeat("further request\n", 8<<10))
		h.answer(caller)
		h.next()
		h.send(session.CallerClose{Caller: caller, Refusal: core.NotRun("x", "no")})
		time.Sleep(50 * time.Millisecond)
		requireAnswer(t, conn, "refuse no\n")
	})
	t.Run("input arrives after the close", func(t *testing.T) {
		h := startHarness(t)
		defer h.stop()
		caller, conn := h.admit("")
		h.answer(caller)
		h.send(session.CallerClose{Caller: caller})
		time.Sleep(50 * time.Millisecond)
		write(t, conn, "late\n")
		time.Sleep(50 * time.Millisecond)
		requireAnswer(t, conn, "")
	})
	t.Run("invalid input", func(t *testing.T) {
		h := startHarness(t)
		defer h.stop()
		caller, conn := h.admit("bad\n" + strings.Repeat("more\n", 32<<10))
		h.answer(caller)
		time.Sleep(50 * time.Millisecond)
		requireAnswer(t, conn, "violation\n")
	})
}

// Guards against a stop that drops the last answer of a caller whose session is still open.
func TestStopSendsTheWholeAnswer(t *testing.T) {
	h := startHarnessWith(t, 64, func(c *CallerConfig) { c.FlushTimeout = time.Minute })
	caller, conn := h.admit("")
	h.answer(caller)
	h.duty.Stop()
	time.Sleep(50 * time.Millisecond)
	_, _ = conn.Write([]byte("late\n"))
	time.Sleep(50 * time.Millisecond)
	requireAnswer(t, conn, "")
	require.NoError(t, conn.Close())
	h.stop()
}

// Guards against a stop that overtakes the answer to a request: the duty of the session ends
// after the one of the sockets, and its last commands may arrive after the stop has begun.
func TestStopWaitsForAnAnswer(t *testing.T) {
	h := startHarnessWith(t, 64, func(c *CallerConfig) { c.FlushTimeout = time.Minute })
	caller, conn := h.admit("")
	h.duty.Stop()
	time.Sleep(50 * time.Millisecond)
	h.answer(caller)
	requireAnswer(t, conn, "")
	require.NoError(t, conn.Close())
	h.stop()
}

// Guards against connections that stay open, and count against MaxCallers, because their
// callers never close them.
func TestCallerThatDoesNotCloseIsClosed(t *testing.T) {
	t.Run("reads its answer", func(t *testing.T) {
		h := startHarnessWith(t, 64, func(c *CallerConfig) { c.PeerClose = 50 * time.Millisecond })
		defer h.stop()
		caller, conn := h.admit("")
		h.answer(caller)
		h.send(session.CallerClose{Caller: caller})
		requireAnswer(t, conn, "")
		require.Eventually(t, func() bool { return h.duty.Open() == 0 }, 10*time.Second, time.Millisecond)
	})
	t.Run("does not read its answer", func(t *testing.T) {
		h := startHarnessWith(t, 64, func(c *CallerConfig) { c.Flush = 50 * time.Millisecond })
		defer h.stop()
		caller, _ := h.admit("")
		h.send(session.CallerWrite{Caller: caller, Frames: make([]byte, 32<<20), Done: true, TxStatus: session.TxIdle})
		h.send(session.CallerClose{Caller: caller})
		require.Eventually(t, func() bool { return h.duty.Open() == 0 }, 10*time.Second, time.Millisecond)
	})
	t.Run("has quit", func(t *testing.T) {
		h := startHarness(t)
		defer h.stop()
		caller, conn := h.openRequest("one")
		h.send(session.CallerReply{Caller: caller})
		write(t, conn, "quit\n")
		require.Eventually(t, func() bool { return h.duty.Open() == 0 }, 10*time.Second, time.Millisecond)
	})
}

// Guards against a request that has arrived before its session is closed and gets no answer. The
// caller then cannot tell that the request did not run.
func TestArrivedRequestIsAnsweredAtTheClose(t *testing.T) {
	blocked, release := make(chan struct{}), make(chan struct{})
	h := startHarnessWith(t, 64, func(c *CallerConfig) {
		c.Log = func(l CallerLog) {
			if l.Fields["closed_by"] == "peer" {
				close(blocked)
				<-release
			}
		}
	})
	defer h.stop()
	idle, conn := h.openRequest("one")
	h.send(session.CallerReply{Caller: idle})
	expect(t, conn, "reply\n")
	// The log line of this connection holds the thread of the duty until both the request and
	// the command have arrived.
	_, other := h.openRequest("other")
	require.NoError(t, other.Close())
	<-blocked
	write(t, conn, "two\n")
	h.send(session.CallerClose{Caller: idle, Refusal: core.NotRun("x", "no")})
	close(release)
	expect(t, conn, "refuse no\n")
	require.NoError(t, conn.Close())
}

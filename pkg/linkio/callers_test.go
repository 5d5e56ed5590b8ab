package linkio

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// lineCodec is a protocol of text lines: the first line opens the session, "quit"
// ends it, "local" is answered by the codec, "bad" is invalid, and any other line is
// a request.
type lineCodec struct{ started bool }

func (c *lineCodec) Decode(b []byte, _ byte) (CallerMessage, int, error) {
	line, _, found := strings.Cut(string(b), "\n")
	if !found {
		return nil, 0, nil
	}
	n := len(line) + 1
	switch {
	case line == "bad":
		return nil, 0, &ViolationError{Reason: "bad", Reply: []byte("violation\n")}
	case line == "quit":
		return Quit{}, n, nil
	case !c.started:
		c.started = true
		return Startup{Entry: core.EntryName(line)}, n, nil
	case line == "local":
		return LocalReply{Reply: []byte("here\n")}, n, nil
	}
	return Request{Request: &session.Request{Payload: &session.Payload{ID: line}}}, n, nil
}

func (c *lineCodec) StartupReply() []byte                    { return []byte("hello\n") }
func (c *lineCodec) ResultEnd(byte) []byte                   { return []byte("end\n") }
func (c *lineCodec) EmptyResult(byte) []byte                 { return []byte("reply\n") }
func (c *lineCodec) RequestError(*core.Refusal, byte) []byte { return []byte("fail\n") }
func (c *lineCodec) SessionError(r *core.Refusal) []byte     { return []byte("refuse " + r.Message + "\n") }

// harness is a running duty and the ring to which it pushes inputs for session.
type harness struct {
	t      *testing.T
	duty   *Callers
	events *ring.Ring[session.Input]
	signal *ring.Signal
	done   chan error
	logs   chan CallerLog
}

func startHarness(t *testing.T) *harness { return startHarnessWithRing(t, 64) }

// startHarnessWithRing runs a duty whose ring to session has the given capacity.
func startHarnessWithRing(t *testing.T, capacity int) *harness {
	return startHarnessWith(t, capacity, func(*CallerConfig) {})
}

// startHarnessWith runs a duty whose configuration is changed by change.
func startHarnessWith(t *testing.T, capacity int, change func(*CallerConfig)) *harness {
	h := &harness{t: t, signal: ring.NewSignal(), done: make(chan error, 1), logs: make(chan CallerLog, 64)}
	h.events = ring.New[session.Input](capacity, h.signal)
	definition, err := charts.Load("link_caller")
	require.NoError(t, err)
	config := CallerConfig{
		Address: "127.0.0.1:0", RingCapacity: 64, MaxCallers: 10, MaxInputBytes: 1 << 10,
		Startup: time.Minute, Admission: time.Minute, Flush: time.Minute, PeerClose: time.Minute,
		FlushTimeout: 300 * time.Millisecond,
		NewCodec:     func() CallerCodec { return &lineCodec{} },
		Log:          func(l CallerLog) { h.logs <- l },
	}
	change(&config)
	h.duty, err = NewCallers(config, definition, h.events)
	require.NoError(t, err)
	go func() { h.done <- h.duty.Run() }()
	return h
}

// stop requires that the duty ends without an error.
func (h *harness) stop() {
	h.duty.Stop()
	select {
	case err := <-h.done:
		require.NoError(h.t, err)
	case <-time.After(10 * time.Second):
		require.Fail(h.t, "the duty did not stop")
	}
}

// next returns the next input for session.
func (h *harness) next() session.Input {
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if in, ok := h.events.Pop(); ok {
			return in
		}
		if h.events.Park() {
			h.signal.Wait(time.Second)
			h.events.Unpark()
		}
	}
	require.Fail(h.t, "no input arrived")
	return nil
}

func (h *harness) send(c session.CallerCommand) {
	require.True(h.t, h.duty.Commands.TryPush(c))
}

func (h *harness) dial() net.Conn {
	conn, err := net.Dial("tcp", h.duty.Address().String())
	require.NoError(h.t, err)
	h.t.Cleanup(func() { conn.Close() })
	require.NoError(h.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	_, err := conn.Write([]byte(text))
	require.NoError(t, err)
}

func expect(t *testing.T, conn net.Conn, want string) {
	got := make([]byte, len(want))
	_, err := io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, want, string(got))
}

// Guards against answers out of order, pipelined requests that overtake each
// other, and a closed connection that is not reported to session.
func TestCallerConversation(t *testing.T) {
	h := startHarness(t)
	defer h.stop()
	conn := h.dial()
	write(t, conn, "entry\none\ntwo\nlocal\n")
	opened := h.next().(session.CallerOpened)
	require.Equal(t, core.EntryName("entry"), opened.Entry)
	h.send(session.CallerAdmitted{Caller: opened.Caller})
	expect(t, conn, "hello\n")
	require.Equal(t, "one", h.next().(session.CallerRequest).Request.Payload.ID)
	require.Zero(t, h.events.Len(), "the second request waits for the first answer")
	h.send(session.CallerWrite{Caller: opened.Caller, Frames: []byte("rows\n"), Done: true, TxStatus: session.TxIdle})
	require.Equal(t, "two", h.next().(session.CallerRequest).Request.Payload.ID)
	h.send(session.CallerError{Caller: opened.Caller, Refusal: core.NotRun("x", "y"), TxStatus: session.TxIdle})
	expect(t, conn, "rows\nend\nfail\nhere\n")
	write(t, conn, "quit\n")
	require.Equal(t, session.CallerClosed{Caller: opened.Caller}, h.next())
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against invalid input on one connection that affects another.
func TestViolationClosesItsOwnConnection(t *testing.T) {
	h := startHarness(t)
	defer h.stop()
	good, bad := h.dial(), h.dial()
	write(t, good, "entry\n")
	opened := h.next().(session.CallerOpened)
	write(t, bad, "bad\n")
	expect(t, bad, "violation\n")
	_, err := bad.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	h.send(session.CallerAdmitted{Caller: opened.Caller})
	expect(t, good, "hello\n")
}

// Guards against closing a refused caller's connection without sending the reason.
func TestDismissedCallerIsTold(t *testing.T) {
	h := startHarness(t)
	defer h.stop()
	conn := h.dial()
	write(t, conn, "entry\n")
	opened := h.next().(session.CallerOpened)
	h.send(session.CallerClose{Caller: opened.Caller, Refusal: core.NotRun("x", "no")})
	expect(t, conn, "refuse no\n")
}

// Guards against a stop that waits for a caller which does not read its answer. In
// incident vejtrae-pool inc-65b8, the processes of a rolling restart were killed at
// the end of their grace time for this reason.
func TestStopIsBounded(t *testing.T) {
	h := startHarness(t)
	conn := h.dial()
	write(t, conn, "entry\none\n")
	opened := h.next().(session.CallerOpened)
	h.send(session.CallerAdmitted{Caller: opened.Caller})
	h.next()
	h.send(session.CallerWrite{Caller: opened.Caller, Frames: make([]byte, 32<<20), Done: true, TxStatus: session.TxIdle})
	expect(t, conn, "hello\n")
	h.stop()
}

// Guards against callers whose messages are lost, or whose connections are never read
// again, because the ring to session was full when the messages arrived.
func TestFullSessionRing(t *testing.T) {
	const callers, capacity = 8, 2
	h := startHarnessWithRing(t, capacity)
	defer h.stop()
	for i := range callers {
		write(t, h.dial(), fmt.Sprintf("entry%d\n", i))
	}
	require.Eventually(t, func() bool { return h.events.Len() == capacity }, 10*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	seen := map[core.EntryName]bool{}
	for range callers {
		seen[h.next().(session.CallerOpened).Entry] = true
	}
	require.Len(t, seen, callers)
}

// Guards against a process that ends because of a connection beyond MaxCallers: the
// connection is closed in accept, before netloop has a handler to notify of the close.
func TestConnectionBeyondTheLimitIsClosed(t *testing.T) {
	h := startHarness(t)
	for range h.duty.config.MaxCallers {
		h.dial()
	}
	_, err := h.dial().Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection stayed open")
	h.stop()
}

package netloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const testPoll = 10 * time.Millisecond

type recorder struct {
	opened, flushed, closed bool
	err                     error
	data                    func(c *Conn)
}

func (r *recorder) Opened(*Conn)  { r.opened = true }
func (r *recorder) Flushed(*Conn) { r.flushed = true }

func (r *recorder) Data(c *Conn) {
	if r.data != nil {
		r.data(c)
	}
}

func (r *recorder) Closed(_ *Conn, err error) {
	r.closed = true
	r.err = err
}

func pollUntil(t *testing.T, l *Loop, done func() bool) {
	t.Helper()
	for range 2000 {
		if done() {
			return
		}
		require.NoError(t, l.Poll(testPoll))
	}
	t.Fatal("the loop did not reach the expected state")
}

func newLoop(t *testing.T) *Loop {
	l, err := New()
	require.NoError(t, err)
	t.Cleanup(l.Close)
	return l
}

// Guards against bytes that are lost or reordered after partial writes.
func TestLargeEchoWithPartialWrites(t *testing.T) {
	l := newLoop(t)
	address, err := l.Listen("127.0.0.1:0", func(*Conn) Handler {
		return &recorder{data: func(c *Conn) {
			c.Write(c.Buffered())
			c.Discard(len(c.Buffered()))
		}}
	})
	require.NoError(t, err)
	var got []byte
	client := &recorder{data: func(c *Conn) {
		got = append(got, c.Buffered()...)
		c.Discard(len(c.Buffered()))
	}}
	c, err := l.Connect(address.String(), client)
	require.NoError(t, err)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	c.Write(sent)
	pollUntil(t, l, func() bool { return len(got) == len(sent) })
	require.True(t, bytes.Equal(sent, got))
	require.True(t, client.opened)
}

// Guards against reading from a paused socket.
func TestPauseStopsReading(t *testing.T) {
	l := newLoop(t)
	var server *Conn
	received := 0
	address, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		server = c
		return &recorder{data: func(c *Conn) { received = len(c.Buffered()) }}
	})
	require.NoError(t, err)
	c, err := l.Connect(address.String(), &recorder{})
	require.NoError(t, err)
	pollUntil(t, l, func() bool { return server != nil })
	server.PauseRead()
	c.Write([]byte("hello"))
	for range 5 {
		require.NoError(t, l.Poll(testPoll))
	}
	require.Zero(t, received)
	server.ResumeRead()
	pollUntil(t, l, func() bool { return received == 5 })
}

// Guards against a refused connection that is reported as established, and against
// a close by the peer that is not reported.
func TestCloseIsReportedOnce(t *testing.T) {
	l := newLoop(t)
	address, err := l.Listen("127.0.0.1:0", func(*Conn) Handler {
		return &recorder{data: func(c *Conn) {
			c.Write([]byte("bye"))
			c.CloseAfterFlush()
		}}
	})
	require.NoError(t, err)
	client := &recorder{}
	c, err := l.Connect(address.String(), client)
	require.NoError(t, err)
	c.Write([]byte("x"))
	pollUntil(t, l, func() bool { return client.closed })
	require.ErrorIs(t, client.err, io.EOF)
	l.CloseListeners()
	refused := &recorder{}
	_, err = l.Connect(address.String(), refused)
	if err == nil {
		pollUntil(t, l, func() bool { return refused.closed })
		err = refused.err
	}
	require.True(t, errors.Is(err, unix.ECONNREFUSED))
	require.False(t, refused.opened)
}

// Guards against a spinning loop and a hanging client when the process has no
// descriptor left for a new connection.
func TestConnectionsBeyondTheDescriptorLimitAreClosed(t *testing.T) {
	l := newLoop(t)
	address, err := l.Listen("127.0.0.1:0", func(*Conn) Handler { return &recorder{} })
	require.NoError(t, err)
	client := &recorder{}
	_, err = l.Connect(address.String(), client)
	require.NoError(t, err)
	var original unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &original))
	limit := unix.Rlimit{Cur: uint64(l.reserveFD) + 1, Max: original.Max}
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &limit))
	defer func() { require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &original)) }()
	pollUntil(t, l, func() bool { return client.closed })
	require.EqualValues(t, 1, l.Refused())
}

// Guards against a wake-up that is lost while the loop waits.
func TestWakeEndsPoll(t *testing.T) {
	l := newLoop(t)
	go l.Wake()
	start := time.Now()
	require.NoError(t, l.Poll(time.Minute))
	require.Less(t, time.Since(start), time.Minute)
}

// Guards against a peer that is left without an answer or a close because its connection
// was closed between two polls: the descriptor stayed open until the next event.
func TestConnectionClosedBetweenPollsEndsAtOnce(t *testing.T) {
	l := newLoop(t)
	var server *Conn
	address, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		server = c
		return &recorder{}
	})
	require.NoError(t, err)
	peer, err := net.Dial("tcp", address.String())
	require.NoError(t, err)
	defer peer.Close()
	pollUntil(t, l, func() bool { return server != nil })
	var ended atomic.Bool
	go func() {
		_, err := peer.Read(make([]byte, 1))
		ended.Store(errors.Is(err, io.EOF))
		l.Wake()
	}()
	server.Close()
	const timeout = 10 * time.Second
	began := time.Now()
	require.NoError(t, l.Poll(timeout))
	require.Less(t, time.Since(began), timeout, "the poll is ended by the peer")
	require.True(t, ended.Load())
}

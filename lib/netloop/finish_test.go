package netloop

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startFinisher returns a connection to a peer that sends size bytes as soon as it receives
// one, and calls Finish.
func startFinisher(t *testing.T, l *Loop, size int) (client *net.TCPConn, server *recorder) {
	server = &recorder{data: func(c *Conn) {
		c.Write(bytes.Repeat([]byte("r"), size))
		c.Finish()
	}}
	address, err := l.Listen("127.0.0.1:0", func(*Conn) Handler { return server })
	require.NoError(t, err)
	conn, err := net.Dial("tcp", address.String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	client = conn.(*net.TCPConn)
	_, err = client.Write([]byte("x"))
	require.NoError(t, err)
	return client, server
}

// readAll reads up to the end of the connection on another goroutine.
func readAll(conn net.Conn) <-chan []byte {
	got := make(chan []byte, 1)
	go func() {
		all, err := io.ReadAll(conn)
		if err != nil {
			all = nil
		}
		got <- all
	}()
	return got
}

// Guards against output that is lost because a peer goes on sending, against its input reaching
// the handler, and against a connection that closes before its peer does.
func TestFinishSendsEverything(t *testing.T) {
	const size = 8 << 20
	l := newLoop(t)
	client, server := startFinisher(t, l, size)
	calls := 0
	data := server.data
	server.data = func(c *Conn) { calls++; data(c) }
	pollUntil(t, l, func() bool { return calls == 1 })
	_, err := client.Write(bytes.Repeat([]byte("m"), 256<<10))
	require.NoError(t, err)
	got := readAll(client)
	pollUntil(t, l, func() bool { return len(got) == 1 })
	require.Len(t, <-got, size)
	require.False(t, server.closed, "the peer has not closed")
	require.Equal(t, 1, calls)
	require.NoError(t, client.Close())
	pollUntil(t, l, func() bool { return server.closed && l.Conns() == 0 })
}

// Guards against output that is lost because the peer has already ended its own output.
func TestFinishAfterThePeersEnd(t *testing.T) {
	const size = 8 << 20
	l := newLoop(t)
	client, server := startFinisher(t, l, size)
	require.NoError(t, client.CloseWrite())
	for range 20 {
		require.NoError(t, l.Poll(testPoll))
	}
	require.False(t, server.closed)
	got := readAll(client)
	pollUntil(t, l, func() bool { return server.closed && l.Conns() == 0 })
	require.Len(t, <-got, size)
}

// Guards against a connection that stays open, or a thread that spins, after the peer has closed
// without reading the output.
func TestFinishWithAPeerThatIsGone(t *testing.T) {
	l := newLoop(t)
	client, server := startFinisher(t, l, 8<<20)
	pollUntil(t, l, func() bool { return l.Conns() == 1 })
	require.NoError(t, client.Close())
	pollUntil(t, l, func() bool { return server.closed && l.Conns() == 0 })
}

// Guards against a request that is read and never answered because it arrives after the end of
// the output: its sender can conclude nothing from the close.
func TestFinishLeavesLaterInputUnread(t *testing.T) {
	l := newLoop(t)
	var conn *Conn
	client, server := startFinisher(t, l, 1)
	finish := server.data
	server.data = func(c *Conn) { conn = c; finish(c) }
	pollUntil(t, l, func() bool { return conn != nil })
	_, err := client.Write([]byte("late"))
	require.NoError(t, err)
	pollUntil(t, l, func() bool { return conn.Residue().Unread == len("late") })
	for range 20 {
		require.NoError(t, l.Poll(testPoll))
	}
	require.Equal(t, len("late"), conn.Residue().Unread)
	require.NoError(t, client.Close())
	pollUntil(t, l, func() bool { return server.closed && l.Conns() == 0 })
}

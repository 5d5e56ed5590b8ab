package netloop

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an end of the output that also ends the input, or that the peer does
// not see.
func TestShutdownWriteKeepsReading(t *testing.T) {
	l := newLoop(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client := &recorder{}
	c, err := l.Connect(listener.Addr().String(), client)
	require.NoError(t, err)
	c.Write([]byte("last"))
	pollUntil(t, l, func() bool { return client.opened && c.Pending() == 0 })
	c.ShutdownWrite()
	peer, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(10*time.Second)))
	input, err := io.ReadAll(peer)
	require.NoError(t, err)
	require.Equal(t, "last", string(input))
	_, err = peer.Write([]byte("more"))
	require.NoError(t, err)
	pollUntil(t, l, func() bool { return string(c.Buffered()) == "more" })
	require.False(t, client.closed)
	require.NoError(t, peer.Close())
	pollUntil(t, l, func() bool { return client.closed })
	require.ErrorIs(t, client.err, io.EOF)
}

// Guards against connections that are left in the queue of a listener, where a close of
// the listener resets them.
func TestAcceptPendingEmptiesTheQueue(t *testing.T) {
	l := newLoop(t)
	accepted := 0
	address, err := l.Listen("127.0.0.1:0", func(*Conn) Handler {
		accepted++
		return &recorder{}
	})
	require.NoError(t, err)
	for range acceptBatch + 10 {
		peer, err := net.Dial("tcp", address.String())
		require.NoError(t, err)
		defer peer.Close()
	}
	l.AcceptPending()
	require.Equal(t, acceptBatch+10, accepted)
}

package rpc

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
)

// testFlushTimeout is long enough for a busy machine; a passing test never waits for it.
const testFlushTimeout = callTimeout

// requestLog holds the requests of a server whose replies the test sends itself.
type requestLog struct {
	mu       sync.Mutex
	requests []Request
}

// hold records a request and sends no reply.
func (l *requestLog) hold(r Request) []Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
	return nil
}

// first waits for the first request.
func (l *requestLog) first(t *testing.T) Request {
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.requests) > 0
	}, callTimeout, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[0]
}

// startOneAtATime starts a server that accepts one unanswered request of a connection and
// leaves the others unread.
func startOneAtATime(t *testing.T) (*endpoint, *requestLog) {
	config := DefaultConfig()
	config.MaxCallsPerConn = 1
	config.FlushTimeout = testFlushTimeout
	log := &requestLog{}
	return start(t, config, log.hold), log
}

// Guards against calls that are reported as possibly executed although the stopping peer
// has not accepted them, and against a lost reply to a call that it has accepted.
func TestStopTellsWhichCallsWereAccepted(t *testing.T) {
	server, log := startOneAtATime(t)
	client := start(t, DefaultConfig(), noReply)
	for _, tag := range []string{"accepted", "unread"} {
		require.True(t, client.Send(Call{Tag: tag, Address: server.address, Method: "echo", Params: tag, Timeout: callTimeout}))
	}
	accepted := log.first(t)
	require.True(t, server.Send(Stop{}))
	unread := client.next(t)
	require.Equal(t, "unread", unread.Tag)
	require.ErrorAs(t, unread.Err, new(*NotAcceptedError))
	require.True(t, server.Send(echo(accepted)[0]))
	result := client.next(t)
	require.NoError(t, result.Err)
	require.Equal(t, `"accepted"`, string(result.Raw))
	refused := client.callAndWait(t, Call{Address: server.address, Method: "echo"})
	require.ErrorAs(t, refused.Err, new(*RefusedError), "later calls use a new connection")
	require.EqualValues(t, 1, server.seen.Load())
}

// dialSmall returns a connection to address with a small receive buffer.
func dialSmall(t *testing.T, address string) *net.TCPConn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	tcp := conn.(*net.TCPConn)
	require.NoError(t, tcp.SetReadBuffer(16<<10))
	require.NoError(t, tcp.SetReadDeadline(time.Now().Add(callTimeout)))
	return tcp
}

// writeCall writes a call as an older instance sends it.
func writeCall(t *testing.T, w io.Writer, id int64, params any) {
	call, err := jsonrpc2.NewCall(jsonrpc2.Int64ID(id), "echo", params)
	require.NoError(t, err)
	frame, err := Append(nil, call)
	require.NoError(t, err)
	_, err = w.Write(frame)
	require.NoError(t, err)
}

// readResponses reads the responses of a connection until its end. It fails for any other
// message, at which an older instance closes the connection.
func readResponses(t *testing.T, r io.Reader) []*jsonrpc2.Response {
	var buffer []byte
	var responses []*jsonrpc2.Response
	reader := bufio.NewReader(r)
	chunk := make([]byte, 16<<10)
	for {
		n, err := reader.Read(chunk)
		buffer = append(buffer, chunk[:n]...)
		for {
			message, length, decodeErr := Decode(buffer)
			require.NoError(t, decodeErr)
			if length == 0 {
				break
			}
			buffer = buffer[length:]
			response, ok := message.(*jsonrpc2.Response)
			require.True(t, ok, "%#v", message)
			responses = append(responses, response)
		}
		if errors.Is(err, io.EOF) {
			require.Empty(t, buffer)
			return responses
		}
		require.NoError(t, err)
	}
}

// Guards against a goAway that an older instance would take for the response to one of
// its calls or for invalid input, and against a request of such an instance that is
// neither accepted nor rejected while the accepted ones are answered.
func TestGoAwayIsAResponseToNoCall(t *testing.T) {
	server, log := startOneAtATime(t)
	peer := dialSmall(t, server.address)
	writeCall(t, peer, 1, "accepted")
	accepted := log.first(t)
	writeCall(t, peer, 2, "late")
	require.True(t, server.Send(Stop{}))
	require.True(t, server.Send(echo(accepted)[0]))
	responses := readResponses(t, peer)
	require.GreaterOrEqual(t, len(responses), 2)
	require.Equal(t, goAwayID, responses[0].ID.Raw())
	require.JSONEq(t, `{"last_accepted":1}`, string(responses[0].Result))
	require.Equal(t, int64(1), responses[1].ID.Raw())
	require.NoError(t, responses[1].Error)
	for _, r := range responses[2:] {
		require.Equal(t, int64(2), r.ID.Raw())
		require.EqualValues(t, CodeNotAccepted, remoteError(r.Error).Code)
	}
	require.EqualValues(t, 1, server.seen.Load())
}

// Guards against a reply that is cut off at a stop: the connection is closed with unread
// input, and the kernel drops the output that it has not sent.
func TestLastReplyIsSentThoughInputIsUnread(t *testing.T) {
	server, log := startOneAtATime(t)
	peer := dialSmall(t, server.address)
	writeCall(t, peer, 1, "accepted")
	accepted := log.first(t)
	writeCall(t, peer, 2, strings.Repeat("unread", 100_000))
	large := strings.Repeat("x", 2<<20)
	require.True(t, server.Send(Reply{Conn: accepted.Conn, ID: accepted.ID, Result: large}))
	require.True(t, server.Send(Stop{}))
	// The stop begins before the peer reads.
	time.Sleep(50 * time.Millisecond)
	got := map[any]int{}
	for _, r := range readResponses(t, peer) {
		got[r.ID.Raw()] = len(r.Result)
	}
	require.Equal(t, len(large)+len(`""`), got[int64(1)])
}

// Guards against a call that is cut off at a stop, such as the one that ends a
// transaction at its home, while input is unread because the consumer is full.
func TestLastCallIsSentThoughInputIsUnread(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	config := DefaultConfig()
	config.FlushTimeout = testFlushTimeout
	client := start(t, config, noReply)
	client.full.Store(true)
	// The result of the failed call waits for the consumer, so that no socket is read.
	require.True(t, client.Send(Call{Address: "nowhere", Timeout: callTimeout}))
	large := strings.Repeat("x", 2<<20)
	require.True(t, client.Send(Call{Address: listener.Addr().String(), Method: "leave", Params: large, Timeout: callTimeout}))
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(16<<10))
	_, err = conn.Write([]byte("Content-Length: 40\r\n"))
	require.NoError(t, err)
	require.True(t, client.Send(Stop{}))
	time.Sleep(50 * time.Millisecond)
	input, err := io.ReadAll(conn)
	require.NoError(t, err)
	message, _, err := Decode(input)
	require.NoError(t, err)
	require.Len(t, message.(*jsonrpc2.Request).Params, len(large)+len(`""`))
	client.full.Store(false)
	client.Wake()
}

// Guards against a reset of connections that wait in the listener's queue when the stop
// begins: their calls would be reported as possibly executed.
func TestConnectionInTheQueueIsToldOfTheStop(t *testing.T) {
	d, err := New(DefaultConfig())
	require.NoError(t, err)
	address, err := d.Listen("127.0.0.1:0")
	require.NoError(t, err)
	peer := dialSmall(t, address.String())
	writeCall(t, peer, 7, "queued")
	require.True(t, d.Send(Stop{}))
	var group duty.Group
	group.Start("rpc", func() { d.Run(func(Event) bool { return true }) })
	responses := readResponses(t, peer)
	require.NotEmpty(t, responses)
	require.JSONEq(t, `{"last_accepted":0}`, string(responses[0].Result))
	peer.Close()
	group.Wait()
}

// Guards against a stop that waits for its bound although every peer has closed its
// connection, and against one that never ends because a peer does not.
func TestStopEndsWithThePeersOrItsBound(t *testing.T) {
	for _, closes := range []bool{true, false} {
		config := DefaultConfig()
		config.FlushTimeout = 100 * time.Millisecond
		if closes {
			config.FlushTimeout = testFlushTimeout
		}
		d, err := New(config)
		require.NoError(t, err)
		address, err := d.Listen("127.0.0.1:0")
		require.NoError(t, err)
		var group duty.Group
		group.Start("rpc", func() { d.Run(func(Event) bool { return true }) })
		peer := dialSmall(t, address.String())
		writeCall(t, peer, 1, "never answered")
		require.True(t, d.Send(Stop{}))
		if closes {
			readResponses(t, peer)
			peer.Close()
		}
		require.Nil(t, group.WaitFor(testFlushTimeout/2))
	}
}

// Guards against an accepted request that is lost at a stop because the consumer is full
// then, and against commands behind the stop that are dropped.
func TestStopHandlesPendingEventsAndCommands(t *testing.T) {
	config := DefaultConfig()
	config.FlushTimeout = testFlushTimeout
	server := start(t, config, echo)
	client := start(t, DefaultConfig(), noReply)
	other := start(t, DefaultConfig(), echo)
	server.full.Store(true)
	require.True(t, client.Send(Call{Tag: "pending", Address: server.address, Method: "echo", Timeout: callTimeout}))
	require.Eventually(t, func() bool { return server.offered.Load() > 0 }, callTimeout, time.Millisecond)
	require.True(t, server.Send(Stop{}))
	require.True(t, server.Send(Call{Address: other.address, Method: "leave", Timeout: callTimeout}))
	require.Eventually(t, func() bool { return other.seen.Load() == 1 }, callTimeout, time.Millisecond)
	server.full.Store(false)
	server.Wake()
	require.NoError(t, client.next(t).Err)
}

// Guards against two instances that stop at the same time and wait for each other until
// their bounds.
func TestBothEndsStop(t *testing.T) {
	config := DefaultConfig()
	config.FlushTimeout = testFlushTimeout
	var ends [2]*Duty
	var addresses [2]string
	var group duty.Group
	var accepted atomic.Int64
	for i := range ends {
		d, err := New(config)
		require.NoError(t, err)
		bound, err := d.Listen("127.0.0.1:0")
		require.NoError(t, err)
		ends[i], addresses[i] = d, bound.String()
	}
	for _, d := range ends {
		group.Start("rpc", func() {
			d.Run(func(e Event) bool {
				if _, ok := e.(Request); ok {
					accepted.Add(1)
				}
				return true
			})
		})
	}
	for i, d := range ends {
		require.True(t, d.Send(Call{Address: addresses[1-i], Method: "never answered", Timeout: callTimeout}))
	}
	require.Eventually(t, func() bool { return accepted.Load() == 2 }, callTimeout, time.Millisecond)
	for _, d := range ends {
		require.True(t, d.Send(Stop{}))
	}
	require.Nil(t, group.WaitFor(testFlushTimeout/2))
}

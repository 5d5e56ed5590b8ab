package rpc

import (
	"encoding/json"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/exp/jsonrpc2"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
)

// callTimeout is long enough for a busy machine; a passing test never waits for it.
const callTimeout = 30 * time.Second

// endpoint is a running duty with the results that it delivered.
type endpoint struct {
	*Duty
	address string
	results chan Result
	// full makes the consumer accept no events.
	full atomic.Bool
	// replies returns the replies to send after a request.
	replies func(Request) []Reply
	// seen counts the requests, offered the events that the full consumer has refused.
	seen    atomic.Int64
	offered atomic.Int64
}

func start(t *testing.T, config Config, replies func(Request) []Reply) *endpoint {
	d, err := New(config)
	require.NoError(t, err)
	e := &endpoint{Duty: d, results: make(chan Result, 4096), replies: replies}
	bound, err := d.Listen("127.0.0.1:0")
	require.NoError(t, err)
	e.address = bound.String()
	var group duty.Group
	group.Start("rpc", func() { d.Run(e.deliver) })
	t.Cleanup(func() {
		require.True(t, d.Send(Stop{}))
		group.Wait()
	})
	return e
}

func (e *endpoint) deliver(event Event) bool {
	if e.full.Load() {
		e.offered.Add(1)
		return false
	}
	switch v := event.(type) {
	case Result:
		e.results <- v
	case Request:
		e.seen.Add(1)
		for _, r := range e.replies(v) {
			e.Send(r)
		}
	}
	return true
}

func echo(r Request) []Reply {
	return []Reply{{Conn: r.Conn, ID: r.ID, Result: r.Params}}
}

// replyConnID replies with the ID of the connection.
func replyConnID(r Request) []Reply {
	return []Reply{{Conn: r.Conn, ID: r.ID, Result: r.Conn}}
}

// noReply sends no reply.
func noReply(Request) []Reply { return nil }

// callAndWait sends a call and returns its result.
func (e *endpoint) callAndWait(t *testing.T, c Call) Result {
	if c.Timeout == 0 {
		c.Timeout = callTimeout
	}
	require.True(t, e.Send(c))
	return e.next(t)
}

func (e *endpoint) next(t *testing.T) Result {
	select {
	case r := <-e.results:
		return r
	case <-time.After(callTimeout):
		t.Fatal("no result")
		return Result{}
	}
}

// Guards against assigning results to the wrong calls when replies arrive out of order.
func TestPipelinedCallsOutOfOrder(t *testing.T) {
	const calls = 1000
	var mu sync.Mutex
	var waiting []Reply
	server := start(t, DefaultConfig(), func(r Request) []Reply {
		mu.Lock()
		defer mu.Unlock()
		waiting = append([]Reply{echo(r)[0]}, waiting...)
		if len(waiting) < calls {
			return nil
		}
		return waiting
	})
	client := start(t, DefaultConfig(), noReply)
	for i := range calls {
		require.True(t, client.Send(Call{Tag: i, Address: server.address, Method: "echo", Params: i, Timeout: callTimeout}))
	}
	for range calls {
		r := client.next(t)
		require.NoError(t, r.Err)
		require.Equal(t, strconv.Itoa(r.Tag.(int)), string(r.Raw))
		require.False(t, r.CompletedAt.Before(r.SentAt))
	}
}

// Guards against confusing a refused connection, which proves that no process listens,
// with a timeout or a closed connection.
func TestRefusedTimeoutAndClosed(t *testing.T) {
	client := start(t, DefaultConfig(), noReply)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	r := client.callAndWait(t, Call{Address: address, Method: "status", Timeout: 20 * time.Millisecond})
	var timeout *TimeoutError
	require.ErrorAs(t, r.Err, &timeout)

	require.True(t, client.Send(Call{Address: address, Method: "status", Timeout: callTimeout}))
	for range 2 {
		conn, err := listener.Accept()
		require.NoError(t, err)
		conn.Close()
	}
	var closed *ClosedError
	require.ErrorAs(t, client.next(t).Err, &closed)

	listener.Close()
	var refused *RefusedError
	require.ErrorAs(t, client.callAndWait(t, Call{Address: address, Method: "status"}).Err, &refused)
	require.ErrorAs(t, client.callAndWait(t, Call{Address: "nowhere", Method: "status"}).Err, &closed)
	var encode *EncodeError
	require.ErrorAs(t, client.callAndWait(t, Call{Address: address, Params: func() {}}).Err, &encode)
}

// Guards against losing a remote error's code or its data, such as the accepted term
// of error 4001.
func TestRemoteError(t *testing.T) {
	server := start(t, DefaultConfig(), func(r Request) []Reply {
		return []Reply{{Conn: r.Conn, ID: r.ID, Error: &RemoteError{Code: 4001, Message: "term too low", Data: json.RawMessage(`{"term":7}`)}}}
	})
	client := start(t, DefaultConfig(), noReply)
	r := client.callAndWait(t, Call{Address: server.address, Method: "fence"})
	var remote *RemoteError
	require.ErrorAs(t, r.Err, &remote)
	require.Equal(t, int64(4001), remote.Code)
	require.JSONEq(t, `{"term":7}`, string(remote.Data))
}

// Guards against a request that is lost or handled twice when it arrives in pieces,
// and against invalid input on one connection that affects another.
func TestPartialAndInvalidFrames(t *testing.T) {
	server := start(t, DefaultConfig(), echo)
	good, err := net.Dial("tcp", server.address)
	require.NoError(t, err)
	defer good.Close()
	call, err := jsonrpc2.NewCall(jsonrpc2.StringID("a"), "echo", "hello")
	require.NoError(t, err)
	frame, err := Append(nil, call)
	require.NoError(t, err)
	for i := range frame[:len(frame)-1] {
		_, err = good.Write(frame[i : i+1])
		require.NoError(t, err)
	}
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "Content-Length: 99999999\r\n\r\n", "Content-Length: 2\r\n\r\n{}"} {
		bad, err := net.Dial("tcp", server.address)
		require.NoError(t, err)
		_, err = bad.Write([]byte(text))
		require.NoError(t, err)
		_, err = bad.Read(make([]byte, 1))
		require.Error(t, err)
		bad.Close()
	}
	require.Zero(t, server.seen.Load())
	_, err = good.Write(frame[len(frame)-1:])
	require.NoError(t, err)
	reply := make([]byte, 512)
	n, err := good.Read(reply)
	require.NoError(t, err)
	message, _, err := Decode(reply[:n])
	require.NoError(t, err)
	require.JSONEq(t, `"hello"`, string(message.(*jsonrpc2.Response).Result))
	require.Equal(t, int64(1), server.seen.Load())
}

// Guards against results that are lost, duplicated or reordered while the consumer is
// full, and against a duty that handles no commands during that time.
func TestFullConsumer(t *testing.T) {
	const calls = 3000
	server := start(t, DefaultConfig(), echo)
	config := DefaultConfig()
	config.MaxCallsPerConn = calls
	client := start(t, config, noReply)
	client.full.Store(true)
	for i := range calls {
		require.True(t, client.Send(Call{Tag: i, Address: server.address, Method: "echo", Params: i, Timeout: callTimeout}))
	}
	require.Eventually(t, func() bool { return server.seen.Load() == calls }, callTimeout, time.Millisecond)
	require.Empty(t, client.results)
	client.full.Store(false)
	client.Wake()
	for i := range calls {
		r := client.next(t)
		require.NoError(t, r.Err)
		require.Equal(t, i, r.Tag)
	}
	// Calls to an address that refuses connections produce many results at once.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener.Close()
	client.full.Store(true)
	for i := range calls {
		require.True(t, client.Send(Call{Tag: i, Address: listener.Addr().String(), Timeout: callTimeout}))
	}
	require.Eventually(t, func() bool { return client.Commands().Len() == 0 }, callTimeout, time.Millisecond)
	client.full.Store(false)
	client.Wake()
	for i := range calls {
		require.Equal(t, i, client.next(t).Tag)
	}
	require.Zero(t, client.Dropped())
}

// Guards against buffering unlimited input while the consumer is full.
func TestFullConsumerStopsReading(t *testing.T) {
	const unread = 64 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client := start(t, DefaultConfig(), noReply)
	client.full.Store(true)
	require.True(t, client.Send(Call{Address: listener.Addr().String(), Method: "status", Timeout: callTimeout}))
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer conn.Close()
	require.True(t, client.Send(Call{Address: "nowhere", Timeout: callTimeout}))
	require.Eventually(t, func() bool { return client.Commands().Len() == 0 }, callTimeout, time.Millisecond)
	late, err := jsonrpc2.NewResponse(jsonrpc2.Int64ID(-1), make([]byte, 1<<20), nil)
	require.NoError(t, err)
	frame, err := Append(nil, late)
	require.NoError(t, err)
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(time.Second)))
	for sent := 0; sent < unread && err == nil; sent += len(frame) {
		_, err = conn.Write(frame)
	}
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against an unlimited number of unanswered requests of one peer.
func TestOpenRequestsAreBounded(t *testing.T) {
	config := DefaultConfig()
	config.MaxCallsPerConn = 10
	var mu sync.Mutex
	var open []Reply
	server := start(t, config, func(r Request) []Reply {
		mu.Lock()
		defer mu.Unlock()
		open = append(open, echo(r)...)
		return nil
	})
	client := start(t, DefaultConfig(), noReply)
	const calls = 100
	for i := range calls {
		require.True(t, client.Send(Call{Tag: i, Address: server.address, Method: "echo", Params: i, Timeout: callTimeout}))
	}
	for done := 0; done < calls; {
		require.Eventually(t, func() bool { return server.seen.Load() >= int64(done+10) }, callTimeout, time.Millisecond)
		mu.Lock()
		require.LessOrEqual(t, len(open), 10)
		replies := open
		open = nil
		mu.Unlock()
		for _, r := range replies {
			require.True(t, server.Send(r))
			require.NoError(t, client.next(t).Err)
		}
		done += len(replies)
	}
}

// Guards against an idle connection that stays open, and against a call that fails
// because its idle connection was closed.
func TestIdleConnectionIsClosedAndOpenedAgain(t *testing.T) {
	server := start(t, DefaultConfig(), replyConnID)
	config := DefaultConfig()
	config.IdleTimeout = time.Millisecond
	client := start(t, config, noReply)
	first := client.callAndWait(t, Call{Address: server.address, Method: "echo"})
	require.NoError(t, first.Err)
	for range 2000 {
		time.Sleep(2 * time.Millisecond)
		r := client.callAndWait(t, Call{Address: server.address, Method: "echo"})
		require.NoError(t, r.Err)
		if string(r.Raw) != string(first.Raw) {
			return
		}
	}
	t.Fatal("the idle connection was kept")
}

// Guards against a call without a response that blocks later calls to the same address.
func TestCallAfterTimeoutUsesNewConnection(t *testing.T) {
	server := start(t, DefaultConfig(), func(r Request) []Reply {
		if r.Method == "hang" {
			return nil
		}
		return replyConnID(r)
	})
	client := start(t, DefaultConfig(), noReply)
	first := client.callAndWait(t, Call{Address: server.address, Method: "echo"})
	require.NoError(t, first.Err)
	require.Error(t, client.callAndWait(t, Call{Address: server.address, Method: "hang", Timeout: time.Millisecond}).Err)
	second := client.callAndWait(t, Call{Address: server.address, Method: "echo"})
	require.NoError(t, second.Err)
	require.NotEqual(t, string(first.Raw), string(second.Raw))
}

// Guards against a refused call that looks newer than its connection attempt: the
// allocator would conclude that the peer was dead at the later time.
func TestRefusedCallCountsFromTheAttempt(t *testing.T) {
	attemptedAt := time.Now()
	out := &outConn{attemptedAt: attemptedAt}
	queued := &pendingCall{sentAt: attemptedAt.Add(time.Second)}
	require.Equal(t, attemptedAt, out.failedCallTime(queued))
	out.opened = true
	require.Equal(t, queued.sentAt, out.failedCallTime(queued))
}

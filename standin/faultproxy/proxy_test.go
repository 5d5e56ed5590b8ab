package faultproxy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/exp/jsonrpc2"
	"golang.org/x/sys/unix"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
)

// testTimeout limits how long a test waits.
const testTimeout = 20 * time.Second

// startEcho starts an echo server and returns its address.
func startEcho(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// refusingAddress returns the address of a socket that is bound but does not listen,
// so that connections to it are refused.
func refusingAddress(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
}

// proxyClient is a proxy with one link, a, and a connection to its control endpoint.
type proxyClient struct {
	proxy   *Proxy
	control net.Conn
	buffer  []byte
}

func startProxy(t *testing.T, target string) *proxyClient {
	p, err := New("127.0.0.1:0", []LinkOptions{{Name: "a", Listen: "127.0.0.1:0", Target: target}})
	require.NoError(t, err)
	var duties duty.Group
	p.Start(&duties)
	t.Cleanup(func() {
		p.Stop()
		duties.Wait()
	})
	return &proxyClient{proxy: p, control: dial(t, p.ControlAddress().String())}
}

func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn
}

func (p *proxyClient) call(t *testing.T, method string, params any) LinkStatus {
	t.Helper()
	call, err := jsonrpc2.NewCall(jsonrpc2.Int64ID(1), method, params)
	require.NoError(t, err)
	frame, err := rpc.Append(nil, call)
	require.NoError(t, err)
	_, err = p.control.Write(frame)
	require.NoError(t, err)
	for {
		message, n, err := rpc.Decode(p.buffer)
		require.NoError(t, err)
		if message == nil {
			chunk := make([]byte, 4096)
			n, err = p.control.Read(chunk)
			require.NoError(t, err)
			p.buffer = append(p.buffer, chunk[:n]...)
			continue
		}
		p.buffer = p.buffer[n:]
		response := message.(*jsonrpc2.Response)
		require.NoError(t, response.Error)
		var status LinkStatus
		require.NoError(t, json.Unmarshal(response.Result, &status))
		return status
	}
}

func (p *proxyClient) dialLink(t *testing.T) net.Conn {
	return dial(t, p.proxy.Address("a").String())
}

func requireEcho(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	require.NoError(t, err)
	requireRead(t, conn, text)
}

func requireRead(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	got := make([]byte, len(text))
	_, err := io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
}

// Guards against bytes that are forwarded through a cut, and against a gap in the
// stream after the restore.
func TestCutHoldsBytes(t *testing.T) {
	for _, direction := range []string{Up, Down, ""} {
		p := startProxy(t, startEcho(t))
		conn := p.dialLink(t)
		requireEcho(t, conn, "before")
		p.call(t, "cut", LinkParams{Link: "a", Direction: direction})
		_, err := conn.Write([]byte("held"))
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err = conn.Read(make([]byte, 1))
		var netError net.Error
		require.ErrorAs(t, err, &netError)
		require.True(t, netError.Timeout())
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		p.call(t, "restore", LinkParams{Link: "a"})
		requireRead(t, conn, "held")
		requireEcho(t, conn, "after")
	}
}

// Guards against a close that is forwarded through a cut.
func TestCutHoldsEnd(t *testing.T) {
	p := startProxy(t, startEcho(t))
	conn := p.dialLink(t)
	requireEcho(t, conn, "x")
	p.call(t, "cut", LinkParams{Link: "a"})
	require.NoError(t, conn.Close())
	heldConn := p.dialLink(t)
	_, err := heldConn.Write([]byte("late"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return p.call(t, "cut", LinkParams{Link: "a"}).Connections == 2
	}, testTimeout, time.Millisecond)
	p.call(t, "restore", LinkParams{Link: "a"})
	requireRead(t, heldConn, "late")
	require.Eventually(t, func() bool {
		return p.call(t, "restore", LinkParams{Link: "a"}).Connections == 1
	}, testTimeout, time.Millisecond)
}

// Guards against a delay that is too short, a reset that leaves a connection open,
// and a refused target connection that leaves the client connection open.
func TestDelayResetAndRefusal(t *testing.T) {
	p := startProxy(t, startEcho(t))
	conn := p.dialLink(t)
	const delay = 50 * time.Millisecond
	p.call(t, "delay", DelayParams{Link: "a", MS: delay.Milliseconds()})
	start := time.Now()
	requireEcho(t, conn, "slow")
	require.GreaterOrEqual(t, time.Since(start), 2*delay)
	require.Zero(t, p.call(t, "reset", LinkParams{Link: "a"}).Connections)
	_, err := conn.Read(make([]byte, 1))
	require.Error(t, err)
	refusing := startProxy(t, refusingAddress(t))
	_, err = refusing.dialLink(t).Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against lost or reordered bytes when the receiver is slower than the
// sender.
func TestLargeStream(t *testing.T) {
	p := startProxy(t, startEcho(t))
	conn := p.dialLink(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	go func() { _, _ = conn.Write(sent) }()
	got := make([]byte, len(sent))
	_, err := io.ReadFull(conn, got)
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, got))
}

package linkio

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// setupCodec is a protocol of text lines in which the line "setup" precedes each request.
type setupCodec struct{ sent bool }

func (c *setupCodec) Start(session.TargetOpen) []byte { return []byte("hello\n") }
func (c *setupCodec) Quit() []byte                    { return []byte("quit\n") }
func (c *setupCodec) Probe() []byte                   { return []byte("probe\n") }
func (c *setupCodec) RequestSent() bool               { return c.sent }

func (c *setupCodec) Send(session.TargetSend) []byte {
	c.sent = false
	return []byte("setup\n")
}

func (c *setupCodec) Decode(b []byte) (TargetMessage, int, error) {
	line, _, found := strings.Cut(string(b), "\n")
	if !found {
		return nil, 0, nil
	}
	n := len(line) + 1
	switch line {
	case "welcome":
		return Accepted{}, n, nil
	case "ready":
		c.sent = true
		return Continue{Send: []byte("request\n")}, n, nil
	case "broken":
		return Completed{Close: true}, n, nil
	}
	return Completed{}, n, nil
}

// runTarget opens a connection, sends a request and lets the target reply to each line
// that it receives with the next reply, and then close. It returns what the session duty
// is told.
func runTarget(t *testing.T, replies ...string) []session.Input {
	return runTargetWith(t, session.TargetSend{Target: 1}, func() {}, replies...)
}

// runTargetWith is runTarget with the given request. It calls beforeReady before the target
// replies to the setup.
func runTargetWith(t *testing.T, request session.TargetSend, beforeReady func(), replies ...string) []session.Input {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for _, reply := range replies {
			if _, err := reader.ReadString('\n'); err != nil {
				return
			}
			if reply == "ready" {
				beforeReady()
			}
			_, _ = conn.Write([]byte(reply + "\n"))
		}
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = reader.ReadString('\n')
	}()
	signal := ring.NewSignal()
	events := ring.New[session.Input](64, signal)
	definition, err := charts.Load("link_target")
	require.NoError(t, err)
	duty, err := NewTargets(TargetConfig{
		RingCapacity: 64, Connect: time.Minute, Startup: time.Minute, NewCodec: func() TargetCodec { return &setupCodec{} },
	}, definition, events)
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- duty.Run() }()
	duty.Commands.TryPush(session.TargetOpen{Target: 1, Address: listener.Addr().String()})
	var inputs []session.Input
	for {
		in, ok := events.Pop()
		if !ok {
			if events.Park() {
				signal.Wait(time.Second)
				events.Unpark()
			}
			continue
		}
		inputs = append(inputs, in)
		switch in.(type) {
		case session.TargetOpened:
			duty.Commands.TryPush(request)
		case session.TargetClosed:
			duty.Stop()
			require.NoError(t, <-done)
			return inputs
		}
	}
}

// Guards against a request that counts as possibly run although the connection ended
// before it was sent, and the other way round.
func TestRequestIsUnsentDuringTheSetup(t *testing.T) {
	for _, c := range []struct {
		replies []string
		unsent  bool
	}{
		{[]string{"welcome"}, true},
		{[]string{"welcome", "ready"}, false},
	} {
		inputs := runTarget(t, c.replies...)
		closed := inputs[len(inputs)-1].(session.TargetClosed)
		require.Equal(t, c.unsent, closed.Unsent, c.replies)
	}
}

// Guards against a request that is written after its end because the target was slow to
// answer the setup, and against one that then counts as possibly run.
func TestRequestIsNotWrittenAfterItsEnd(t *testing.T) {
	request := session.TargetSend{Target: 1, NotAfter: clock.Now().Add(200 * time.Millisecond)}
	inputs := runTargetWith(t, request, func() { time.Sleep(300 * time.Millisecond) }, "welcome", "ready", "answer")
	require.Len(t, inputs, 2)
	closed := inputs[1].(session.TargetClosed)
	require.True(t, closed.Unsent)
	require.Contains(t, closed.Reason, "expired")
}

// Guards against a lost answer, and against another request on the connection, when the
// target answers and leaves the connection in a state that no request may use.
func TestUnusableConnectionIsClosedAfterTheAnswer(t *testing.T) {
	inputs := runTarget(t, "welcome", "ready", "broken")
	require.Len(t, inputs, 3)
	require.IsType(t, session.TargetReady{}, inputs[1])
	closed := inputs[2].(session.TargetClosed)
	require.True(t, closed.Unsent)
	require.Contains(t, closed.Reason, "unknown state")
}

package callerio

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
	"github.com/stretchr/testify/require"
)

// newDetachedCaller returns an admitted caller without a socket, whose output stays
// in the buffer of its connection, so that a benchmark or fuzz test does no I/O.
func newDetachedCaller(t testing.TB) (*caller, *ring.Ring[session.Input]) {
	events := ring.New[session.Input](1<<10, ring.NewSignal())
	duty, err := New(Config{Address: "127.0.0.1:0", MaxInputBytes: 1 << 16}, Deps{Session: events, Chart: loadChart(t)})
	require.NoError(t, err)
	t.Cleanup(duty.Loop.Close)
	c := &caller{duty: duty, conn: &netloop.Conn{}, id: 1, state: duty.startup.serving, txStatus: txIdle}
	c.flushTimer.Value = func() {}
	duty.callers[c.id] = c
	return c, events
}

// Guards against a panic on invalid input of an admitted caller, and against a
// request that binds a statement which its payload does not list and which is
// therefore not classified (G3, G4).
func FuzzMessages(f *testing.F) {
	seed := wire.Append(nil, &pgproto3.Parse{Name: "s", Query: "select $1"})
	seed = wire.Append(seed, &pgproto3.Bind{PreparedStatement: "s"})
	seed = wire.Append(seed, &pgproto3.Describe{ObjectType: 'P'})
	seed = wire.Append(seed, &pgproto3.Execute{})
	seed = wire.Append(seed, &pgproto3.Close{ObjectType: 'S', Name: "s"})
	seed = wire.Append(seed, &pgproto3.Flush{})
	seed = wire.Append(seed, &pgproto3.Sync{})
	f.Add(seed)
	f.Add(wire.Append(nil, &pgproto3.Query{String: "select 1"}))
	f.Fuzz(func(t *testing.T, input []byte) {
		c, events := newDetachedCaller(t)
		for !c.closing && (len(input) == 0 || input[0] != 'X') {
			n := c.readMessage(input)
			if n == 0 {
				break
			}
			input = input[n:]
			if event, ok := events.Pop(); ok {
				requirePreparedListed(t, event.(session.CallerRequest).Request)
				c.duty.handleCommand(session.CallerError{Caller: c.id, Refusal: core.NotRun(core.ReasonOverloaded, "busy"), TxStatus: 'T'})
			}
		}
	})
}

// requirePreparedListed checks that every Bind of the request names a statement
// that its payload lists.
func requirePreparedListed(t *testing.T, request *session.Request) {
	require.NotEmpty(t, request.Texts)
	listed := map[string]bool{absentStatement: true}
	for _, statement := range request.Payload.Prepared {
		listed[statement.Name] = true
	}
	for frames := request.Payload.Frames; len(frames) > 0; {
		frame, complete, err := wire.Next(frames, len(frames))
		require.NoError(t, err)
		require.True(t, complete)
		if frame.Type == 'B' {
			var m pgproto3.Bind
			if wire.Decode(frame, &m) == nil {
				require.True(t, listed[m.PreparedStatement])
			}
		}
		frames = frames[len(frame.Raw):]
	}
}

// resetEvery is the number of requests after which the connection is replaced,
// because its output buffer only grows.
const resetEvery = 1 << 10

// benchmarkRequest measures the handling of one request and its response.
func benchmarkRequest(b *testing.B, input, response []byte) {
	c, events := newDetachedCaller(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%resetEvery == 0 {
			c.conn = &netloop.Conn{}
		}
		for rest := input; len(rest) > 0; {
			rest = rest[c.readMessage(rest):]
		}
		events.Pop()
		c.duty.handleCommand(session.CallerWrite{Caller: 1, Frames: response, Done: true})
	}
}

func oneRowResult() []byte {
	out := wire.Append(nil, &pgproto3.DataRow{Values: [][]byte{[]byte(strings.Repeat("x", 64))}})
	out = wire.Append(out, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	return wire.Append(out, &pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// BenchmarkSimpleRequest measures decoding a simple query and forwarding its
// response, without the socket.
func BenchmarkSimpleRequest(b *testing.B) {
	input := wire.Append(nil, &pgproto3.Query{String: "select title from notices where id = 17"})
	benchmarkRequest(b, input, oneRowResult())
}

// BenchmarkPreparedRequest measures the same for a batch of Parse, Bind, Describe,
// Execute and Sync.
func BenchmarkPreparedRequest(b *testing.B) {
	input := wire.Append(nil, &pgproto3.Parse{Query: "select title from notices where id = $1"})
	input = wire.Append(input, &pgproto3.Bind{Parameters: [][]byte{[]byte("17")}})
	input = wire.Append(input, &pgproto3.Describe{ObjectType: 'P'})
	input = wire.Append(input, &pgproto3.Execute{})
	input = wire.Append(input, &pgproto3.Sync{})
	benchmarkRequest(b, input, oneRowResult())
}

// BenchmarkRoundTrip measures a simple query over loopback. The benchmark acts as
// the session duty.
func BenchmarkRoundTrip(b *testing.B) {
	h := start(b, Config{}, 64)
	tc := h.openCaller()
	query := wire.Append(nil, &pgproto3.Query{String: "select 1"})
	response := oneRowResult()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = tc.conn.Write(query)
		h.nextEvent()
		h.sendCommand(session.CallerWrite{Caller: tc.id, Frames: response, Done: true})
		for range 3 {
			_, _ = tc.frontend.Receive()
		}
	}
}

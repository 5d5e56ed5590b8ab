package callerio

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
	"github.com/stretchr/testify/require"
)

func selectOne(tc *testCaller) {
	tc.write(&pgproto3.Query{String: "select 1"})
}

// frameTypes returns the type bytes of the frames.
func frameTypes(t testing.TB, frames []byte) string {
	var out []byte
	for len(frames) > 0 {
		frame, complete, err := wire.Next(frames, len(frames))
		require.NoError(t, err)
		require.True(t, complete)
		out = append(out, frame.Type)
		frames = frames[len(frame.Raw):]
	}
	return string(out)
}

// Guards against a pipelined request that is submitted before the previous one has
// finished, is lost or is submitted twice (G8).
func TestPipelinedRequestsOneByOne(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.openCaller()
	tc.write(&pgproto3.Query{String: "one"}, &pgproto3.Query{String: "two"}, &pgproto3.Query{String: "three"})
	for _, text := range []string{"one", "two", "three"} {
		request := expectEvent[session.CallerRequest](h)
		require.Equal(t, tc.id, request.Caller)
		require.Equal(t, []string{text}, request.Request.Texts)
		require.True(t, request.Request.Simple)
		require.Zero(t, h.events.Len())
		h.answerRequest(tc.id, &pgproto3.CommandComplete{CommandTag: []byte(text)})
		require.Equal(t, text, string(receive[*pgproto3.CommandComplete](tc).CommandTag))
		receive[*pgproto3.ReadyForQuery](tc)
	}
}

// Guards against frames that are corrupted when a message arrives in two reads.
func TestRequestSplitAtEveryByte(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.openCaller()
	message := wire.Append(nil, &pgproto3.Parse{Name: "s", Query: "select $1", ParameterOIDs: []uint32{25}})
	message = wire.Append(message, &pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("v")}})
	message = wire.Append(message, &pgproto3.Execute{})
	message = wire.Append(message, &pgproto3.Sync{})
	var first []byte
	for split := range message {
		_, err := tc.conn.Write(message[:split])
		require.NoError(t, err)
		_, err = tc.conn.Write(message[split:])
		require.NoError(t, err)
		request := expectEvent[session.CallerRequest](h).Request
		require.Equal(t, "PBES", frameTypes(t, request.Payload.Frames))
		if first == nil {
			first = request.Payload.Frames
		}
		require.True(t, bytes.Equal(first, request.Payload.Frames))
		h.answerRequest(tc.id)
		receive[*pgproto3.ReadyForQuery](tc)
	}
}

// Guards against name conflicts between prepared statements of two callers, and
// against a Bind that does not find a statement of an earlier batch, including the
// unnamed statement (G3, G8).
func TestPreparedStatementsAreRenamed(t *testing.T) {
	h := start(t, Config{}, 64)
	tc, other := h.openCaller(), h.openCaller()
	names := map[string]bool{}
	for _, c := range []struct {
		caller     *testCaller
		name, text string
	}{{tc, "s", "select 1"}, {other, "s", "select 2"}, {tc, "", "select 3"}} {
		c.caller.write(&pgproto3.Parse{Name: c.name, Query: c.text}, &pgproto3.Describe{ObjectType: 'S', Name: c.name}, &pgproto3.Sync{})
		request := expectEvent[session.CallerRequest](h).Request
		require.Equal(t, []string{c.text}, request.Texts)
		require.Len(t, request.Payload.Prepared, 1)
		require.True(t, request.Payload.Prepared[0].Explicit)
		names[request.Payload.Prepared[0].Name] = true
		h.answerRequest(c.caller.id, &pgproto3.ParseComplete{})
		receive[*pgproto3.ParseComplete](c.caller)
		receive[*pgproto3.ReadyForQuery](c.caller)
		c.caller.write(&pgproto3.Bind{PreparedStatement: c.name}, &pgproto3.Execute{}, &pgproto3.Sync{})
		second := expectEvent[session.CallerRequest](h).Request
		require.Equal(t, []string{c.text}, second.Texts)
		require.Equal(t, request.Payload.Prepared[0].Name, second.Payload.Prepared[0].Name)
		require.False(t, second.Payload.Prepared[0].Explicit)
		require.NotContains(t, string(second.Payload.Frames), c.text)
		require.Contains(t, string(second.Payload.Prepared[0].ParseFrame), c.text)
		h.answerRequest(c.caller.id)
		receive[*pgproto3.ReadyForQuery](c.caller)
	}
	require.Len(t, names, 3)
}

// Guards against a batch that creates a statement twice on a target, which fails
// because the name already exists.
func TestOneParsePerStatement(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.openCaller()
	tc.write(&pgproto3.Parse{Name: "a", Query: "select 1"}, &pgproto3.Parse{Name: "b", Query: "select 1"}, &pgproto3.Sync{})
	first := expectEvent[session.CallerRequest](h).Request.Payload
	require.Equal(t, "PPS", frameTypes(t, first.Frames))
	require.Equal(t, 1, bytes.Count(first.Frames, []byte("select 1")))
	h.answerRequest(tc.id)
	receive[*pgproto3.ReadyForQuery](tc)
	tc.write(&pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}, &pgproto3.Parse{Query: "select 1"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	second := expectEvent[session.CallerRequest](h).Request.Payload
	require.Equal(t, "BEPBES", frameTypes(t, second.Frames))
	require.NotContains(t, string(second.Frames), "select 1")
	require.Len(t, second.Prepared, 1)
	require.False(t, second.Prepared[0].Explicit)
}

// Guards against a Close that removes a statement which other callers use, and
// against a statement that a caller can use after its Close.
func TestCloseIsAnsweredHere(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.openCaller()
	tc.write(&pgproto3.Parse{Name: "s", Query: "select 1"}, &pgproto3.Sync{})
	expectEvent[session.CallerRequest](h)
	h.answerRequest(tc.id, &pgproto3.ParseComplete{})
	receive[*pgproto3.ParseComplete](tc)
	receive[*pgproto3.ReadyForQuery](tc)
	tc.write(&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{})
	receive[*pgproto3.CloseComplete](tc)
	receive[*pgproto3.ReadyForQuery](tc)
	tc.write(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	require.Equal(t, sqlStateInvalidStatementName, receive[*pgproto3.ErrorResponse](tc).Code)
	receive[*pgproto3.ReadyForQuery](tc)
	// A caller must not be able to use the statement's name on targets, because the
	// text would then run without classification.
	tc.write(&pgproto3.Bind{PreparedStatement: statementName([]byte("select 1"), []byte{0, 0})}, &pgproto3.Sync{})
	require.Equal(t, sqlStateInvalidStatementName, receive[*pgproto3.ErrorResponse](tc).Code)
	receive[*pgproto3.ReadyForQuery](tc)
	require.Zero(t, h.events.Len())
}

// Guards against a driver that waits forever for the response after Flush, and
// against a ReadyForQuery that it does not expect.
func TestFlushIsAnsweredWithoutReady(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.openCaller()
	tc.write(&pgproto3.Parse{Name: "s", Query: "select 1"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Flush{})
	require.Equal(t, "PDS", frameTypes(t, expectEvent[session.CallerRequest](h).Request.Payload.Frames))
	h.answerRequest(tc.id, &pgproto3.ParseComplete{}, &pgproto3.ParameterDescription{}, &pgproto3.NoData{})
	receive[*pgproto3.ParseComplete](tc)
	receive[*pgproto3.ParameterDescription](tc)
	receive[*pgproto3.NoData](tc)
	tc.write(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	require.Equal(t, "BES", frameTypes(t, expectEvent[session.CallerRequest](h).Request.Payload.Frames))
	h.answerRequest(tc.id, &pgproto3.BindComplete{})
	receive[*pgproto3.BindComplete](tc)
	receive[*pgproto3.ReadyForQuery](tc)
}

// Guards against messages that run between an error and the next Sync, although a
// PostgreSQL server ignores them.
func TestErrorAfterFlushSkipsToSync(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.openCaller()
	tc.write(&pgproto3.Parse{Name: "s", Query: "bad"}, &pgproto3.Flush{}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	expectEvent[session.CallerRequest](h)
	h.answerRequest(tc.id, &pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601"})
	require.Equal(t, "42601", receive[*pgproto3.ErrorResponse](tc).Code)
	receive[*pgproto3.ReadyForQuery](tc)
	selectOne(tc)
	require.Equal(t, []string{"select 1"}, expectEvent[session.CallerRequest](h).Request.Texts)
}

// Guards against a prepared BEGIN or SET that session treats as executed.
func TestPreparedCommandIsNotExecuted(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.openCaller()
	for _, text := range []string{"/* x */ BEGIN", "-- c\n set a = 1", "COMMIT"} {
		tc.write(&pgproto3.Parse{Name: "b", Query: text}, &pgproto3.Describe{ObjectType: 'S', Name: "b"}, &pgproto3.Sync{})
		receive[*pgproto3.ParseComplete](tc)
		receive[*pgproto3.ParameterDescription](tc)
		receive[*pgproto3.NoData](tc)
		require.Equal(t, byte('I'), receive[*pgproto3.ReadyForQuery](tc).TxStatus)
		tc.write(&pgproto3.Bind{PreparedStatement: "b"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		require.Equal(t, []string{text}, expectEvent[session.CallerRequest](h).Request.Texts)
		h.answerRequest(tc.id)
		receive[*pgproto3.ReadyForQuery](tc)
	}
}

// Guards against errors of the proxy without SQLSTATE, outcome or ReadyForQuery
// (G9), and against responses of the proxy that lack a message of the extended
// protocol.
func TestAnswersOfTheProxy(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.openCaller()
	selectOne(tc)
	expectEvent[session.CallerRequest](h)
	h.sendCommand(session.CallerError{Caller: tc.id, Refusal: core.Uncertain("no confirmation"), TxStatus: 'E'})
	failed := receive[*pgproto3.ErrorResponse](tc)
	require.Equal(t, SQLState(core.ReasonUncertain), failed.Code)
	require.Equal(t, "outcome: uncertain", failed.Detail)
	require.Equal(t, byte('E'), receive[*pgproto3.ReadyForQuery](tc).TxStatus)

	tc.write(&pgproto3.Parse{Query: "show x"}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{})
	expectEvent[session.CallerRequest](h)
	h.sendCommand(session.CallerReply{Caller: tc.id, Tag: "SHOW", Column: "x", Value: "42", TxStatus: 'I'})
	receive[*pgproto3.ParseComplete](tc)
	receive[*pgproto3.ParameterDescription](tc)
	receive[*pgproto3.RowDescription](tc)
	receive[*pgproto3.BindComplete](tc)
	receive[*pgproto3.RowDescription](tc)
	require.Equal(t, "42", string(receive[*pgproto3.DataRow](tc).Values[0]))
	require.Equal(t, "SHOW", string(receive[*pgproto3.CommandComplete](tc).CommandTag))
	receive[*pgproto3.ReadyForQuery](tc)

	selectOne(tc)
	expectEvent[session.CallerRequest](h)
	ready := wire.Append(nil, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	h.sendCommand(session.CallerWrite{Caller: tc.id, Frames: ready, Done: true, Position: core.Position{Term: 2, LSN: 9}})
	require.Equal(t, pgproto3.ParameterStatus{Name: positionParameter, Value: "2/9"}, *receive[*pgproto3.ParameterStatus](tc))
	receive[*pgproto3.ReadyForQuery](tc)

	tc.write(&pgproto3.FunctionCall{Function: 1})
	require.Equal(t, SQLState(core.ReasonNotSupported), receive[*pgproto3.ErrorResponse](tc).Code)
	receive[*pgproto3.ReadyForQuery](tc)
}

// Guards against oversized or invalid input that is buffered without limit or
// closes the connections of other callers.
func TestViolationClosesOnlyThatCaller(t *testing.T) {
	h := start(t, Config{MaxInputBytes: 1 << 10}, 64)
	unaffected := h.openCaller()
	inputs := [][]byte{
		{'Q', 0, 0, 4, 1},
		{'?', 0, 0, 0, 4},
		{'B', 0, 0, 0, 5, 'x'},
		nil,
	}
	for i := range 100 {
		inputs[3] = wire.Append(inputs[3], &pgproto3.Parse{Query: fmt.Sprint("select ", i)})
	}
	for _, input := range inputs {
		tc := h.openCaller()
		_, err := tc.conn.Write(input)
		require.NoError(t, err)
		refused := receive[*pgproto3.ErrorResponse](tc)
		require.Equal(t, SQLState(core.ReasonProtocolViolation), refused.Code)
		require.Equal(t, "FATAL", refused.Severity)
		tc.conn.Close()
		require.Equal(t, tc.id, expectEvent[session.CallerClosed](h).Caller)
	}
	selectOne(unaffected)
	expectEvent[session.CallerRequest](h)
}

// Guards against events that are lost while the session ring is full. Without
// CallerClosed, session would keep the caller forever.
func TestFullSessionRing(t *testing.T) {
	h := start(t, Config{}, 64)
	const callers = 16
	testCallers := make([]*testCaller, callers)
	for i := range testCallers {
		testCallers[i] = h.openCaller()
	}
	h.fillSessionRing()
	before := h.events.Stats().Refusals
	for _, tc := range testCallers {
		selectOne(tc)
		require.NoError(t, tc.conn.Close())
	}
	require.Eventually(t, func() bool { return h.events.Stats().Refusals > before }, testTimeout, time.Millisecond)
	requests, closed := map[session.CallerID]int{}, map[session.CallerID]int{}
	for len(closed) < callers {
		switch event := h.nextEvent().(type) {
		case session.CallerRequest:
			requests[event.Caller]++
		case session.CallerClosed:
			closed[event.Caller]++
		}
	}
	for _, tc := range testCallers {
		require.Equal(t, 1, closed[tc.id])
		require.LessOrEqual(t, requests[tc.id], 1)
	}
}

// Guards against a caller that does not read its responses without being reported
// as blocked, or that stays blocked after it has read them.
func TestOutputMarks(t *testing.T) {
	h := start(t, Config{OutputHighWaterBytes: 64 << 10}, 64)
	tc := h.openCaller()
	selectOne(tc)
	expectEvent[session.CallerRequest](h)
	row := wire.Append(nil, &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte{'x'}, 1<<20)}})
	const rows = 32
	for range rows {
		h.sendCommand(session.CallerWrite{Caller: tc.id, Frames: row})
	}
	require.Equal(t, tc.id, expectEvent[session.CallerBlocked](h).Caller)
	for range rows {
		receive[*pgproto3.DataRow](tc)
	}
	require.Equal(t, tc.id, expectEvent[session.CallerWritable](h).Caller)
}

// Guards against a batch that only prepares and counts as a statement, and against
// one that executes and does not.
func TestOnlyRequestsWithoutExecutePrepare(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.openCaller()
	tc.write(&pgproto3.Parse{Name: "s", Query: "select 1"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{})
	require.True(t, expectEvent[session.CallerRequest](h).Request.PreparesOnly)
	h.answerRequest(tc.id)
	receive[*pgproto3.ReadyForQuery](tc)
	tc.write(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	require.False(t, expectEvent[session.CallerRequest](h).Request.PreparesOnly)
	h.answerRequest(tc.id)
	receive[*pgproto3.ReadyForQuery](tc)
	tc.write(&pgproto3.Query{String: "select 1"})
	require.False(t, expectEvent[session.CallerRequest](h).Request.PreparesOnly)
}

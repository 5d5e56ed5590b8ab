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

func selectOne(p *peer) {
	p.write(&pgproto3.Query{String: "select 1"})
}

// kinds returns the type bytes of the frames.
func kinds(t testing.TB, frames []byte) string {
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

// Guards against a pipelined request that overtakes the one before it, is lost
// or is handed over twice (G8).
func TestPipelinedRequestsOneByOne(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.open()
	p.write(&pgproto3.Query{String: "one"}, &pgproto3.Query{String: "two"}, &pgproto3.Query{String: "three"})
	for _, text := range []string{"one", "two", "three"} {
		request := expect[session.CallerRequest](h)
		require.Equal(t, p.id, request.Caller)
		require.Equal(t, []string{text}, request.Request.Texts)
		require.True(t, request.Request.Simple)
		require.Zero(t, h.events.Len())
		h.answer(p.id, &pgproto3.CommandComplete{CommandTag: []byte(text)})
		require.Equal(t, text, string(receive[*pgproto3.CommandComplete](p).CommandTag))
		receive[*pgproto3.ReadyForQuery](p)
	}
}

// Guards against frames that are torn when they arrive in pieces.
func TestRequestSplitAtEveryByte(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.open()
	whole := wire.Append(nil, &pgproto3.Parse{Name: "s", Query: "select $1", ParameterOIDs: []uint32{25}})
	whole = wire.Append(whole, &pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("v")}})
	whole = wire.Append(whole, &pgproto3.Execute{})
	whole = wire.Append(whole, &pgproto3.Sync{})
	var first []byte
	for cut := range whole {
		_, err := p.conn.Write(whole[:cut])
		require.NoError(t, err)
		_, err = p.conn.Write(whole[cut:])
		require.NoError(t, err)
		request := expect[session.CallerRequest](h).Request
		require.Equal(t, "PBES", kinds(t, request.Payload.Frames))
		if first == nil {
			first = request.Payload.Frames
		}
		require.True(t, bytes.Equal(first, request.Payload.Frames))
		h.answer(p.id)
		receive[*pgproto3.ReadyForQuery](p)
	}
}

// Guards against prepared statements of two callers that collide, and against
// a Bind that no longer finds the statement of an earlier batch, the unnamed
// one included (G3, G8).
func TestPreparedStatementsAreRenamed(t *testing.T) {
	h := start(t, Config{}, 64)
	p, other := h.open(), h.open()
	names := map[string]bool{}
	for _, c := range []struct {
		who        *peer
		name, text string
	}{{p, "s", "select 1"}, {other, "s", "select 2"}, {p, "", "select 3"}} {
		c.who.write(&pgproto3.Parse{Name: c.name, Query: c.text}, &pgproto3.Describe{ObjectType: 'S', Name: c.name}, &pgproto3.Sync{})
		request := expect[session.CallerRequest](h).Request
		require.Equal(t, []string{c.text}, request.Texts)
		require.Len(t, request.Payload.Prepared, 1)
		require.True(t, request.Payload.Prepared[0].Explicit)
		names[request.Payload.Prepared[0].Name] = true
		h.answer(c.who.id, &pgproto3.ParseComplete{})
		receive[*pgproto3.ParseComplete](c.who)
		receive[*pgproto3.ReadyForQuery](c.who)
		c.who.write(&pgproto3.Bind{PreparedStatement: c.name}, &pgproto3.Execute{}, &pgproto3.Sync{})
		again := expect[session.CallerRequest](h).Request
		require.Equal(t, []string{c.text}, again.Texts)
		require.Equal(t, request.Payload.Prepared[0].Name, again.Payload.Prepared[0].Name)
		require.False(t, again.Payload.Prepared[0].Explicit)
		require.NotContains(t, string(again.Payload.Frames), c.text)
		require.Contains(t, string(again.Payload.Prepared[0].ParseFrame), c.text)
		h.answer(c.who.id)
		receive[*pgproto3.ReadyForQuery](c.who)
	}
	require.Len(t, names, 3)
}

// Guards against a batch that creates a statement twice on a target, which
// fails there with a duplicate name.
func TestOneParsePerStatement(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.open()
	p.write(&pgproto3.Parse{Name: "a", Query: "select 1"}, &pgproto3.Parse{Name: "b", Query: "select 1"}, &pgproto3.Sync{})
	first := expect[session.CallerRequest](h).Request.Payload
	require.Equal(t, "PPS", kinds(t, first.Frames))
	require.Equal(t, 1, bytes.Count(first.Frames, []byte("select 1")))
	h.answer(p.id)
	receive[*pgproto3.ReadyForQuery](p)
	p.write(&pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}, &pgproto3.Parse{Query: "select 1"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	second := expect[session.CallerRequest](h).Request.Payload
	require.Equal(t, "BEPBES", kinds(t, second.Frames))
	require.NotContains(t, string(second.Frames), "select 1")
	require.Len(t, second.Prepared, 1)
	require.False(t, second.Prepared[0].Explicit)
}

// Guards against a Close that drops a statement other callers use, and against
// a statement that still works after its Close.
func TestCloseIsAnsweredHere(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.open()
	p.write(&pgproto3.Parse{Name: "s", Query: "select 1"}, &pgproto3.Sync{})
	expect[session.CallerRequest](h)
	h.answer(p.id, &pgproto3.ParseComplete{})
	receive[*pgproto3.ParseComplete](p)
	receive[*pgproto3.ReadyForQuery](p)
	p.write(&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{})
	receive[*pgproto3.CloseComplete](p)
	receive[*pgproto3.ReadyForQuery](p)
	p.write(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	require.Equal(t, stateNoStatement, receive[*pgproto3.ErrorResponse](p).Code)
	receive[*pgproto3.ReadyForQuery](p)
	// The name that targets know is not open to callers: its text would run unclassified.
	p.write(&pgproto3.Bind{PreparedStatement: statementName([]byte("select 1"), []byte{0, 0})}, &pgproto3.Sync{})
	require.Equal(t, stateNoStatement, receive[*pgproto3.ErrorResponse](p).Code)
	receive[*pgproto3.ReadyForQuery](p)
	require.Zero(t, h.events.Len())
}

// Guards against drivers that wait for an answer after Flush, and against a
// ReadyForQuery that they do not expect.
func TestFlushIsAnsweredWithoutReady(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.open()
	p.write(&pgproto3.Parse{Name: "s", Query: "select 1"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Flush{})
	require.Equal(t, "PDS", kinds(t, expect[session.CallerRequest](h).Request.Payload.Frames))
	h.answer(p.id, &pgproto3.ParseComplete{}, &pgproto3.ParameterDescription{}, &pgproto3.NoData{})
	receive[*pgproto3.ParseComplete](p)
	receive[*pgproto3.ParameterDescription](p)
	receive[*pgproto3.NoData](p)
	p.write(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	require.Equal(t, "BES", kinds(t, expect[session.CallerRequest](h).Request.Payload.Frames))
	h.answer(p.id, &pgproto3.BindComplete{})
	receive[*pgproto3.BindComplete](p)
	receive[*pgproto3.ReadyForQuery](p)
}

// Guards against messages after an error that run although the server of a
// plain connection would skip them up to Sync.
func TestErrorAfterFlushSkipsToSync(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.open()
	p.write(&pgproto3.Parse{Name: "s", Query: "bad"}, &pgproto3.Flush{}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	expect[session.CallerRequest](h)
	h.answer(p.id, &pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601"})
	require.Equal(t, "42601", receive[*pgproto3.ErrorResponse](p).Code)
	receive[*pgproto3.ReadyForQuery](p)
	selectOne(p)
	require.Equal(t, []string{"select 1"}, expect[session.CallerRequest](h).Request.Texts)
}

// Guards against a prepared BEGIN or SET that session takes for an executed one.
func TestPreparedCommandIsNotExecuted(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.open()
	for _, text := range []string{"/* x */ BEGIN", "-- c\n set a = 1", "COMMIT"} {
		p.write(&pgproto3.Parse{Name: "b", Query: text}, &pgproto3.Describe{ObjectType: 'S', Name: "b"}, &pgproto3.Sync{})
		receive[*pgproto3.ParseComplete](p)
		receive[*pgproto3.ParameterDescription](p)
		receive[*pgproto3.NoData](p)
		require.Equal(t, byte('I'), receive[*pgproto3.ReadyForQuery](p).TxStatus)
		p.write(&pgproto3.Bind{PreparedStatement: "b"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		require.Equal(t, []string{text}, expect[session.CallerRequest](h).Request.Texts)
		h.answer(p.id)
		receive[*pgproto3.ReadyForQuery](p)
	}
}

// Guards against refusals without SQLSTATE, outcome or ReadyForQuery (G9), and
// against answers of the proxy that miss a message of the extended protocol.
func TestAnswersOfTheProxy(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.open()
	selectOne(p)
	expect[session.CallerRequest](h)
	h.send(session.CallerFail{Caller: p.id, Refusal: core.Uncertain("no confirmation"), TxStatus: 'E'})
	failed := receive[*pgproto3.ErrorResponse](p)
	require.Equal(t, SQLState(core.ReasonUncertain), failed.Code)
	require.Equal(t, "outcome: uncertain", failed.Detail)
	require.Equal(t, byte('E'), receive[*pgproto3.ReadyForQuery](p).TxStatus)

	p.write(&pgproto3.Parse{Query: "show x"}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{})
	expect[session.CallerRequest](h)
	h.send(session.CallerReply{Caller: p.id, Tag: "SHOW", Column: "x", Value: "42", TxStatus: 'I'})
	receive[*pgproto3.ParseComplete](p)
	receive[*pgproto3.ParameterDescription](p)
	receive[*pgproto3.RowDescription](p)
	receive[*pgproto3.BindComplete](p)
	receive[*pgproto3.RowDescription](p)
	require.Equal(t, "42", string(receive[*pgproto3.DataRow](p).Values[0]))
	require.Equal(t, "SHOW", string(receive[*pgproto3.CommandComplete](p).CommandTag))
	receive[*pgproto3.ReadyForQuery](p)

	selectOne(p)
	expect[session.CallerRequest](h)
	ready := wire.Append(nil, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	h.send(session.CallerWrite{Caller: p.id, Frames: ready, Done: true, Position: core.Position{Term: 2, LSN: 9}})
	require.Equal(t, pgproto3.ParameterStatus{Name: positionParameter, Value: "2/9"}, *receive[*pgproto3.ParameterStatus](p))
	receive[*pgproto3.ReadyForQuery](p)

	p.write(&pgproto3.FunctionCall{Function: 1})
	require.Equal(t, SQLState(core.ReasonNotSupported), receive[*pgproto3.ErrorResponse](p).Code)
	receive[*pgproto3.ReadyForQuery](p)
}

// Guards against oversized or invalid input that is buffered without bound or
// takes other callers with it.
func TestViolationClosesOnlyThatCaller(t *testing.T) {
	h := start(t, Config{MaxInput: 1 << 10}, 64)
	innocent := h.open()
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
		p := h.open()
		_, err := p.conn.Write(input)
		require.NoError(t, err)
		refused := receive[*pgproto3.ErrorResponse](p)
		require.Equal(t, SQLState(core.ReasonProtocolViolation), refused.Code)
		require.Equal(t, "FATAL", refused.Severity)
		p.conn.Close()
		require.Equal(t, p.id, expect[session.CallerClosed](h).Caller)
	}
	selectOne(innocent)
	expect[session.CallerRequest](h)
}

// Guards against events that are lost while the session ring is full, above
// all CallerClosed, without which session keeps the caller for ever.
func TestFullSessionRing(t *testing.T) {
	h := start(t, Config{}, 64)
	const callers = 16
	peers := make([]*peer, callers)
	for i := range peers {
		peers[i] = h.open()
	}
	h.fill()
	before := h.events.Stats().Refusals
	for _, p := range peers {
		selectOne(p)
		require.NoError(t, p.conn.Close())
	}
	require.Eventually(t, func() bool { return h.events.Stats().Refusals > before }, testWait, time.Millisecond)
	requests, closed := map[session.CallerID]int{}, map[session.CallerID]int{}
	for len(closed) < callers {
		switch event := h.next().(type) {
		case session.CallerRequest:
			requests[event.Caller]++
		case session.CallerClosed:
			closed[event.Caller]++
		}
	}
	for _, p := range peers {
		require.Equal(t, 1, closed[p.id])
		require.LessOrEqual(t, requests[p.id], 1)
	}
}

// Guards against a caller that does not read and is never reported, or stays
// blocked after it has read.
func TestOutputMarks(t *testing.T) {
	h := start(t, Config{OutputMark: 64 << 10}, 64)
	p := h.open()
	selectOne(p)
	expect[session.CallerRequest](h)
	row := wire.Append(nil, &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte{'x'}, 1<<20)}})
	const rows = 32
	for range rows {
		h.send(session.CallerWrite{Caller: p.id, Frames: row})
	}
	require.Equal(t, p.id, expect[session.CallerBlocked](h).Caller)
	for range rows {
		receive[*pgproto3.DataRow](p)
	}
	require.Equal(t, p.id, expect[session.CallerDrained](h).Caller)
}

// Guards against a preparation that counts as a statement, and against an
// execution that does not.
func TestOnlyRequestsWithoutExecutePrepare(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.open()
	p.write(&pgproto3.Parse{Name: "s", Query: "select 1"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{})
	require.True(t, expect[session.CallerRequest](h).Request.PreparesOnly)
	h.answer(p.id)
	receive[*pgproto3.ReadyForQuery](p)
	p.write(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	require.False(t, expect[session.CallerRequest](h).Request.PreparesOnly)
	h.answer(p.id)
	receive[*pgproto3.ReadyForQuery](p)
	p.write(&pgproto3.Query{String: "select 1"})
	require.False(t, expect[session.CallerRequest](h).Request.PreparesOnly)
}

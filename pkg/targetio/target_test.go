package targetio

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
	"github.com/stretchr/testify/require"
)

// testTimeout limits every wait in the tests; no test depends on its value.
const testTimeout = 10 * time.Second

// ringSize is the capacity of the session ring in tests.
const ringSize = 64

// harness runs the duty; the test acts as the session duty.
type harness struct {
	t      testing.TB
	duty   *Duty
	events *ring.Ring[session.Input]
	signal *ring.Signal
}

func start(t testing.TB, config Config) *harness {
	h := &harness{t: t, signal: ring.NewSignal()}
	h.events = ring.New[session.Input](ringSize, h.signal)
	definition, err := charts.Load("target_startup")
	require.NoError(t, err)
	duty, err := New(config, Deps{Session: h.events, Chart: definition})
	require.NoError(t, err)
	h.duty = duty
	done := make(chan error, 1)
	go func() { done <- duty.Run() }()
	t.Cleanup(func() {
		duty.Stop()
		require.NoError(t, <-done)
	})
	return h
}

func (h *harness) sendCommand(command session.TargetCommand) {
	require.True(h.t, h.duty.Ring().TryPush(SessionInput(command)))
}

// popWithin returns the next item of the ring, or false if none arrives in time.
func popWithin(r *ring.Ring[session.Input], s *ring.Signal, wait time.Duration) (session.Input, bool) {
	deadline := time.Now().Add(wait)
	for time.Now().Before(deadline) {
		if v, ok := r.Pop(); ok {
			return v, true
		}
		if r.Park() {
			s.Wait(time.Until(deadline))
			r.Unpark()
		}
	}
	return nil, false
}

// expectEvent returns the next event of the duty, which must be of type T.
func expectEvent[T session.Input](h *harness) T {
	h.t.Helper()
	v, ok := popWithin(h.events, h.signal, testTimeout)
	require.True(h.t, ok, "no event arrived")
	event, ok := v.(T)
	require.True(h.t, ok, "unexpected event %T %+v", v, v)
	return event
}

func (h *harness) openTarget(m *member, id session.TargetID) {
	h.t.Helper()
	h.sendCommand(session.TargetOpen{Target: id, Database: "notices", Address: m.address()})
	require.Equal(h.t, id, expectEvent[session.TargetOpened](h).Target)
}

// awaitResult waits for the complete response of target 1 and returns the types of
// its frames and the final event.
func (h *harness) awaitResult() (string, session.TargetReady) {
	h.t.Helper()
	return h.awaitResultOf(1)
}

// awaitResultOf does the same for the target with this ID.
func (h *harness) awaitResultOf(id session.TargetID) (string, session.TargetReady) {
	h.t.Helper()
	var frames []byte
	for {
		v, ok := popWithin(h.events, h.signal, testTimeout)
		require.True(h.t, ok, "no event arrived")
		switch event := v.(type) {
		case session.TargetData:
			require.Equal(h.t, id, event.Target)
			frames = append(frames, event.Frames...)
		case session.TargetReady:
			require.Equal(h.t, id, event.Target)
			return frameTypes(h.t, append(frames, event.Frames...)), event
		default:
			h.t.Fatalf("unexpected event %T %+v", v, v)
		}
	}
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

func simpleQuery(text string) *session.Payload {
	return &session.Payload{Frames: wire.Append(nil, &pgproto3.Query{String: text})}
}

func preparedStatement(name, text string, explicit bool) session.PreparedStatement {
	return session.PreparedStatement{
		Name:       name,
		ParseFrame: wire.Append(nil, &pgproto3.Parse{Name: name, Query: text}),
		Explicit:   explicit,
	}
}

// statementBatch returns a batch of Bind, Execute and Sync for one statement, preceded
// by its Parse if it is explicit.
func statementBatch(s session.PreparedStatement) *session.Payload {
	var frames []byte
	if s.Explicit {
		frames = append(frames, s.ParseFrame...)
	}
	frames = wire.Append(frames, &pgproto3.Bind{PreparedStatement: s.Name, Parameters: [][]byte{[]byte("v")}})
	frames = wire.Append(frames, &pgproto3.Execute{})
	frames = wire.Append(frames, &pgproto3.Sync{})
	return &session.Payload{Frames: frames, Prepared: []session.PreparedStatement{s}}
}

// Guards against a log position that is forwarded to the caller or lost, and an
// SQLSTATE that is not reported to session.
func TestSimpleQueries(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.openTarget(m, 1)
	h.sendCommand(session.TargetSend{Target: 1, Payload: simpleQuery("select 1")})
	got, ready := h.awaitResult()
	require.Equal(t, "TDCZ", got)
	require.Equal(t, byte('I'), ready.TxStatus)
	require.True(t, ready.Position.IsZero())
	h.sendCommand(session.TargetSend{Target: 1, Payload: simpleQuery("write")})
	got, ready = h.awaitResult()
	require.Equal(t, "CZ", got)
	require.Equal(t, core.Position{Term: 2, LSN: 50}, ready.Position)
	h.sendCommand(session.TargetSend{Target: 1, Payload: simpleQuery("error")})
	got, ready = h.awaitResult()
	require.Equal(t, "EZ", got)
	require.Equal(t, "22012", ready.ErrorCode)
}

// Guards against a statement that is created twice on a connection or is missing
// there, and against responses to messages that the caller did not send (G8).
func TestPreparedStatements(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{MaxStatements: 2})
	h.openTarget(m, 1)
	steps := []struct {
		statement  session.PreparedStatement
		frameTypes string
		received   string
	}{
		{preparedStatement("a", "select $1", true), "12DCZ", "parse select $1"},
		{preparedStatement("a", "select $1", true), "12DCZ", "parse "},
		{preparedStatement("a", "select $1", false), "2DCZ", ""},
		{preparedStatement("b", "other $1", false), "2DCZ", "parse other $1"},
		{preparedStatement("c", "bad", true), "EZ", "parse bad"},
		{preparedStatement("c", "bad", false), "EZ", "parse bad"},
		// Statement a was the oldest and was closed when c was created.
		{preparedStatement("a", "select $1", false), "2DCZ", "parse select $1"},
	}
	for i, s := range steps {
		h.sendCommand(session.TargetSend{Target: 1, Payload: statementBatch(s.statement)})
		got, _ := h.awaitResult()
		require.Equal(t, s.frameTypes, got, "step %d", i)
		require.Equal(t, s.received, strings.Join(m.takeMessages(), "; "), "step %d", i)
	}
}

// Guards against a connection that keeps using a statement which the member has
// dropped or whose plan has become invalid.
func TestDoubtfulStatementsAreCreatedAgain(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.openTarget(m, 1)
	s := preparedStatement("a", "select $1", false)
	run := func(want string) {
		h.sendCommand(session.TargetSend{Target: 1, Payload: statementBatch(s)})
		got, _ := h.awaitResult()
		require.Equal(t, want, got)
	}
	run("2DCZ")
	for _, state := range []string{sqlStateInvalidStatementName, sqlStateFeatureNotSupported} {
		m.swapBindError(state)
		run("EZ")
		run("2DCZ")
	}
	h.sendCommand(session.TargetSend{Target: 1, Payload: simpleQuery("discard all")})
	h.awaitResult()
	run("2DCZ")
}

// Guards against a request that runs without its prelude, a prelude whose response is
// forwarded to the caller, and a request that is not reported as unsent although
// only its prelude ran (G9).
func TestPrelude(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.openTarget(m, 1)
	h.sendCommand(session.TargetSend{Target: 1, Prelude: "begin", Payload: simpleQuery("select 1")})
	got, _ := h.awaitResult()
	require.Equal(t, "TDCZ", got)
	require.Equal(t, []string{"query begin", "query select 1"}, m.takeMessages())
	h.sendCommand(session.TargetSend{Target: 1, Prelude: "error", Payload: simpleQuery("select 2")})
	closed := expectEvent[session.TargetClosed](h)
	require.True(t, closed.Unsent)
	require.False(t, closed.Refused)
	require.Equal(t, []string{"query error"}, m.takeMessages())
}

// Guards against a request that is written after its NotAfter time (G9, G10).
func TestNotAfter(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.openTarget(m, 1)
	h.sendCommand(session.TargetSend{Target: 1, Payload: simpleQuery("write"), NotAfter: time.Now().Add(-time.Second)})
	require.True(t, expectEvent[session.TargetClosed](h).Unsent)
	require.Empty(t, m.takeMessages())
}

// Guards against a request that was written and is reported as unsent (G9).
func TestCloseWhileRunning(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.openTarget(m, 1)
	h.sendCommand(session.TargetSend{Target: 1, Payload: simpleQuery("slow")})
	h.sendCommand(session.TargetClose{Target: 1})
	require.False(t, expectEvent[session.TargetClosed](h).Unsent)
}

// Guards against a cancel request that cancels the request after the one that it was
// sent for.
func TestCancelHoldsTheNextRequest(t *testing.T) {
	m := startMember(t)
	release := m.holdCancels()
	h := start(t, Config{})
	h.openTarget(m, 1)
	h.sendCommand(session.TargetCancel{Target: 1})
	h.sendCommand(session.TargetSend{Target: 1, Payload: simpleQuery("slow")})
	h.sendCommand(session.TargetCancel{Target: 1})
	got, ready := h.awaitResult()
	require.Equal(t, "EZ", got)
	require.Equal(t, "57014", ready.ErrorCode)
	h.sendCommand(session.TargetSend{Target: 1, Payload: simpleQuery("select 1")})
	// Commands are handled in order, so the duty has seen the request by now.
	h.openTarget(m, 2)
	require.EqualValues(t, 1, h.duty.Stats().Requests)
	close(release)
	got, _ = h.awaitResult()
	require.Equal(t, "TDCZ", got)
	require.EqualValues(t, 1, h.duty.Stats().Cancels)
}

// Guards against results that are read although session paused the connection.
func TestPause(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.openTarget(m, 1)
	h.sendCommand(session.TargetPause{Target: 1})
	h.sendCommand(session.TargetSend{Target: 1, Payload: simpleQuery("select 1")})
	m.awaitResponses(2)
	h.openTarget(m, 2)
	h.sendCommand(session.TargetSend{Target: 2, Payload: simpleQuery("select 2")})
	got, _ := h.awaitResultOf(2)
	require.Equal(t, "TDCZ", got)
	h.sendCommand(session.TargetResume{Target: 1})
	got, _ = h.awaitResultOf(1)
	require.Equal(t, "TDCZ", got)
	// The result must not be buffered in memory either while reading is paused.
	h.sendCommand(session.TargetPause{Target: 1})
	h.sendCommand(session.TargetSend{Target: 1, Payload: simpleQuery("big")})
	require.Never(t, func() bool { return m.sentResponses() > 4 }, 700*time.Millisecond, time.Millisecond)
	h.sendCommand(session.TargetResume{Target: 1})
	got, _ = h.awaitResultOf(1)
	require.Equal(t, "DCZ", got)
}

// Guards against results and close events that are lost while the session ring is
// full, and against a connection paused by session that is read again as soon as the
// ring has free space.
func TestFullSessionRing(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.openTarget(m, 1)
	h.openTarget(m, 2)
	h.openTarget(m, 3)
	for range ringSize {
		require.True(t, h.events.TryPush(session.Drain{}))
	}
	h.sendCommand(session.TargetSend{Target: 1, Payload: simpleQuery("select 1")})
	require.Eventually(t, func() bool { return h.events.Stats().Refusals > 0 }, testTimeout, time.Millisecond)
	h.sendCommand(session.TargetSend{Target: 2, Payload: simpleQuery("select 2")})
	m.awaitResponses(5)
	// The duty handles the next command after a poll that has found the response.
	h.sendCommand(session.TargetClose{Target: 3})
	require.Eventually(t, func() bool { return h.duty.Stats().Open == 2 }, testTimeout, time.Millisecond)
	h.sendCommand(session.TargetPause{Target: 2})
	require.Eventually(t, func() bool { return h.duty.Ring().Len() == 0 }, testTimeout, time.Millisecond)
	for range ringSize {
		expectEvent[session.Drain](h)
	}
	got, _ := h.awaitResultOf(1)
	require.Equal(t, "TDCZ", got)
	require.Equal(t, session.TargetID(3), expectEvent[session.TargetClosed](h).Target)
	h.openTarget(m, 4)
	h.sendCommand(session.TargetResume{Target: 2})
	got, _ = h.awaitResultOf(2)
	require.Equal(t, "TDCZ", got)
}

// Guards against a startup that fails without the right report: the member refuses,
// does not respond or requires credentials.
func TestStartup(t *testing.T) {
	m := startMemberWith(t, ScriptedAccount(t, "secret"))
	start(t, Config{Password: "secret"}).openTarget(m, 1)
	for password, reason := range map[string]string{"wrong": "28P01", "": "not configured"} {
		h := start(t, Config{Password: password})
		h.sendCommand(session.TargetOpen{Target: 1, Address: m.address()})
		closed := expectEvent[session.TargetClosed](h)
		require.True(t, closed.Refused)
		require.True(t, closed.Unsent)
		require.Contains(t, closed.Reason, reason)
	}
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer unresponsive.Close()
	h := start(t, Config{StartupStepTimeout: 20 * time.Millisecond})
	h.sendCommand(session.TargetOpen{Target: 1, Address: unresponsive.Addr().String()})
	require.Contains(t, expectEvent[session.TargetClosed](h).Reason, "in time")
	h.sendCommand(session.TargetOpen{Target: 2, Address: "127.0.0.1:x"})
	require.True(t, expectEvent[session.TargetClosed](h).Refused)
}

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

// testWait bounds every wait of a test; it is not a figure under test.
const testWait = 10 * time.Second

// ringSize is the capacity of the session ring in tests.
const ringSize = 64

// harness runs the duty; the test plays the session duty.
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

func (h *harness) send(command session.TargetCommand) {
	require.True(h.t, h.duty.Ring().TryPush(FromSession(command)))
}

func popWait(r *ring.Ring[session.Input], s *ring.Signal, wait time.Duration) (session.Input, bool) {
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

func expect[T session.Input](h *harness) T {
	h.t.Helper()
	v, ok := popWait(h.events, h.signal, testWait)
	require.True(h.t, ok, "no event arrived")
	event, ok := v.(T)
	require.True(h.t, ok, "unexpected event %T %+v", v, v)
	return event
}

func (h *harness) open(m *member, id session.TargetID) {
	h.t.Helper()
	h.send(session.TargetOpen{Target: id, Database: "notices", Address: m.address()})
	require.Equal(h.t, id, expect[session.TargetOpened](h).Target)
}

// finish returns the kinds of the answer's frames and its end for target 1.
func (h *harness) finish() (string, session.TargetReady) {
	h.t.Helper()
	return h.finishOf(1)
}

func (h *harness) finishOf(id session.TargetID) (string, session.TargetReady) {
	h.t.Helper()
	var frames []byte
	for {
		v, ok := popWait(h.events, h.signal, testWait)
		require.True(h.t, ok, "no event arrived")
		switch event := v.(type) {
		case session.TargetData:
			require.Equal(h.t, id, event.Target)
			frames = append(frames, event.Frames...)
		case session.TargetReady:
			require.Equal(h.t, id, event.Target)
			return kinds(h.t, append(frames, event.Frames...)), event
		default:
			h.t.Fatalf("unexpected event %T %+v", v, v)
		}
	}
}

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

func simple(text string) *session.Payload {
	return &session.Payload{Frames: wire.Append(nil, &pgproto3.Query{String: text})}
}

func prepared(name, text string, explicit bool) session.PreparedStatement {
	return session.PreparedStatement{
		Name:       name,
		ParseFrame: wire.Append(nil, &pgproto3.Parse{Name: name, Query: text}),
		Explicit:   explicit,
	}
}

// batch is Bind, Execute and Sync for one statement, with its Parse in front
// if it is explicit.
func batch(s session.PreparedStatement) *session.Payload {
	var frames []byte
	if s.Explicit {
		frames = append(frames, s.ParseFrame...)
	}
	frames = wire.Append(frames, &pgproto3.Bind{PreparedStatement: s.Name, Parameters: [][]byte{[]byte("v")}})
	frames = wire.Append(frames, &pgproto3.Execute{})
	frames = wire.Append(frames, &pgproto3.Sync{})
	return &session.Payload{Frames: frames, Prepared: []session.PreparedStatement{s}}
}

// Guards against a log position that reaches the caller or is lost, and an
// SQLSTATE that session does not learn.
func TestSimpleQueries(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.open(m, 1)
	h.send(session.TargetSend{Target: 1, Payload: simple("select 1")})
	got, ready := h.finish()
	require.Equal(t, "TDCZ", got)
	require.Equal(t, byte('I'), ready.TxStatus)
	require.True(t, ready.Position.IsZero())
	h.send(session.TargetSend{Target: 1, Payload: simple("write")})
	got, ready = h.finish()
	require.Equal(t, "CZ", got)
	require.Equal(t, core.Position{Term: 2, LSN: 50}, ready.Position)
	h.send(session.TargetSend{Target: 1, Payload: simple("error")})
	got, ready = h.finish()
	require.Equal(t, "EZ", got)
	require.Equal(t, "22012", ready.ErrorState)
}

// Guards against a statement that is created twice on a connection, or is
// missing there, and against answers the caller did not ask for (G8).
func TestPreparedStatements(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{MaxStatements: 2})
	h.open(m, 1)
	steps := []struct {
		statement session.PreparedStatement
		answer    string
		sent      string
	}{
		{prepared("a", "select $1", true), "12DCZ", "parse select $1"},
		{prepared("a", "select $1", true), "12DCZ", "parse "},
		{prepared("a", "select $1", false), "2DCZ", ""},
		{prepared("b", "other $1", false), "2DCZ", "parse other $1"},
		{prepared("c", "bad", true), "EZ", "parse bad"},
		{prepared("c", "bad", false), "EZ", "parse bad"},
		// The oldest statement was closed for c.
		{prepared("a", "select $1", false), "2DCZ", "parse select $1"},
	}
	for i, s := range steps {
		h.send(session.TargetSend{Target: 1, Payload: batch(s.statement)})
		got, _ := h.finish()
		require.Equal(t, s.answer, got, "step %d", i)
		require.Equal(t, s.sent, strings.Join(m.sent(), "; "), "step %d", i)
	}
}

// Guards against a connection that keeps using a statement which the member
// has dropped or can no longer plan.
func TestDoubtfulStatementsAreCreatedAgain(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.open(m, 1)
	s := prepared("a", "select $1", false)
	run := func(want string) {
		h.send(session.TargetSend{Target: 1, Payload: batch(s)})
		got, _ := h.finish()
		require.Equal(t, want, got)
	}
	run("2DCZ")
	for _, state := range []string{stateNoStatement, stateNotSupported} {
		m.setFailBind(state)
		run("EZ")
		run("2DCZ")
	}
	h.send(session.TargetSend{Target: 1, Payload: simple("discard all")})
	h.finish()
	run("2DCZ")
}

// Guards against a request that runs without its prelude, a prelude whose
// answer reaches the caller, and a claim of "unsent" that is wrong (G9).
func TestPrelude(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.open(m, 1)
	h.send(session.TargetSend{Target: 1, Prelude: "begin", Payload: simple("select 1")})
	got, _ := h.finish()
	require.Equal(t, "TDCZ", got)
	require.Equal(t, []string{"query begin", "query select 1"}, m.sent())
	h.send(session.TargetSend{Target: 1, Prelude: "error", Payload: simple("select 2")})
	closed := expect[session.TargetClosed](h)
	require.True(t, closed.Unsent)
	require.False(t, closed.Refused)
	require.Equal(t, []string{"query error"}, m.sent())
}

// Guards against a request that is written after its time (G9, G10).
func TestNotAfter(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.open(m, 1)
	h.send(session.TargetSend{Target: 1, Payload: simple("write"), NotAfter: time.Now().Add(-time.Second)})
	require.True(t, expect[session.TargetClosed](h).Unsent)
	require.Empty(t, m.sent())
}

// Guards against a request that was written and is reported as unsent (G9).
func TestCloseWhileRunning(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.open(m, 1)
	h.send(session.TargetSend{Target: 1, Payload: simple("slow")})
	h.send(session.TargetClose{Target: 1})
	require.False(t, expect[session.TargetClosed](h).Unsent)
}

// Guards against a cancel that hits the request after the one it names.
func TestCancelHoldsTheNextRequest(t *testing.T) {
	m := startMember(t)
	release := m.holdCancels()
	h := start(t, Config{})
	h.open(m, 1)
	h.send(session.TargetCancel{Target: 1})
	h.send(session.TargetSend{Target: 1, Payload: simple("slow")})
	h.send(session.TargetCancel{Target: 1})
	got, ready := h.finish()
	require.Equal(t, "EZ", got)
	require.Equal(t, "57014", ready.ErrorState)
	h.send(session.TargetSend{Target: 1, Payload: simple("select 1")})
	// Commands are handled in order, so the request before was seen.
	h.open(m, 2)
	require.EqualValues(t, 1, h.duty.Stats().Requests)
	close(release)
	got, _ = h.finish()
	require.Equal(t, "TDCZ", got)
	require.EqualValues(t, 1, h.duty.Stats().Cancels)
}

// Guards against results that are read although session paused the connection.
func TestPause(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.open(m, 1)
	h.send(session.TargetPause{Target: 1})
	h.send(session.TargetSend{Target: 1, Payload: simple("select 1")})
	m.awaitAnswers(2)
	h.open(m, 2)
	h.send(session.TargetSend{Target: 2, Payload: simple("select 2")})
	got, _ := h.finishOf(2)
	require.Equal(t, "TDCZ", got)
	h.send(session.TargetResume{Target: 1})
	got, _ = h.finishOf(1)
	require.Equal(t, "TDCZ", got)
	// A paused socket must not be read into memory either.
	h.send(session.TargetPause{Target: 1})
	h.send(session.TargetSend{Target: 1, Payload: simple("big")})
	require.Never(t, func() bool { return m.answers() > 4 }, 700*time.Millisecond, time.Millisecond)
	h.send(session.TargetResume{Target: 1})
	got, _ = h.finishOf(1)
	require.Equal(t, "DCZ", got)
}

// Guards against results and closures that are lost while the session ring is
// full, and against a paused connection that is read when there is room again.
func TestFullSessionRing(t *testing.T) {
	m := startMember(t)
	h := start(t, Config{})
	h.open(m, 1)
	h.open(m, 2)
	h.open(m, 3)
	for range ringSize {
		require.True(t, h.events.TryPush(session.Drain{}))
	}
	h.send(session.TargetSend{Target: 1, Payload: simple("select 1")})
	require.Eventually(t, func() bool { return h.events.Stats().Refusals > 0 }, testWait, time.Millisecond)
	h.send(session.TargetSend{Target: 2, Payload: simple("select 2")})
	m.awaitAnswers(5)
	// The next command is handled after a poll that found the answer.
	h.send(session.TargetClose{Target: 3})
	require.Eventually(t, func() bool { return h.duty.Stats().Open == 2 }, testWait, time.Millisecond)
	h.send(session.TargetPause{Target: 2})
	require.Eventually(t, func() bool { return h.duty.Ring().Len() == 0 }, testWait, time.Millisecond)
	for range ringSize {
		expect[session.Drain](h)
	}
	got, _ := h.finishOf(1)
	require.Equal(t, "TDCZ", got)
	require.Equal(t, session.TargetID(3), expect[session.TargetClosed](h).Target)
	h.open(m, 4)
	h.send(session.TargetResume{Target: 2})
	got, _ = h.finishOf(2)
	require.Equal(t, "TDCZ", got)
}

// Guards against a member that refuses, is silent or asks for credentials and
// is not reported as such.
func TestStartup(t *testing.T) {
	m := startMemberWith(t, ScriptedAccount(t, "secret"))
	start(t, Config{Password: "secret"}).open(m, 1)
	for password, reason := range map[string]string{"wrong": "28P01", "": "not configured"} {
		h := start(t, Config{Password: password})
		h.send(session.TargetOpen{Target: 1, Address: m.address()})
		closed := expect[session.TargetClosed](h)
		require.True(t, closed.Refused)
		require.True(t, closed.Unsent)
		require.Contains(t, closed.Reason, reason)
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	h := start(t, Config{StartupTimeout: 20 * time.Millisecond})
	h.send(session.TargetOpen{Target: 1, Address: silent.Addr().String()})
	require.Contains(t, expect[session.TargetClosed](h).Reason, "in time")
	h.send(session.TargetOpen{Target: 2, Address: "127.0.0.1:x"})
	require.True(t, expect[session.TargetClosed](h).Refused)
}

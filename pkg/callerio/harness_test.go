package callerio

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"
)

const (
	// testTimeout limits every wait in the tests; no test depends on its value.
	testTimeout    = 10 * time.Second
	testSalt       = "0123456789abcdef"
	testIterations = 4096
)

// harness runs the duty; the test acts as the session duty.
type harness struct {
	t      testing.TB
	duty   *Duty
	events *ring.Ring[session.Input]
	signal *ring.Signal
}

// catalogueKey returns the stored verifier of a key.
func catalogueKey(t testing.TB, id core.KeyID, key string) catalogue.Key {
	client, err := scram.SHA256.NewClient("", key, "")
	require.NoError(t, err)
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: testSalt, Iters: testIterations})
	require.NoError(t, err)
	return catalogue.Key{ID: id, StoredKey: credentials.StoredKey, ServerKey: credentials.ServerKey}
}

func testCatalogue(t testing.TB) *catalogue.Catalogue {
	revoked := catalogueKey(t, "k3", "third")
	revoked.Revoked = true
	return &catalogue.Catalogue{
		Version: 1,
		Accounts: []catalogue.Account{{
			Name: "roads", Salt: []byte(testSalt), Iterations: testIterations,
			Keys: []catalogue.Key{catalogueKey(t, "k1", "first"), catalogueKey(t, "k2", "second"), revoked},
		}, {Name: "other", Salt: []byte(testSalt), Iterations: testIterations, Keys: []catalogue.Key{catalogueKey(t, "k9", "ninth")}}},
		Entries: []catalogue.Entry{
			{Name: "notices", Account: "roads"},
			{Name: "public", Account: "roads", Open: true},
		},
	}
}

func loadChart(t testing.TB) *chart.Definition {
	definition, err := charts.Load("caller_startup")
	require.NoError(t, err)
	return definition
}

func start(t testing.TB, config Config, ringSize int) *harness {
	h := &harness{t: t, signal: ring.NewSignal()}
	h.events = ring.New[session.Input](ringSize, h.signal)
	config.Address = "127.0.0.1:0"
	if config.BaseFailureDelay == 0 {
		config.BaseFailureDelay = time.Millisecond
	}
	duty, err := New(config, Deps{Session: h.events, Chart: loadChart(t)})
	require.NoError(t, err)
	h.duty = duty
	require.True(t, duty.Ring().TryPush(Input{Control: CatalogueUpdate{Catalogue: testCatalogue(t)}}))
	done := make(chan error, 1)
	go func() { done <- duty.Run() }()
	t.Cleanup(func() {
		duty.Stop()
		require.NoError(t, <-done)
	})
	return h
}

func (h *harness) sendCommand(command session.CallerCommand) {
	require.True(h.t, h.duty.Ring().TryPush(SessionInput(command)))
}

// nextEvent returns the next event of the duty.
func (h *harness) nextEvent() session.Input {
	h.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		if v, ok := h.events.Pop(); ok {
			return v
		}
		if h.events.Park() {
			h.signal.Wait(time.Until(deadline))
			h.events.Unpark()
		}
	}
	h.t.Fatal("no event arrived")
	return nil
}

// expectEvent returns the next event of the duty, which must be of type T.
func expectEvent[T session.Input](h *harness) T {
	h.t.Helper()
	event, ok := h.nextEvent().(T)
	require.True(h.t, ok, "unexpected kind of event")
	return event
}

// answerRequest sends the messages and ReadyForQuery as the complete response to
// the caller's request.
func (h *harness) answerRequest(id session.CallerID, messages ...pgproto3.Message) {
	var out []byte
	for _, m := range messages {
		out = wire.Append(out, m)
	}
	out = wire.Append(out, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	h.sendCommand(session.CallerWrite{Caller: id, Frames: out, Done: true})
}

// testCaller is a scripted caller.
type testCaller struct {
	t          testing.TB
	conn       net.Conn
	frontend   *pgproto3.Frontend
	id         session.CallerID
	cancelKey  *pgproto3.BackendKeyData
	parameters map[string]string
}

// dial returns a caller that has not sent anything yet.
func (h *harness) dial() *testCaller {
	conn, err := net.Dial("tcp", h.duty.Address().String())
	require.NoError(h.t, err)
	h.t.Cleanup(func() { conn.Close() })
	require.NoError(h.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &testCaller{t: h.t, conn: conn, frontend: pgproto3.NewFrontend(conn, conn), parameters: map[string]string{}}
}

func (tc *testCaller) write(messages ...pgproto3.FrontendMessage) {
	var out []byte
	for _, m := range messages {
		out = wire.Append(out, m)
	}
	_, err := tc.conn.Write(out)
	require.NoError(tc.t, err)
}

// receive returns the next message of the proxy, which must be of type T.
func receive[T pgproto3.BackendMessage](tc *testCaller) T {
	tc.t.Helper()
	m, err := tc.frontend.Receive()
	require.NoError(tc.t, err)
	got, ok := m.(T)
	require.True(tc.t, ok, "unexpected message %T %+v", m, m)
	return got
}

func startupMessage(user, entry string, extraParameters ...string) *pgproto3.StartupMessage {
	parameters := map[string]string{"user": user, "database": entry}
	for i := 0; i < len(extraParameters); i += 2 {
		parameters[extraParameters[i]] = extraParameters[i+1]
	}
	return &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}
}

// authenticate runs the SCRAM exchange and returns the error response, if any.
func (tc *testCaller) authenticate(key string) *pgproto3.ErrorResponse {
	receive[*pgproto3.AuthenticationSASL](tc)
	client, err := wire.NewScramClient("", key)
	require.NoError(tc.t, err)
	clientExchange, first, err := client.Begin()
	require.NoError(tc.t, err)
	tc.write(&pgproto3.SASLInitialResponse{AuthMechanism: wire.Mechanism, Data: []byte(first)})
	challenge := receive[*pgproto3.AuthenticationSASLContinue](tc)
	final, err := clientExchange.Step(string(challenge.Data))
	require.NoError(tc.t, err)
	tc.write(&pgproto3.SASLResponse{Data: []byte(final)})
	m, err := tc.frontend.Receive()
	require.NoError(tc.t, err)
	if refused, ok := m.(*pgproto3.ErrorResponse); ok {
		copied := *refused
		return &copied
	}
	_, err = clientExchange.Step(string(m.(*pgproto3.AuthenticationSASLFinal).Data))
	require.NoError(tc.t, err)
	return nil
}

// awaitReady reads the startup messages up to the first ReadyForQuery.
func (tc *testCaller) awaitReady() {
	receive[*pgproto3.AuthenticationOk](tc)
	for {
		m, err := tc.frontend.Receive()
		require.NoError(tc.t, err)
		switch m := m.(type) {
		case *pgproto3.ParameterStatus:
			tc.parameters[m.Name] = m.Value
		case *pgproto3.BackendKeyData:
			tc.cancelKey = &pgproto3.BackendKeyData{ProcessID: m.ProcessID, SecretKey: append([]byte(nil), m.SecretKey...)}
		case *pgproto3.ReadyForQuery:
			return
		default:
			tc.t.Fatalf("unexpected message %T", m)
		}
	}
}

// openCaller returns an admitted caller of the entry that needs no authentication.
func (h *harness) openCaller() *testCaller {
	h.t.Helper()
	tc := h.dial()
	tc.write(startupMessage("roads", "public"))
	tc.id = expectEvent[session.CallerOpened](h).Caller
	h.sendCommand(session.CallerAdmitted{Caller: tc.id})
	tc.awaitReady()
	return tc
}

// fillSessionRing fills the session ring with events that the tests ignore.
func (h *harness) fillSessionRing() {
	for h.events.TryPush(session.Drain{}) {
	}
}

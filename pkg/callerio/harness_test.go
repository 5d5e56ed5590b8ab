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
	// testWait bounds every wait of a test; it is not a figure under test.
	testWait   = 10 * time.Second
	testSalt   = "0123456789abcdef"
	testRounds = 4096
)

// harness runs the duty; the test plays the session duty.
type harness struct {
	t      testing.TB
	duty   *Duty
	events *ring.Ring[session.Input]
	signal *ring.Signal
}

func verifier(t testing.TB, id core.KeyID, key string) catalogue.Key {
	client, err := scram.SHA256.NewClient("", key, "")
	require.NoError(t, err)
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: testSalt, Iters: testRounds})
	require.NoError(t, err)
	return catalogue.Key{ID: id, StoredKey: credentials.StoredKey, ServerKey: credentials.ServerKey}
}

func testCatalogue(t testing.TB) *catalogue.Catalogue {
	revoked := verifier(t, "k3", "third")
	revoked.Revoked = true
	return &catalogue.Catalogue{
		Version: 1,
		Accounts: []catalogue.Account{{
			Name: "roads", Salt: []byte(testSalt), Iterations: testRounds,
			Keys: []catalogue.Key{verifier(t, "k1", "first"), verifier(t, "k2", "second"), revoked},
		}, {Name: "other", Salt: []byte(testSalt), Iterations: testRounds, Keys: []catalogue.Key{verifier(t, "k9", "ninth")}}},
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
	if config.BaseDelay == 0 {
		config.BaseDelay = time.Millisecond
	}
	duty, err := New(config, Deps{Session: h.events, Chart: loadChart(t)})
	require.NoError(t, err)
	h.duty = duty
	require.True(t, duty.Ring().TryPush(Input{Control: Publish{Catalogue: testCatalogue(t)}}))
	done := make(chan error, 1)
	go func() { done <- duty.Run() }()
	t.Cleanup(func() {
		duty.Stop()
		require.NoError(t, <-done)
	})
	return h
}

func (h *harness) send(command session.CallerCommand) {
	require.True(h.t, h.duty.Ring().TryPush(FromSession(command)))
}

// next returns the next event of the duty.
func (h *harness) next() session.Input {
	h.t.Helper()
	deadline := time.Now().Add(testWait)
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

func expect[T session.Input](h *harness) T {
	h.t.Helper()
	event, ok := h.next().(T)
	require.True(h.t, ok, "unexpected kind of event")
	return event
}

// answer plays a target that answers a request with one row and tag.
func (h *harness) answer(id session.CallerID, messages ...pgproto3.Message) {
	var out []byte
	for _, m := range messages {
		out = wire.Append(out, m)
	}
	out = wire.Append(out, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	h.send(session.CallerWrite{Caller: id, Frames: out, Done: true})
}

// peer is a scripted caller.
type peer struct {
	t      testing.TB
	conn   net.Conn
	front  *pgproto3.Frontend
	id     session.CallerID
	secret *pgproto3.BackendKeyData
	status map[string]string
}

func (h *harness) dial() *peer {
	conn, err := net.Dial("tcp", h.duty.Address().String())
	require.NoError(h.t, err)
	h.t.Cleanup(func() { conn.Close() })
	require.NoError(h.t, conn.SetDeadline(time.Now().Add(testWait)))
	return &peer{t: h.t, conn: conn, front: pgproto3.NewFrontend(conn, conn), status: map[string]string{}}
}

func (p *peer) write(messages ...pgproto3.FrontendMessage) {
	var out []byte
	for _, m := range messages {
		out = wire.Append(out, m)
	}
	_, err := p.conn.Write(out)
	require.NoError(p.t, err)
}

func receive[T pgproto3.BackendMessage](p *peer) T {
	p.t.Helper()
	m, err := p.front.Receive()
	require.NoError(p.t, err)
	got, ok := m.(T)
	require.True(p.t, ok, "unexpected message %T %+v", m, m)
	return got
}

func startupMessage(user, entry string, more ...string) *pgproto3.StartupMessage {
	parameters := map[string]string{"user": user, "database": entry}
	for i := 0; i < len(more); i += 2 {
		parameters[more[i]] = more[i+1]
	}
	return &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}
}

// authenticate runs the SCRAM exchange and returns the refusal, if any.
func (p *peer) authenticate(key string) *pgproto3.ErrorResponse {
	receive[*pgproto3.AuthenticationSASL](p)
	client, err := wire.NewScramClient("", key)
	require.NoError(p.t, err)
	proof, first, err := client.Begin()
	require.NoError(p.t, err)
	p.write(&pgproto3.SASLInitialResponse{AuthMechanism: wire.Mechanism, Data: []byte(first)})
	challenge := receive[*pgproto3.AuthenticationSASLContinue](p)
	final, err := proof.Step(string(challenge.Data))
	require.NoError(p.t, err)
	p.write(&pgproto3.SASLResponse{Data: []byte(final)})
	m, err := p.front.Receive()
	require.NoError(p.t, err)
	if refused, ok := m.(*pgproto3.ErrorResponse); ok {
		kept := *refused
		return &kept
	}
	_, err = proof.Step(string(m.(*pgproto3.AuthenticationSASLFinal).Data))
	require.NoError(p.t, err)
	return nil
}

// welcome reads the messages up to the first ReadyForQuery.
func (p *peer) welcome() {
	receive[*pgproto3.AuthenticationOk](p)
	for {
		m, err := p.front.Receive()
		require.NoError(p.t, err)
		switch m := m.(type) {
		case *pgproto3.ParameterStatus:
			p.status[m.Name] = m.Value
		case *pgproto3.BackendKeyData:
			p.secret = &pgproto3.BackendKeyData{ProcessID: m.ProcessID, SecretKey: append([]byte(nil), m.SecretKey...)}
		case *pgproto3.ReadyForQuery:
			return
		default:
			p.t.Fatalf("unexpected message %T", m)
		}
	}
}

// open returns an admitted caller on the open entry.
func (h *harness) open() *peer {
	h.t.Helper()
	p := h.dial()
	p.write(startupMessage("roads", "public"))
	p.id = expect[session.CallerOpened](h).Caller
	h.send(session.CallerAdmitted{Caller: p.id})
	p.welcome()
	return p
}

// fill makes the session ring full with events that tests do not look at.
func (h *harness) fill() {
	for h.events.TryPush(session.Drain{}) {
	}
}

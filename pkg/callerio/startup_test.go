package callerio

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/wire"
	"github.com/stretchr/testify/require"
)

// Guards against a live key that does not open a session, a key ID that is
// mixed up, and startup parameters that are lost (G1, G4).
func TestLiveKeysOpenASession(t *testing.T) {
	h := start(t, Config{}, 64)
	for key, id := range map[string]core.KeyID{"first": "k1", "second": "k2"} {
		p := h.dial()
		p.write(startupMessage("roads", "notices", "sassafrasshunt.position", "3/77", "traceparent", "00-ab-cd-01"))
		require.Nil(t, p.authenticate(key))
		opened := expect[session.CallerOpened](h)
		require.Equal(t, session.CallerOpened{
			Caller: opened.Caller, Account: "roads", Entry: "notices", Key: id,
			Carried: core.Position{Term: 3, LSN: 77}, Trace: "00-ab-cd-01",
		}, opened)
		h.send(session.CallerAdmitted{Caller: opened.Caller})
		p.welcome()
		require.Equal(t, "UTF8", p.status["client_encoding"])
		p.write(&pgproto3.Terminate{})
		require.Equal(t, opened.Caller, expect[session.CallerClosed](h).Caller)
	}
}

// Guards against a wrong, revoked or foreign key that is accepted, and against
// answers from which a caller learns which part was wrong (G4, G5).
func TestRefusalsLookTheSame(t *testing.T) {
	h := start(t, Config{}, 64)
	cases := []struct{ user, entry, key string }{
		{"roads", "notices", "wrong"},
		{"roads", "notices", "third"},
		{"roads", "missing", "first"},
		{"nobody", "notices", "first"},
		{"nobody", "public", "first"},
		{"other", "notices", "ninth"},
	}
	for _, c := range cases {
		p := h.dial()
		p.write(startupMessage(c.user, c.entry))
		refused := p.authenticate(c.key)
		require.NotNil(t, refused, "%+v", c)
		require.Equal(t, "FATAL", refused.Severity)
		require.Equal(t, SQLState(core.ReasonWrongKey), refused.Code)
		require.Equal(t, "authentication failed", refused.Message)
		require.Equal(t, "outcome: not run", refused.Detail)
	}
	require.Zero(t, h.events.Len())
	require.EqualValues(t, len(cases), h.duty.Stats().WrongKeys)
}

// Guards against a key that is revoked between challenge and proof and works
// all the same (G6).
func TestKeyRevokedDuringTheExchange(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.dial()
	p.write(startupMessage("roads", "notices"))
	receive[*pgproto3.AuthenticationSASL](p)
	client, err := wire.NewScramClient("", "first")
	require.NoError(t, err)
	proof, first, err := client.Begin()
	require.NoError(t, err)
	p.write(&pgproto3.SASLInitialResponse{AuthMechanism: wire.Mechanism, Data: []byte(first)})
	final, err := proof.Step(string(receive[*pgproto3.AuthenticationSASLContinue](p).Data))
	require.NoError(t, err)
	revoked := testCatalogue(t)
	revoked.Accounts[0].Keys[0].Revoked = true
	require.True(t, h.duty.Ring().TryPush(Input{Control: Publish{Catalogue: revoked}}))
	require.Eventually(t, func() bool { return h.duty.Ring().Len() == 0 }, testWait, time.Millisecond)
	p.write(&pgproto3.SASLResponse{Data: []byte(final)})
	require.Equal(t, SQLState(core.ReasonWrongKey), receive[*pgproto3.ErrorResponse](p).Code)
}

// Guards against a delay without bound, and one that hits other addresses.
func TestDelayGrowsForOneAddress(t *testing.T) {
	a := newAttempts(100*time.Millisecond, time.Second)
	now := time.Unix(1000, 0)
	one, two := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	var got []time.Duration
	for range 6 {
		got = append(got, a.failed(one, now)/time.Millisecond)
	}
	require.Equal(t, []time.Duration{100, 200, 400, 800, 1000, 1000}, got)
	require.Equal(t, 100*time.Millisecond, a.failed(two, now))
	require.Equal(t, 100*time.Millisecond, a.failed(one, now.Add(forgetAfter+time.Second)))
}

// Guards against startup input that takes the duty down or leaves the caller
// without an answer.
func TestInvalidStartup(t *testing.T) {
	h := start(t, Config{}, 64)
	cases := map[string][]byte{
		SQLState(core.ReasonProtocolViolation): {0, 0, 0, 9, 0, 9, 0, 0, 0},
		"22023":                                wire.Append(nil, startupMessage("roads", "public", "sassafrasshunt.position", "x")),
	}
	for state, packet := range cases {
		p := h.dial()
		_, err := p.conn.Write(packet)
		require.NoError(t, err)
		require.Equal(t, state, receive[*pgproto3.ErrorResponse](p).Code)
	}
	clear := h.dial()
	clear.write(startupMessage("roads", "notices"))
	receive[*pgproto3.AuthenticationSASL](clear)
	clear.write(&pgproto3.PasswordMessage{Password: "first"})
	refused := receive[*pgproto3.ErrorResponse](clear)
	require.Equal(t, SQLState(core.ReasonProtocolViolation), refused.Code)
	require.NotContains(t, refused.Message, "first")
	h.open()
}

// Guards against TLS negotiation that blocks plain drivers, and against a
// startup whose bytes arrive one at a time.
func TestStartupByteByByte(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.dial()
	for _, packet := range []pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}} {
		p.write(packet)
		var answer [1]byte
		_, err := p.conn.Read(answer[:])
		require.NoError(t, err)
		require.Equal(t, byte('N'), answer[0])
	}
	for _, b := range wire.Append(nil, startupMessage("roads", "public")) {
		_, err := p.conn.Write([]byte{b})
		require.NoError(t, err)
	}
	h.send(session.CallerAdmitted{Caller: expect[session.CallerOpened](h).Caller})
	p.welcome()
}

// Guards against a cancel that reaches another caller, or works with a guessed secret.
func TestCancelNeedsTheSecret(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.open()
	wrong := h.dial()
	wrong.write(&pgproto3.CancelRequest{ProcessID: p.secret.ProcessID, SecretKey: []byte{0, 0, 0, 0}})
	_, err := wrong.front.Receive()
	require.Error(t, err)
	require.Zero(t, h.events.Len())
	right := h.dial()
	right.write(&pgproto3.CancelRequest{ProcessID: p.secret.ProcessID, SecretKey: p.secret.SecretKey})
	require.Equal(t, p.id, expect[session.CallerCancel](h).Caller)
}

// Guards against a caller refused by session that hangs or stays known.
func TestDismissalAtStartup(t *testing.T) {
	h := start(t, Config{}, 64)
	p := h.dial()
	p.write(startupMessage("roads", "public"))
	id := expect[session.CallerOpened](h).Caller
	h.send(session.CallerClose{Caller: id, Refusal: core.NotRun(core.ReasonStopping, "stopping")})
	refused := receive[*pgproto3.ErrorResponse](p)
	require.Equal(t, SQLState(core.ReasonStopping), refused.Code)
	require.NotEmpty(t, refused.Hint)
	require.Equal(t, id, expect[session.CallerClosed](h).Caller)
}

// Guards against an entry that opens before a catalogue is in force.
func TestNoCatalogueNoSession(t *testing.T) {
	h := start(t, Config{}, 64)
	require.True(t, h.duty.Ring().TryPush(Input{Control: Publish{Catalogue: (*catalogue.Catalogue)(nil)}}))
	require.Eventually(t, func() bool { return h.duty.Ring().Len() == 0 }, testWait, time.Millisecond)
	p := h.dial()
	p.write(startupMessage("roads", "public"))
	require.Equal(t, stateCannotConnect, receive[*pgproto3.ErrorResponse](p).Code)
}

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

// Guards against a valid key that is refused, a wrong key ID in the event for
// session, and lost startup parameters (G1, G4).
func TestLiveKeysOpenASession(t *testing.T) {
	h := start(t, Config{}, 64)
	for key, id := range map[string]core.KeyID{"first": "k1", "second": "k2"} {
		tc := h.dial()
		tc.write(startupMessage("roads", "notices", "sassafrasshunt.position", "3/77", "traceparent", "00-ab-cd-01"))
		require.Nil(t, tc.authenticate(key))
		opened := expectEvent[session.CallerOpened](h)
		require.Equal(t, session.CallerOpened{
			Caller: opened.Caller, Account: "roads", Entry: "notices", Key: id,
			InitialPosition: core.Position{Term: 3, LSN: 77}, TraceParent: "00-ab-cd-01",
		}, opened)
		h.sendCommand(session.CallerAdmitted{Caller: opened.Caller})
		tc.awaitReady()
		require.Equal(t, "UTF8", tc.parameters["client_encoding"])
		tc.write(&pgproto3.Terminate{})
		require.Equal(t, opened.Caller, expectEvent[session.CallerClosed](h).Caller)
	}
}

// Guards against a key that is accepted although it is wrong, revoked or belongs to
// another account, and against errors that tell the caller which part was wrong
// (G4, G5).
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
		tc := h.dial()
		tc.write(startupMessage(c.user, c.entry))
		refused := tc.authenticate(c.key)
		require.NotNil(t, refused, "%+v", c)
		require.Equal(t, "FATAL", refused.Severity)
		require.Equal(t, SQLState(core.ReasonWrongKey), refused.Code)
		require.Equal(t, "authentication failed", refused.Message)
		require.Equal(t, "outcome: not run", refused.Detail)
	}
	require.Zero(t, h.events.Len())
	require.EqualValues(t, len(cases), h.duty.Stats().WrongKeys)
}

// Guards against a key that is accepted although it is revoked between the
// server-first and the client-final message (G6).
func TestKeyRevokedDuringTheExchange(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.dial()
	tc.write(startupMessage("roads", "notices"))
	receive[*pgproto3.AuthenticationSASL](tc)
	client, err := wire.NewScramClient("", "first")
	require.NoError(t, err)
	clientExchange, first, err := client.Begin()
	require.NoError(t, err)
	tc.write(&pgproto3.SASLInitialResponse{AuthMechanism: wire.Mechanism, Data: []byte(first)})
	final, err := clientExchange.Step(string(receive[*pgproto3.AuthenticationSASLContinue](tc).Data))
	require.NoError(t, err)
	revoked := testCatalogue(t)
	revoked.Accounts[0].Keys[0].Revoked = true
	require.True(t, h.duty.Ring().TryPush(Input{Control: CatalogueUpdate{Catalogue: revoked}}))
	require.Eventually(t, func() bool { return h.duty.Ring().Len() == 0 }, testTimeout, time.Millisecond)
	tc.write(&pgproto3.SASLResponse{Data: []byte(final)})
	require.Equal(t, SQLState(core.ReasonWrongKey), receive[*pgproto3.ErrorResponse](tc).Code)
}

// Guards against a delay that grows without limit or affects other addresses.
func TestDelayGrowsForOneAddress(t *testing.T) {
	a := newAuthFailures(100*time.Millisecond, time.Second)
	now := time.Unix(1000, 0)
	one, two := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	var got []time.Duration
	for range 6 {
		got = append(got, a.record(one, now)/time.Millisecond)
	}
	require.Equal(t, []time.Duration{100, 200, 400, 800, 1000, 1000}, got)
	require.Equal(t, 100*time.Millisecond, a.record(two, now))
	require.Equal(t, 100*time.Millisecond, a.record(one, now.Add(failureExpiry+time.Second)))
}

// Guards against startup input that crashes the duty or gets no response.
func TestInvalidStartup(t *testing.T) {
	h := start(t, Config{}, 64)
	cases := map[string][]byte{
		SQLState(core.ReasonProtocolViolation): {0, 0, 0, 9, 0, 9, 0, 0, 0},
		"22023":                                wire.Append(nil, startupMessage("roads", "public", "sassafrasshunt.position", "x")),
	}
	for state, packet := range cases {
		tc := h.dial()
		_, err := tc.conn.Write(packet)
		require.NoError(t, err)
		require.Equal(t, state, receive[*pgproto3.ErrorResponse](tc).Code)
	}
	clear := h.dial()
	clear.write(startupMessage("roads", "notices"))
	receive[*pgproto3.AuthenticationSASL](clear)
	clear.write(&pgproto3.PasswordMessage{Password: "first"})
	refused := receive[*pgproto3.ErrorResponse](clear)
	require.Equal(t, SQLState(core.ReasonProtocolViolation), refused.Code)
	require.NotContains(t, refused.Message, "first")
	h.openCaller()
}

// Guards against an encryption request that is not declined, and against a startup
// that fails when its bytes arrive one at a time.
func TestStartupByteByByte(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.dial()
	for _, packet := range []pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}} {
		tc.write(packet)
		var answer [1]byte
		_, err := tc.conn.Read(answer[:])
		require.NoError(t, err)
		require.Equal(t, byte('N'), answer[0])
	}
	for _, b := range wire.Append(nil, startupMessage("roads", "public")) {
		_, err := tc.conn.Write([]byte{b})
		require.NoError(t, err)
	}
	h.sendCommand(session.CallerAdmitted{Caller: expectEvent[session.CallerOpened](h).Caller})
	tc.awaitReady()
}

// Guards against a cancel request that is accepted with a wrong secret, and one that
// cancels the request of another caller.
func TestCancelNeedsTheSecret(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.openCaller()
	wrong := h.dial()
	wrong.write(&pgproto3.CancelRequest{ProcessID: tc.cancelKey.ProcessID, SecretKey: []byte{0, 0, 0, 0}})
	_, err := wrong.frontend.Receive()
	require.Error(t, err)
	require.Zero(t, h.events.Len())
	right := h.dial()
	right.write(&pgproto3.CancelRequest{ProcessID: tc.cancelKey.ProcessID, SecretKey: tc.cancelKey.SecretKey})
	require.Equal(t, tc.id, expectEvent[session.CallerCancel](h).Caller)
}

// Guards against a caller that session refuses and that gets no error or is not
// reported as closed.
func TestDismissalAtStartup(t *testing.T) {
	h := start(t, Config{}, 64)
	tc := h.dial()
	tc.write(startupMessage("roads", "public"))
	id := expectEvent[session.CallerOpened](h).Caller
	h.sendCommand(session.CallerClose{Caller: id, Refusal: core.NotRun(core.ReasonStopping, "stopping")})
	refused := receive[*pgproto3.ErrorResponse](tc)
	require.Equal(t, SQLState(core.ReasonStopping), refused.Code)
	require.NotEmpty(t, refused.Hint)
	require.Equal(t, id, expectEvent[session.CallerClosed](h).Caller)
}

// Guards against a startup that is accepted before the duty has a catalogue.
func TestNoCatalogueNoSession(t *testing.T) {
	h := start(t, Config{}, 64)
	require.True(t, h.duty.Ring().TryPush(Input{Control: CatalogueUpdate{Catalogue: (*catalogue.Catalogue)(nil)}}))
	require.Eventually(t, func() bool { return h.duty.Ring().Len() == 0 }, testTimeout, time.Millisecond)
	tc := h.dial()
	tc.write(startupMessage("roads", "public"))
	require.Equal(t, sqlStateCannotConnectNow, receive[*pgproto3.ErrorResponse](tc).Code)
}
